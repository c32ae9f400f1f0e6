"""Which servers of a service may get a request now, before any is compared; no input/output."""

from __future__ import annotations

from collections.abc import Collection

from milletcourse.exchange.limits.ask_pauses import AskPauses
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.exchange.servers.server_health import ServerTally


class ServerCandidates:
    """Servers by what is permitted, then by health."""

    def __init__(
        self,
        table: InstanceTable,
        gate: VersionGate,
        loads: LoadExchange,
        mechanisms: frozenset[Mechanism],
        pauses: AskPauses,
    ) -> None:
        self._pauses = pauses
        self._table = table
        self._gate = gate
        self._loads = loads
        self._shares_suspicion = Mechanism.SHARED_SUSPICION in mechanisms

    def of_service(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that take requests; the sick and the busy ones only while there are no others.

        One that wants none by its own word is never among them, whoever else is there: it leaves,
        rests, or limits its requests and has what it takes.

        Args:
            service: Service that the request goes to.
            model: Model that must run it; empty for none.
            tried: Incarnations that already had it.
            now: Monotonic time.
        """
        willing = self._willing(service, model, tried, now)
        suspects = self._loads.failing(now) if self._shares_suspicion else ()
        healthy = [
            item
            for item in willing
            if not item.health.is_ejected(now)
            and not (item.key in suspects and self.is_suspected(item, now))
        ]
        free = [item for item in healthy if not item.health.is_busy(now)]
        return free or healthy or willing

    def is_suspected(self, instance: Instance, now: float) -> bool:
        """Whether several gateways saw a server fail lately."""
        if not self._shares_suspicion:
            return False
        others = self._loads.others_load(instance.key, now)
        return instance.health.is_suspected(ServerTally(others.failures, others.successes), now)

    def allowed(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that may run it, whatever they say of themselves; arguments as above."""
        members = self._table.of_service(service.name).values()
        instances = [instance for instance in members if instance.name not in tried]
        if not service.models or not model:
            return instances
        versions = {instance.name: instance.version(model) for instance in instances}
        # Servers have few versions, and whether one is permitted doesn't depend on its server.
        permitted = {
            version
            for version in set(versions.values())
            if version is not None and self._gate.permits(model, version, now)
        }
        return [instance for instance in instances if versions[instance.name] in permitted]

    def _willing(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Those that may run it and want requests, by what they say of themselves."""
        allowed = self.allowed(service, model, tried, now)
        paused = self._pauses.paused(now)
        signals = self._loads.signals.active_signals((instance.key for instance in allowed), now)
        return [
            instance
            for instance in allowed
            if instance.key not in paused and instance.key not in signals
        ]
