"""A configuration with many routes that changes repeatedly, over links of low bandwidth."""

from __future__ import annotations

import asyncio
import random
import time
from datetime import datetime
from pathlib import Path
from typing import Any

from gateway_standin import Client, InvalidAnswerError
from soak.ledger import SentRequest
from soak.world import CONFIG_APPLY_SECONDS, STABLE_SECONDS, GatewayProcess, SoakWorld

HOSTS = 20
MAX_ROUTES = 1400
RESIZE_SECONDS = (0.3, 4.5)
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
PROBE_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 2.0
APPLY_TARGET_SECONDS = 2.0
"""A configuration of any size must be in force at all gateways within this time, over links of the
bandwidth that the capacity documentation assumes."""
NOT_FOUND = 404
"""Status that only a configuration without the route gives."""


def many_routes(count: int, source: random.Random) -> list[dict[str, Any]]:
    """Routes with random names on a few hosts, as operators' tools generate them."""

    def word(length: int) -> str:
        return "".join(source.choices(LETTERS, k=length))

    hosts = [f"{word(6)}.example" for _ in range(HOSTS)]
    return [
        {
            "Name": f"r-{word(7)}",
            "Host": source.choice(hosts),
            "PathPrefix": f"/{word(8)}/",
            "RouteType": source.choice(("safe", "unsafe", "streaming")),
            "TimeoutMs": 5000,
            "TargetLatencyMs": 835,
            "Priority": 1,
            "Backends": [
                {"Service": "app", "Weight": 90},
                {"Service": "engine", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "Public": False,
            "Sticky": True,
            "Resumable": True,
            "GapAimMs": 600,
        }
        for _ in range(count)
    ]


async def change_configuration(world: SoakWorld, seconds: float) -> None:
    """Write a new configuration version at a fixed interval, until cancelled."""
    while True:
        world.put_configuration()
        await asyncio.sleep(seconds)


async def resize_configuration(world: SoakWorld) -> None:
    """Add, remove and reorder hundreds of routes, until cancelled."""
    while True:
        await asyncio.sleep(world.random.uniform(*RESIZE_SECONDS))
        drawn = world.random.random()
        if drawn < 0.5:
            world.routes += many_routes(world.random.randint(1, MAX_ROUTES // 2), world.random)
            world.routes = world.routes[-MAX_ROUTES:]
        elif drawn < 0.7:
            world.routes = world.routes[: len(world.routes) // 3]
        elif drawn < 0.9:
            world.random.shuffle(world.routes)
        world.put_configuration()


async def probe_routes(world: SoakWorld) -> None:
    """Request a route that must be in force from each gateway, until cancelled."""
    await asyncio.gather(*(_probe(world, gateway) for gateway in world.gateways))


async def _probe(world: SoakWorld, gateway: GatewayProcess) -> None:
    number = 0
    while True:
        await asyncio.sleep(PROBE_SECONDS)
        sent_at = time.monotonic()
        acknowledged_at, version = _due_version(world, sent_at)
        if not version:
            continue
        number += 1
        request_id = f"probe-{gateway.name}-{number}"
        status = await _send_probe(world, gateway, f"/since-{version}/", request_id)
        world.probes[status] += 1
        since = acknowledged_at - CONFIG_APPLY_SECONDS
        now = time.monotonic()
        is_stable = not world.was_store_disturbed(since - STABLE_SECONDS, now)
        is_judged = is_stable and gateway.has_run_undisturbed(since, now)
        is_newest = _due_version(world, time.monotonic())[1] == version
        if status == NOT_FOUND and is_judged and is_newest:
            age = sent_at - acknowledged_at
            world.ledger.violate(
                "configuration", f"{gateway.name} answered {status} for {version} after {age:.2f} s"
            )


def _due_version(world: SoakWorld, now: float) -> tuple[float, int]:
    """Acknowledgement time and number of the version that must be in force.

    The number is 0 while a newer version is propagating, since either may be in force then.
    """
    latest_at, version = world.configurations[-1]
    return (latest_at, version) if now - latest_at > CONFIG_APPLY_SECONDS else (latest_at, 0)


async def _send_probe(world: SoakWorld, gateway: GatewayProcess, path: str, request_id: str) -> int:
    """Status of the answer, 0 if there is none."""
    key = next(iter(world.keys))
    now = asyncio.get_running_loop().time()
    world.ledger.on_sent(SentRequest(request_id, now, key, "safe", gateway.name))
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            client = await Client.connect(gateway.frontend)
            try:
                client.send(path, request_id, "GET", b"", key, Deadline_Ms="1500")
                got = await client.read_answer()
            finally:
                client.close()
    except (OSError, TimeoutError, InvalidAnswerError):
        return 0
    return got.status if got is not None else 0


def configuration_figures(world: SoakWorld) -> dict[str, Any]:
    """Delays until versions came into force, from the gateways' log lines.

    A version that was superseded counts as applied by the first line with that or a later version.
    """
    in_force = {gateway.name: _in_force(gateway) for gateway in world.gateways}
    now = time.monotonic()
    delays: list[float] = []
    never = 0
    for acknowledged_at, version in world.configurations:
        for gateway in world.gateways:
            if not _was_serving(gateway, in_force[gateway.name], acknowledged_at):
                continue
            applied_at = next(
                (at for at, found in in_force[gateway.name] if found >= version), None
            )
            if applied_at is not None:
                delays.append(applied_at - acknowledged_at)
            elif now - acknowledged_at > APPLY_TARGET_SECONDS:
                never += 1
    links = [gateway.link.carried_bytes for gateway in world.gateways if gateway.link is not None]
    return {
        "versions": len(world.configurations),
        "worst_seconds": round(max(delays, default=0.0), 2),
        "late": sum(delay > APPLY_TARGET_SECONDS for delay in delays),
        "never": never,
        "readers_lost": _count(world, "reader-lost"),
        "store_read_here": _count(world, "store-read-here"),
        "link_megabytes": round(sum(links) / 1e6, 1),
        "peak_megabytes": round(max(map(_peak_megabytes, world.gateways), default=0.0), 1),
        "probes": {str(status): count for status, count in sorted(world.probes.items())},
    }


def _was_serving(gateway: GatewayProcess, in_force: list[tuple[float, int]], moment: float) -> bool:
    """Whether a gateway ran with a configuration at a given time; a starting one is not late."""
    is_undisturbed = gateway.has_run_undisturbed(moment, moment)
    return is_undisturbed and any(at <= moment for at, _ in in_force)


def _in_force(gateway: GatewayProcess) -> list[tuple[float, int]]:
    to_monotonic = time.monotonic() - time.time()
    return [
        (datetime.fromisoformat(line["timestamp"]).timestamp() + to_monotonic, line["version"])
        for line in gateway.log_lines()
        if line["event"] == "configuration-in-force"
    ]


def _count(world: SoakWorld, event: str) -> int:
    lines = (line for gateway in world.gateways for line in gateway.log_lines())
    return sum(1 + line.get("left_out", 0) for line in lines if line["event"] == event)


def _peak_megabytes(gateway: GatewayProcess) -> float:
    """Peak resident memory of the running process; 0 if none runs."""
    if gateway.process is None or not gateway.is_running():
        return 0.0
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1000
