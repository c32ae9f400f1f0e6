"""How requests ended and what serving them took, summed for a while; no input/output.

Lines for single requests are bounded in rate, so they can't be added up; these sums can.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

from milletcourse.exchange.messages.records import RouteRecord

TALLY_INTERVAL_SECONDS = 5.0
"""A tally is logged this often, so that its volume doesn't grow with the traffic."""


class Outcome(Enum):
    """How a routed request ended."""

    IN_TIME = "in-time"
    LATE = "late"
    """Served, but its first byte or a pause took longer than the route's target."""
    REFUSED = "refused"
    """It did not run, and the client was told when to come back."""
    FAILED = "failed"
    """It may have run; its answer was lost or late."""
    SERVER_FAILURE = "server-failure"
    """The server's own failure was passed on."""
    TRUNCATED = "cut"
    """A stream broke off."""
    CLIENT_DISCONNECTED = "client-left"


class TallyReport(msgspec.Struct, frozen=True):
    """What was counted since the report before.

    Attributes:
        ends: Route -> outcome -> requests.
        superseded: Route -> requests that were sent to a server whose weights were superseded for
            longer than the grace time.
        sent_again: Route -> attempts after a request's first.
        connections: New connections to servers.
        store_calls: Kind of objects -> calls to the object store.
        store_failures: Kind of objects -> calls that gave nothing.
        limited_sends: Server that names a limit -> requests sent to it meanwhile.
        leaving_sends: Server that said that it leaves -> requests sent to it after that.
        resting_sends: Server that asked for rest -> requests sent to it in its rest.
    """

    ends: dict[str, dict[str, int]]
    superseded: dict[str, int]
    sent_again: dict[str, int]
    connections: int
    store_calls: dict[str, int]
    store_failures: dict[str, int]
    limited_sends: dict[str, int] = {}
    leaving_sends: dict[str, int] = {}
    resting_sends: dict[str, int] = {}


class ServiceTally:
    """Counts until a report is taken."""

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._ends: dict[str, Counter[str]] = {}
        self._superseded: Counter[str] = Counter()
        self._sent_again: Counter[str] = Counter()
        self._connections = 0
        self._store_calls: Counter[str] = Counter()
        self._store_failures: Counter[str] = Counter()
        self._limited_sends: Counter[str] = Counter()
        self._leaving_sends: Counter[str] = Counter()
        self._resting_sends: Counter[str] = Counter()

    def on_end(self, route: str, outcome: Outcome) -> None:
        """A routed request ended."""
        self._ends.setdefault(route, Counter())[outcome.value] += 1

    def on_superseded(self, route: str) -> None:
        """A request was sent to a server whose weights are superseded."""
        self._superseded[route] += 1

    def on_retry(self, route: str) -> None:
        """A request was sent to another server."""
        self._sent_again[route] += 1

    def on_limited_send(self, instance: str) -> None:
        """A request was sent to a server that names a limit."""
        self._limited_sends[instance] += 1

    def on_leaving_send(self, instance: str) -> None:
        """A request was sent to a server that said that it leaves."""
        self._leaving_sends[instance] += 1

    def on_resting_send(self, instance: str) -> None:
        """A request was sent to a server in the rest that it asked for."""
        self._resting_sends[instance] += 1

    def on_connection(self) -> None:
        """A connection to a server was opened."""
        self._connections += 1

    def on_store_call(self, kind: str, succeeded: bool) -> None:
        """A call to the object store ended."""
        self._store_calls[kind] += 1
        if not succeeded:
            self._store_failures[kind] += 1

    def take(self) -> TallyReport | None:
        """What was counted since the last time, None when it is nothing."""
        counted = (self._ends, self._superseded, self._connections, self._store_calls)
        if not any(counted):
            return None
        report = TallyReport(
            {route: dict(ends) for route, ends in self._ends.items()},
            dict(self._superseded),
            dict(self._sent_again),
            self._connections,
            dict(self._store_calls),
            dict(self._store_failures),
            dict(self._limited_sends),
            dict(self._leaving_sends),
            dict(self._resting_sends),
        )
        self._reset()
        return report


def served_outcome(route: RouteRecord, first_seconds: float, gap_seconds: float) -> Outcome:
    """Whether a whole answer came in time.

    Args:
        route: The request's route.
        first_seconds: Time from the request to the first byte of its answer.
        gap_seconds: Longest pause between two pieces of a stream.
    """
    target = route.target_latency_seconds
    if target and first_seconds > target:
        return Outcome.LATE
    if route.streaming and route.gap_seconds and gap_seconds > route.gap_seconds:
        return Outcome.LATE
    return Outcome.IN_TIME
