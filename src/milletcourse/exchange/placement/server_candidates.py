"""Which servers of a service may get a request now; no input/output.

They are filtered here before the selector compares their costs.
"""

from __future__ import annotations

from collections.abc import Collection

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.exchange.servers.server_health import ServerTally


class ServerCandidates:
    """Filters servers by permission, then by health."""

    def __init__(
        self,
        table: InstanceTable,
        gate: VersionGate,
        loads: LoadExchange,
        mechanisms: frozenset[Mechanism],
        retry_delays: PermitRetryDelays,
    ) -> None:
        self._retry_delays = retry_delays
        self._table = table
        self._gate = gate
        self._loads = loads
        self._shares_suspicion = Mechanism.SHARED_SUSPICION in mechanisms

    def of_service(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that may get a request; unhealthy and busy ones only while there are no others.

        A server that reported that it accepts no requests is never included, even when there is no
        other one: it is draining, has requested a back-off, or has used up its quota.

        Args:
            service: Service that the request goes to.
            model: Model that must run it; empty for none.
            tried: Incarnations that already got the request.
            now: Monotonic time.
        """
        accepting = self._accepting(service, model, tried, now)
        suspected = self._loads.failing(now) if self._shares_suspicion else ()
        healthy = [
            item
            for item in accepting
            if not item.health.is_ejected(now)
            and not (item.key in suspected and self.is_suspected(item, now))
        ]
        free = [item for item in healthy if not item.health.is_busy(now)]
        return free or healthy or accepting

    def is_suspected(self, instance: Instance, now: float) -> bool:
        """Whether several gateways observed recent failures of a server."""
        if not self._shares_suspicion:
            return False
        others = self._loads.others_load(instance.key, now)
        return instance.health.is_suspected(ServerTally(others.failures, others.successes), now)

    def allowed(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that may run it, whatever they report about themselves; arguments as above."""
        members = self._table.of_service(service.name).values()
        instances = [instance for instance in members if instance.name not in tried]
        if not service.models or not model:
            return instances
        versions = {instance.name: instance.version(model) for instance in instances}
        # Servers have few distinct versions, and permission depends on the version alone.
        permitted = {
            version
            for version in set(versions.values())
            if version is not None and self._gate.permits(model, version, now)
        }
        return [instance for instance in instances if versions[instance.name] in permitted]

    def _accepting(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that may run it and accept requests according to their own reports."""
        allowed = self.allowed(service, model, tried, now)
        delayed = self._retry_delays.delayed(now)
        signals = self._loads.signals.active_signals((instance.key for instance in allowed), now)
        return [
            instance
            for instance in allowed
            if instance.key not in delayed and instance.key not in signals
        ]
