"""Requests whose parts without a body never end are refused; requests near the bounds are not."""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, configuration, serve_whole

MAX_HEADER_BYTES = int(configuration()["Limits"]["MaxHeaderBytes"])
MAX_SENT_BYTES = 64_000_000
PIECE_BYTES = 64_000
HEAD = b"POST /safe/ HTTP/1.1\r\nHost: site.example\r\nApi-Key: key-1\r\nRequest-Id: endless\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "trailer fields": (CHUNKED + b"0\r\n", b"x-trailer: value\r\n"),
    "one trailer field": (CHUNKED + b"0\r\nx-trailer: ", b"v"),
    "name of a trailer field": (CHUNKED + b"0\r\n", b"n"),
    "one chunk extension": (CHUNKED + b"1;", b"e"),
    "chunk extensions": (CHUNKED, b"1;" + b"e" * 2000 + b"\r\nx\r\n"),
    "header fields": (HEAD, b"x-header: value\r\n"),
    "one header field": (HEAD + b"x-header: ", b"v"),
}


async def send_until_refused(client: Client, start: bytes, repeated: bytes) -> int:
    """Send without end until the client is refused; returns the number of bytes sent."""
    client.writer.write(start)
    piece = repeated * (PIECE_BYTES // len(repeated))
    answer = asyncio.create_task(client.read_answer())
    sent = 0
    while not answer.done() and sent < MAX_SENT_BYTES:
        client.writer.write(piece)
        sent += len(piece)
        try:
            await client.writer.drain()
        except ConnectionError:
            break
        await asyncio.sleep(0)
    refused = await answer
    assert refused is not None and refused.status == 431
    return sent


@pytest.mark.parametrize("part", ENDLESS)
def test_part_without_end_is_refused(part: str) -> None:
    """The client can read the answer although it is still sending."""
    start, repeated = ENDLESS[part]

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        assert await send_until_refused(client, start, repeated) < MAX_SENT_BYTES
        assert (await (await harness.client()).ask("/safe/", "beside")).status == 200
        assert [request.request_id for request in server.received] == ["beside"]

    run_with_gateway(scenario)


def test_pipelined_requests_within_one_read_are_served() -> None:
    """Their heads together are larger than the bound on one head, which the last read cuts."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        client = await harness.client()
        requests = [Client.request_bytes("/safe/", f"request-{n}") for n in range(400)]
        sent = b"".join(requests)
        assert len(sent) > MAX_HEADER_BYTES
        client.writer.write(sent[:-30])
        await client.writer.drain()
        await asyncio.sleep(0.05)
        client.writer.write(sent[-30:])
        for number in range(len(requests)):
            answer = await client.read_answer()
            assert answer is not None and answer.status == 200
            assert answer.headers["request-id"] == f"request-{number}"

    run_with_gateway(scenario)
