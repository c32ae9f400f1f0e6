"""Datagrams between gateways: load on servers, and the state of weight orders."""

from __future__ import annotations

import asyncio
from typing import cast

from milletcourse.exchange.peer_messages import (
    NOTICE_REPEATS,
    InstanceLoad,
    OrderNotice,
    OrderState,
    PeerMessage,
    decode_message,
    encode_message,
)
from milletcourse.exchange.roll_out import INITIAL_LOAD_SECONDS
from milletcourse.exchange.store_reading import GatewayRecord
from milletcourse.gateway.context import GatewayContext

SEND_SECONDS = 0.1
"""Changed load is told this often."""
REPEAT_SECONDS = 0.5
"""Unchanged load is told again, before it counts as stale."""
PEERS_A_TICK = 6
"""Load is told to this many peers at a time, in turn: some 6 KB a second however many there are."""


class PeerExchange(asyncio.DatagramProtocol):
    """Tells the other gateways this one's load and orders, and takes theirs."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._peers: dict[str, tuple[str, int]] = {}
        self._addresses: set[tuple[str, int]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._notices: list[tuple[OrderNotice, int]] = []
        self._untold: dict[str, None] = {}
        self._told: list[InstanceLoad] = []
        self._told_at = 0.0
        self.holds_lease = False

    def set_gateways(self, gateways: list[GatewayRecord]) -> None:
        """Take the list of the other gateways."""
        self._peers = {gateway.name: _socket_address(gateway.address) for gateway in gateways}
        self._addresses = set(self._peers.values())
        self._context.peer_loads.set_peers(len(self._peers), PEERS_A_TICK / SEND_SECONDS)
        self._context.set_gateways(len(self._peers) + 1)

    # -- datagrams ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See `asyncio.DatagramProtocol`."""
        message = decode_message(data)
        if message is None or addr not in self._addresses:
            return
        now = self._context.now()
        if not self._context.peer_loads.on_message(message, now):
            return
        for notice in message.notices:
            self._take_notice(notice, now)

    def _take_notice(self, notice: OrderNotice, now: float) -> None:
        instance = self._context.instances.get(notice.instance)
        if instance is None:
            return
        if notice.state is OrderState.READY:
            instance.note_version(notice.model, notice.version)
        elif (instance.version(notice.model) or 0) < notice.version:
            instance.health.on_order(now + INITIAL_LOAD_SECONDS)

    def notify(self, notice: OrderNotice) -> None:
        """Tell all gateways about an order at once; repeated in the next messages."""
        self._notices.append((notice, NOTICE_REPEATS))
        self._send_to_all(self._context.now())

    async def run(self) -> None:
        """Tell changed load until cancelled."""
        while True:
            await asyncio.sleep(SEND_SECONDS)
            now = self._context.now()
            if self._notices:
                self._send_to_all(now)
                continue
            loads = self._context.own_loads()
            due = bool(loads or self.holds_lease) and now - self._told_at >= REPEAT_SECONDS
            if loads != self._told or due:
                self._told = loads
                self._told_at = now
                self._untold = dict.fromkeys(self._peers)
            self._tell_some(now)

    def _tell_some(self, now: float) -> None:
        """Tell the next peers that haven't heard of the latest change."""
        chosen = list(self._untold)[:PEERS_A_TICK]
        for name in chosen:
            del self._untold[name]
        self._send(now, [self._peers[name] for name in chosen if name in self._peers])

    def _send_to_all(self, now: float) -> None:
        self._untold.clear()
        self._send(now, list(self._peers.values()))
        self._notices = [(notice, left - 1) for notice, left in self._notices if left > 1]

    def _send(self, now: float, addresses: list[tuple[str, int]]) -> None:
        if self._transport is None or not addresses:
            return
        self._sequence = max(self._sequence + 1, int(now * 1000))
        message = PeerMessage(
            self._context.settings.name,
            self._sequence,
            self._context.own_loads(),
            [notice for notice, _ in self._notices],
            self.holds_lease,
        )
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
