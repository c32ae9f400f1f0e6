"""The guarantees of a refusal hold for every behaviour of servers in any order."""

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
AFTER_DEADLINE_SECONDS = 0.35
"""Later than the clients' deadline."""
SETTLE_SECONDS = 0.5
"""Servers have finished all their work this long after the last answer."""
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request was not executed and will not be."""
OUTCOMES = (
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
    """Draws the outcome of each request from a seeded source, and counts executions."""

    def __init__(self, seed: int) -> None:
        self.runs: Counter[str] = Counter()
        self._random = random.Random(seed)

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one request at one server."""
        outcome = self._random.choice(OUTCOMES)
        if outcome in ("turn-away", "turn-away-soon"):
            await asyncio.sleep(0.05 if outcome == "turn-away-soon" else 0.0)
            fields = {"Request-Id": request.request_id, "Not-Executed": "1"}
            writer.write(answer(503, b"", fields))
            return
        if outcome == "other-incarnation":
            fields = {"Request-Id": request.request_id, "Instance-Id": server.name}
            writer.write(answer(421, b"", fields))
            return
        if outcome == "reset-before-run":
            writer.transport.abort()
            return
        self.runs[request.request_id] += 1
        if outcome == "reset-after-run":
            writer.transport.abort()
        elif outcome == "silent":
            await asyncio.sleep(AFTER_DEADLINE_SECONDS)
            writer.transport.abort()
        elif outcome == "half-an-answer":
            writer.write(answer(200, b"whole body", signed(request))[:-4])
            writer.transport.abort()
        elif outcome == "fail":
            writer.write(answer(500, b"", signed(request)))
        else:
            await asyncio.sleep(AFTER_DEADLINE_SECONDS if outcome == "serve-late" else 0.0)
            writer.write(answer(200, b"whole body", signed(request)))


@pytest.mark.parametrize("route", ["unsafe", "safe"])
@pytest.mark.parametrize("seed", range(4))
def test_refused_requests_were_not_executed(seed: int, route: str) -> None:
    """A refused request is executed neither before nor after; an unsafe one at most once."""

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
            assert got is not None, "a request that was read completely gets an answer"
            if got.status in NOT_EXECUTED_STATUSES:
                assert servers.runs[name] == 0
                assert float(got.headers["retry-after"]) > 0.0
            if got.status == 200:
                assert got.body == b"whole body" and servers.runs[name] >= 1
            if route == "unsafe":
                assert servers.runs[name] <= 1
        statuses = Counter(got.status for got in answers.values() if got is not None)
        assert statuses[200] and statuses[503], "both outcomes occurred"

    run_with_gateway(scenario)
