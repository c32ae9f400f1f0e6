"""Relays connections to servers for other gateways that don't reach them.

A relayed connection carries the bytes of one exchange unchanged. Which server gets the request, and
what follows its answer, is decided by the other gateway alone; this one only makes sure that it
sends a server nothing that the server asked it not to send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.exchange.messages.relay_messages import (
    RelayReply,
    RelayRequest,
    RelayRequestError,
    decode_relay_request,
)
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.fleet.answer_head_reader import AnswerHeadReader
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.path_monitor import LinkFailure
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.runtime.sockets import reset_on_close

_REPLIES = {
    LinkFailure.SERVER_REFUSES: RelayReply.SERVER_REFUSES,
    LinkFailure.SERVER_SILENT: RelayReply.SERVER_SILENT,
    LinkFailure.UNREACHABLE: RelayReply.UNREACHABLE,
    LinkFailure.EXCLUDED: RelayReply.EXCLUDED,
}
IDLE_SECONDS = 30.0
"""A connection on which neither end sends anything for this long is closed."""


class RelayEnd(asyncio.Protocol):
    """One of the two ends of a relayed connection; passes on data, its end, and back-pressure."""

    def __init__(
        self,
        transport: asyncio.Transport,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[Exception | None], None],
    ) -> None:
        self.transport = transport
        self.other: RelayEnd | None = None
        self._on_data = on_data
        self._on_lost = on_lost
        reset_on_close(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        self._on_data(data)
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`: what this end doesn't read is not read from the other one."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`: the other direction stays open."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.write_eof()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`: a connection that was cut must not look complete."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.abort()
        self._on_lost(error)


class RelayedConnection(asyncio.Protocol):
    """The connection of another gateway, from its request to its end."""

    def __init__(self, listener: RelayListener, context: GatewayContext) -> None:
        self._listener = listener
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._task: asyncio.Task[None] | None = None
        self._head_reader: AnswerHeadReader | None = None
        self._started_at = context.now()
        self._request: RelayRequest | None = None
        self._instance: Instance | None = None
        self._sent = 0
        self._answered = 0
        self._active_at = self._started_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`: collect the request."""
        if self._task is not None:
            # A gateway sends nothing more before the reply.
            self._refuse(RelayReply.MALFORMED)
            return
        self._received += data
        try:
            decoded = decode_relay_request(self._received)
        except RelayRequestError:
            self._refuse(RelayReply.MALFORMED)
            return
        if decoded is None:
            return
        self._request, rest = decoded
        if rest:
            self._refuse(RelayReply.MALFORMED)
            return
        self._task = asyncio.get_running_loop().create_task(self._connect(self._request))

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._listener.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def check_timeout(self, now: float) -> None:
        """Close the connection if it has been idle for too long."""
        if now - self._active_at > IDLE_SECONDS:
            self.abort()

    def abort(self) -> None:
        """Close both ends."""
        if self._transport is not None:
            self._transport.abort()

    def _refuse(self, reply: RelayReply) -> None:
        assert self._transport is not None
        sender = self._request.sender if self._request is not None else self._remote_host()
        self._context.record.paths.relay_refused(reply.name.lower(), sender)
        if not self._transport.is_closing():
            self._transport.write(bytes([reply]))
            self._transport.close()

    def _remote_host(self) -> str:
        assert self._transport is not None
        return str((self._transport.get_extra_info("peername") or ("",))[0])

    async def _connect(self, request: RelayRequest) -> None:
        reply = self._judge(request)
        if reply is not RelayReply.CONNECTED:
            self._refuse(reply)
            return
        try:
            link = await self._context.server_links.open_for_other(
                request.server, request.timeout_ms / 1000
            )
        except LocalResourceError:
            self._refuse(RelayReply.BUSY)
            return
        if link.connection is None:
            self._refuse(_REPLIES[link.failure or LinkFailure.UNREACHABLE])
            return
        self._join(link.connection)

    def _judge(self, request: RelayRequest) -> RelayReply:
        """`CONNECTED` if the request may be met, else the reply that refuses it."""
        context = self._context
        if not self._listener.is_listed(request.sender, self._remote_host()):
            return RelayReply.NOT_PERMITTED
        if context.stopping or self._listener.is_full():
            return RelayReply.BUSY
        self._instance = context.instances.at_address(request.server)
        if self._instance is None:
            is_store = context.is_cache_store(request.server)
            return RelayReply.CONNECTED if is_store else RelayReply.UNKNOWN_SERVER
        if context.server_signals.signal(self._instance.key, context.now()) is not None:
            return RelayReply.EXCLUDED
        return RelayReply.CONNECTED

    def _join(self, connection: ServerConnection) -> None:
        """Connect the two ends with each other."""
        assert self._transport is not None
        self._head_reader = AnswerHeadReader(self._context.dialect, self._on_answer_head)
        sender_end = RelayEnd(self._transport, self._on_request_data, self._on_end)
        transport = connection.take_transport()
        server_end = RelayEnd(transport, self._on_answer_data, connection.connection_lost)
        sender_end.other, server_end.other = server_end, sender_end
        transport.set_protocol(server_end)
        self._transport.set_protocol(sender_end)
        self._context.record.paths.relay_opened()
        self._transport.write(bytes([RelayReply.CONNECTED]))

    # -- joined ends ----------------------------------------------------------------------------

    def _on_request_data(self, data: bytes) -> None:
        self._active_at = self._context.now()
        if not self._sent:
            self._started_at = self._active_at
        self._sent += len(data)

    def _on_answer_data(self, data: bytes) -> None:
        self._active_at = self._context.now()
        self._answered += len(data)
        if self._instance is not None:
            self._context.paths.on_heard(self._instance.record.service, self._active_at)
        if self._head_reader is not None and not self._head_reader.feed(data):
            self._head_reader = None

    def _on_answer_head(self, head: AnswerHead) -> None:
        """Apply the server's signals: they concern what this gateway sends it, too."""
        if self._instance is not None:
            self._context.signal_monitor.on_answer(self._instance, head, self._started_at)

    def _on_end(self, error: Exception | None) -> None:
        self._listener.connections.discard(self)
        assert self._request is not None
        self._context.relayed_at = self._context.now()
        self._context.record.paths.relayed(
            self._request.request_id,
            self._request.sender,
            self._instance.name if self._instance is not None else self._request.server,
            self._sent,
            self._answered,
            self._context.now() - self._started_at,
        )


class RelayListener:
    """Accepts the connections of other gateways.

    Attributes:
        connections: Connections that are relayed, or whose request is being read.
    """

    def __init__(self, context: GatewayContext, is_listed: Callable[[str, str], bool]) -> None:
        """Start without any connection.

        Args:
            context: Shared state of the gateway.
            is_listed: Whether a gateway of this name is listed with this IP address.
        """
        self.connections: set[RelayedConnection] = set()
        self.is_listed = is_listed
        self._context = context

    def new_connection(self) -> RelayedConnection:
        """The protocol of a new connection."""
        return RelayedConnection(self, self._context)

    def is_full(self) -> bool:
        """Whether no further connection may be relayed."""
        return len(self.connections) > self._context.descriptors.relayed

    def sweep(self, now: float) -> None:
        """Close idle connections."""
        for connection in list(self.connections):
            connection.check_timeout(now)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.abort()
