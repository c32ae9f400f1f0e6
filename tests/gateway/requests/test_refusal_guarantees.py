"""What a refusal promises holds, whatever servers do and in whatever order it happens."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    ClientAnswer,
    ReceivedRequest,
    StandinServer,
    answer,
    signed,
)

SERVERS = 3
CLIENTS = 8
REQUESTS_A_CLIENT = 8
DEADLINE_MS = "250"
LATE_SECONDS = 0.35
"""After the clients' deadline."""
SETTLE_SECONDS = 0.5
"""What servers may still do after the last answer is done by then."""
PROMISES = (408, 421, 429, 503)
"""Statuses that say: it has not run and never will."""
FATES = (
    "serve",
    "serve",
    "serve-late",
    "fail",
    "reset-before-run",
    "reset-after-run",
    "half-an-answer",
    "silent",
    "turn-away",
    "turn-away-soon",
    "other-incarnation",
)


class _Servers:
    """Decides by a seeded source what becomes of each request, and counts what ran."""

    def __init__(self, seed: int) -> None:
        self.runs: Counter[str] = Counter()
        self._random = random.Random(seed)

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """One request at one server."""
        fate = self._random.choice(FATES)
        if fate in ("turn-away", "turn-away-soon"):
            await asyncio.sleep(0.05 if fate == "turn-away-soon" else 0.0)
            fields = {"Request-Id": request.request_id, "Not-Executed": "1"}
            writer.write(answer(503, b"", fields))
            return
        if fate == "other-incarnation":
            fields = {"Request-Id": request.request_id, "Instance-Id": server.name}
            writer.write(answer(421, b"", fields))
            return
        if fate == "reset-before-run":
            writer.transport.abort()
            return
        self.runs[request.request_id] += 1
        if fate == "reset-after-run":
            writer.transport.abort()
        elif fate == "silent":
            await asyncio.sleep(LATE_SECONDS)
            writer.transport.abort()
        elif fate == "half-an-answer":
            writer.write(answer(200, b"whole body", signed(request))[:-4])
            writer.transport.abort()
        elif fate == "fail":
            writer.write(answer(500, b"", signed(request)))
        else:
            await asyncio.sleep(LATE_SECONDS if fate == "serve-late" else 0.0)
            writer.write(answer(200, b"whole body", signed(request)))


@pytest.mark.parametrize("route", ["unsafe", "safe"])
@pytest.mark.parametrize("seed", range(4))
def test_what_a_refusal_says_is_true(seed: int, route: str) -> None:
    """Not run, before it and after it; and what may run once runs once at most."""

    async def scenario(harness: Harness) -> None:
        servers = _Servers(seed)
        for number in range(SERVERS):
            await harness.add_server(f"app-{number}", "app", servers.behave)
        await harness.start()

        async def ask_all(client_number: int) -> dict[str, ClientAnswer | None]:
            answers: dict[str, ClientAnswer | None] = {}
            for number in range(REQUESTS_A_CLIENT):
                name = f"id-{client_number}-{number}"
                client = await harness.client()
                client.send(f"/{route}/", name, Deadline_Ms=DEADLINE_MS)
                answers[name] = await client.read_answer()
                client.writer.close()
            return answers

        answers: dict[str, ClientAnswer | None] = {}
        for part in await asyncio.gather(*map(ask_all, range(CLIENTS))):
            answers.update(part)
        await asyncio.sleep(SETTLE_SECONDS)
        for name, got in answers.items():
            assert got is not None, "a request that was read whole gets an answer"
            if got.status in PROMISES:
                assert servers.runs[name] == 0
                assert float(got.headers["retry-after"]) > 0.0
            if got.status == 200:
                assert got.body == b"whole body" and servers.runs[name] >= 1
            if route == "unsafe":
                assert servers.runs[name] <= 1
        statuses = Counter(got.status for got in answers.values() if got is not None)
        assert statuses[200] and statuses[503], "both kinds of ends were met"

    run_with_gateway(scenario)
