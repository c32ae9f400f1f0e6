"""Containment of requests that differ in all but one part of their prompts, which crashes servers.

Guards against evidence that knows a request by its whole content only: no content comes twice, so
each request crashes the next server.
"""

from __future__ import annotations

import asyncio

import pytest

from crashing_fleet import GATEWAYS, PROPAGATION_SECONDS, CrashingFleet, ask
from gateway_harness import Harness, run_with_gateway
from gateway_standin import ReceivedRequest

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
