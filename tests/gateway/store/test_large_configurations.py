"""Configurations of many routes on links of low bandwidth."""

from __future__ import annotations

import asyncio
import random

from gateway_harness import Harness, run_with_gateway
from gateway_standin import HOST, answer, configuration, read_request, serve_whole
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.servers.call_client import Call, CallClient
from soak.large_configuration import many_routes
from soak.links import Link
from soak.proxy import FaultProxy

GATEWAYS_KIND = "milletcourse-gateways"
ROUTES = 1400
SLOW_MEGABITS = 5.0
CHUNKS = 12
CHUNK_SECONDS = 0.1
FIRST_BYTE_SECONDS = 0.4


def large_configuration(version: int, routes: int = ROUTES) -> dict[str, object]:
    """The usual configuration with many additional routes."""
    document = configuration(version)
    document["Routes"] += many_routes(routes, random.Random(1))
    return document


def test_an_answer_that_keeps_arriving_is_not_aborted() -> None:
    """It may take any time beyond the timeout for its first byte."""

    async def scenario(harness: Harness) -> None:
        body = b"x" * 1000 * CHUNKS

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader, 1)
            whole = answer(200, body)
            size = len(whole) // CHUNKS + 1
            for begin in range(0, len(whole), size):
                writer.write(whole[begin : begin + size])
                await asyncio.sleep(CHUNK_SECONDS)
            writer.close()

        await harness.start()
        server = await asyncio.start_server(serve, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        assert harness.node is not None
        calls = CallClient(harness.node.context.pool)
        reply = await calls.call(address, Call("GET", "/"), FIRST_BYTE_SECONDS)
        server.close()
        assert reply is not None and reply.body == body

    run_with_gateway(scenario)


async def start_on_links(
    harness: Harness, gateways: int, megabits: float
) -> tuple[list[GatewayNode], list[FaultProxy]]:
    """Gateways of one zone that follow one of them over its link; the reader is the first."""
    await harness.add_server("app-1", "app", serve_whole)
    harness.store.put("config", "main", configuration())
    harness.internal_ports = harness.free_ports()
    harness.internal_ports[1] += 2 * gateways
    nodes = [await harness.add_gateway("front-1", link_megabits=1000.0)]
    await harness.until(lambda: "front-1" in harness.store.objects.get(GATEWAYS_KIND, {}))
    entry = harness.store.objects[GATEWAYS_KIND]["front-1"]["Spec"]
    proxy = FaultProxy(entry["feed"], (Link(megabits),))
    await proxy.start()
    harness.store.put(GATEWAYS_KIND, "front-1", {**entry, "feed": proxy.address})
    for number in range(2, gateways + 1):
        nodes.append(await harness.add_gateway(f"front-{number}", link_megabits=megabits))
    for node in nodes[1:]:
        await harness.until(lambda node=node: bool(node.context.followed_reader))
    return nodes, [proxy]


def version_of(node: GatewayNode) -> int:
    """Version in force, 0 before the first one."""
    return node.context.route_table.version if node.context.route_table is not None else 0


def test_followers_keep_a_reader_that_sends_a_large_configuration() -> None:
    """None of them reads the store meanwhile, and all apply the configuration."""

    async def scenario(harness: Harness) -> None:
        nodes, proxies = await start_on_links(harness, 4, SLOW_MEGABITS)
        followers = nodes[1:]
        harness.store.calls.clear()
        harness.store.put("config", "main", large_configuration(2))
        read_store = False

        def is_in_force() -> bool:
            nonlocal read_store
            read_store = read_store or any(node.context.reads_store for node in followers)
            return all(version_of(node) == 2 for node in nodes)

        await harness.until(is_in_force)
        for proxy in proxies:
            await proxy.close()
        assert not read_store

    run_with_gateway(scenario)
