"""A router process among clients that send more than its limits allow, or never end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from client_crowd import BYTES_PER_MEGABYTE, ClientCrowd, peak_memory_bytes, pieces_of
from local_processes import LocalDeployment

MEMORY_MEGABYTES = 300
"""Memory of a machine."""
CLIENTS = 20
UPLOADS = 80
MAX_BODY_BYTES = 4 * 1024 * 1024
ANSWER_SECONDS = 30.0
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: router\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"


async def wait_until_ready(deployment: LocalDeployment) -> None:
    """An ordinary request is answered, at the latest after some refusals."""
    router = deployment.routers[0]
    async with asyncio.timeout(ANSWER_SECONDS):
        while True:
            try:
                ready = await asyncio.to_thread(deployment.get, router.http, "/readyz")
            except OSError:
                ready = {}
            if ready.get("ready"):
                return
            await asyncio.sleep(0.2)


def run_crowd(
    deployment: LocalDeployment, scenario: Callable[[ClientCrowd], Awaitable[None]]
) -> None:
    """Bring the crowd to a router, and check what must hold."""
    router = deployment.routers[0]

    async def body() -> None:
        crowd = ClientCrowd(router.http)
        try:
            await scenario(crowd)
            await wait_until_ready(deployment)
        finally:
            crowd.close()
        await wait_until_ready(deployment)
        assert router.process.poll() is None
        peak = peak_memory_bytes(router.process.pid)
        print(f"peak memory: {peak / BYTES_PER_MEGABYTE:.0f} MB")
        assert peak <= MEMORY_MEGABYTES * BYTES_PER_MEGABYTE

    asyncio.run(body())


def test_trailer_field_without_end(deployment: LocalDeployment) -> None:
    """One trailer field of 16 MB on each connection."""

    async def scenario(crowd: ClientCrowd) -> None:
        await crowd.send(CLIENTS, CHUNKED + b"x-trailer: ", pieces_of(b"v" * 16_000_000))

    run_crowd(deployment, scenario)


def test_header_field_without_end(deployment: LocalDeployment) -> None:
    """One header field of 16 MB on each connection."""

    async def scenario(crowd: ClientCrowd) -> None:
        await crowd.send(CLIENTS, HEAD + b"x-header: ", pieces_of(b"v" * 16_000_000))

    run_crowd(deployment, scenario)


def test_bodies_short_of_their_last_byte(deployment: LocalDeployment) -> None:
    """Large bodies of legal size, sent at once but for the last byte."""

    async def scenario(crowd: ClientCrowd) -> None:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        await crowd.send(UPLOADS, head, [b"x" * (MAX_BODY_BYTES - 1)])

    run_crowd(deployment, scenario)
