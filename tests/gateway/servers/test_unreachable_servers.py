"""Gateways that lost their links to servers which other gateways reach."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from cut_fleet import PROMPT, CutFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    event,
    signed,
    stream_head,
)
from link_cuts import CutMode
from milletcourse.gateway.node import GatewayNode

ENGINES = 3
APPLICATIONS = 2
WORK_SECONDS = 0.04
SETTLE_SECONDS = 0.5
"""Time after a cut within which requests may fail."""
JUDGED_SECONDS = 1.5
PAUSE_SECONDS = 0.03
PATHS = ("/safe/", "/unsafe/", "/stream/", "/single/")
MIN_SERVED_SHARE = 0.95


async def work(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer after some work; streams consist of two events."""
    if not request.request_id:
        writer.write(answer(404))
        return
    if request.target.startswith(("/stream/", "/single/")):
        writer.write(stream_head(request) + chunk(event(1)))
        await asyncio.sleep(WORK_SECONDS)
        writer.write(chunk(event(2)) + b"0\r\n\r\n")
        return
    await asyncio.sleep(WORK_SECONDS)
    writer.write(answer(200, server.name.encode(), signed(request)))


class LoadedFleet(CutFleet):
    """Gateways with links that can be cut, under requests of all kinds."""

    def __init__(self, harness: Harness) -> None:
        super().__init__(harness)
        self.outcomes: dict[str, Counter[int]] = {}

    async def start(self, gateways: int) -> None:
        """Start servers and gateways."""
        for number in range(ENGINES):
            await self.harness.add_server(f"engine-{number}", "engine", work, 1)
        for number in range(APPLICATIONS):
            await self.harness.add_server(f"app-{number}", "app", work)
        await self.start_gateways(gateways)

    def cut(self, gateways: int, mode: CutMode) -> list[str]:
        """Cut the first gateways off from all servers; returns their names."""
        names = [node.context.settings.name for node in self.nodes[:gateways]]
        for name in names:
            self.cuts.cut(name, mode)
        return names

    async def serve(self, seconds: float) -> None:
        """Send requests of all kinds through all gateways, and count the answers."""
        self.outcomes = {node.context.settings.name: Counter() for node in self.nodes}
        ends_at = asyncio.get_running_loop().time() + seconds
        senders = [self._send_until(node, path, ends_at) for node in self.nodes for path in PATHS]
        await asyncio.gather(*senders)

    async def _send_until(self, node: GatewayNode, path: str, ends_at: float) -> None:
        name = node.context.settings.name
        client = await Client.connect(node.frontend_address)
        while asyncio.get_running_loop().time() < ends_at:
            result = await self.ask(client, node, path)
            self.outcomes[name][result.status if result.whole else 0] += 1
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()

    def fields(self, path: str) -> dict[str, str]:
        """Prompt header fields for streams."""
        return PROMPT if path in ("/stream/", "/single/") else {}

    def served_share(self, name: str) -> float:
        """Share of a gateway's requests that were served."""
        outcomes = self.outcomes[name]
        return outcomes[200] / max(sum(outcomes.values()), 1)


@pytest.mark.parametrize("mode", list(CutMode))
def test_callers_of_gateways_that_reach_no_server_are_served_like_the_others(
    mode: CutMode,
) -> None:
    """Three of five gateways refused four in five callers, and told the others that all servers
    were failing and full."""

    async def scenario(harness: Harness) -> None:
        fleet = LoadedFleet(harness)
        await fleet.start(5)
        await fleet.serve(0.5)
        cut = fleet.cut(3, mode)
        await fleet.serve(SETTLE_SECONDS)
        await fleet.serve(JUDGED_SECONDS)
        shares = {name: fleet.served_share(name) for name in fleet.outcomes}
        assert all(share >= MIN_SERVED_SHARE for share in shares.values()), (cut, shares)

    run_with_gateway(scenario)
