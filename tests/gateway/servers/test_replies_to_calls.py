"""Calls share connections with requests, and never take a request's answer for their reply."""

from __future__ import annotations

import asyncio

from gateway_standin import answer
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.servers.call_client import Call, CallClient
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.platform.names import HEADER_NAMES
from milletcourse.runtime.responsive_clock import ResponsiveClock

REFUSAL = answer(503, b"", {"Request-Id": "r-1", "Not-Executed": "1"})


def test_a_late_answer_to_a_request_is_no_reply_to_a_call() -> None:
    """Guards against an order that a server has taken being read as refused."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL + answer(202, b"taken"))

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        dialect = HeaderDialect(HEADER_NAMES)
        pool = ConnectionPool(
            dialect,
            lambda address: None,
            lambda data: None,
            ResponsiveClock(),
            8,
            lambda address: 8,
        )
        connection = await pool.open(f"{host}:{port}", 1.0)
        connection.send(b"POST / HTTP/1.1\r\nRequest-Id: r-1\r\n\r\n", "r-1")
        while not (await connection.next_event()).complete:
            pass
        pool.release(connection)
        reply = await CallClient(pool).call(f"{host}:{port}", Call("GET", "/order"), 2.0)
        assert reply is not None and (reply.status, reply.body) == (202, b"taken")
        pool.close()
        server.close()

    asyncio.run(scenario())
