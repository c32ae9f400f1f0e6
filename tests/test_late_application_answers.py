"""Applications that send an answer once more, at the client that the router uses."""

from __future__ import annotations

import asyncio

import pytest

from milletcourse.backends.app_client import AppClient
from milletcourse.runtime.aiohttp_client import AiohttpClient

REQUESTS = 5
DELAYS = {"before the next request": 0.0, "after the next request": 0.02}


@pytest.mark.parametrize("when", DELAYS)
def test_a_late_answer_of_an_application_does_not_answer_the_next_read(when: str) -> None:
    """Guards against a caller that gets another caller's answer, or another operation's outcome."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        earlier = b""
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                writer.write(earlier)
                await asyncio.sleep(DELAYS[when])
                whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(path), path)
                writer.write(whole)
                await asyncio.sleep(0.005)
                if DELAYS[when]:
                    earlier = whole
                else:
                    writer.write(whole)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def scenario() -> list[bytes]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        http = AiohttpClient()
        client = AppClient(http)
        bodies = []
        for number in range(REQUESTS):
            bodies.append((await client.read(f"{host}:{port}", f"/{number}", 2.0)).body)
            await asyncio.sleep(0.02)
        await http.close()
        server.close()
        return bodies

    assert asyncio.run(scenario()) == [b"/%d" % number for number in range(REQUESTS)]
