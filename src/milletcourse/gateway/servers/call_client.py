"""Calls to the object store and to servers that do not belong to a client's request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.messages.messages import AnswerHead, HeaderField
from milletcourse.exchange.replication.answer_progress import AnswerProgress
from milletcourse.gateway.servers.answer_body import AnswerBody
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.telemetry.aborted_call import AbortedCall
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.responsive_timer import ResponsiveTimer

MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_REPORT_BYTES = 64 * 1024
"""A report of one server, or its reply to an order."""


class ReplyBounds(msgspec.Struct, frozen=True):
    """What the reply to a call may take.

    Attributes:
        max_bytes: Size of the largest body.
        is_essential: Its memory is taken only after that of all other replies and answers, since
            without it the gateway can decide nothing.
    """

    max_bytes: int
    is_essential: bool = False


LARGE_REPLY = ReplyBounds(MAX_REPLY_BYTES)
STATE_REPLY = ReplyBounds(MAX_REPLY_BYTES, is_essential=True)
"""Replies that carry the state of the deployment."""
REPORT_REPLY = ReplyBounds(MAX_REPORT_BYTES)
OnAborted = Callable[[AbortedCall], None]


class Call(msgspec.Struct, frozen=True):
    """One call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: JSON body; empty for none.
        fields: Additional header fields.
    """

    method: str
    target: str
    body: bytes = b""
    fields: tuple[HeaderField, ...] = ()


class Reply(msgspec.Struct, frozen=True):
    """Answer to a call.

    Attributes:
        status: HTTP status.
        body: Whole body.
        sent_at: Monotonic time at which the call was sent.
        head: Head of the answer, None when it is unknown.
    """

    status: int
    body: bytes
    sent_at: float
    head: AnswerHead | None = None

    @property
    def instance(self) -> str:
        """The incarnation that answered; empty when the answer does not name it."""
        return self.head.instance if self.head is not None else ""


class CallClient:
    """Sends calls over pooled connections; a timeout detects a silent callee."""

    def __init__(self, pool: ConnectionPool, on_aborted_call: OnAborted | None = None) -> None:
        self._pool = pool
        self._on_aborted_call = on_aborted_call

    async def call(
        self,
        address: str,
        call: Call,
        first_byte_seconds: float,
        may_send: Callable[[], bool] | None = None,
        on_content: Callable[[], None] | None = None,
        is_dedicated: bool = False,
        bounds: ReplyBounds = LARGE_REPLY,
    ) -> Reply | None:
        """Send a call and read the answer.

        Replies name no call: on a shared connection a late reply to an earlier call passes for the
        one to this.

        Args:
            address: `host:port` of the callee.
            call: The call.
            first_byte_seconds: Timeout for the connection to be established, and again for the
                first byte of the answer. After that `AnswerProgress` sets the timeouts.
            may_send: Checked once the connection is established, since a permission may have
                expired while connecting.
            on_content: Called when the answer is known to carry content.
            is_dedicated: Use a connection that carries no other request, before or after.
            bounds: What the reply may take.

        Returns:
            The reply, None when no complete answer arrived.
        """
        try:
            connection = await self._pool.acquire(address, first_byte_seconds, is_dedicated)
        except LocalResourceError:
            # The gateway logs this lack itself. The callee is unreachable for now.
            return None
        if connection is None:
            return None
        if may_send is not None and not may_send():
            self._pool.release(connection)
            return None
        sent_at = elapsed_seconds()
        connection.memory_share.is_essential = bounds.is_essential
        body = AnswerBody(connection, bounds.max_bytes)
        progress = AnswerProgress(first_byte_seconds)
        connection.send(_encode(address, call))
        timer = ResponsiveTimer(self._pool.clock, connection.abort)
        timer.expect_within(first_byte_seconds)
        try:
            reply = await self._read(connection, body, sent_at, progress, timer, on_content)
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            timer.stop()
        if reply is None and progress.has_started and self._on_aborted_call is not None:
            seconds = elapsed_seconds() - sent_at
            self._on_aborted_call(
                AbortedCall(address, call.target, progress.received_bytes, seconds)
            )
        return reply

    async def _read(
        self,
        connection: ServerConnection,
        body: AnswerBody,
        sent_at: float,
        progress: AnswerProgress,
        timer: ResponsiveTimer,
        on_content: Callable[[], None] | None,
    ) -> Reply | None:
        head: AnswerHead | None = None
        while True:
            event = await connection.next_event()
            if body.take(event) is not None:
                connection.abort()
                return None
            now = self._pool.clock.seconds()
            if event.head is not None:
                head = event.head
                progress.on_head(head.content_length, now)
            progress.on_bytes(len(event.body))
            if event.complete:
                self._pool.release(connection)
                status = head.status if head is not None else 0
                return Reply(status, body.value(), sent_at, head)
            if on_content is not None and progress.has_content:
                on_content()
                on_content = None
            timer.expect_within(progress.wait_seconds(now))


def _encode(address: str, call: Call) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1\r\nHost: {address}\r\n".encode()]
    lines.extend(field.name + b": " + field.value + b"\r\n" for field in call.fields)
    if call.body:
        lines.append(b"Content-Type: application/json\r\n")
    if call.body or call.method in ("POST", "PUT"):
        lines.append(b"Content-Length: %d\r\n" % len(call.body))
    lines.append(b"\r\n")
    lines.append(call.body)
    return b"".join(lines)
