"""Servers that crash when they must reject too many requests get no more than they have room for.

Guards against gateways that each cause fewer rejections than a server bears, and all of them
together more.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from typing import Any

import pytest
from click.testing import Result
from typer.testing import CliRunner

from gateway_fleet import GatewayFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import Client, ReceivedRequest, StandinServer, answer, signed
from milletcourse.cli.main import app

SLOTS = 4
WORK_SECONDS = 0.04
BORNE_REJECTIONS = 5
GATEWAYS = 4
CLIENTS_PER_GATEWAY = 6
CRASHED_SECONDS = 1.0
MAX_CRASHES = 2
LOAD_SECONDS = 4.0
MIN_USED_SHARE = 0.4


class BrittleServer:
    """Works on some requests at once, rejects all others, and crashes when these are too many."""

    def __init__(self, announces: bool) -> None:
        self.announces = announces
        self.running = 0
        self.crashes = 0
        self.rejections: deque[float] = deque()
        self.crashed_until = 0.0

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        now = asyncio.get_running_loop().time()
        if now < self.crashed_until:
            writer.transport.abort()
            return
        announced = {"Server-Brittle": str(BORNE_REJECTIONS)} if self.announces else {}
        fields = signed(request, **announced)
        if self.running >= SLOTS:
            self._reject(now)
            writer.write(answer(503, b"", {**fields, "Not-Executed": "1"}))
            return
        self.running += 1
        try:
            await asyncio.sleep(WORK_SECONDS)
        finally:
            self.running -= 1
        writer.write(answer(200, b"done", fields))

    def _reject(self, now: float) -> None:
        self.rejections.append(now)
        while self.rejections[0] < now - 1.0:
            self.rejections.popleft()
        if len(self.rejections) > BORNE_REJECTIONS:
            self.crashes += 1
            self.rejections.clear()
            self.crashed_until = now + CRASHED_SECONDS


async def load_fleet(harness: Harness, announces: bool) -> tuple[list[BrittleServer], Counter[int]]:
    """Send three times what the servers can work on; returns them, and the answers by status."""
    harness.internal_ports = harness.free_ports()
    servers = [BrittleServer(announces) for _ in range(2)]
    for number, server in enumerate(servers):
        standin = await harness.add_server(f"app-{number}", "app", server.behave)
        entry = {**standin.entry("app"), "Slots": SLOTS}
        harness.store.put("servers", standin.name, entry)
    fleet = GatewayFleet(harness)
    await fleet.start_gateways(GATEWAYS)
    statuses: Counter[int] = Counter()
    # At low load gateways learn what the servers announce.
    for node in fleet.nodes:
        client = await Client.connect(node.frontend_address)
        await fleet.ask(client, node, "/unsafe/")
        client.close()
    ends_at = asyncio.get_running_loop().time() + LOAD_SECONDS

    async def send(number: int) -> None:
        node = fleet.nodes[number % GATEWAYS]
        client = await Client.connect(node.frontend_address)
        while asyncio.get_running_loop().time() < ends_at:
            result = await fleet.ask(client, node, "/unsafe/")
            statuses[result.status] += 1
            await asyncio.sleep(float(result.headers.get("retry-after", 0.0)) / 4)
        client.close()

    await asyncio.gather(*(send(number) for number in range(GATEWAYS * CLIENTS_PER_GATEWAY)))
    return servers, statuses


@pytest.mark.parametrize("announces", [True, False])
def test_brittle_servers_get_no_more_than_they_have_room_for(announces: bool) -> None:
    """Without the announcement the same load makes them crash, so that it suffices."""

    async def scenario(harness: Harness) -> None:
        servers, statuses = await load_fleet(harness, announces)
        crashes = sum(server.crashes for server in servers)
        if not announces:
            assert crashes > MAX_CRASHES, statuses
            return
        assert crashes <= MAX_CRASHES, (crashes, statuses)
        capacity = len(servers) * SLOTS * LOAD_SECONDS / WORK_SECONDS
        assert statuses[200] >= MIN_USED_SHARE * capacity, statuses
        assert set(statuses) <= {200, 503}

    run_with_gateway(scenario)


def test_operators_see_leased_slots_and_which_request_found_none() -> None:
    """The command at any gateway shows who grants them, and the log shows it by request id."""

    async def scenario(harness: Harness) -> None:
        server = BrittleServer(announces=True)
        harness.internal_ports = harness.free_ports()
        standin = await harness.add_server("app-0", "app", server.behave)
        harness.store.put("servers", "app-0", {**standin.entry("app"), "Slots": SLOTS})
        fleet = GatewayFleet(harness)
        await fleet.start_gateways(GATEWAYS)
        denied: list[dict[str, Any]] = []

        def emit(event: str, **fields: Any) -> None:
            if event == "server-full":
                denied.append(fields)

        for node in fleet.nodes:
            setattr(node.context.record._log, "emit", emit)  # noqa: B010
        clients = [await Client.connect(node.frontend_address) for node in fleet.nodes * 4]
        for _ in range(2):
            await asyncio.gather(
                *(
                    fleet.ask(client, fleet.nodes[number % GATEWAYS], "/unsafe/")
                    for number, client in enumerate(clients)
                )
            )
        for client in clients:
            client.close()
        assert denied
        assert denied[0]["instance"] == "app-0"
        assert denied[0]["request_id"].startswith("request-")
        port = await fleet.nodes[1].listen_for_operators(0, "/metrics")
        listed: Result = await asyncio.to_thread(
            CliRunner().invoke, app, ["limits", "--gateway", port]
        )
        [shown] = [json.loads(line) for line in listed.output.splitlines()]
        assert (shown["instance"], shown["slots"]) == ("app-0", SLOTS)
        assert shown["owner"] in {node.context.settings.name for node in fleet.nodes}

    run_with_gateway(scenario)


def test_limits_that_servers_announce_outlast_a_restart_of_all_gateways() -> None:
    """A changed limit counted as no change of a gateway's entry, so that none was ever written."""

    async def scenario(harness: Harness) -> None:
        harness.internal_ports = harness.free_ports()
        standin = await harness.add_server("app-1", "app", BrittleServer(announces=True).behave)
        fleet = GatewayFleet(harness)
        await fleet.start_gateways(2)
        for node in fleet.nodes:
            client = await Client.connect(node.frontend_address)
            await fleet.ask(client, node, "/unsafe/")
            client.close()

        def stored_limits() -> list[dict[str, float]]:
            entries = harness.store.gateway_entries().values()
            return [entry["Spec"]["rejection_limits"] for entry in entries]

        limits = {"app": float(BORNE_REJECTIONS)}
        await harness.until(lambda: limits in stored_limits())
        await standin.stop()
        for kill in range(2):
            for node in fleet.nodes:
                node.close()
            fleet.nodes = [await harness.add_gateway(f"front-{number}") for number in (1, 2)]
            for node in fleet.nodes:
                await harness.until(lambda node=node: fleet.knows_all(node, 2))
                assert node.context.permits.slots.are_needed("app"), f"kill {kill}"
            await asyncio.sleep(0.3)
            assert limits in stored_limits()

    run_with_gateway(scenario)
