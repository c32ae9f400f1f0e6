"""Containment of requests that differ in all but one part of their prompts, which crashes servers.

Guards against evidence that knows a request by its whole content only: no content comes twice, so
each request crashes the next server.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from click.testing import Result
from typer.testing import CliRunner

from crashing_fleet import GATEWAYS, PROPAGATION_SECONDS, CrashingFleet, ask
from gateway_harness import Harness, run_with_gateway
from gateway_standin import ReceivedRequest
from milletcourse.cli.main import app
from milletcourse.gateway.node import GatewayNode

CRASHING_PART = "dead01"
REQUESTS = 9
ALLOWED_CRASHES = 3


def _crashes(request: ReceivedRequest) -> bool:
    shared = request.headers["prompt-prefix"].split(",")[:-1]
    return any(item.startswith(f"{CRASHING_PART}:") for item in shared)


def _prompt(*parts: str) -> dict[str, str]:
    listed = ",".join(f"{part}:20" for part in parts)
    return {"Prompt_Prefix": listed, "Token_Usage": f"{20 * len(parts)},8"}


@pytest.mark.parametrize("position", [0, 1, 2])
def test_requests_that_share_only_a_crashing_prompt_part_are_contained(position: int) -> None:
    """Sound requests of the same caller, with the same other parts, are served throughout."""

    async def scenario(harness: Harness) -> None:
        fleet = CrashingFleet(harness, _crashes)
        nodes = await fleet.start()
        statuses = []
        for number in range(REQUESTS):
            node = nodes[number % GATEWAYS]
            sound = ["5c1e07a2", f"b{number % 2}"]
            served = await ask(node, b"%d" % number, f"s-{number}", **_prompt(*sound, f"a{number}"))
            assert served.status == 200
            crashing = [*sound]
            crashing.insert(position, CRASHING_PART)
            prompt = _prompt(*crashing, f"c{number}")
            got = await ask(node, b"x%d" % number, f"x-{number}", **prompt)
            statuses.append(got.status)
            await asyncio.sleep(PROPAGATION_SECONDS)
        await fleet.close()
        assert len(fleet.crashed) <= ALLOWED_CRASHES
        # What did not crash a server was refused, and was not sent.
        assert statuses.count(502) == len(fleet.crashed)
        assert statuses.count(503) == REQUESTS - len(fleet.crashed)

    run_with_gateway(scenario)


async def _contain(nodes: list[GatewayNode], fleet: CrashingFleet) -> None:
    """Send requests with the part until all gateways contain it."""
    for number, node in enumerate(nodes):
        await ask(node, b"s%d" % number, f"s-{number}", **_prompt("5c1e07a2", f"a{number}"))
    number = 0
    while not all(node.context.crash_evidence.containments(0.0) for node in nodes):
        number += 1
        prompt = _prompt("5c1e07a2", CRASHING_PART, f"c{number}")
        await ask(nodes[number % GATEWAYS], b"c%d" % number, f"c-{number}", **prompt)
        await asyncio.sleep(PROPAGATION_SECONDS)
    assert len(fleet.crashed) <= ALLOWED_CRASHES


async def _command(*arguments: str) -> Result:
    return await asyncio.to_thread(CliRunner().invoke, app, list(arguments))


def test_operators_see_a_contained_prompt_part_and_release_it() -> None:
    """Its hash is that of the log lines and of the refusal; the prompt is not shown."""

    async def scenario(harness: Harness) -> None:
        fleet = CrashingFleet(harness, _crashes)
        nodes = await fleet.start()
        await _contain(nodes, fleet)
        port = await nodes[1].listen_for_operators(0, "/metrics")
        listed = await _command("contained", "list", "--gateway", port)
        [shown] = [json.loads(line) for line in listed.output.splitlines()]
        assert shown["kind"] == "prompt part"
        prompt = _prompt("5c1e07a2", CRASHING_PART, "d1")
        refused = await ask(nodes[0], b"d1", "d-1", **prompt)
        assert refused.status == 503
        assert shown["content"].encode() in refused.body
        assert CRASHING_PART.encode() not in refused.body
        released = await _command("contained", "release", shown["content"], "--gateway", port)
        assert released.exit_code == 0
        for node in nodes:
            await harness.until(lambda node=node: not node.context.crash_evidence.containments(0.0))
        assert (await ask(nodes[2], b"d2", "d-2", **prompt)).status == 502
        await fleet.close()

    run_with_gateway(scenario)
