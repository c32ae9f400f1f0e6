"""Back ends that stop within the head of their answer, at the client that the router uses."""

from __future__ import annotations

import asyncio

import pytest

from milletcourse.errors import BackendLost, FailureError
from milletcourse.runtime.aiohttp_client import AiohttpClient
from milletcourse.runtime.http import HttpRequest

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 64\r\n\r\n"
HEADS = {
    "length": LENGTH,
    "chunks": LENGTH.replace(b"Content-Length: 64", b"Transfer-Encoding: chunked"),
    "no length": LENGTH.replace(b"Content-Length: 64", b"Connection: close"),
    "HTTP/1.0": LENGTH.replace(b"HTTP/1.1", b"HTTP/1.0"),
}


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("head", HEADS)
def test_a_truncated_head_of_a_back_end_is_a_lost_answer(head: str, repeatable: bool) -> None:
    """Guards against a 200 with an empty body; a write is sent once."""
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(HEADS[head][:length])
        writer.close()

    async def scenario() -> None:
        nonlocal length
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = AiohttpClient()
        for length in range(len(HEADS[head])):
            received.clear()
            request = HttpRequest("POST", f"{host}:{port}", "/", repeatable=repeatable)
            with pytest.raises(FailureError) as lost:
                await client.send(request, 2.0)
            assert isinstance(lost.value.failure, BackendLost), length
            assert len(received) == 1
        await client.close()
        server.close()

    length = 0
    asyncio.run(scenario())
