"""Notices when the store of kept prompt state is down, so that no server asks it in vain."""

from __future__ import annotations

import asyncio
from typing import Protocol

from milletcourse.gateway.call_client import Call, CallClient, Reply
from milletcourse.gateway.context import GatewayContext

WAIT_SECONDS = 0.25
"""A call is held this long at most; shorter ones are priced as probes."""
TIMEOUT_SECONDS = 0.8
PAUSE_SECONDS = 0.8
"""Between calls: a store that goes is noticed within two seconds."""


class CacheStoreDialect(Protocol):
    """How a store of kept prompt state is asked for a sign of life."""

    def sign_of_life_call(self, position: int, wait_seconds: float) -> Call:
        """A call that takes no slot and is held for a while; tells what came since a position."""

    def read_position(self, reply: Reply) -> int:
        """The position to go on from; 0 when the reply tells none."""


class CacheStoreProbe:
    """Keeps `GatewayContext.unreachable_store` current."""

    def __init__(
        self, context: GatewayContext, calls: CallClient, dialect: CacheStoreDialect
    ) -> None:
        self._context = context
        self._calls = calls
        self._dialect = dialect
        self._position = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await asyncio.sleep(PAUSE_SECONDS)
            table = self._context.table
            store = table.cache_store(self._context.settings.zone) if table is not None else None
            if store is not None:
                await self._look(store.store_address)

    async def _look(self, address: str) -> None:
        call = self._dialect.sign_of_life_call(self._position, WAIT_SECONDS)
        reply = await self._calls.call(address, call, TIMEOUT_SECONDS)
        if reply is not None:
            self._position = self._dialect.read_position(reply)
        was_reachable = self._context.unreachable_store != address
        self._context.unreachable_store = "" if reply is not None else address
        if reply is None:
            self._context.cache_stores.on_lost(address)
        if was_reachable != (reply is not None):
            event = "cache-store-reached" if reply is not None else "cache-store-lost"
            self._context.log.emit(event, address=address)
