"""Servers that name how many requests a second they take from all gateways together.

Two model servers named a limit of 1.1 and of 1 request a second in their answers, and went on to
get as many requests as their neighbours: 12 in 4 s, where 11.6 and 11 are borne. No gateway read
the field. The answers passed through all seven gateways on their way to clients, so each could have
known, and each chose servers as if nothing had been said.

What settled it: from 8 s to 24 s the two got 46 and 48 requests, the four beside them 39 to 54, and
the word stood nowhere in the code. On three gateways that read and log it but do no more, a server
that names 2 a second gets 835 to 866 requests in 4 s in five runs, where 17 are borne.
"""

from __future__ import annotations

import asyncio

from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    answer,
    signed,
)
from milletcourse.gateway.node import GatewayNode

GATEWAYS = 3
WINDOW_SECONDS = 4.0
BORNE_SHARE = 1.5
BORNE_BESIDE = 5
"""Requests that a server bears in a window beyond one and a half times its limit."""
KNOWN_AFTER_SECONDS = 1.0
PAUSE_SECONDS = 0.01
SLOWER_SECONDS = 0.05


class LimitedFleet:
    """Servers that name limits, gateways, and clients that send to all of these in turn."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.limits: dict[str, str] = {}
        self.arrivals: dict[str, list[float]] = {}
        self.nodes: list[GatewayNode] = []
        self.statuses: list[int] = []
        self._number = 0

    async def start(self, limits: dict[str, str], gateways: int = GATEWAYS) -> None:
        """Start servers, each with the limit that it names, empty for none, and gateways."""
        harness = self.harness
        self.limits = dict(limits)
        harness.internal_ports = harness.free_ports()
        for name in limits:
            self.arrivals[name] = []
            await harness.add_server(name, "app", self._behave)
        await harness.start()
        assert harness.node is not None
        self.nodes = [harness.node]
        for number in range(1, gateways):
            self.nodes.append(await harness.add_gateway(f"front-{number + 1}"))
        for node in self.nodes:
            await harness.until(lambda node=node: self._knows_all(node, gateways))

    def _knows_all(self, node: GatewayNode, gateways: int) -> bool:
        known = {instance.name for instance in node.context.instances}
        is_ready = node.context.is_ready() and known >= set(self.harness.servers)
        return is_ready and node.context.gateways == gateways

    async def _behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals[server.name].append(asyncio.get_running_loop().time())
        fields = signed(request)
        if self.limits[server.name]:
            fields["Server-Limit"] = self.limits[server.name]
        else:
            # The limited ones look like the better choice.
            await asyncio.sleep(SLOWER_SECONDS)
        writer.write(answer(200, server.name.encode(), fields))

    async def load(self, seconds: float, pause: float = PAUSE_SECONDS) -> None:
        """One client at each gateway sends for a while."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._send(node, ends_at, pause) for node in self.nodes))

    async def _send(self, node: GatewayNode, ends_at: float, pause: float) -> None:
        client = await Client.connect(node.frontend_address)
        while asyncio.get_running_loop().time() < ends_at:
            self._number += 1
            result = await client.ask("/safe/", f"request-{self._number}")
            self.statuses.append(result.status)
            await asyncio.sleep(pause)
        client.close()

    def most_in_window(self, name: str, since: float) -> int:
        """Most requests that a server got in a window."""
        times = [at for at in self.arrivals[name] if at >= since]
        return max(
            (sum(1 for at in times if first <= at < first + WINDOW_SECONDS) for first in times),
            default=0,
        )


def borne(per_second: float) -> float:
    """Requests that a server with a limit bears in a window."""
    return BORNE_SHARE * per_second * WINDOW_SECONDS + BORNE_BESIDE


def test_gateways_together_keep_to_a_limit_that_a_server_names() -> None:
    """It gets no more than it bears from all of them; the others serve the rest."""

    async def scenario(harness: Harness) -> None:
        fleet = LimitedFleet(harness)
        await fleet.start({"s-1": "2", "s-2": "2.0", "s-3": ""})
        await fleet.load(KNOWN_AFTER_SECONDS)
        since = asyncio.get_running_loop().time()
        await fleet.load(WINDOW_SECONDS + 1.0)
        most = {name: fleet.most_in_window(name, since) for name in ("s-1", "s-2")}
        assert all(count <= borne(2.0) for count in most.values()), most
        assert set(fleet.statuses) == {200}

    run_with_gateway(scenario)
