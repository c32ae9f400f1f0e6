"""Gateways under partitions, restarts and message loss, and a request that crashes servers.

Invariants: a gateway that has been connected for `CONTACT_SECONDS` after the third crash doesn't
send the request; an unrelated request that was ever answered is never contained by crashes that no
request caused.
"""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from disturbed_fleet import CRASH_SECONDS, DisturbedFleet, gateways, machine_settings
from load_fleet import Fleet
from milletcourse.exchange.evidence.request_identity import RequestFeatures

CRASHING = 7
POPULAR = 8
CONTACT_SECONDS = 3.0
"""After this time without a partition or restart, a gateway has the state of the others."""


class SwitchingFleet(Fleet):
    """A fleet in which a gateway whose reader is partitioned follows another zone's reader."""

    def reader_of(self, name: str) -> str:
        """See `Fleet.reader_of`."""
        own = super().reader_of(name)
        if own not in self.partitioned or name in self.partitioned:
            return own
        return next((reader for reader in self.readers if reader not in self.partitioned), own)


class CrashingFleet(DisturbedFleet):
    """One request crashes servers, and another one is popular."""

    fleet_type = SwitchingFleet

    contains_requests = True

    def __init__(self) -> None:
        super().__init__()
        self.crashes = 0
        self.third_crash_at = float("inf")

    def answer_popular(self, names: list[str]) -> None:
        """See `DisturbedFleet.answer_popular`."""
        for name in names:
            exchange = self.fleet.exchanges[name]
            if exchange.evidence.on_answer(RequestFeatures(POPULAR), self.fleet.now):
                exchange.on_update()

    def _contains(self, name: str, identity: int) -> bool:
        evidence = self.fleet.exchanges[name].evidence
        return evidence.containment(RequestFeatures(identity), self.fleet.now) is not None

    def _connected_since(self, name: str) -> float:
        return float("inf") if name in self.fleet.partitioned else self.connected_at[name]

    @rule(number=gateways)
    def caller_repeats(self, number: int) -> None:
        """Through any gateway, which sends the request unless it contains it."""
        fleet = self.fleet
        name = fleet.names[number]
        if self.contains_requests and self._contains(name, CRASHING):
            return
        known_by = max(self.third_crash_at, self._connected_since(name)) + CONTACT_SECONDS
        assert fleet.now < known_by, f"{name} sent it {fleet.now - self.third_crash_at:.2f} s after"
        sent_at = fleet.now
        self.pass_time(CRASH_SECONDS)
        self._crash_server([(name, CRASHING, sent_at)])
        # The evidence of a partitioned gateway may be lost with its process.
        self.crashes += name not in fleet.partitioned
        if self.crashes == 3 and name not in fleet.partitioned:
            self.third_crash_at = fleet.now

    def _crash_server(self, running: list[tuple[str, int, float]]) -> None:
        self.servers += 1
        for name, identity, sent_at in running:
            exchange = self.fleet.exchanges[name]
            exchange.evidence.on_crash(
                RequestFeatures(identity), self.servers, sent_at, self.fleet.now
            )
            exchange.on_update()

    @rule(witnesses=st.lists(gateways, min_size=1, max_size=4))
    def rack_crashes(self, witnesses: list[int]) -> None:
        """Servers crash together, each with a popular request that it had for 0.5 s."""
        for number in witnesses:
            self._crash_server([(self.fleet.names[number], POPULAR, self.fleet.now - 0.5)])

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5]))
    def time_passes(self, seconds: float) -> None:
        """Messages are sent, and a tenth is lost; popular requests are answered continuously."""
        self.pass_time(seconds)

    @invariant()
    def popular_work_is_sent(self) -> None:
        """Popular requests caused none of the crashes."""
        assert not any(self._contains(name, POPULAR) for name in self.fleet.names)


class ForgetfulFleet(CrashingFleet):
    """The known-bad variant: gateways send the request regardless of evidence."""

    contains_requests = False


SEARCH = machine_settings(600, 25)


def test_connected_gateways_do_not_send_a_contained_request() -> None:
    """For any sequence of partitions, restarts and lost messages."""
    run_state_machine_as_test(CrashingFleet, settings=machine_settings(60, 25))


def test_a_fleet_without_containment_is_detected() -> None:
    """The machine detects the fault that it tests for, and stops at the first failing run."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ForgetfulFleet, settings=SEARCH)
