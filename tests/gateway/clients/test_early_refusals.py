"""A request that can't be served is refused before its large body is read."""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, configuration, serve_whole

MAX_BODY_BYTES = 4_000_000
LIMITS = {**configuration()["Limits"], "MaxBodyBytes": MAX_BODY_BYTES}
FIRST_BYTES = 100_000
"""Part of a chunked body after which its request counts as a large one."""


def head(path: str, key: str, framing: str) -> bytes:
    """Head of a request."""
    lines = (f"POST {path} HTTP/1.1", "Host: site.example", f"Api-Key: {key}", "Request-Id: early")
    return "\r\n".join((*lines, framing)).encode() + b"\r\n\r\n"


@pytest.mark.parametrize(
    ("path", "key", "size", "status"),
    [
        ("/safe/", "no-key", MAX_BODY_BYTES, 401),
        ("/none/", "key-1", MAX_BODY_BYTES, 404),
        ("/safe/", "key-1", MAX_BODY_BYTES + 1, 413),
        ("/safe/", "key-1", 10**18, 413),
    ],
)
def test_declared_body_is_refused_by_its_head(path: str, key: str, size: int, status: int) -> None:
    """The answer comes although nothing of the body has been sent."""

    async def scenario(harness: Harness) -> None:
        client = await start(harness)
        client.writer.write(head(path, key, f"Content-Length: {size}"))
        answer = await client.read_answer()
        assert answer is not None and answer.status == status
        assert answer.headers["connection"] == "close"
        assert await client.read_answer() is None

    run_with_gateway(scenario)


@pytest.mark.parametrize(
    ("path", "key", "status"), [("/safe/", "no-key", 401), ("/none/", "", 404)]
)
def test_chunked_body_is_refused_once_it_is_large(path: str, key: str, status: int) -> None:
    """The answer comes although the body has not ended."""

    async def scenario(harness: Harness) -> None:
        client = await start(harness)
        client.writer.write(head(path, key, "Transfer-Encoding: chunked"))
        client.writer.write(b"%x\r\n%b\r\n" % (FIRST_BYTES, b"x" * FIRST_BYTES))
        answer = await client.read_answer()
        assert answer is not None and answer.status == status

    run_with_gateway(scenario)


def test_client_that_reads_after_sending_gets_its_answer() -> None:
    """It is refused by its head and goes on sending its body for some seconds."""
    piece = b"x" * (MAX_BODY_BYTES // 20)

    async def scenario(harness: Harness) -> None:
        client = await start(harness)
        client.writer.write(head("/safe/", "no-key", f"Content-Length: {MAX_BODY_BYTES}"))
        for _ in range(20):
            await asyncio.sleep(0.1)
            client.writer.write(piece)
            await client.writer.drain()
        answer = await client.read_answer()
        assert answer is not None and answer.status == 401

    run_with_gateway(scenario)


def test_small_refused_request_keeps_its_connection() -> None:
    """A client with an old key goes on on its connection."""

    async def scenario(harness: Harness) -> None:
        client = await start(harness)
        assert (await client.ask("/safe/", "one", key="no-key")).status == 401
        assert (await client.ask("/safe/", "two")).status == 200

    run_with_gateway(scenario)


async def start(harness: Harness) -> Client:
    """Start the gateway and connect a client."""
    await harness.add_server("app-1", "app", serve_whole)
    harness.configuration = configuration(Limits=LIMITS)
    await harness.start()
    return await harness.client()
