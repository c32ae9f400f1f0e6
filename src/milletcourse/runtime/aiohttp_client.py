"""HTTP client over TCP with aiohttp."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Mapping

import aiohttp

from milletcourse.errors import BackendLost, BackendUnreachable, FailureError
from milletcourse.exchange.limits.answer_memory import AnswerMemory, AnswerShare
from milletcourse.exchange.limits.client_memory import ClientMemory
from milletcourse.runtime.block_buffer import BlockBuffer
from milletcourse.runtime.http import HttpRequest, HttpResponse
from milletcourse.runtime.http_status import is_valid_status
from milletcourse.runtime.sockets import reset_on_close

CONNECT_TIMEOUT_SECONDS = 1.0
"""A live server on the same network accepts within milliseconds."""
MAX_CONNECTIONS_PER_SERVER = 0
"""Unlimited: admission bounds the number of requests in flight, not the connector."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body that is read whole."""
MAX_HELD_BYTES = 96 * 1024 * 1024
"""Capacity of which bodies that are being read may take the share of answers."""


def _new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    reset_on_close(sock)
    return sock


class AiohttpResponse:
    """Adapter of `aiohttp.ClientResponse`."""

    def __init__(self, response: aiohttp.ClientResponse, memory: AnswerMemory) -> None:
        self._response = response
        self._is_evicted = False
        self._share = AnswerShare(self._evict)
        self._share.memory = memory
        self.status = response.status
        self.headers: Mapping[str, str] = response.headers

    async def read(self) -> bytes:
        """See `HttpResponse.read`."""
        body = BlockBuffer()
        try:
            async for chunk in self.chunks():
                if len(body) + len(chunk) > MAX_ANSWER_BYTES:
                    self.abort()
                    raise FailureError(BackendLost("the answer is too large"))
                body.write(chunk)
                self._share.set_held(len(body))
        finally:
            self._share.set_held(0)
        if self._is_evicted:
            # A body that ends with its connection looks complete after that.
            raise FailureError(BackendLost("there is no memory for the answer"))
        return body.value()

    def _evict(self) -> None:
        self._is_evicted = True
        self.abort()

    async def chunks(self) -> AsyncIterator[bytes]:
        """See `HttpResponse.chunks`."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise FailureError(BackendLost(f"answer truncated: {type(error).__name__}")) from error

    def abort(self) -> None:
        """See `HttpResponse.abort`."""
        self._response.close()

    async def close(self) -> None:
        """See `HttpResponse.close`."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class AiohttpClient:
    """Keeps two sessions: pooled connections, and one-shot connections for dedicated requests.

    aiohttp resends an idempotent method when a pooled connection turns out dead, so requests that
    must not be sent twice never use the pool.
    """

    def __init__(self, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        """Start without connections.

        Args:
            max_held_bytes: Capacity of which bodies that are being read may take the share of
                answers.
        """
        self._answer_memory = AnswerMemory(ClientMemory(max_held_bytes))
        timeout = aiohttp.ClientTimeout(
            total=None, connect=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS_PER_SERVER, socket_factory=_new_socket
            ),
            timeout=timeout,
            auto_decompress=False,
        )
        self._one_shot = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS_PER_SERVER, force_close=True, socket_factory=_new_socket
            ),
            timeout=timeout,
            auto_decompress=False,
        )

    async def send(self, request: HttpRequest, timeout_seconds: float) -> HttpResponse:
        """See `HttpClient.send`."""
        session = self._one_shot if request.is_dedicated else self._pooled
        try:
            async with asyncio.timeout(timeout_seconds):
                response = await session.request(
                    request.method,
                    f"http://{request.address}{request.path}",
                    data=request.body or None,
                    headers=dict(request.headers),
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise FailureError(BackendUnreachable(f"{request.address}: no connection")) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise FailureError(
                BackendLost(f"{request.address}: {type(error).__name__} before the answer")
            ) from error
        if not is_valid_status(response.status):
            response.close()
            raise FailureError(BackendLost(f"{request.address}: invalid status in the answer"))
        return AiohttpResponse(response, self._answer_memory)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._one_shot.close()
