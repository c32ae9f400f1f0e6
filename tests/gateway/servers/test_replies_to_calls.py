"""Calls share connections with requests, and take no request's answer for their reply."""

from __future__ import annotations

import asyncio

import pytest

from callee import pool_and_callee
from gateway_standin import answer
from milletcourse.gateway.servers.call_client import Call, CallClient

REFUSAL = answer(503, b"", {"Request-Id": "r-1", "Not-Executed": "1"})
UNKNOWN = answer(200, b"", {"Request-Id": "surplus"})


@pytest.mark.parametrize("surplus", [REFUSAL, UNKNOWN], ids=["earlier-request", "unknown-id"])
def test_an_answer_that_names_a_request_is_no_reply_to_a_call(surplus: bytes) -> None:
    """Guards against an order that a server has taken being read as refused."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(surplus + answer(202, b"taken"))

    async def scenario() -> None:
        async with pool_and_callee(serve) as (pool, address):
            connection = await pool.open(address, 1.0)
            connection.send(b"POST / HTTP/1.1\r\nRequest-Id: r-1\r\n\r\n", "r-1")
            while not (await connection.next_event()).complete:
                pass
            pool.release(connection)
            reply = await CallClient(pool).call(address, Call("GET", "/report"), 2.0)
        assert reply is not None and (reply.status, reply.body) == (202, b"taken")

    asyncio.run(scenario())
