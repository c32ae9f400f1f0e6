"""HTTP over the in-memory network: the same requests to the same ASGI applications as over TCP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Any
from urllib.parse import unquote, urlsplit

from milletcourse.errors import BackendLost, BackendUnreachable, FailureError
from milletcourse.runtime.http import HttpRequest, HttpResponse
from milletcourse.runtime.memory_network import MemoryConnection, MemoryHost

CONNECT_TIMEOUT_SECONDS = 1.0


class MemoryResponse:
    """Response of an in-memory request."""

    def __init__(
        self, connection: MemoryConnection, status: int, headers: Mapping[str, str]
    ) -> None:
        self._connection = connection
        self.status = status
        self.headers = headers
        self._complete = False

    async def read(self) -> bytes:
        """See `HttpResponse.read`."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def chunks(self) -> AsyncIterator[bytes]:
        """See `HttpResponse.chunks`."""
        connection = self._connection
        while not self._complete:
            message = await connection.messages.get()
            if message is None:
                self._complete = True
                raise FailureError(BackendLost("connection reset"))
            await connection.server.network.wait_for_transmission(
                connection.server, connection.client
            )
            await connection.client.wait_while_frozen()
            self._complete = not message.get("more_body", False)
            body = message.get("body", b"")
            if body:
                yield bytes(body)

    def abort(self) -> None:
        """See `HttpResponse.abort`."""
        self._connection.client_closed.set()
        self._connection.messages.put_nowait(None)

    async def close(self) -> None:
        """See `HttpResponse.close`."""
        if not self._complete:
            self._connection.client_closed.set()


class MemoryHttpClient:
    """HTTP client of one host."""

    def __init__(self, host: MemoryHost) -> None:
        self._host = host

    async def send(self, request: HttpRequest, timeout_seconds: float) -> HttpResponse:
        """See `HttpClient.send`."""
        await self._host.wait_while_frozen()
        server = await self._connect(request)
        connection = MemoryConnection(self._host, server)
        loop = asyncio.get_running_loop()
        connection.task = loop.create_task(self._serve(connection, request))
        try:
            async with asyncio.timeout(timeout_seconds):
                message = await connection.messages.get()
                if message is not None:
                    await server.network.wait_for_transmission(server, self._host)
        except TimeoutError:
            connection.client_closed.set()
            raise FailureError(BackendLost(f"{request.address}: no answer in time")) from None
        except asyncio.CancelledError:
            connection.client_closed.set()
            raise
        await self._host.wait_while_frozen()
        if message is None:
            raise FailureError(BackendLost(f"{request.address}: connection reset"))
        headers = {
            _header_name(name): value.decode("latin-1") for name, value in message["headers"]
        }
        return MemoryResponse(connection, message["status"], headers)

    async def _connect(self, request: HttpRequest) -> MemoryHost:
        network = self._host.network
        if not self._host.alive:
            raise FailureError(BackendUnreachable("the sending host was killed"))
        server = network.host_at(request.address)
        if server is None:
            raise FailureError(BackendUnreachable(f"{request.address}: no such host"))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await network.wait_for_transmission(self._host, server)
                await network.wait_for_transmission(server, self._host)
        except TimeoutError:
            raise FailureError(BackendUnreachable(f"{request.address}: no route")) from None
        server = network.host_at(request.address)
        if server is None or server.application is None or not server.accepting:
            raise FailureError(BackendUnreachable(f"{request.address}: refused"))
        return server

    async def _serve(self, connection: MemoryConnection, request: HttpRequest) -> None:
        server = connection.server
        if not await server.network.wait_for_request_delivery(connection):
            connection.detach()
            return
        await server.wait_while_frozen()
        application = server.application
        if application is None:
            connection.messages.put_nowait(None)
            connection.detach()
            return
        delivered = False

        async def receive() -> dict[str, Any]:
            nonlocal delivered
            await server.wait_while_frozen()
            if not delivered:
                delivered = True
                return {"type": "http.request", "body": request.body, "more_body": False}
            await connection.client_closed.wait()
            return {"type": "http.disconnect"}

        async def send(message: Mapping[str, Any]) -> None:
            await server.wait_while_frozen()
            connection.messages.put_nowait(dict(message))

        try:
            await application(_scope(request, self._host, server), receive, send)
        except Exception:  # the server drops the connection whatever the application raised
            connection.messages.put_nowait(None)
        finally:
            connection.detach()


def _header_name(raw: bytes) -> str:
    return "-".join(part.capitalize() for part in raw.decode("latin-1").split("-"))


def _scope(request: HttpRequest, client: MemoryHost, server: MemoryHost) -> dict[str, Any]:
    url = urlsplit(request.path)
    headers = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in request.headers.items()
    ]
    headers.append((b"host", server.address.encode()))
    headers.append((b"content-length", str(len(request.body)).encode()))
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": "http",
        "path": unquote(url.path),
        "raw_path": url.path.encode(),
        "query_string": url.query.encode(),
        "root_path": "",
        "headers": headers,
        "client": (client.address.split(":")[0], 1),
        "server": (server.address.split(":")[0], 80),
    }
