"""Several gateways that share stand-in servers, with one client per gateway."""

from __future__ import annotations

import asyncio

from gateway_harness import Harness
from gateway_standin import Client, ClientAnswer
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.node import GatewayNode

GATEWAYS = 3
PAUSE_SECONDS = 0.01


class GatewayFleet:
    """Gateways that know each other, and the answers that their clients received."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.nodes: list[GatewayNode] = []
        self.answers: list[ClientAnswer] = []
        self._number = 0

    async def start_gateways(self, gateways: int, **bounds: float) -> None:
        """Start gateways, and wait until all know each other and the servers."""
        harness = self.harness
        await harness.start(**bounds)
        assert harness.node is not None
        self.nodes = [harness.node]
        for number in range(1, gateways):
            self.nodes.append(await harness.add_gateway(f"front-{number + 1}", **bounds))
        for node in self.nodes:
            await harness.until(lambda node=node: self.knows_all(node, gateways))

    def knows_all(self, node: GatewayNode, gateways: int) -> bool:
        """Whether a gateway is ready, and knows the servers and the other gateways."""
        known = {instance.name for instance in node.context.instances}
        is_ready = node.context.is_ready() and known >= set(self.harness.servers)
        return is_ready and node.context.gateways == gateways

    async def load(
        self, seconds: float, path: str = "/safe/", pause: float = PAUSE_SECONDS
    ) -> None:
        """Send requests for some seconds with one client per gateway."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._send(node, ends_at, path, pause) for node in self.nodes))

    async def _send(self, node: GatewayNode, ends_at: float, path: str, pause: float) -> None:
        client = await Client.connect(node.frontend_address)
        while asyncio.get_running_loop().time() < ends_at:
            self.answers.append(await self.ask(client, node, path))
            await asyncio.sleep(pause)
        client.close()

    async def ask(self, client: Client, node: GatewayNode, path: str) -> ClientAnswer:
        """Send one request through a gateway, whose name the server finds in a header field."""
        self._number += 1
        more = {"Sent_Through": node.context.settings.name, **self.fields(path)}
        return await client.ask(path, f"request-{self._number}", **more)

    def fields(self, path: str) -> dict[str, str]:
        """Additional header fields of a request to a path."""
        return {}

    def instance(self, node: GatewayNode, name: str) -> Instance:
        """A server as a gateway knows it."""
        instance = node.context.instances.get(name)
        assert instance is not None
        return instance
