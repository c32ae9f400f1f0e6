"""Applications that send an answer once more, at the client that the router uses."""

from __future__ import annotations

import asyncio

import pytest

from callee import client_and_callee
from milletcourse.backends.app_client import AppClient

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
        bodies = []
        async with client_and_callee(serve) as (http, address):
            client = AppClient(http)
            for number in range(REQUESTS):
                bodies.append((await client.read(address, f"/{number}", 2.0)).body)
                await asyncio.sleep(0.02)
        return bodies

    assert asyncio.run(scenario()) == [b"/%d" % number for number in range(REQUESTS)]
