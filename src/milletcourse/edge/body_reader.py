"""Reads the bodies of requests, within a bound on the size of each and on the memory of all."""

from __future__ import annotations

import asyncio
from io import BytesIO

from milletcourse.errors import BodyTooLarge, FailureError, GatewayExhausted
from milletcourse.exchange.limits.client_memory import LARGE_BODY_BYTES, ClientMemory, MemoryShare
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.server import Receive, Scope

DISCARD_FACTOR = 4
"""An oversized body is read and discarded up to this multiple of the limit, because closing a
connection while the client is still sending loses the response."""
RETRY_AFTER_SECONDS = 1.0
"""Time after which a client may send a body again that was refused for lack of memory."""


class ClientDisconnectedError(Exception):
    """The client closed the connection before its request was complete."""


class BodyReader:
    """Reads the body of one request.

    Attributes:
        share: Memory that the request takes.
    """

    def __init__(self, memory: ClientMemory, max_body_bytes: int) -> None:
        """Read nothing yet.

        Args:
            memory: Account of the memory of all requests.
            max_body_bytes: Size of the largest body.
        """
        self.share = MemoryShare(memory, self._evict)
        self._max_body_bytes = max_body_bytes
        self._body = BytesIO()
        self._size = 0
        self._evicted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def read(self, scope: Scope, receive: Receive) -> bytes:
        """Read the whole body; its memory counts until `release`.

        Raises:
            FailureError: The body is too large, or there is no memory for it.
            ClientDisconnectedError: The client closed the connection before.
        """
        declared = _declared_bytes(scope)
        if declared > LARGE_BODY_BYTES:
            self._check_large(declared)
        try:
            if await self._read_part(receive):
                await self._read_remaining(receive)
            if not self.share.try_serve(self._size):
                raise self._out_of_memory()
            return self._body.getvalue()
        finally:
            self._drop_body()

    def _drop_body(self) -> None:
        self._body = BytesIO()
        self.share.set_received(0, elapsed_seconds())

    def release(self) -> None:
        """The request has been answered."""
        self.share.remove_served(self.share.served_bytes)

    async def _read_remaining(self, receive: Receive) -> None:
        """Read what does not arrive with the head, unless the request is evicted."""
        reading = asyncio.ensure_future(self._read_parts(receive))
        try:
            await asyncio.wait({reading, self._evicted}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                raise self._out_of_memory()
            reading.result()
        finally:
            reading.cancel()

    async def _read_parts(self, receive: Receive) -> None:
        while await self._read_part(receive):
            pass

    async def _read_part(self, receive: Receive) -> bool:
        """Read one part; returns whether there is another one."""
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        part = message.get("body", b"")
        has_more = bool(message.get("more_body", False))
        was_large = self._size > LARGE_BODY_BYTES
        self._size += len(part)
        if self._size > self._max_body_bytes:
            self._discard(has_more)
            return has_more
        if self._size > LARGE_BODY_BYTES and not was_large:
            self._check_large(self._size)
        self._body.write(part)
        self.share.update_received(self._size, elapsed_seconds())
        return has_more

    def _discard(self, has_more: bool) -> None:
        if not has_more or self._size > DISCARD_FACTOR * self._max_body_bytes:
            raise FailureError(BodyTooLarge(f"over {self._max_body_bytes} bytes"))
        self._drop_body()

    def _check_large(self, size: int) -> None:
        if not self.share.try_receive(size, elapsed_seconds()):
            raise self._out_of_memory()

    def _evict(self) -> None:
        if not self._evicted.done():
            self._evicted.set_result(None)

    def _out_of_memory(self) -> FailureError:
        detail = "this router has no memory for the body of the request"
        return FailureError(GatewayExhausted(detail, RETRY_AFTER_SECONDS))


def _declared_bytes(scope: Scope) -> int:
    """Value of Content-Length, which the server has checked; 0 for a chunked body."""
    return next((int(value) for name, value in scope["headers"] if name == b"content-length"), 0)
