"""Probes the KV-cache stores, so that no server is sent to a store that is down.

All gateways share the probing: the more gateways there are, the less often each one probes. A
gateway notifies the others when a store doesn't answer, or answers again.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from milletcourse.gateway.servers.call_client import Call, Reply, ReplyBounds
from milletcourse.gateway.state.context import GatewayContext

LONG_POLL_SECONDS = 0.25
"""The store holds a probe open for at most this long. Calls held for less are priced as probes."""
PROBE_TIMEOUT_SECONDS = 0.8
PROBE_REPLY = ReplyBounds(max_bytes=512 * 1024)
"""A store lists some thousand events at most."""
MIN_INTERVAL_SECONDS = 0.8
"""Interval of a single gateway, which so detects a failure within two seconds."""
MEAN_CONCURRENT_CALLS = 1.0
"""Mean number of calls that all gateways together keep open at a store. Stores hold about a dozen
calls and reject the others, and each answer lists all events since the gateway's last call."""


class ProbeReply(msgspec.Struct, frozen=True):
    """Content of a KV-cache store's reply to a probe.

    Attributes:
        position: Position of its next event.
        started_ms: Start of the store by its own clock, in Unix milliseconds; 0 when not given.
    """

    position: int
    started_ms: int = 0


class Caller(Protocol):
    """Interface of `CallClient`."""

    async def call(
        self, address: str, call: Call, timeout_seconds: float, *, bounds: ReplyBounds
    ) -> Reply | None:
        """Make a call; returns the reply, None when none arrived in time."""


class CacheStoreDialect(Protocol):
    """Format of probes of a KV-cache store."""

    def probe_call(self, position: int, wait_seconds: float) -> Call:
        """A long-polling call for the events since a position; it occupies no slot of the store."""

    def read_probe_reply(self, reply: Reply) -> ProbeReply | None:
        """The content of a reply; None when the reply has none."""


class CacheStoreProbe:
    """Keeps `CacheStoreAvailability.unreachable` current."""

    def __init__(self, context: GatewayContext, calls: Caller, dialect: CacheStoreDialect) -> None:
        self._context = context
        self._calls = calls
        self._dialect = dialect
        self._positions: dict[str, int] = {}
        self._starts: dict[str, int] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        # A random offset spreads the probes of gateways that start at the same time.
        await asyncio.sleep(self._context.random.random() * self.interval_seconds())
        while True:
            await asyncio.sleep(self.interval_seconds())
            table = self._context.route_table
            addresses = [store.store_address for store in table.cache_stores] if table else []
            self._context.cache_store_availability.unreachable.intersection_update(addresses)
            await asyncio.gather(*map(self.probe_store, addresses))

    def interval_seconds(self) -> float:
        """Seconds between two probes by this gateway."""
        return max(
            MIN_INTERVAL_SECONDS, self._context.members * LONG_POLL_SECONDS / MEAN_CONCURRENT_CALLS
        )

    async def probe_store(self, address: str) -> None:
        """Probe one store and record whether it answers."""
        position = self._positions.get(address, 0)
        call = self._dialect.probe_call(position, LONG_POLL_SECONDS)
        reply = await self._calls.call(address, call, PROBE_TIMEOUT_SECONDS, bounds=PROBE_REPLY)
        if reply is not None:
            self._on_reply(address, self._dialect.read_probe_reply(reply))
        elif await self._context.server_links.is_reached_by_other(address):
            # The path from here is lost, which says nothing about the store.
            return
        self._context.cache_store_availability.record_probe(address, reply is not None)

    def _on_reply(self, address: str, reply_content: ProbeReply | None) -> None:
        """Update the position and start of a store; a busy one rejects a probe without content."""
        if reply_content is None:
            return
        known = self._starts.get(address, 0)
        if reply_content.started_ms > known:
            self._starts[address] = reply_content.started_ms
            if known:
                # The store has restarted and lost the blocks that servers sent it before.
                self._context.cache_stores.on_lost(address)
        self._positions[address] = reply_content.position
