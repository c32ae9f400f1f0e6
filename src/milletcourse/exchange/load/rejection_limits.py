"""Services whose servers crash when they must reject too many requests; no input/output.

Servers announce it one by one, and only a service as a whole is brittle or sound. A server that has
just started has announced nothing yet, and is treated like the others of its service.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable

RETENTION_SECONDS = 10.0
"""A limit applies this long after all servers that announced it have exited: those that take their
place are likely to announce it as well."""


class _ServiceLimit(msgspec.Struct, frozen=True):
    per_second: float
    expires_at: float


class RejectionLimits:
    """Rejection limits by service, from what its servers announce."""

    def __init__(self, signals: ServerSignals, instances: InstanceTable) -> None:
        """Start without any limit.

        Args:
            signals: What servers announce.
            instances: The servers.
        """
        self._signals = signals
        self._instances = instances
        self._services: dict[str, _ServiceLimit] = {}
        self._changes = 0

    def of_service(self, service: str, now: float) -> float | None:
        """Rejections per second that each server of a service bears, None for no limit."""
        if self._changes != self._signals.rejection_limit_changes:
            self.refresh(now)
        limit = self._services.get(service)
        return limit.per_second if limit is not None else None

    def by_service(self) -> dict[str, float]:
        """Rejections per second that each server bears, by service."""
        return {service: limit.per_second for service, limit in self._services.items()}

    def on_reported(self, limits: Mapping[str, float], now: float) -> None:
        """Apply limits that another gateway knew, until servers announce them here.

        Args:
            limits: Rejections per second that each server bears, by service.
            now: Monotonic time.
        """
        for service, per_second in limits.items():
            reported = _ServiceLimit(per_second, now + RETENTION_SECONDS)
            self._services.setdefault(service, reported)

    def limited_servers(self) -> list[Instance]:
        """The servers of all services that have a limit."""
        if not self._services:
            return []
        return [
            instance
            for service in self._services
            for instance in self._instances.of_service(service).values()
        ]

    def refresh(self, now: float) -> None:
        """Apply what servers announce now."""
        changes = self._signals.rejection_limit_changes
        if not self._services and changes == self._changes:
            return
        self._changes = changes
        announced, ended = self._announced()
        kept = {
            service: limit
            for service, limit in self._services.items()
            if now < limit.expires_at and service not in ended
        }
        limits = {
            service: _ServiceLimit(per_second, now + RETENTION_SECONDS)
            for service, per_second in announced.items()
        }
        self._services = {**kept, **limits}

    def _announced(self) -> tuple[dict[str, float], set[str]]:
        """Lowest limit by service, and services of which a server has withdrawn its limit."""
        announced: dict[str, float] = {}
        ended: set[str] = set()
        for instance in self._instances:
            limit = self._signals.rejection_limit(instance.key)
            if limit is None or not limit.is_known:
                continue
            service = instance.record.service
            if limit.per_second is None:
                ended.add(service)
            else:
                announced[service] = min(announced.get(service, limit.per_second), limit.per_second)
        return announced, ended
