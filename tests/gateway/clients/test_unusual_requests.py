"""Requests that are unusual but within all limits are served, with their bodies unchanged."""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import configuration, serve_whole

MAX_BODY_BYTES = 4_000_000
LIMITS = {
    "MaxHeaderBytes": 8192,
    "MaxBodyBytes": MAX_BODY_BYTES,
    "HeaderTimeoutMs": 10_000,
    "IdleTimeoutMs": 30_000,
}
LAST_CHUNK = b"0\r\n\r\n"


def head(*fields: str, request_id: str = "unusual") -> bytes:
    """Head of a request without its body."""
    lines = ("POST /safe/ HTTP/1.1", "Host: site.example", "Api-Key: key-1")
    return "\r\n".join((*lines, f"Request-Id: {request_id}", *fields)).encode() + b"\r\n\r\n"


def payload(size: int) -> bytes:
    """A body of a size whose parts differ."""
    numbers = b"".join(b"%d," % number for number in range(size // 2))
    return numbers[:size]


def chunked(body: bytes, size: int, extension: bytes = b"") -> bytes:
    """A body in chunks of a size, without the last chunk."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)


async def serve_one(harness: Harness, sent: list[bytes], body: bytes, pause: float = 0.0) -> None:
    """Send pieces of one request; the server gets its body unchanged and the client an answer."""
    server = harness.servers["app-1"]
    server.received.clear()
    client = await harness.client()
    for piece in sent:
        client.writer.write(piece)
        await client.writer.drain()
        await asyncio.sleep(pause)
    answer = await client.read_answer()
    while answer is not None and answer.status == 100:
        answer = await client.read_answer()
    assert answer is not None and answer.status == 200
    assert [request.body for request in server.received] == [body]


CHUNKED_HEAD = head("Transfer-Encoding: chunked")
WHOLE = payload(MAX_BODY_BYTES)
SHAPES = {
    "whole body of the limit": ([head(f"Content-Length: {len(WHOLE)}"), WHOLE], WHOLE),
    "limit in chunks of 60 kB": ([CHUNKED_HEAD, chunked(WHOLE, 60_000), LAST_CHUNK], WHOLE),
    "limit in chunks of 16 bytes": ([CHUNKED_HEAD, chunked(WHOLE, 16), LAST_CHUNK], WHOLE),
    "500 kB in chunks of 2 bytes": (
        [CHUNKED_HEAD, chunked(WHOLE[:500_000], 2), LAST_CHUNK],
        WHOLE[:500_000],
    ),
    "100 kB in chunks of 1 byte": (
        [CHUNKED_HEAD, chunked(WHOLE[:100_000], 1), LAST_CHUNK],
        WHOLE[:100_000],
    ),
    "chunk extensions": (
        [CHUNKED_HEAD, chunked(WHOLE[:100_000], 1000, b";name=" + b"v" * 100), LAST_CHUNK],
        WHOLE[:100_000],
    ),
    "3 kB of trailers": (
        [CHUNKED_HEAD, b"4\r\nbody\r\n0\r\n", b"x-trailer: " + b"v" * 3000 + b"\r\n\r\n"],
        b"body",
    ),
    "trailers beside a large head": (
        [
            head("Transfer-Encoding: chunked", "X-Large: " + "v" * 7500),
            b"4\r\nbody\r\n0\r\n",
            b"x-trailer: " + b"v" * 7500 + b"\r\n\r\n",
        ],
        b"body",
    ),
    "head of almost the limit": ([head("X-Large: " + "v" * 7500, "Content-Length: 1"), b"b"], b"b"),
    "head of the shortest fields": (
        [head(*["ab:cd"] * 950, "Content-Length: 1"), b"b"],
        b"b",
    ),
    "expect": ([head("Expect: 100-continue", "Content-Length: 4"), b"body"], b"body"),
}


@pytest.mark.parametrize("shape", SHAPES)
def test_unusual_request_is_served(shape: str) -> None:
    """One request at a time, with nothing else to do."""
    sent, body = SHAPES[shape]

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await start(harness)
        await serve_one(harness, sent, body)

    run_with_gateway(scenario)


def test_body_in_pieces_over_seconds_is_served() -> None:
    """Forty pieces with pauses between them."""
    body = WHOLE[:400_000]
    pieces = [body[start : start + 10_000] for start in range(0, len(body), 10_000)]

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        await start(harness)
        sent = [head("Deadline-Ms: 30000", f"Content-Length: {len(body)}"), *pieces]
        await serve_one(harness, sent, body, pause=0.06)

    run_with_gateway(scenario)


@pytest.mark.parametrize(("count", "size"), [(4, MAX_BODY_BYTES), (30, 4)])
def test_pipelined_requests_are_served(count: int, size: int) -> None:
    """Several requests at once on one connection, answered in their order."""
    body = WHOLE[:size]

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await start(harness)
        client = await harness.client()
        for number in range(count):
            length = f"Content-Length: {size}"
            client.writer.write(head(length, request_id=f"request-{number}") + body)
        for number in range(count):
            answer = await client.read_answer()
            assert answer is not None and answer.status == 200
            assert answer.headers["request-id"] == f"request-{number}"
        assert [request.body for request in server.received] == [body] * count

    run_with_gateway(scenario)


async def start(harness: Harness) -> None:
    """Start the gateway with the limits of these tests, and routes that wait long enough."""
    changed = configuration(Limits=LIMITS)
    for route in changed["Routes"]:
        route["TimeoutMs"] = 30_000
    harness.configuration = changed
    await harness.start()
