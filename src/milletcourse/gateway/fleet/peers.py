"""Datagrams between gateways: load of servers, changes of their state, and permits."""

from __future__ import annotations

import asyncio
from typing import cast

from milletcourse.exchange.load.load_exchange import TICK_SECONDS, Outgoing
from milletcourse.exchange.messages.origin_messages import (
    OriginMessage,
    decode_origin_message,
    encode_origin_message,
    is_origin_message,
)
from milletcourse.exchange.messages.peer_messages import (
    LoadScope,
    ServerNotice,
    ServerState,
    decode_message,
    encode_message,
)
from milletcourse.exchange.messages.quota_messages import (
    PermitMessage,
    decode_permit_message,
    encode_permit_message,
    is_permit_message,
)
from milletcourse.exchange.messages.slot_messages import (
    SlotMessage,
    decode_slot_message,
    encode_slot_message,
    is_slot_message,
)
from milletcourse.exchange.replication.reader_selection import GatewayRecord
from milletcourse.exchange.rollout.weight_rollout import INITIAL_LOAD_SECONDS
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.state.context import GatewayContext


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives the messages of a `LoadExchange`, notices of servers' states and permits.

    Attributes:
        holds_lease: Whether this gateway holds the roll-out's lease.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._peers: dict[str, tuple[str, int]] = {}
        self._addresses: set[tuple[str, int]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self.holds_lease = False
        context.server_states.on_terminated = self._notify_terminated
        context.cache_store_availability.on_observed = self._notify_cache_store
        context.update_listeners.append(self._tick)
        context.permits.send = self._send_permit_message
        context.permits.slots.send = self._send_slot_message
        context.stream_resumption.send = self._send_origin_message

    def set_gateways(self, gateways: list[GatewayRecord], readers: list[str]) -> None:
        """Set the list of the other gateways, and of the zones' readers among them."""
        self._peers = {gateway.name: _socket_address(gateway.address) for gateway in gateways}
        self._addresses = set(self._peers.values())
        self._context.loads.set_gateways(list(self._peers), readers)
        self._context.permits.owner_selector.set_peers(list(self._peers))
        self._context.stream_resumption.set_peers(list(self._peers))
        self._context.set_gateways(len(self._peers) + 1)

    def is_listed(self, name: str, host: str) -> bool:
        """Whether a gateway of this name is listed with this IP address."""
        address = self._peers.get(name)
        return address is not None and address[0] == host

    # -- datagrams ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See `asyncio.DatagramProtocol`."""
        if is_permit_message(data):
            self._on_permit_message(data, addr)
            return
        if is_origin_message(data):
            self._on_origin_message(data, addr)
            return
        if is_slot_message(data):
            self._on_slot_message(data, addr)
            return
        message = decode_message(data)
        if message is None:
            self._context.record.peer_message_refused(addr[0])
            return
        if addr not in self._addresses:
            return
        self._context.signal_monitor.on_reports(
            message.signals, message.scope is not LoadScope.FLEET
        )
        now = self._context.now()
        is_newest = self._context.loads.on_message(message, now)
        if message.crashes:
            self._context.crash_detector.report_changes()
        if not is_newest:
            return
        for notice in message.notices:
            self._on_notice(notice, now)

    def _on_permit_message(self, data: bytes, addr: tuple[str, int]) -> None:
        message = decode_permit_message(data)
        if message is None:
            self._context.record.peer_message_refused(addr[0])
        elif addr == self._peers.get(message.sender):
            self._context.permits.on_message(message)

    def _send_permit_message(self, name: str, message: PermitMessage) -> None:
        address = self._peers.get(name)
        if address is not None and self._transport is not None:
            self._transport.sendto(encode_permit_message(message), address)

    def _on_origin_message(self, data: bytes, addr: tuple[str, int]) -> None:
        message = decode_origin_message(data)
        if message is None:
            self._context.record.peer_message_refused(addr[0])
        elif addr == self._peers.get(message.sender):
            self._context.stream_resumption.on_message(message)

    def _send_origin_message(self, name: str, message: OriginMessage) -> None:
        address = self._peers.get(name)
        if address is not None and self._transport is not None:
            self._transport.sendto(encode_origin_message(message), address)

    def _on_slot_message(self, data: bytes, addr: tuple[str, int]) -> None:
        message = decode_slot_message(data)
        if message is None:
            self._context.record.peer_message_refused(addr[0])
        elif addr == self._peers.get(message.sender):
            self._context.permits.slots.on_message(message)

    def _send_slot_message(self, name: str, message: SlotMessage) -> None:
        address = self._peers.get(name)
        if address is not None and self._transport is not None:
            self._transport.sendto(encode_slot_message(message), address)

    def _on_notice(self, notice: ServerNotice, now: float) -> None:
        if notice.state in (ServerState.STORE_UNREACHABLE, ServerState.STORE_REACHABLE):
            self._on_cache_store_notice(notice)
            return
        if notice.state is ServerState.TERMINATED:
            self._context.server_states.retire_instance(notice.subject, "told", notice.started_ms)
            return
        table = self._context.instances
        table.on_start_seen(notice.subject, notice.started_ms)
        instance = table.get(notice.subject)
        if instance is None or 0 < notice.started_ms < instance.record.started_ms:
            return
        if notice.state is ServerState.READY:
            instance.note_version(notice.model, notice.version)
            return
        if (instance.version(notice.model) or 0) < notice.version:
            instance.health.on_order(now + INITIAL_LOAD_SECONDS)

    def _on_cache_store_notice(self, notice: ServerNotice) -> None:
        if self._context.is_cache_store(notice.subject):
            reachable = notice.state is ServerState.STORE_REACHABLE
            self._context.cache_store_availability.set_reachable(notice.subject, reachable)

    def _notify_cache_store(self, address: str, reachable: bool) -> None:
        state = ServerState.STORE_REACHABLE if reachable else ServerState.STORE_UNREACHABLE
        self.notify(ServerNotice(address, "", 0, state))

    def _notify_terminated(self, instance: Instance) -> None:
        started_ms = instance.record.started_ms
        self.notify(ServerNotice(instance.name, "", 0, ServerState.TERMINATED, started_ms))

    def notify(self, notice: ServerNotice) -> None:
        """Send a server's state to all gateways at once."""
        self._context.loads.notify(notice)
        self._tick()

    async def run(self) -> None:
        """Report load until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._tick()

    def _tick(self) -> None:
        context = self._context
        context.handle_suspension()
        reader = context.followed_reader
        now = context.now()
        context.permits.slots.tick()
        context.stream_resumption.announcer.announce()
        uses = context.tenant_limits.tick(now)
        for outgoing in context.loads.tick(now, context.server_states.own_loads(), reader, uses):
            self._send(outgoing)

    def _send(self, outgoing: Outgoing) -> None:
        if self._transport is None:
            return
        data = encode_message(outgoing.message)
        for name in outgoing.receivers:
            address = self._peers.get(name)
            if address is not None:
                self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
