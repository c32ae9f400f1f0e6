"""A gateway without links to the stand-in servers, and others that relay its connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from cut_fleet import CutFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import Behaviour, Client, serve_whole
from link_cuts import CutMode
from milletcourse.gateway.node import GatewayNode

Scenario = Callable[["RelayPair"], Awaitable[None]]


class RelayPair(CutFleet):
    """A gateway without a link to the servers, and one with."""

    async def start(self, behaviour: Behaviour, gateways: int = 2, servers: int = 1) -> None:
        """Start servers of both services, and the gateways, and cut the first one off."""
        for number in range(servers):
            await self.harness.add_server(f"app-{number}", "app", behaviour)
            await self.harness.add_server(f"engine-{number}", "engine", behaviour, 1)
        await self.start_gateways(gateways)
        self.cuts.cut("front-1", CutMode.HANG)

    @property
    def cut_off(self) -> GatewayNode:
        """The gateway without a link."""
        return self.nodes[0]

    @property
    def relay(self) -> GatewayNode:
        """The gateway with a link."""
        return self.nodes[1]

    async def client(self) -> Client:
        """A client of the gateway without a link."""
        return await Client.connect(self.cut_off.frontend_address)

    async def connect_to_relay(self) -> Client:
        """A raw connection to the port at which the other gateway takes requests to relay."""
        (peer,) = self.cut_off.context.relays.candidates("zone-1", 1, self.cut_off.context.now())
        return await Client.connect(peer.address)

    def runs(self) -> int:
        """Number of requests that reached servers."""
        return sum(
            bool(request.request_id)
            for server in self.harness.servers.values()
            for request in server.received
        )


def run_pair(scenario: Scenario, behaviour: Behaviour = serve_whole, **sizes: int) -> None:
    """Run a scenario with a pair of gateways."""

    async def body(harness: Harness) -> None:
        pair = RelayPair(harness)
        await pair.start(behaviour, **sizes)
        await scenario(pair)

    run_with_gateway(body)
