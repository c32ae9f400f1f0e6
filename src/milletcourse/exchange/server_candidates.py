"""Which servers of a service may get a request now, before any is compared; no input/output."""

from __future__ import annotations

from collections.abc import Collection

from milletcourse.exchange.instance_table import Instance, InstanceTable
from milletcourse.exchange.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.records import ServiceRecord
from milletcourse.exchange.server_health import ServerTally
from milletcourse.exchange.version_gate import VersionGate


class ServerCandidates:
    """Servers by what is permitted, then by health."""

    def __init__(
        self,
        table: InstanceTable,
        gate: VersionGate,
        loads: LoadExchange,
        mechanisms: frozenset[Mechanism],
    ) -> None:
        self._table = table
        self._gate = gate
        self._loads = loads
        self._mechanisms = mechanisms

    def of_service(
        self, service: ServiceRecord, model: str, tried: Collection[str], now: float
    ) -> list[Instance]:
        """Servers that are permitted; the sick and the busy ones only while there are no others.

        Args:
            service: Service that the request goes to.
            model: Model that must run it; empty for none.
            tried: Incarnations that already had it.
            now: Monotonic time.
        """
        permitted = [
            instance
            for instance in self._table.of_service(service.name).values()
            if not instance.record.draining
            and instance.name not in tried
            and self._is_permitted(service, instance, model, now)
        ]
        healthy = [item for item in permitted if self._is_healthy(item, now)]
        free = [item for item in healthy if not item.health.is_busy(now)]
        return free or healthy or permitted

    def is_suspected(self, instance: Instance, now: float) -> bool:
        """Whether several gateways saw a server fail lately."""
        if Mechanism.SHARED_SUSPICION not in self._mechanisms:
            return False
        others = self._loads.others_load(instance.key, now)
        return instance.health.is_suspected(ServerTally(others.bad, others.good), now)

    def _is_healthy(self, instance: Instance, now: float) -> bool:
        """Whether neither this gateway nor all of them together found it sick."""
        return not instance.health.is_ejected(now) and not self.is_suspected(instance, now)

    def _is_permitted(
        self, service: ServiceRecord, instance: Instance, model: str, now: float
    ) -> bool:
        if not service.models or not model:
            return True
        version = instance.version(model)
        return version is not None and self._gate.permits(model, version, now)
