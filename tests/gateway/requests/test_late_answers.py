"""Late answers of earlier exchanges never decide over a request that a server is executing."""

from __future__ import annotations

import asyncio

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import Behaviour, ReceivedRequest, StandinServer, answer, signed
from signalling_fleet import SHORT_PROMPT
from surplus_servers import SurplusServers, unidentified_refusal

REQUESTS = 8
MODEL = "model-1"


class _Outcome:
    """What clients were told, and what servers executed."""

    def __init__(self, servers: SurplusServers) -> None:
        self.statuses: dict[str, int] = {}
        self._servers = servers

    def executed_twice(self) -> list[str]:
        """Requests that servers executed more than once."""
        return [name for name, count in self._servers.runs.items() if count > 1]

    def refused_though_executed(self) -> list[str]:
        """Requests whose client was told that they were not executed."""
        return [name for name in self._servers.runs if self.statuses[name] in (421, 429, 503)]


async def _ask(harness: Harness, outcome: _Outcome, path: str, name: str) -> None:
    client = await harness.client()
    prompt = SHORT_PROMPT if path == "/single/" else {}
    result = await client.ask(path, name, **prompt)
    outcome.statuses[name] = result.status
    client.close()


async def _load_next_version(harness: Harness, servers: SurplusServers) -> None:
    """All servers load a newer version, which the gateway knows by name only."""
    assert harness.node is not None
    context = harness.node.context
    for name, server in harness.servers.items():
        harness.store.put("servers", name, server.entry("engine", servers.weight_version))
    await harness.until(
        lambda: all(item.version(MODEL) == servers.weight_version for item in context.instances)
    )
    servers.weight_version += 1
    harness.store.put("versions", MODEL, {"Model": MODEL, "Version": servers.weight_version})
    await harness.until(lambda: context.gate.newest(MODEL) == servers.weight_version)


async def _start(harness: Harness, behaviour: Behaviour, path: str, count: int) -> None:
    service = "engine" if path == "/single/" else "app"
    version = 1 if path == "/single/" else None
    for number in range(count):
        await harness.add_server(f"s-{number}", service, behaviour, version)
    harness.store.put("versions", MODEL, {"Model": MODEL, "Version": 1})
    await harness.start(RetrySlack=1000)


@pytest.mark.parametrize("count", [1, 2])
def test_a_repeated_refusal_does_not_answer_the_second_send(count: int) -> None:
    """Guards against a second run, and against a refusal of a request that runs."""

    async def scenario(harness: Harness) -> None:
        servers = SurplusServers()
        await _start(harness, servers.refuse_versions_twice, "/single/", count)
        outcome = _Outcome(servers)
        for number in range(REQUESTS):
            await _load_next_version(harness, servers)
            await _ask(harness, outcome, "/single/", f"id-{number}")
        assert not outcome.executed_twice()
        assert not outcome.refused_though_executed()
        assert set(outcome.statuses.values()) == {200}
        assert servers.surplus >= REQUESTS / 2

    run_with_gateway(scenario)


@pytest.mark.parametrize("path", ["/unsafe/", "/single/"])
@pytest.mark.parametrize("status", [421, 429, 503])
def test_a_late_refusal_without_an_id_does_not_answer_the_next_request(
    status: int, path: str
) -> None:
    """Guards against a second run, and against a refusal of a request that runs."""

    async def scenario(harness: Harness) -> None:
        servers = SurplusServers()
        behaviour = servers.answer_after(lambda server, _: unidentified_refusal(status, server))
        await _start(harness, behaviour, path, count=2)
        outcome = _Outcome(servers)
        for number in range(REQUESTS):
            await _ask(harness, outcome, path, f"id-{number}")
        assert servers.surplus > 1
        assert not outcome.executed_twice()
        assert not outcome.refused_though_executed()
        assert set(outcome.statuses.values()) == {200}

    run_with_gateway(scenario)


def test_an_id_that_a_client_uses_again_gets_the_answer_to_its_own_request() -> None:
    """Guards against a late answer to the first request of an id that answers the second one."""

    async def scenario(harness: Harness) -> None:
        sent: list[bytes] = []

        async def behave(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            sent.append(answer(200, b"run %d" % (len(sent) + 1), signed(request)))
            if len(sent) > 1:
                first_writer.write(sent[0])
                await asyncio.sleep(0.01)
            else:
                writers.append(writer)
            writer.write(sent[-1])

        writers: list[asyncio.StreamWriter] = []
        await harness.add_server("s-1", "app", behave)
        await harness.start()
        bodies = []
        for _ in range(2):
            client = await harness.client()
            bodies.append((await client.ask("/unsafe/", "id-1")).body)
            first_writer = writers[0]
        assert bodies == [b"run 1", b"run 2"]

    run_with_gateway(scenario)
