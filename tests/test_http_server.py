"""A planned stop of the router's own HTTP server."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from gateway_standin import Client
from milletcourse.runtime.server import HttpServer, Receive, Scope, Send

CONNECTIONS = 5
REQUEST = b"GET / HTTP/1.1\r\nHost: router.example\r\n\r\n"


async def application(_: Scope, __: Receive, send: Send) -> None:
    """Answers everything."""
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_requests_that_wait_at_the_listener_are_answered() -> None:
    """They come up, and are written, while the loop does something else; then the stop begins."""

    async def scenario() -> None:
        server = HttpServer(application, "127.0.0.1", 0)
        await server.start()
        host, _, port = server.address.rpartition(":")
        socks = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
        for sock in socks:
            sock.sendall(REQUEST)
        stop = asyncio.create_task(server.stop())
        clients = [Client(*await asyncio.open_connection(sock=sock)) for sock in socks]
        answers = [await client.read_answer() for client in clients]
        assert [got.status if got else 0 for got in answers] == [204] * CONNECTIONS
        await stop

    uvloop.run(scenario())
