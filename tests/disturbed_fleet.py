"""State machine of gateways that are cut off and restarted, for tests of crash evidence."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from load_fleet import Fleet

SIZE = 9
SEED = 11
MESSAGE_LOSS = 0.1
CRASH_SECONDS = 0.1
REPORT_SECONDS = 0.4
"""The others have received a gateway's reports, although messages are lost."""

gateways = st.integers(0, SIZE - 1)


def machine_settings(examples: int, steps: int) -> settings:
    """Settings of a search that is the same in each run."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        report_multiple_bugs=False,
    )


class DisturbedFleet(RuleBasedStateMachine):
    """Nine gateways in three zones, which lose a tenth of their messages."""

    fleet_type: type[Fleet] = Fleet

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_type(SIZE, SEED)
        self.fleet.loss = MESSAGE_LOSS
        self.fleet.run(1.0)
        self.connected_at = dict.fromkeys(self.fleet.names, self.fleet.now)
        self.servers = 1000
        self.answer_popular(self.fleet.names)

    def answer_popular(self, names: list[str]) -> None:
        """Servers answer the popular requests of some gateways."""
        raise NotImplementedError

    def pass_time(self, seconds: float) -> None:
        """Messages are sent, and popular requests are answered."""
        self.fleet.run(seconds)
        self.answer_popular(self.fleet.names)

    @rule(number=gateways)
    def gateway_restarts(self, number: int) -> None:
        """It loses its state after the others have received its reports."""
        self.pass_time(REPORT_SECONDS)
        name = self.fleet.names[number]
        self.fleet.restart(name)
        self.connected_at[name] = self.fleet.now
        self.answer_popular([name])

    @rule(cut=st.sets(gateways, max_size=4))
    def some_are_cut_off(self, cut: set[int]) -> None:
        """Partition gateways from all others, both ways; the previous partition heals."""
        self.pass_time(REPORT_SECONDS)
        before = self.fleet.partitioned
        self.fleet.partitioned = {self.fleet.names[number] for number in cut}
        for name in before - self.fleet.partitioned:
            self.connected_at[name] = self.fleet.now
