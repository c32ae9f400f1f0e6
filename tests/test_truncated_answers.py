"""Back ends that stop within the head of their answer, at the client that the router uses."""

from __future__ import annotations

import asyncio

import pytest

from callee import client_and_callee
from milletcourse.errors import BackendLost, FailureError
from milletcourse.runtime.http import HttpRequest

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 64\r\n\r\n"
HEADS = {
    "length": LENGTH,
    "chunks": LENGTH.replace(b"Content-Length: 64", b"Transfer-Encoding: chunked"),
    "no length": LENGTH.replace(b"Content-Length: 64", b"Connection: close"),
    "HTTP/1.0": LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0"),
}


@pytest.mark.parametrize("is_dedicated", [False, True])
@pytest.mark.parametrize("head", HEADS)
def test_a_truncated_head_of_a_back_end_is_a_lost_answer(head: str, is_dedicated: bool) -> None:
    """Guards against a 200 with an empty body; a write is sent once."""
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(HEADS[head][:length])
        writer.close()

    async def scenario() -> None:
        nonlocal length
        async with client_and_callee(serve) as (client, address):
            for length in range(len(HEADS[head])):
                received.clear()
                request = HttpRequest("POST", address, "/", is_dedicated=is_dedicated)
                with pytest.raises(FailureError) as lost:
                    await client.send(request, 2.0)
                assert isinstance(lost.value.failure, BackendLost), length
                assert len(received) == 1

    length = 0
    asyncio.run(scenario())
