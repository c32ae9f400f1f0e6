"""Log lines and figures of what servers say of themselves, and of requests that it keeps away."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.load.signal_record import LimitChange, ServerLimitState, Signal
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink

MAX_REMEMBERED_UNREADABLE_SIGNALS = 100
"""Unreadable fields of servers that are remembered, so that each is told once."""


class SignalRecorder:
    """Writes a line and counts, when a server says something new or a request meets it."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics
        self._logged_unreadable: dict[tuple[str, str], str] = {}

    def limit(
        self, instance: str, change: LimitChange, per_second: float | None, source: str
    ) -> None:
        """A server names a limit of requests, another one than before, or none any more.

        Args:
            instance: The server.
            change: What is new.
            per_second: Requests a second that it takes, None for no limit.
            told_by: `answer` when it said so here, `peer` when another gateway told it.
        """
        self._log.emit(
            f"server-limit-{change.value}",
            instance=instance,
            per_second=per_second,
            told_by=source,
        )

    def at_limit(self, state: ServerLimitState, request: ExchangeRequest) -> None:
        """A request wasn't sent to a server, which has got what it takes."""
        self._log.emit(
            "server-at-limit", **msgspec.structs.asdict(state), request_id=request.request_id
        )

    def server_excluded(self, service: str, signal: Signal) -> None:
        """A request of a service was kept from a server that leaves or rests."""
        self._metrics.on_server_excluded(service, signal.value)

    def leaving(self, instance: str, source: str) -> None:
        """A server says that it leaves.

        Args:
            instance: The server.
            told_by: `answer` when it said so here, `peer` when another gateway told it, `entry`
                when it stands in the discovery.
        """
        self._log.emit("server-leaving", instance=instance, told_by=source)

    def backing_off(self, instance: str, seconds: float) -> None:
        """A server that turned a request away wants nothing from here for so long."""
        self._log.emit("server-resting", instance=instance, rest=round(seconds, 3))

    def unreadable(self, instance: str, field: str, shown: str) -> None:
        """A server says something of itself that can't be read; once until it says another thing.

        Args:
            instance: The server.
            field: What it speaks of: its limit, its leaving, its rest.
            shown: What it says.
        """
        if self._logged_unreadable.get((instance, field)) == shown:
            return
        if len(self._logged_unreadable) >= MAX_REMEMBERED_UNREADABLE_SIGNALS:
            self._logged_unreadable.clear()
        self._logged_unreadable[instance, field] = shown
        self._log.emit(f"server-{field}-unreadable", instance=instance, shown=shown)
