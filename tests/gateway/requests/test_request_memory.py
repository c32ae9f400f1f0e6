"""A request and its body are freed when it ends, without a garbage collection."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Awaitable, Callable

import pytest

from gateway_behaviours import PROMPT
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    configuration,
    event,
    serve_whole,
    stream_head,
)
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.requests.exchange import Exchange
from milletcourse.gateway.requests.exchange_runner import ExchangeRunner

BODY = b"x" * 100_000
LIMITS = {**configuration()["Limits"], "MaxBodyBytes": len(BODY)}


async def stream_events(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a complete stream."""
    writer.write(stream_head(request))
    writer.write(chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n")


async def reject(_: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Refuse a request without running it."""
    head = {"Request-Id": request.request_id, "Not-Executed": "1"}
    writer.write(answer(503, b"", head))


async def break_off(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Close the connection without an answer."""
    writer.transport.abort()


async def stay_silent(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
    """Never answer."""
    await asyncio.sleep(30)


async def ask_and_read(harness: Harness, path: str) -> None:
    """Send a request and read its answer."""
    client = await harness.client()
    await client.ask(path, "read", body=BODY, **PROMPT)
    client.close()


async def ask_and_leave(harness: Harness, path: str) -> None:
    """Send a request and disconnect while a server has it."""
    client = await harness.client()
    client.send(path, "left", body=BODY, **PROMPT)
    await harness.until(lambda: any(server.received for server in harness.servers.values()))
    client.close()


def requests_in_memory() -> int:
    """Number of exchanges and attempts that exist."""
    return sum(isinstance(item, Exchange | Attempt) for item in gc.get_objects())


@pytest.mark.parametrize(
    ("behaviour", "path", "use"),
    [
        (serve_whole, "/safe/", ask_and_read),
        (stream_events, "/stream/", ask_and_read),
        (reject, "/safe/", ask_and_read),
        (break_off, "/safe/", ask_and_read),
        (break_off, "/unsafe/", ask_and_read),
        (stay_silent, "/safe/", ask_and_leave),
    ],
)
def test_request_is_freed_when_it_ends(
    behaviour: Callable[[StandinServer, ReceivedRequest, asyncio.StreamWriter], Awaitable[None]],
    path: str,
    use: Callable[[Harness, str], Awaitable[None]],
) -> None:
    """Otherwise the bodies of ended requests fill the memory of the machine."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", behaviour)
        await harness.add_server("app-2", "app", behaviour)
        await harness.add_server("engine-1", "engine", behaviour, version=1)
        harness.configuration = configuration(Limits=LIMITS)
        await harness.start()
        gc.collect()
        gc.disable()
        try:
            await use(harness, path)
            await harness.until(lambda: requests_in_memory() == 0)
        finally:
            gc.enable()

    run_with_gateway(scenario)


def test_idle_connection_keeps_no_body() -> None:
    """Otherwise each open connection holds the largest body that a request may have."""

    bodies: list[bytes] = []
    handle = ExchangeRunner.handle

    async def keep_body(
        runner: ExchangeRunner, received: ClientRequest, client: ClientConnection
    ) -> None:
        bodies.append(received.body)
        await handle(runner, received, client)

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        harness.configuration = configuration(Limits=LIMITS)
        await harness.start()
        client = await harness.client()
        await client.ask("/safe/", "kept", body=BODY)
        # One reference more than those to an unnamed object: the list's.
        references = sys.getrefcount(object()) + 1
        await harness.until(lambda: sys.getrefcount(bodies[0]) == references)
        client.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ExchangeRunner, "handle", keep_body)
        run_with_gateway(scenario)
