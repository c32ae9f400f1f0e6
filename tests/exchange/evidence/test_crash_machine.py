"""A fleet of gateways, cut, restarted and losing messages, before a request that ends servers.

Promise: a gateway that has been in touch for a while after the third end doesn't send the request,
and innocent work that was ever answered is never contained by crashes that nobody caused.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from load_fleet import Fleet

CRASHING = 7
POPULAR = 8
SIZE = 9
TOUCH_SECONDS = 3.0
"""After this time without a cut or a restart, a gateway knows what the others know."""

CRASH_SECONDS = 0.1
TOLD_SECONDS = 0.4
"""Others know what a gateway saw, although messages are lost."""

gateways = st.integers(0, SIZE - 1)


class SwitchingFleet(Fleet):
    """Whose reader is cut off follows another zone's."""

    def reader_of(self, name: str) -> str:
        """See `Fleet.reader_of`."""
        own = super().reader_of(name)
        if own not in self.cut or name in self.cut:
            return own
        return next((reader for reader in self.readers if reader not in self.cut), own)


class CrashingFleet(RuleBasedStateMachine):
    """Nine gateways in three zones."""

    remembers = True

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SwitchingFleet(SIZE, 11)
        self.fleet.loss = 0.1
        self.fleet.run(1.0)
        self.touched_at = dict.fromkeys(self.fleet.names, self.fleet.now)
        self.ends = 0
        self.third_at = float("inf")
        self.servers = 1000
        self._answer_popular()

    def _answer_popular(self) -> None:
        for exchange in self.fleet.exchanges.values():
            exchange.evidence.on_answer(POPULAR, self.fleet.now)

    def _pass(self, seconds: float) -> None:
        self.fleet.run(seconds)
        for number in range(SIZE):
            self.popular_is_answered(number)

    def _contains(self, name: str, identity: int) -> bool:
        evidence = self.fleet.exchanges[name].evidence
        return evidence.containment(identity, self.fleet.now) is not None

    def _in_touch_since(self, name: str) -> float:
        return float("inf") if name in self.fleet.cut else self.touched_at[name]

    @rule(number=gateways)
    def caller_repeats(self, number: int) -> None:
        """Through any gateway, which sends the request on if it knows no better."""
        fleet = self.fleet
        name = fleet.names[number]
        if self.remembers and self._contains(name, CRASHING):
            return
        known_by = max(self.third_at, self._in_touch_since(name)) + TOUCH_SECONDS
        assert fleet.now < known_by, f"{name} sent it {fleet.now - self.third_at:.2f} s after"
        sent_at = fleet.now
        self._pass(CRASH_SECONDS)
        self._end_server([(name, CRASHING, sent_at)])
        # What a gateway that is cut off sees may be lost with it.
        self.ends += name not in fleet.cut
        if self.ends == 3 and name not in fleet.cut:
            self.third_at = fleet.now

    def _end_server(self, running: list[tuple[str, int, float]]) -> None:
        self.servers += 1
        for name, identity, sent_at in running:
            exchange = self.fleet.exchanges[name]
            exchange.evidence.on_crash(identity, self.servers, sent_at, self.fleet.now)
            exchange.on_news()

    @rule(witnesses=st.lists(gateways, min_size=1, max_size=4))
    def rack_crashes(self, witnesses: list[int]) -> None:
        """Servers end together, each with a popular request that it had for a while."""
        for number in witnesses:
            self._end_server([(self.fleet.names[number], POPULAR, self.fleet.now - 0.5)])

    def popular_is_answered(self, number: int) -> None:
        """By a server that lives."""
        exchange = self.fleet.exchanges[self.fleet.names[number]]
        if exchange.evidence.on_answer(POPULAR, self.fleet.now):
            exchange.on_news()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5]))
    def time_passes(self, seconds: float) -> None:
        """Messages go, but for a tenth of them; popular work is answered all the time."""
        self._pass(seconds)

    @rule(number=gateways)
    def gateway_restarts(self, number: int) -> None:
        """It forgets all; others know what it saw."""
        self._pass(TOLD_SECONDS)
        name = self.fleet.names[number]
        self.fleet.restart(name)
        self.fleet.exchanges[name].evidence.on_answer(POPULAR, self.fleet.now)
        self.touched_at[name] = self.fleet.now

    @rule(cut=st.sets(gateways, max_size=4))
    def some_are_cut_off(self, cut: set[int]) -> None:
        """From all others, both ways; the others are in touch again."""
        self._pass(TOLD_SECONDS)
        before = self.fleet.cut
        self.fleet.cut = {self.fleet.names[number] for number in cut}
        for name in before - self.fleet.cut:
            self.touched_at[name] = self.fleet.now

    @invariant()
    def popular_work_is_sent(self) -> None:
        """Nobody caused those crashes with it."""
        assert not any(self._contains(name, POPULAR) for name in self.fleet.names)


class ForgetfulFleet(CrashingFleet):
    """The broken variant: a repeat begins with a clean slate."""

    remembers = False


def _runs(examples: int) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=25,
        derandomize=True,
        deadline=None,
        report_multiple_bugs=False,
    )


SEARCH = _runs(600)


def test_gateways_in_touch_do_not_send_a_contained_request() -> None:
    """Whatever is cut, restarted and lost."""
    run_state_machine_as_test(CrashingFleet, settings=_runs(60))


def test_a_fleet_that_forgets_is_found() -> None:
    """The machine sees the fault that it is for; it ends with the first run that shows it."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ForgetfulFleet, settings=SEARCH)
