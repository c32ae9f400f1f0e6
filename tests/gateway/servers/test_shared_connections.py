"""Servers that accept a number of connections from all gateways together and reset further ones."""

from __future__ import annotations

import asyncio

from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    answer,
    configuration,
    signed,
)
from milletcourse.gateway.node import GatewayNode

MAX_CONNECTIONS = 6
GATEWAYS = 3
CONCURRENT_REQUESTS = 4
"""Requests that one gateway runs at the server while the others run none there."""


def test_idle_connections_of_all_gateways_leave_capacity_for_requests() -> None:
    """Guards against gateways that keep idle connections, so that others' requests are reset."""

    async def scenario(harness: Harness) -> None:
        open_connections: set[int] = set()
        most = 0

        async def behave(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal most
            open_connections.add(request.connection)
            most = max(most, len(open_connections - set(server.closed)))
            await asyncio.sleep(0.05)
            writer.write(answer(200, b"", signed(request)))

        harness.internal_ports = harness.free_ports()
        await harness.add_server("s-1", "app", behave)
        services = configuration()["Services"]
        for service in services:
            service["MaxConnections"] = MAX_CONNECTIONS
        harness.store.put("config", "main", configuration(Services=services))
        await harness.start_gateway()
        await harness.until(harness.is_ready)
        assert harness.node is not None
        nodes = [harness.node]
        for number in range(1, GATEWAYS):
            nodes.append(await harness.add_gateway(f"front-{number + 1}"))
        for node in nodes:
            await harness.until(lambda node=node: _knows_all(node))
        for node in nodes * 2:
            clients = [
                await Client.connect(node.frontend_address) for _ in range(CONCURRENT_REQUESTS)
            ]
            results = await asyncio.gather(
                *(client.ask("/safe/", f"r-{number}") for number, client in enumerate(clients))
            )
            assert {result.status for result in results} == {200}
            await asyncio.sleep(0.02)
        assert most <= MAX_CONNECTIONS

    run_with_gateway(scenario)


def _knows_all(node: GatewayNode) -> bool:
    context = node.context
    return context.is_ready() and context.gateways == GATEWAYS and bool(list(context.instances))
