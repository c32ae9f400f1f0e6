"""Gateways under partitions, restarts and message loss, and a prompt part that crashes servers.

Invariants: a gateway that has been connected for `CONTACT_SECONDS` after the fifth crash sends at
most a few requests with the part; parts that servers answer are never held by crashes that the bad
part caused; a part that came only with the bad one is sent again once a server has answered it.
"""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test

from disturbed_fleet import (
    CRASH_SECONDS,
    SIZE,
    DisturbedFleet,
    gateways,
    machine_settings,
)
from milletcourse.exchange.evidence.request_identity import RequestFeatures

FIRST, BAD, MIDDLE, COMPANION = 7, 8, 9, 10
CONTACT_SECONDS = 4.0
"""After this time without a partition or restart, a gateway has the state of the others."""
FREE_CRASHES = 5
MAX_LATE_SENDS = 3
ANSWER_SECONDS = 0.5


class PartFleet(DisturbedFleet):
    """Requests that share a part crash servers."""

    def __init__(self) -> None:
        self.contents = 100
        self.crashes = 0
        self.fifth_crash_at = float("inf")
        self.late_sends = 0
        super().__init__()

    # -- what gateways do with a request; known-bad variants differ here ------------------------

    def features_of(self, content: int, parts: tuple[int, ...]) -> RequestFeatures:
        """Features of a request, as evidence knows it."""
        return RequestFeatures(content, parts)

    def is_held(self, name: str, parts: tuple[int, ...]) -> bool:
        """Whether a gateway holds a new request with some parts."""
        evidence = self.fleet.exchanges[name].evidence
        return evidence.containment(self._new(parts), self.fleet.now) is not None

    def on_answer(self, name: str, features: RequestFeatures) -> None:
        """A server has answered a request."""
        exchange = self.fleet.exchanges[name]
        if exchange.evidence.on_answer(features, self.fleet.now):
            exchange.on_update()

    # -- time -----------------------------------------------------------------------------------

    def _new(self, parts: tuple[int, ...]) -> RequestFeatures:
        self.contents += 1
        return self.features_of(self.contents, parts)

    def answer_popular(self, names: list[str]) -> None:
        """See `DisturbedFleet.answer_popular`."""
        for name in names:
            self.on_answer(name, self._new((FIRST, MIDDLE)))

    def _is_connected(self, name: str) -> bool:
        since = self.connected_at[name]
        return name not in self.fleet.partitioned and self.fleet.now >= since + CONTACT_SECONDS

    # -- rules ----------------------------------------------------------------------------------

    @rule(
        numbers=st.lists(gateways, min_size=1, max_size=4),
        has_companion=st.booleans(),
        is_first=st.booleans(),
        pause=st.sampled_from([0.1, 1.0, 2.0]),
    )
    def bad_requests_come(
        self, numbers: list[int], has_companion: bool, is_first: bool, pause: float
    ) -> None:
        """One after the other, through any gateways."""
        for number in numbers:
            self._send_bad(number, has_companion, is_first)
            self.pass_time(pause)

    def _send_bad(self, number: int, has_companion: bool, is_first: bool) -> None:
        """A gateway sends a bad request unless it holds it; the request crashes its server."""
        name = self.fleet.names[number]
        middle = COMPANION if has_companion else MIDDLE
        parts = (BAD, FIRST, middle) if is_first else (FIRST, middle, BAD)
        if self.is_held(name, parts):
            return
        self._count_late_send(name)
        features, sent_at = self._new(parts), self.fleet.now
        self.fleet.exchanges[name].evidence.on_sent(features, sent_at)
        self.pass_time(CRASH_SECONDS)
        bystander = self.fleet.names[(number + 4) % SIZE]
        running = [(name, features, sent_at), (bystander, self._new((FIRST, MIDDLE)), sent_at)]
        self._crash_server(running)
        # The evidence of a partitioned gateway may be lost with its process.
        self.crashes += name not in self.fleet.partitioned
        if self.crashes == FREE_CRASHES:
            self.fifth_crash_at = min(self.fifth_crash_at, self.fleet.now)

    def _count_late_send(self, name: str) -> None:
        is_late = self.fleet.now > self.fifth_crash_at + CONTACT_SECONDS
        self.late_sends += is_late and self._is_connected(name)
        assert self.late_sends <= MAX_LATE_SENDS, f"{name} sent one more"

    def _crash_server(self, running: list[tuple[str, RequestFeatures, float]]) -> None:
        self.servers += 1
        for name, features, sent_at in running:
            exchange = self.fleet.exchanges[name]
            exchange.evidence.on_crash(features, self.servers, sent_at, self.fleet.now)
            exchange.on_update()

    @rule(number=gateways)
    def companion_comes_alone(self, number: int) -> None:
        """It is answered if it is sent; all connected gateways send it from then on."""
        name = self.fleet.names[number]
        parts = (FIRST, COMPANION)
        if self.is_held(name, parts):
            return
        features = self._new(parts)
        self.fleet.exchanges[name].evidence.on_sent(features, self.fleet.now)
        self.pass_time(ANSWER_SECONDS)
        self.on_answer(name, features)
        if name in self.fleet.partitioned:
            return
        self.pass_time(2.0)
        held = [other for other in self.fleet.names if self.is_held(other, parts)]
        assert not [other for other in held if self._is_connected(other)]

    @rule(witnesses=st.lists(gateways, min_size=1, max_size=4))
    def rack_crashes(self, witnesses: list[int]) -> None:
        """Servers crash together, each with a popular request that it had for 0.5 s."""
        for number in witnesses:
            features = self._new((FIRST, MIDDLE))
            self._crash_server([(self.fleet.names[number], features, self.fleet.now - 0.5)])
        self.pass_time(CRASH_SECONDS)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5, 5.0]))
    def time_passes(self, seconds: float) -> None:
        """Messages are sent, and a tenth is lost."""
        self.pass_time(seconds)

    @invariant()
    def popular_work_is_sent(self) -> None:
        """Popular parts caused none of the crashes."""
        assert not any(self.is_held(name, (FIRST, MIDDLE)) for name in self.fleet.names)


class KnowsContentsOnly(PartFleet):
    """Known-bad: parts are no evidence."""

    def features_of(self, content: int, parts: tuple[int, ...]) -> RequestFeatures:
        """See `PartFleet.features_of`."""
        return RequestFeatures(content)


class BlamesFirstParts(PartFleet):
    """Known-bad: only the first part is evidence."""

    def features_of(self, content: int, parts: tuple[int, ...]) -> RequestFeatures:
        """See `PartFleet.features_of`."""
        return RequestFeatures(content, parts[:1])


class IgnoresAnswers(PartFleet):
    """Known-bad: answers clear nothing."""

    def on_answer(self, name: str, features: RequestFeatures) -> None:
        """See `PartFleet.on_answer`."""


SEARCH = settings(machine_settings(60, 30), phases=[Phase.generate])
"""Without shrinking, which takes minutes here."""


def test_connected_gateways_do_not_send_a_contained_part_and_send_all_others() -> None:
    """For any sequence of partitions, restarts and lost messages."""
    run_state_machine_as_test(PartFleet, settings=machine_settings(60, 30))


@pytest.mark.parametrize("fleet", [KnowsContentsOnly, BlamesFirstParts, IgnoresAnswers])
def test_known_bad_fleets_are_detected(fleet: type[PartFleet]) -> None:
    """The machine stops at the first failing run."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(fleet, settings=SEARCH)
