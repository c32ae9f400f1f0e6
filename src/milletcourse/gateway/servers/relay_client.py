"""Opens connections to servers through other gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from milletcourse.exchange.limits.answer_memory import AnswerMemory
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.relay_messages import (
    SERVER_REPLIES,
    RelayReply,
    RelayRequest,
    decode_relay_reply,
    encode_relay_request,
)
from milletcourse.exchange.servers.relay_selector import RelayPeer, RelaySelector
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.telemetry.connection_records import SurplusData
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.runtime.addresses import split_address
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout
from milletcourse.runtime.sockets import reset_on_close
from milletcourse.runtime.turn_scheduler import TurnScheduler

ASK_TIMEOUT_SECONDS = 0.25
"""How long a gateway may take to connect to a server, including the way there."""
NEXT_ASK_SECONDS = 0.04
"""After this time without a reply the next gateway is asked as well."""
MAX_ASKS = 12
"""Maximum number of gateways that are asked for one connection."""
MAX_CONCURRENT_ASKS = 3
CONFIRMING_REPLIES = 2
"""A server counts as down when so many gateways say so, or all that were asked and know."""


class RelayResult(msgspec.Struct, frozen=True):
    """Result of asking other gateways for a connection.

    Attributes:
        connection: The connection, None when none came up.
        through: Name of the gateway that relays it; empty for none.
        server_reply: What those that reach other servers said of this one, if there is no
            connection; None when nothing was said.
    """

    connection: ServerConnection | None = None
    through: str = ""
    server_reply: RelayReply | None = None


class _Ask(asyncio.Protocol):
    """One request to one gateway, until its reply."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self.reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self.transport = cast(asyncio.Transport, transport)
        reset_on_close(transport.get_extra_info("socket"))
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if not self.reply.done():
            self.reply.set_result(data)

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        if not self.reply.done():
            self.reply.set_result(b"")


class RelayClient:
    """Asks other gateways for connections, one after the other with a short overlap."""

    def __init__(
        self,
        own_name: str,
        selector: RelaySelector,
        dialect: HeaderDialect,
        clock: ResponsiveClock,
        metrics: MetricsSink,
        on_surplus: Callable[[SurplusData], None],
        answer_memory: AnswerMemory,
        parsing_turns: TurnScheduler,
    ) -> None:
        """Start without any connection.

        Args:
            own_name: This gateway's name.
            selector: The gateways that may be asked.
            dialect: Parses the heads of answers.
            clock: Measures timeouts.
            metrics: Counts the replies.
            on_surplus: Called with data that doesn't name the request of a connection.
            answer_memory: Accounts for the answers on all connections.
            parsing_turns: Shares the time for parsing answers among the connections.
        """
        self._own_name = own_name
        self._selector = selector
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._on_surplus = on_surplus
        self._answer_memory = answer_memory
        self._parsing_turns = parsing_turns

    @property
    def has_peers(self) -> bool:
        """Whether there is any gateway to ask."""
        return self._selector.peer_count > 0

    async def open(
        self, address: str, zone: str, request_id: str = "", is_check: bool = False
    ) -> RelayResult:
        """Open a connection to a server through the first gateway that reaches it.

        Args:
            address: `host:port` of the server.
            zone: Its zone.
            request_id: Id of the request that the connection will carry; empty for none.
            is_check: Only the reply matters, so that each gateway is worth asking.
        """
        peers = self._selector.candidates(zone, MAX_ASKS, elapsed_seconds(), is_check)
        replies: list[RelayReply] = []
        pending: set[asyncio.Task[RelayResult]] = set()
        try:
            while peers or pending:
                if peers and len(pending) < MAX_CONCURRENT_ASKS:
                    ask = self._ask(peers.pop(0), address, request_id)
                    pending.add(asyncio.get_running_loop().create_task(ask))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=NEXT_ASK_SECONDS if peers else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                results = [task.result() for task in done]
                connected = _first_connected(results)
                if connected is not None:
                    return connected
                replies += [item.server_reply for item in results if item.server_reply is not None]
                if RelayReply.EXCLUDED in replies:
                    return RelayResult(server_reply=RelayReply.EXCLUDED)
                if len(replies) >= CONFIRMING_REPLIES:
                    break
            return RelayResult(server_reply=max(replies, key=replies.count, default=None))
        finally:
            for task in pending:
                task.add_done_callback(close_unused)
                task.cancel()

    async def _ask(self, peer: RelayPeer, address: str, request_id: str) -> RelayResult:
        request = RelayRequest(
            self._own_name, address, request_id[:255], round(ASK_TIMEOUT_SECONDS * 1000)
        )
        ask: _Ask | None = None
        data = b""
        is_connected = False
        try:
            async with responsive_timeout(self._clock, ASK_TIMEOUT_SECONDS):
                host, port = split_address(peer.address)
                _, ask = await asyncio.get_running_loop().create_connection(
                    lambda: _Ask(encode_relay_request(request)), host, port
                )
                data = await ask.reply
            reply = decode_relay_reply(data)
            is_connected = reply is RelayReply.CONNECTED
        except (OSError, ValueError, TimeoutError):
            reply = None
        finally:
            if not is_connected and ask is not None and ask.transport is not None:
                ask.transport.abort()
        self._metrics.on_relay_asked(reply.name.lower() if reply is not None else "no-reply")
        if ask is not None and ask.transport is not None and is_connected:
            connection = self._take_over(peer, address, ask.transport, data[1:])
            return RelayResult(connection, peer.name)
        if reply in SERVER_REPLIES:
            return RelayResult(server_reply=reply)
        self._selector.on_failed(peer, elapsed_seconds())
        return RelayResult()

    def _take_over(
        self, peer: RelayPeer, address: str, transport: asyncio.Transport, data: bytes
    ) -> ServerConnection:
        """Turn an accepted request into a connection to the server, used for one exchange."""
        connection = ServerConnection(address, self._dialect, is_relayed=True)
        connection.on_surplus = self._on_surplus
        connection.memory_share.memory = self._answer_memory
        connection.intake.turns = self._parsing_turns
        transport.set_protocol(connection)
        connection.connection_made(transport)
        self._selector.on_opened(peer)
        connection.on_closed = lambda _: self._selector.on_closed(peer)
        if data:
            connection.data_received(data)
        return connection


def _first_connected(results: list[RelayResult]) -> RelayResult | None:
    """The first result with a connection; closes the connections of the others."""
    connected = [item for item in results if item.connection is not None]
    for unused in connected[1:]:
        if unused.connection is not None:
            unused.connection.abort()
    return connected[0] if connected else None


def close_unused(task: asyncio.Task[RelayResult]) -> None:
    """Close a connection that came up when it was no longer wanted."""
    if not task.cancelled() and task.exception() is None:
        connection = task.result().connection
        if connection is not None:
            connection.abort()
