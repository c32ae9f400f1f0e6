"""Calls share connections with requests, and take no other answer for their reply."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gateway_standin import answer
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.servers.call_client import Call, CallClient
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.platform.names import HEADER_NAMES
from milletcourse.runtime.responsive_clock import ResponsiveClock

REFUSAL = answer(503, b"", {"Request-Id": "r-1", "Not-Executed": "1"})
UNKNOWN = answer(200, b"", {"Request-Id": "surplus"})
TAKEN = answer(202, b"taken")
Scenario = Callable[[ConnectionPool, str], Awaitable[None]]


def run_with_server(answers: list[bytes], scenario: Scenario) -> None:
    """Run a scenario with a pool and the address of a server that sends these answers in turn.

    A connection that is opened anew goes on with the next answer.
    """
    pending = iter(answers)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(next(pending))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(
            HeaderDialect(HEADER_NAMES),
            lambda address: None,
            lambda data: None,
            ResponsiveClock(),
            8,
            lambda address: 8,
        )
        await scenario(pool, f"{host}:{port}")
        pool.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("surplus", [REFUSAL, UNKNOWN], ids=["earlier-request", "unknown-id"])
def test_an_answer_that_names_a_request_is_no_reply_to_a_call(surplus: bytes) -> None:
    """Guards against an order that a server has taken being read as refused."""

    async def scenario(pool: ConnectionPool, address: str) -> None:
        connection = await pool.open(address, 1.0)
        connection.send(b"POST / HTTP/1.1\r\nRequest-Id: r-1\r\n\r\n", "r-1")
        while not (await connection.next_event()).complete:
            pass
        pool.release(connection)
        reply = await CallClient(pool).call(address, Call("GET", "/order"), 2.0)
        assert reply is not None and (reply.status, reply.body) == (202, b"taken")

    run_with_server([REFUSAL, surplus + TAKEN], scenario)
