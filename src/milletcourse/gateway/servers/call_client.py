"""Short calls to the object store and to servers, outside of clients' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.messages.messages import AnswerHead, HeaderField
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.descriptors import OwnMeansError
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.telling.given_up_call import GivenUpCall
from milletcourse.runtime.attended_timer import AttendedTimer
from milletcourse.runtime.clock import elapsed_seconds

MAX_REPLY_BYTES = 16 * 1024 * 1024


OnGivenUp = Callable[[GivenUpCall], None]


class Call(msgspec.Struct, frozen=True):
    """One call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: JSON body; empty for none.
        fields: Further header fields.
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
        head: Head of the answer, None when it isn't known.
    """

    status: int
    body: bytes
    sent_at: float
    head: AnswerHead | None = None

    @property
    def instance(self) -> str:
        """Incarnation that answers; empty when it isn't told."""
        return self.head.instance if self.head is not None else ""


class CallClient:
    """Sends calls over pooled connections; a silent callee is noticed by the time-out."""

    def __init__(self, pool: ConnectionPool, on_given_up: OnGivenUp | None = None) -> None:
        self._pool = pool
        self._on_given_up = on_given_up

    async def call(
        self,
        address: str,
        call: Call,
        timeout_seconds: float,
        may_send: Callable[[], bool] | None = None,
    ) -> Reply | None:
        """Send a call; None when no whole answer came in time.

        Args:
            address: `host:port` of the callee.
            call: The call.
            timeout_seconds: Longest time until the connection is up, and then until the answer.
            may_send: Asked once the connection is up: a permission may have ended meanwhile.
        """
        try:
            connection = await self._pool.acquire(address, timeout_seconds)
        except OwnMeansError:
            # Told by the gateway's own line; the callee can't be heard for now.
            return None
        if connection is None:
            return None
        if may_send is not None and not may_send():
            self._pool.release(connection)
            return None
        sent_at = elapsed_seconds()
        connection.send(_encode(address, call))
        timer = AttendedTimer(self._pool.clock, connection.abort)
        timer.expect_within(timeout_seconds)
        try:
            return await self._read(connection, sent_at, address, call.target)
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            timer.stop()

    async def _read(
        self, connection: ServerConnection, sent_at: float, address: str, target: str
    ) -> Reply | None:
        head: AnswerHead | None = None
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await connection.next_event()
            if event.lost is not None or size > MAX_REPLY_BYTES:
                connection.abort()
                if self._on_given_up is not None:
                    seconds = elapsed_seconds() - sent_at
                    self._on_given_up(GivenUpCall(address, target, size, seconds))
                return None
            if event.head is not None:
                head = event.head
            if event.body:
                pieces.append(event.body)
                size += len(event.body)
            if event.complete:
                self._pool.release(connection)
                status = head.status if head is not None else 0
                return Reply(status, b"".join(pieces), sent_at, head)


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
