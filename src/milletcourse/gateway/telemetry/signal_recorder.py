"""Log lines and metrics of the signals that servers report about themselves."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.load.signal_record import (
    LimitChange,
    ServerLimitState,
    ServerSlotState,
    Signal,
)
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink

MAX_REMEMBERED_UNREADABLE_SIGNALS = 100
"""Unreadable signals that are remembered, so that each is logged once."""


class SignalRecorder:
    """Logs and counts new signals of servers, and the requests that they affect."""

    def __init__(self, log: EventLog, metrics: MetricsSink) -> None:
        self._log = log
        self._metrics = metrics
        self._logged_unreadable: dict[tuple[str, str], str] = {}

    def limit(
        self, instance: str, change: LimitChange, per_second: float | None, source: str
    ) -> None:
        """A server reports a new request limit, a changed one, or the removal of its limit.

        Args:
            instance: The server.
            change: Whether the limit is new, changed or removed.
            per_second: Requests per second that it accepts, None for no limit.
            source: `answer` when it was reported to this gateway, `peer` when another gateway
                forwarded it.
        """
        self._emit_limit("server-limit", instance, change, per_second, source)

    def rejection_limit(
        self, instance: str, change: LimitChange, per_second: float | None, source: str
    ) -> None:
        """A server reports beyond how many rejections per second it crashes, or that it doesn't.

        Args:
            instance: The server.
            change: Whether the limit is new, changed or removed.
            per_second: Rejections per second that it bears, None for no limit.
            source: As for a request limit.
        """
        self._emit_limit("server-rejection-limit", instance, change, per_second, source)

    def _emit_limit(
        self,
        event: str,
        instance: str,
        change: LimitChange,
        per_second: float | None,
        source: str,
    ) -> None:
        self._log.emit(
            f"{event}-{change.value}", instance=instance, per_second=per_second, told_by=source
        )

    def at_limit(self, state: ServerLimitState, request: ExchangeRequest) -> None:
        """A request was not sent to a server whose request limit is reached."""
        self._log.emit(
            "server-at-limit", **msgspec.structs.asdict(state), request_id=request.request_id
        )

    def full(self, state: ServerSlotState, request: ExchangeRequest) -> None:
        """A request was not sent to a server whose slots are all leased."""
        self._log.emit(
            "server-full", **msgspec.structs.asdict(state), request_id=request.request_id
        )

    def server_excluded(self, service: str, signal: Signal) -> None:
        """A server was excluded for a request, since it is shutting down or backing off."""
        self._metrics.on_server_excluded(service, signal.value)

    def leaving(self, instance: str, source: str) -> None:
        """A server reports that it is shutting down.

        Args:
            instance: The server.
            source: `answer` when it was reported to this gateway, `peer` when another gateway
                forwarded it, `entry` when it is a part of the server's discovery entry.
        """
        self._log.emit("server-leaving", instance=instance, told_by=source)

    def backing_off(self, instance: str, seconds: float) -> None:
        """A server that rejected a request asks this gateway to back off for `seconds`."""
        self._log.emit("server-resting", instance=instance, rest=round(seconds, 3))

    def unreadable(self, instance: str, field: str, shown: str) -> None:
        """A signal of a server is unreadable; logged once until its text changes.

        Args:
            instance: The server.
            field: The signal: `limit`, `rejection-limit`, `leaving` or `rest`.
            shown: Text of the signal.
        """
        if self._logged_unreadable.get((instance, field)) == shown:
            return
        if len(self._logged_unreadable) >= MAX_REMEMBERED_UNREADABLE_SIGNALS:
            self._logged_unreadable.clear()
        self._logged_unreadable[instance, field] = shown
        self._log.emit(f"server-{field}-unreadable", instance=instance, shown=shown)
