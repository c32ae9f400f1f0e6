"""Tenants become isolated and shared again: no request uses memory across an isolation."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import pytest

from gateway_fleet import GATEWAYS, GatewayFleet
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    chunk,
    configuration,
    event,
    stream_head,
)
from prompt_memory import PromptMemory

REQUESTS_PER_STEP = 4
"""For each tenant and gateway, after every change."""

Tenants = Mapping[str, bool]
"""Whether each tenant of a configuration is isolated."""

NOBODY: Tenants = {"a": False, "b": False, "c": False}
A_ISOLATED: Tenants = {**NOBODY, "a": True}
B_ISOLATED: Tenants = {**NOBODY, "b": True}
BOTH_ISOLATED: Tenants = {**NOBODY, "a": True, "b": True}
A_REMOVED: Tenants = {"b": False, "c": False}

CHANGES: dict[str, Sequence[Tenants]] = {
    "isolated": [NOBODY, A_ISOLATED],
    "isolated, shared, isolated": [NOBODY, A_ISOLATED, NOBODY, A_ISOLATED],
    "another one in its place": [NOBODY, A_ISOLATED, B_ISOLATED, A_ISOLATED],
    "one after the other": [NOBODY, A_ISOLATED, BOTH_ISOLATED, B_ISOLATED, NOBODY],
    "isolated, removed, shared, isolated": [
        NOBODY,
        A_ISOLATED,
        A_REMOVED,
        NOBODY,
        A_ISOLATED,
    ],
}
WARM_CHANGES: dict[str, Sequence[Tenants]] = {
    "nothing changes": [NOBODY, NOBODY],
    "a tenant joins": [A_REMOVED, NOBODY],
    "a tenant joins beside an isolated one": [
        {"a": True, "b": False},
        {"a": True, "b": False, "c": False},
    ],
    "a tenant that shares leaves": [NOBODY, A_REMOVED],
}


class IsolationFleet(GatewayFleet):
    """Gateways before one model server that keeps prompt parts by salt."""

    def __init__(self, harness: Harness) -> None:
        super().__init__(harness)
        self.tenants: Tenants = {}
        self.memory = PromptMemory(lambda tenant: self.tenants.get(tenant, False))
        self.behaviour: Behaviour = self._keep_parts
        self._version = 0
        self._requests = 0

    async def start(self, tenants: Tenants) -> None:
        """Start the server and the gateways under a configuration with these tenants."""
        await self.harness.add_server("e-1", "engine", self.behaviour, 1)
        self.harness.internal_ports = self.harness.free_ports()
        self.harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        self.harness.configuration = self.next_configuration(tenants)
        await self.start_gateways(GATEWAYS)

    def next_configuration(self, tenants: Tenants, **changes: Any) -> dict[str, Any]:
        """The next version of the configuration, with these tenants."""
        self.tenants = tenants
        self._version += 1
        documents = [
            {"Name": name, "ApiKeys": [f"key-{name}"], "Isolated": is_isolated}
            for name, is_isolated in tenants.items()
        ]
        return configuration(self._version, **{"Tenants": documents, **changes})

    async def change(self, tenants: Tenants) -> None:
        """Put a configuration with these tenants in force at all gateways."""
        await self.apply(self.next_configuration(tenants))

    async def apply(self, document: dict[str, Any]) -> None:
        """Put a configuration in force at all gateways."""
        self.harness.store.put("config", "main", document)
        for node in self.nodes:
            await self.harness.until(
                lambda node=node: node.context.configuration_version == self._version
            )

    async def restart_all(self) -> None:
        """End all gateways at once, and start them without any memory."""
        for node in self.nodes:
            node.close()
        for number in range(GATEWAYS):
            self.nodes[number] = await self.harness.add_gateway(f"front-{number + 1}")
        for node in self.nodes:
            await self.harness.until(lambda node=node: self.knows_all(node, GATEWAYS))

    async def ask_all(self, requests: int = REQUESTS_PER_STEP) -> None:
        """Send requests of each tenant through each gateway; all are served."""
        for number in range(requests):
            for node in self.nodes:
                for tenant in self.tenants:
                    client = await Client.connect(node.frontend_address)
                    self._requests += 1
                    prompt = f"5c1e07a2:40,91bd3f06:30,{self._requests:08x}:10"
                    got = await client.ask(
                        "/stream/",
                        f"{tenant}-{number}-{self._requests}",
                        key=f"key-{tenant}",
                        Model="model-1",
                        Token_Usage="80,4",
                        Prompt_Prefix=prompt,
                    )
                    client.close()
                    assert got.status == 200

    async def _keep_parts(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.memory.run(request)
        writer.write(stream_head(request) + chunk(event(1)) + b"0\r\n\r\n")


def run_fleet(scenario: Callable[[IsolationFleet], Awaitable[None]]) -> None:
    """Run a scenario with a fleet that isn't started yet."""

    async def body(harness: Harness) -> None:
        await scenario(IsolationFleet(harness))

    run_with_gateway(body)


