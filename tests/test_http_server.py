"""Planned shutdown of the router's HTTP server."""

from __future__ import annotations

import asyncio
import socket

import uvloop

from gateway_standin import Client
from milletcourse.runtime.server import HttpServer, Receive, Scope, Send

CONNECTIONS = 5
REQUEST = b"GET / HTTP/1.1\r\nHost: router.example\r\n\r\n"


async def application(_: Scope, __: Receive, send: Send) -> None:
    """Answer every request with 204."""
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_requests_in_the_listen_backlog_are_answered() -> None:
    """Connections and requests arrive while the loop is busy, just before the shutdown starts.

    Closing the listener would reset connections that still wait in its backlog.
    """

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
