"""Which prompt-cache stores answer, as found by this gateway and the others."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.placement.cache_store_plan import CacheStorePlan
from milletcourse.gateway.telemetry.event_log import EventLog


class CacheStoreAvailability:
    """Takes stores that don't answer out of use.

    Attributes:
        unreachable: Addresses of the stores that don't answer.
        on_observed: Called with the address of a store, and whether it answered this gateway, when
            the other gateways must be notified.
    """

    def __init__(self, stores: CacheStorePlan, log: EventLog) -> None:
        """Create a state in which all stores are assumed to answer.

        Args:
            stores: Known contents of the stores; those of an unreachable store are dropped,
                since it may have lost them.
            log: Gets a line for each change.
        """
        self.unreachable: set[str] = set()
        self.on_observed: Callable[[str, bool], None] | None = None
        self._stores = stores
        self._log = log

    def record_probe(self, address: str, reachable: bool) -> None:
        """Record the result of a probe by this gateway.

        A failed probe is announced each time, since gateways may have started in between.
        """
        is_new = self.set_reachable(address, reachable)
        if self.on_observed is not None and (is_new or not reachable):
            self.on_observed(address, reachable)

    def set_reachable(self, address: str, reachable: bool) -> bool:
        """Take a store out of use or back into use; True when that is a change."""
        was_reachable = address not in self.unreachable
        if was_reachable == reachable:
            return False
        if reachable:
            self.unreachable.discard(address)
        else:
            self.unreachable.add(address)
            self._stores.on_lost(address)
        self._log.emit("cache-store-reached" if reachable else "cache-store-lost", address=address)
        return True
