"""Engines that send an answer once more, at the client that the router uses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from callee import client_and_callee
from milletcourse.backends.engine_client import EngineClient
from milletcourse.backends.engine_messages import EngineCompletion, EngineOrder
from milletcourse.errors import BackendRefused, FailureError

REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
ACCEPTANCE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
STALE_TERM = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
LATE_SECONDS = 0.02
Scenario = Callable[[EngineClient, str], Awaitable[None]]


def run_with_engine(first: bytes, second: bytes, scenario: Scenario) -> None:
    """Run a scenario with an engine that repeats its first answer before the second one.

    Args:
        first: Answer to the first request, sent once more when the second one has arrived on the
            same connection.
        second: Answer to the second request.
        scenario: Gets the client and the engine's address.
    """
    answers = iter((first, second))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        earlier = b""
        try:
            while True:
                await reader.readuntil(b"}")
                writer.write(earlier)
                await asyncio.sleep(LATE_SECONDS)
                earlier = next(answers)
                writer.write(earlier)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def run() -> None:
        async with client_and_callee(serve) as (http, address):
            await scenario(EngineClient(http), address)

    asyncio.run(run())


def test_a_late_refusal_does_not_answer_the_next_completion() -> None:
    """Guards against a prompt that runs at two engines, since the first one seems to refuse it."""

    async def scenario(client: EngineClient, address: str) -> None:
        opened = 0
        for number in range(2):
            completion = EngineCompletion("m", "prompt", 1, f"r-{number}", 1, "", "v1")
            try:
                stream = await client.complete(address, completion)
            except FailureError as error:
                assert isinstance(error.failure, BackendRefused)
                continue
            opened += 1
            await stream.close()
        assert opened == 1

    run_with_engine(REFUSAL, ACCEPTANCE, scenario)


def test_a_late_acceptance_does_not_answer_the_next_order() -> None:
    """Guards against weights that pass for loaded though the engine refused the order."""

    async def scenario(client: EngineClient, address: str) -> None:
        refused = 0
        for version in ("v1", "v2"):
            try:
                await client.order(address, EngineOrder(1, "load", "m", version))
            except FailureError:
                refused += 1
        assert refused == 1

    run_with_engine(ACCEPTANCE, STALE_TERM, scenario)
