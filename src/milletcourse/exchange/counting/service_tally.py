"""Counts request outcomes and the calls that serving them took, per interval; no input/output.

Log lines for single requests are rate-limited, so they can't be summed; these counts can.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

from milletcourse.exchange.messages.records import RouteRecord

TALLY_INTERVAL_SECONDS = 5.0
"""Interval at which a tally is logged, so that the log volume doesn't grow with the traffic."""


class Outcome(Enum):
    """How a routed request ended."""

    IN_TIME = "in-time"
    LATE = "late"
    """It was served, but its first byte or a pause took longer than the route's target."""
    REFUSED = "refused"
    """It did not run, and the client got a Retry-After time."""
    FAILED = "failed"
    """It may have run; its answer was lost or late."""
    SERVER_FAILURE = "server-failure"
    """A failure that the server reported was relayed."""
    TRUNCATED = "cut"
    """Its stream was interrupted."""
    CLIENT_DISCONNECTED = "client-left"


class TallyReport(msgspec.Struct, frozen=True):
    """Counts since the previous report.

    Attributes:
        ends: Route -> outcome -> requests.
        superseded: Route -> requests that were sent to a server whose weights were superseded for
            longer than the grace time.
        sent_again: Route -> attempts after a request's first.
        connections: New connections to servers.
        store_calls: Kind of objects -> calls to the object store.
        store_failures: Kind of objects -> failed calls to the object store.
        limited_sends: Server that reports a limit -> requests sent to it under the limit.
        leaving_sends: Server that is shutting down -> requests sent to it after it reported so.
        resting_sends: Server that requested a back-off -> requests sent to it during the back-off.
        rejections: Server -> requests that it rejected without running them.
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
    rejections: dict[str, int] = {}


class ServiceTally:
    """Counts until the next report."""

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
        self._back_off_sends: Counter[str] = Counter()
        self._rejections: Counter[str] = Counter()

    def on_end(self, route: str, outcome: Outcome) -> None:
        """Counts the outcome of a routed request."""
        self._ends.setdefault(route, Counter())[outcome.value] += 1

    def on_superseded(self, route: str) -> None:
        """Counts a request sent to a server whose weights are superseded."""
        self._superseded[route] += 1

    def on_retry(self, route: str) -> None:
        """Counts an attempt after a request's first."""
        self._sent_again[route] += 1

    def on_limited_send(self, instance: str) -> None:
        """Counts a request sent to a server that reports a limit."""
        self._limited_sends[instance] += 1

    def on_leaving_send(self, instance: str) -> None:
        """Counts a request sent to a server that reported its shutdown."""
        self._leaving_sends[instance] += 1

    def on_back_off_send(self, instance: str) -> None:
        """Counts a request sent to a server during the back-off that it requested."""
        self._back_off_sends[instance] += 1

    def on_rejection(self, instance: str) -> None:
        """Counts a request that a server rejected without running it."""
        self._rejections[instance] += 1

    def on_connection(self) -> None:
        """Counts a new connection to a server."""
        self._connections += 1

    def on_store_call(self, kind: str, succeeded: bool) -> None:
        """Counts a completed call to the object store."""
        self._store_calls[kind] += 1
        if not succeeded:
            self._store_failures[kind] += 1

    def take(self) -> TallyReport | None:
        """Returns the counts since the last call and resets them; None when there are none."""
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
            dict(self._back_off_sends),
            dict(self._rejections),
        )
        self._reset()
        return report


def served_outcome(route: RouteRecord, first_seconds: float, gap_seconds: float) -> Outcome:
    """Whether a complete answer was in time or late.

    Args:
        route: The request's route.
        first_seconds: Time from the request to the first byte of its answer.
        gap_seconds: Longest pause between two chunks of a stream.
    """
    target = route.target_latency_seconds
    if target and first_seconds > target:
        return Outcome.LATE
    if route.streaming and route.gap_seconds and gap_seconds > route.gap_seconds:
        return Outcome.LATE
    return Outcome.IN_TIME
