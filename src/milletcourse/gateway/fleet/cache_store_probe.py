"""Notices when a store of kept prompt state is down, so that no server asks it in vain.

All gateways share the work: the more of them there are, the less often each asks, and each tells
the others when a store doesn't answer, or answers again.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from milletcourse.gateway.servers.call_client import Call, Reply
from milletcourse.gateway.state.context import GatewayContext

WAIT_SECONDS = 0.25
"""A call is held this long at most; shorter ones are priced as probes."""
TIMEOUT_SECONDS = 0.8
PAUSE_SECONDS = 0.8
"""Between calls of a gateway that is alone, so that it notices within two seconds."""
CALLS_AT_ONCE = 1.0
"""Calls that all gateways together have at a store, on average. Stores hold about a dozen and turn
the rest away, and each answer lists what the store has done since the gateway's last call."""


class SignOfLife(msgspec.Struct, frozen=True):
    """What a store of kept prompt state says when it is asked for a sign of life.

    Attributes:
        position: Where its next event will stand.
        started_ms: Its start by its own clock, in Unix milliseconds; 0 when it isn't told.
    """

    position: int
    started_ms: int = 0


class Caller(Protocol):
    """Makes a call, as `CallClient` does."""

    async def call(self, address: str, call: Call, timeout_seconds: float) -> Reply | None:
        """The reply, None when there was none in time."""


class CacheStoreDialect(Protocol):
    """How a store of kept prompt state is asked for a sign of life."""

    def sign_of_life_call(self, position: int, wait_seconds: float) -> Call:
        """A call that takes no slot and is held for a while; tells what came since a position."""

    def read_sign(self, reply: Reply) -> SignOfLife | None:
        """What the store says; None when the reply tells nothing."""


class CacheStoreProbe:
    """Keeps `CacheStoreAvailability.unreachable` current."""

    def __init__(self, context: GatewayContext, calls: Caller, dialect: CacheStoreDialect) -> None:
        self._context = context
        self._calls = calls
        self._dialect = dialect
        self._positions: dict[str, int] = {}
        self._starts: dict[str, int] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        # Gateways that start together don't ask together.
        await asyncio.sleep(self._context.random.random() * self.pause_seconds())
        while True:
            await asyncio.sleep(self.pause_seconds())
            table = self._context.route_table
            addresses = [store.store_address for store in table.cache_stores] if table else []
            self._context.cache_store_availability.unreachable.intersection_update(addresses)
            await asyncio.gather(*map(self.look, addresses))

    def pause_seconds(self) -> float:
        """Time between two looks of this gateway."""
        return max(PAUSE_SECONDS, self._context.members * WAIT_SECONDS / CALLS_AT_ONCE)

    async def look(self, address: str) -> None:
        """Ask one store, and note whether it answers."""
        position = self._positions.get(address, 0)
        call = self._dialect.sign_of_life_call(position, WAIT_SECONDS)
        reply = await self._calls.call(address, call, TIMEOUT_SECONDS)
        if reply is not None:
            self._note(address, self._dialect.read_sign(reply))
        self._context.cache_store_availability.record_probe(address, reply is not None)

    def _note(self, address: str, sign: SignOfLife | None) -> None:
        """Go on from what a store says; one that is busy refuses without saying anything."""
        if sign is None:
            return
        known = self._starts.get(address, 0)
        if sign.started_ms > known:
            self._starts[address] = sign.started_ms
            if known:
                # It has started again, and keeps nothing of what servers sent it before.
                self._context.cache_stores.on_lost(address)
        self._positions[address] = sign.position
