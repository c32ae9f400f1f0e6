"""Notices when a store of kept prompt state is down, so that no server asks it in vain.

All gateways share the work: each asks the seldomer the more of them there are, and tells the others
when a store doesn't answer, or answers again.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from milletcourse.gateway.call_client import Call, CallClient
from milletcourse.gateway.context import GatewayContext

WAIT_SECONDS = 0.25
"""A call is held this long at most; shorter ones are priced as probes."""
TIMEOUT_SECONDS = 0.8
PAUSE_SECONDS = 0.8
"""Between calls of a gateway that is alone: a store that goes is noticed within two seconds."""
CALLS_AT_ONCE = 4
"""Calls that all gateways together have at a store: it holds a dozen and turns others away."""


class CacheStoreDialect(Protocol):
    """How a store of kept prompt state is asked for a sign of life."""

    def sign_of_life_call(self, wait_seconds: float) -> Call:
        """A call that takes no slot, is held for a while, and has a short answer."""


class CacheStoreProbe:
    """Keeps `GatewayContext.unreachable_stores` current."""

    def __init__(
        self, context: GatewayContext, calls: CallClient, dialect: CacheStoreDialect
    ) -> None:
        self._context = context
        self._calls = calls
        self._dialect = dialect

    async def run(self) -> None:
        """Follow until cancelled."""
        # Gateways that start together don't ask together.
        await asyncio.sleep(self._context.random.random() * self._pause_seconds())
        while True:
            await asyncio.sleep(self._pause_seconds())
            table = self._context.table
            addresses = [store.store_address for store in table.cache_stores] if table else []
            self._context.unreachable_stores.intersection_update(addresses)
            await asyncio.gather(*map(self._look, addresses))

    def _pause_seconds(self) -> float:
        return max(PAUSE_SECONDS, self._context.members * WAIT_SECONDS / CALLS_AT_ONCE)

    async def _look(self, address: str) -> None:
        call = self._dialect.sign_of_life_call(WAIT_SECONDS)
        reply = await self._calls.call(address, call, TIMEOUT_SECONDS)
        self._context.note_cache_store(address, reply is not None)
