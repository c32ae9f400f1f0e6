"""Which stores of kept prompt state answer, as this gateway and others found."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.placement.cache_store_plan import CacheStorePlan
from milletcourse.gateway.telling.event_log import EventLog


class CacheStoreAvailability:
    """Keeps the stores that don't answer out of use.

    Attributes:
        lost: Addresses of the stores that don't answer.
        on_found: Called with the address of a store, and whether this gateway found that it
            answers, when others should know.
    """

    def __init__(self, stores: CacheStorePlan, log: EventLog) -> None:
        """All stores are taken to answer.

        Args:
            stores: What is kept of the stores; a lost one may have lost what it had.
            log: Where changes are told to operators.
        """
        self.unreachable: set[str] = set()
        self.on_observed: Callable[[str, bool], None] | None = None
        self._stores = stores
        self._log = log

    def record_probe(self, address: str, reachable: bool) -> None:
        """This gateway asked a store for a sign of life.

        That it gave none is told each time, since gateways that started meanwhile don't know it.
        """
        is_new = self.set_reachable(address, reachable)
        if self.on_observed is not None and (is_new or not reachable):
            self.on_observed(address, reachable)

    def set_reachable(self, address: str, reachable: bool) -> bool:
        """Take a store out of use or back into it; True when that is news."""
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
