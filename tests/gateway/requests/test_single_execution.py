"""A request that may run once runs once, whatever happens while its server works on it."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import pytest

from cut_fleet import PROMPT
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ClientAnswer,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    configuration,
    event,
    signed,
    stream_head,
)
from relay_pair import RelayPair, run_pair

WORK_SECONDS = 0.15
SETTLE_SECONDS = 0.3
"""A second send would have reached a server by then."""
OVERLAP_SECONDS = 0.4
"""How long two servers may work on one stream."""


class _Servers:
    """Servers that count what they execute, and answer after a while."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.began = asyncio.Event()

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Execute the request, and answer if its connection is still open."""
        self.runs[request.request_id] += 1
        self.began.set()
        await asyncio.sleep(WORK_SECONDS)
        if not writer.is_closing():
            writer.write(answer(200, request.request_id.encode(), signed(request)))


async def _start(harness: Harness, servers: _Servers) -> Client:
    for number in range(2):
        await harness.add_server(f"s-{number}", "app", servers.behave)
    await harness.start(RetrySlack=1000)
    return await harness.client()


async def _answer_of(client: Client) -> ClientAnswer | None:
    result = await client.read_answer()
    await asyncio.sleep(SETTLE_SECONDS)
    return result


def test_a_route_that_becomes_repeatable_meanwhile_does_not_repeat_the_request() -> None:
    """Guards against an attempt that is judged by a newer configuration than its request."""

    async def scenario(harness: Harness) -> None:
        servers = _Servers()
        client = await _start(harness, servers)
        client.send("/unsafe/", "id-1")
        await servers.began.wait()
        changed = configuration(2)
        for route in changed["Routes"]:
            route.update({"RouteType": "safe", "MaxAttempts": 3})
        harness.store.put("config", "main", changed)
        assert harness.node is not None
        context = harness.node.context
        await harness.until(
            lambda: context.route_table is not None and context.route_table.version == 2
        )
        for server in harness.servers.values():
            server.reset_connections()
        result = await _answer_of(client)
        assert result is not None and result.status == 502
        assert servers.runs == {"id-1": 1}

    run_with_gateway(scenario)


def test_a_server_that_starts_again_under_its_id_gets_no_second_send() -> None:
    """Guards against a reset connection that counts as a request that was never sent."""

    async def scenario(harness: Harness) -> None:
        servers = _Servers()
        client = await _start(harness, servers)
        client.send("/unsafe/", "id-1")
        await servers.began.wait()
        (server,) = [item for item in harness.servers.values() if item.received]
        await server.crash()
        successor = StandinServer(server.name, servers.behave)
        await successor.start(predecessor=server)
        harness.servers[server.name] = successor
        entry = {**successor.entry("app"), "born": int(time.time() * 1000)}
        harness.store.put("servers", server.name, entry)
        result = await _answer_of(client)
        assert result is not None and result.status == 502
        assert servers.runs == {"id-1": 1}

    run_with_gateway(scenario)


def test_a_gateway_that_stands_still_meanwhile_delivers_the_answer() -> None:
    """Guards against a pause of the gateway being taken for a silent server."""

    async def scenario(harness: Harness) -> None:
        servers = _Servers()
        client = await _start(harness, servers)
        client.send("/unsafe/", "id-1")
        await servers.began.wait()
        time.sleep(1.2)
        result = await _answer_of(client)
        assert result is not None and (result.status, result.body) == (200, b"id-1")
        assert servers.runs == {"id-1": 1}

    run_with_gateway(scenario)


def test_a_client_that_leaves_does_not_cause_a_second_send() -> None:
    """Guards against an aborted attempt that is made again."""

    async def scenario(harness: Harness) -> None:
        servers = _Servers()
        for delay in (0.0, 0.01, 0.1):
            client = await (_start(harness, servers) if not delay else harness.client())
            client.send("/unsafe/", f"id-{delay}")
            await asyncio.sleep(delay)
            client.close()
            await asyncio.sleep(SETTLE_SECONDS)
        assert max(servers.runs.values()) == 1

    run_with_gateway(scenario)


def test_a_relaying_gateway_that_ends_does_not_cause_a_second_send() -> None:
    """Guards against a lost relay that counts as a request that was never sent."""
    servers = _Servers()

    async def scenario(pair: RelayPair) -> None:
        client = await pair.client()
        client.send("/unsafe/", "id-1")
        await servers.began.wait()
        pair.relay.close()
        result = await _answer_of(client)
        assert result is not None and result.status == 502
        assert servers.runs == {"id-1": 1}

    run_pair(scenario, servers.behave, servers=2, gateways=3)


class _PausingStreams:
    """Servers whose streams pause after an event; records when each of them works."""

    def __init__(self) -> None:
        self.spans: list[list[float]] = []

    def behaviour(self) -> Behaviour:
        """The first run pauses for long; those that continue it send on after a moment."""

        async def behave(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            span = [time.monotonic(), float("inf")]
            self.spans.append(span)
            first = int(request.headers.get("last-event-id", "0")) + 1
            try:
                writer.write(stream_head(request) + (chunk(event(1)) if first == 1 else b""))
                ends_at = time.monotonic() + (2.5 if first == 1 else 0.2)
                while time.monotonic() < ends_at and not writer.is_closing():
                    await asyncio.sleep(0.005)
                if not writer.is_closing():
                    writer.write(chunk(event(2)) + chunk(b""))
            finally:
                span[1] = time.monotonic()

        return behave

    def overlap(self) -> float:
        """Seconds for which two servers worked at the same time."""
        first, second = self.spans[:2]
        return min(first[1], second[1]) - second[0]


@pytest.mark.parametrize("stall_seconds", [0.0, 0.1, 0.25])
def test_a_relayed_stream_is_handed_over_within_the_overlap(stall_seconds: float) -> None:
    """Guards against a relay, or a pause of the gateways, that lets two servers work for long."""
    streams = _PausingStreams()

    async def scenario(pair: RelayPair) -> None:
        client = await pair.client()
        client.send("/stream/", "id-1", **PROMPT)
        await pair.harness.until(lambda: len(streams.spans) == 2)
        time.sleep(stall_seconds)
        result = await client.read_answer()
        assert result is not None and result.whole
        assert streams.overlap() <= OVERLAP_SECONDS

    run_pair(scenario, streams.behaviour(), servers=2)
