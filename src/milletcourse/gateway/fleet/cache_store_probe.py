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

LONG_POLL_SECONDS = 0.25
"""A call is held this long at most; shorter ones are priced as probes."""
PROBE_TIMEOUT_SECONDS = 0.8
MIN_INTERVAL_SECONDS = 0.8
"""Between calls of a gateway that is alone, so that it notices within two seconds."""
MEAN_CONCURRENT_CALLS = 1.0
"""Calls that all gateways together have at a store, on average. Stores hold about a dozen and turn
the rest away, and each answer lists what the store has done since the gateway's last call."""


class ProbeReply(msgspec.Struct, frozen=True):
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

    def probe_call(self, position: int, wait_seconds: float) -> Call:
        """A call that takes no slot and is held for a while; tells what came since a position."""

    def read_probe_reply(self, reply: Reply) -> ProbeReply | None:
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
        await asyncio.sleep(self._context.random.random() * self.interval_seconds())
        while True:
            await asyncio.sleep(self.interval_seconds())
            table = self._context.route_table
            addresses = [store.store_address for store in table.cache_stores] if table else []
            self._context.cache_store_availability.unreachable.intersection_update(addresses)
            await asyncio.gather(*map(self.probe_store, addresses))

    def interval_seconds(self) -> float:
        """Time between two looks of this gateway."""
        return max(
            MIN_INTERVAL_SECONDS, self._context.members * LONG_POLL_SECONDS / MEAN_CONCURRENT_CALLS
        )

    async def probe_store(self, address: str) -> None:
        """Ask one store, and note whether it answers."""
        position = self._positions.get(address, 0)
        call = self._dialect.probe_call(position, LONG_POLL_SECONDS)
        reply = await self._calls.call(address, call, PROBE_TIMEOUT_SECONDS)
        if reply is not None:
            self._on_reply(address, self._dialect.read_probe_reply(reply))
        self._context.cache_store_availability.record_probe(address, reply is not None)

    def _on_reply(self, address: str, reply_content: ProbeReply | None) -> None:
        """Go on from what a store says; one that is busy refuses without saying anything."""
        if reply_content is None:
            return
        known = self._starts.get(address, 0)
        if reply_content.started_ms > known:
            self._starts[address] = reply_content.started_ms
            if known:
                # It has started again, and keeps nothing of what servers sent it before.
                self._context.cache_stores.on_lost(address)
        self._positions[address] = reply_content.position
