"""What a gateway that reaches no server must not decide for the others."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    configuration,
    serve_whole,
)
from link_cuts import CutMode, LinkCuts
from milletcourse.gateway.fleet.cache_store_probe import CacheStoreProbe
from milletcourse.gateway.node import GatewayNode
from milletcourse.platform.cache_events import PlatformCacheEvents

WORK_SECONDS = 0.3
OBSERVED_SECONDS = 3.0


async def start_gateways(
    harness: Harness, gateways: int, behaviour: Behaviour = serve_whole
) -> tuple[list[GatewayNode], LinkCuts]:
    """Start gateways in one zone with two model servers, one application and a cache store."""
    harness.internal_ports = harness.free_ports()
    for name, service, version in (
        ("engine-1", "engine", 1),
        ("engine-2", "engine", 1),
        ("app-1", "app", None),
        ("kept-1", "kept", None),
    ):
        await harness.add_server(name, service, behaviour, version)
    kept = harness.servers["kept-1"].address
    harness.store.remove("servers", "kept-1")
    services = [*configuration()["Services"], {"Name": "kept", "KvStoreAddr": kept}]
    harness.store.put("config", "main", configuration(Services=services))
    harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
    await harness.start_gateway()
    assert harness.node is not None
    nodes = [harness.node]
    for number in range(1, gateways):
        nodes.append(await harness.add_gateway(f"front-{number + 1}"))
    addresses = {server.address for server in harness.servers.values()}
    cuts = LinkCuts(addresses.__contains__)
    for node in nodes:
        await harness.until(lambda node=node: node.context.is_ready())
        await harness.until(lambda node=node: node.context.gateways == gateways)
        await harness.until(lambda node=node: len(list(node.context.instances)) == 3)
        cuts.install(node.context.settings.name, node.context.pool)
    return nodes, cuts


async def send_until_cancelled(node: GatewayNode) -> None:
    """Send one request after the other through a gateway."""
    client = await Client.connect(node.frontend_address)
    for number in count():
        request_id = f"{node.context.settings.name}-{number}"
        await client.ask("/unsafe/", request_id, Deadline_Ms="2000")
        await asyncio.sleep(0.05)


def run(scenario: Callable[[Harness], Awaitable[None]]) -> None:
    """Run a scenario."""
    run_with_gateway(scenario)


def test_the_lease_of_a_roll_out_goes_to_a_gateway_that_reaches_the_servers() -> None:
    """A holder without paths kept renewing its lease, and no server got new weights.

    All readers of the store are cut off, so that a gateway that doesn't read it takes over.
    """

    async def scenario(harness: Harness) -> None:
        nodes, cuts = await start_gateways(harness, 3)
        await harness.until(lambda: sum(node.context.reads_store for node in nodes) == 1)
        readers = [node for node in nodes if node.context.reads_store]
        others = [node for node in nodes if not node.context.reads_store]
        for node in readers:
            cuts.cut(node.context.settings.name, CutMode.HANG)
        load = [asyncio.create_task(send_until_cancelled(node)) for node in nodes]
        await harness.until(lambda: readers[0].context.paths.is_isolated)
        assert not readers[0].context.server_states.reaches_engines()
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
        await harness.until(lambda: any(node._fleet.peers.holds_lease for node in others))
        assert not readers[0]._fleet.peers.holds_lease
        for task in load:
            task.cancel()

    run(scenario)


def test_a_store_that_others_reach_is_not_reported_as_lost() -> None:
    """Cut gateways and others took it out of use and back several times a second."""

    async def scenario(harness: Harness) -> None:
        nodes, cuts = await start_gateways(harness, 2)
        store = harness.servers["kept-1"].address
        cut_off, other = nodes
        cuts.cut(cut_off.context.settings.name, CutMode.HANG)
        probe = CacheStoreProbe(cut_off.context, cut_off._calls, PlatformCacheEvents())
        await probe.probe_store(store)
        for node in nodes:
            assert not node.context.cache_store_availability.unreachable
        await harness.servers["kept-1"].stop()
        await probe.probe_store(store)
        await harness.until(lambda: other.context.cache_store_availability.unreachable == {store})

    run(scenario)


@pytest.mark.parametrize("mode", [CutMode.HANG, CutMode.RESET])
def test_a_gateway_without_paths_reports_no_failure_of_any_server(mode: CutMode) -> None:
    """Requests that were at a server when the link was cut counted as failures of that server."""

    async def slow(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_id:
            await asyncio.sleep(WORK_SECONDS)
        await serve_whole(server, request, writer)

    async def scenario(harness: Harness) -> None:
        nodes, cuts = await start_gateways(harness, 3, slow)
        cut_off = nodes[0]
        clients = [await Client.connect(cut_off.frontend_address) for _ in range(8)]
        for number, client in enumerate(clients):
            client.send(("/unsafe/", "/safe/")[number % 2], f"id-{number}", Deadline_Ms="1600")
        await asyncio.sleep(WORK_SECONDS / 2)
        cuts.cut(cut_off.context.settings.name, mode)
        load = [asyncio.create_task(send_until_cancelled(node)) for node in nodes]
        reported = set()
        ends_at = asyncio.get_running_loop().time() + OBSERVED_SECONDS
        while asyncio.get_running_loop().time() < ends_at:
            reported |= {
                item.key for item in cut_off.context.server_states.own_loads() if item.failures
            }
            await asyncio.sleep(0.02)
        for task in load:
            task.cancel()
        assert not reported

    run(scenario)