@pytest.mark.parametrize("restarts", [False, True], ids=["", "with restarts"])
@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES.keys())
def test_memory_of_a_tenant_that_becomes_isolated_is_not_used_by_others(
    changes: Sequence[Tenants], restarts: bool
) -> None:
    """Those who still share went on reading the parts that it had made before."""

    async def scenario(fleet: IsolationFleet) -> None:
        await fleet.start(changes[0])
        await fleet.ask_all()
        for tenants in changes[1:]:
            await fleet.change(tenants)
            if restarts:
                await fleet.restart_all()
            await fleet.ask_all()
        assert not fleet.memory.violations

    run_fleet(scenario)


@pytest.mark.parametrize("changes", WARM_CHANGES.values(), ids=WARM_CHANGES.keys())
def test_shared_parts_stay_in_use_when_the_isolated_tenants_stay_the_same(
    changes: Sequence[Tenants],
) -> None:
    """Neither a tenant that joins or leaves nor a restart of all gateways makes them cold."""

    async def scenario(fleet: IsolationFleet) -> None:
        await fleet.start(changes[0])
        await fleet.ask_all()
        reads = fleet.memory.shared_reads
        for tenants in changes[1:]:
            await fleet.change(tenants)
            await fleet.restart_all()
            await fleet.ask_all()
        assert fleet.memory.shared_reads == reads

    run_fleet(scenario)


def test_shared_parts_stay_in_use_when_a_key_is_rotated_or_a_route_changes() -> None:
    """The scope of cached parts depends on nothing else in the configuration."""

    async def scenario(fleet: IsolationFleet) -> None:
        await fleet.start(A_ISOLATED)
        await fleet.ask_all()
        reads = fleet.memory.shared_reads
        document = fleet.next_configuration(A_ISOLATED)
        document["Tenants"].reverse()
        document["Tenants"][0]["ApiKeys"].append("key-new")
        document["Routes"][0]["TimeoutMs"] = 2000
        await fleet.apply(document)
        await fleet.ask_all()
        assert fleet.memory.shared_reads == reads

    run_fleet(scenario)


def test_a_request_that_is_sent_again_after_its_tenant_was_isolated_uses_its_own_memory() -> None:
    """It was admitted while the tenant shared, and its first server breaks the stream off."""
    salts: dict[str, list[str]] = {}
    is_changed = asyncio.Event()

    async def serve(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        known = salts.setdefault(request.headers["tenant"], [])
        known.append(request.headers["cache-salt"])
        writer.write(stream_head(request) + chunk(event(len(known))))
        if len(known) > 1:
            writer.write(b"0\r\n\r\n")
            return
        await writer.drain()
        await is_changed.wait()
        writer.transport.abort()

    async def scenario(fleet: IsolationFleet) -> None:
        await fleet.harness.add_server("e-2", "engine", serve, 1)
        fleet.behaviour = serve
        await fleet.start(NOBODY)
        requests = asyncio.gather(*(_ask(fleet, tenant) for tenant in ("a", "b")))
        await fleet.harness.until(lambda: salts.keys() == {"a", "b"})
        await fleet.change(A_ISOLATED)
        is_changed.set()
        assert await requests == [200, 200]
        before = {tenant: known[0] for tenant, known in salts.items()}
        after = {tenant: known[1] for tenant, known in salts.items()}
        assert before["a"] == before["b"]
        assert len({before["a"], after["a"], after["b"]}) == 3

    run_fleet(scenario)


async def _ask(fleet: IsolationFleet, tenant: str) -> int:
    client = await Client.connect(fleet.nodes[0].frontend_address)
    prompt = {"Token_Usage": "80,4", "Prompt_Prefix": "5c1e07a2:60,91bd3f06:20"}
    got = await client.ask(
        "/stream/", f"{tenant}-1", key=f"key-{tenant}", Model="model-1", **prompt
    )
    client.close()
    return got.status


def test_operators_see_why_and_when_the_scope_of_shared_memory_changes() -> None:
    """One line for each change of the isolated tenants, and none for other changes."""

    async def scenario(fleet: IsolationFleet) -> None:
        await fleet.start(NOBODY)
        await fleet.ask_all(1)
        lines: list[dict[str, Any]] = []
        log = fleet.nodes[0].context.record._log
        setattr(log, "emit", lambda event, **fields: lines.append({"event": event, **fields}))  # noqa: B010
        await fleet.change(NOBODY)
        await fleet.change(A_ISOLATED)
        await fleet.change(B_ISOLATED)
        changes = [line for line in lines if line["event"] == "reuse-scope-changed"]
        assert [(line["isolated"], line["no_longer_isolated"]) for line in changes] == [
            (["a"], []),
            (["b"], ["a"]),
        ]
        assert changes[0]["models"] == ["model-1"] and changes[0]["cold_parts"] > 0
        await fleet.ask_all(1)
        served = [line for line in lines if line["event"] == "request-served"]
        assert served[-1]["salt"].startswith("model-1:shared:")

    run_fleet(scenario)
