"""Runs two builds in one fleet, and each build on data that the other one has written.

`python3 tests/soak/mixed_builds.py OLD NEW [--seeds FIRST:LAST] [--gateways N] [--seconds N]`

OLD and NEW are checkouts. All gateways start with the old build, which writes the stored entries
and the lease; then each gateway in turn is stopped or killed under load and replaced by the other
build. Routers of both builds form a cluster: a stream that one router started is resumed at the
other one, an operation's outcome is replayed, and each router applies a configuration that the
other one accepted. Prints one JSON line per seed; the exit code is 1 if a request was lost, an
operation ran twice, or a message or stored object could not be decoded.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

import aiohttp

from local_processes import LocalDeployment, LocalProcess
from milletcourse.operations.keys import mint_key
from milletcourse.standins.embedded import OPERATOR_KEY, TENANT_KEYS
from soak.answers import LOST
from soak.limits import limit_servers
from soak.load_balancer import LoadBalancer
from soak.planned import make_planned_changes, new_client
from soak.seeds import Report, run_seeds
from soak.signals import back_off_servers, drain_and_replace_servers
from soak.world import DEFAULT_GATEWAYS, SoakWorld
from test_processes import StreamResult, expected, read_stream, streaming_body

LAUNCHER = Path(__file__).parent / "build_launcher.py"
CLIENTS = 24
READY_SECONDS = 30.0
REPLACED_PAUSE_SECONDS = (0.3, 1.0)
KILLED_SHARE = 0.5
"""Share of the replaced gateways that receive SIGKILL; the others receive SIGTERM."""
LIMITED_SHARE, LIMIT_PER_SECOND = 0.3, 2.0
BACKING_OFF_SHARE = 0.2
DRAINING_SHARE = 0.2
UNDECODED_EVENTS = frozenset(
    {
        "peer-message-refused",
        "object-malformed",
        "objects-unreadable",
        "content-differs",
        "settings-rejected",
        "store-era-unreadable",
        "server-limit-unreadable",
        "server-leaving-unreadable",
        "server-rest-unreadable",
    }
)
"""Log events of a gateway that could not decode a message, a stored object or its settings."""
VOTE_DELAY_SECONDS = 2.0
"""Time after its start during which a router does not vote on operations."""
STREAM_TOKENS = 400


async def mixed_gateways(
    seed: int, folder: Path, sources: list[str], gateways: int, seconds: float
) -> Report:
    """Run one fleet of gateways of both builds and return its report."""
    world = SoakWorld(seed, folder, gateways, (str(LAUNCHER), *sources))
    background: list[asyncio.Task[None]] = []
    try:
        await world.start()
        balancer = LoadBalancer(world.gateways, world.random)
        background_work = (balancer.run(), world.send_heartbeats(), world.watch_event_loop())
        background = [asyncio.create_task(work) for work in background_work]
        await balancer.wait_for_all(READY_SECONDS)
        callers = [
            asyncio.create_task(new_client(number, world, balancer, direct=False).run())
            for number in range(CLIENTS)
        ]
        background.append(asyncio.create_task(world.restart_exited_gateways()))
        series = [
            asyncio.create_task(work)
            for work in (
                replace_gateways(world, balancer),
                make_planned_changes(world),
                limit_servers(world, LIMITED_SHARE, LIMIT_PER_SECOND),
                back_off_servers(world, BACKING_OFF_SHARE),
                drain_and_replace_servers(world, DRAINING_SHARE),
            )
        ]
        await asyncio.sleep(seconds)
        world.check_own_tasks([*background, *series])
        for task in series:
            task.cancel()
        world.ended = True
        await asyncio.gather(*callers)
    finally:
        for task in background:
            task.cancel()
        await world.stop()
    world.ledger.check_limits()
    world.check_signals()
    return _report_of(seed, world)


async def replace_gateways(world: SoakWorld, balancer: LoadBalancer) -> None:
    """Stop or kill the gateways in turn, until cancelled; each restarts with the other build."""
    while True:
        for gateway in world.gateways:
            starts = gateway.starts
            is_killed = world.random.random() < KILLED_SHARE
            gateway.send(signal.SIGKILL if is_killed else signal.SIGTERM)
            world.stops += 1
            while gateway.starts == starts or not balancer.is_in_rotation(gateway):
                await asyncio.sleep(0.05)
            await asyncio.sleep(world.random.uniform(*REPLACED_PAUSE_SECONDS))


def _report_of(seed: int, world: SoakWorld) -> Report:
    events: Counter[str] = Counter()
    builds: Counter[str] = Counter()
    lease_holders: set[tuple[str, int]] = set()
    for gateway in world.gateways:
        source = ""
        for line in gateway.log_lines():
            events[line["event"]] += 1
            if line["event"] == "build":
                source = line["source"]
                builds[source] += 1
            if line["event"] == "lease-held":
                lease_holders.add((source, line["fencing_token"]))
            if line["event"] in UNDECODED_EVENTS or line["event"] == "task-failed":
                world.ledger.violate(line["event"], f"{gateway.name}: {line}")
    verdicts = world.verdicts()
    lost = [item.request_id for item in world.requests if verdicts[item.request_id] in LOST]
    return {
        "seed": seed,
        "starts_by_build": dict(builds),
        "replaced": world.stops,
        "requests": len(world.requests),
        "outcomes": dict(sorted(world.ledger.outcomes.items())),
        "leases_by_build": dict(Counter(source for source, _ in lease_holders)),
        "weight_orders": events["weight-order"],
        "limits": world.ledger.limits.figures(time.monotonic()),
        "signals": world.ledger.signals.figures(),
        "lost": lost[:20],
        "violations": world.ledger.violations[:20],
    }


# -- routers ------------------------------------------------------------------------------------


@contextmanager
def build_of(source: str) -> Iterator[None]:
    """Make processes that are started in this context run the build of a `src` folder."""
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = source
    try:
        yield
    finally:
        if before is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = before


class MixedDeployment(LocalDeployment):
    """Stand-ins of the new build, and routers of both builds."""

    def __init__(self, sources: list[str]) -> None:
        super().__init__(engine_options=("--prefill-tokens-per-second", "20000"))
        self._sources = sources

    def start_router(self, index: int) -> LocalProcess:
        """Start a router; even indexes run the first build, odd ones the second."""
        with build_of(self._sources[index % len(self._sources)]):
            return super().start_router(index)


async def mixed_routers(sources: list[str]) -> Report:
    """Run routers of two builds, starting with the first of `sources`, and return a report."""
    deployment = MixedDeployment(sources)
    violations: list[str] = []
    try:
        await asyncio.to_thread(deployment.start)
        await asyncio.sleep(VOTE_DELAY_SECONDS)
        violations += await _check_members(deployment)
        violations += await _check_operations(deployment)
        violations += await _check_configuration(deployment)
        violations += await _check_resumed_stream(deployment)
    finally:
        deployment.stop()
    return {"routers": sources, "violations": violations}


async def _check_members(deployment: LocalDeployment) -> list[str]:
    found = []
    for router in deployment.routers:
        status, members = await _call("GET", f"http://{router.http}/admin/v1/members")
        states = [member["state"] for member in members["members"]] if status == 200 else []
        if states.count("alive") != len(deployment.routers):
            found.append(f"members of {router.name}: {status} {members}")
    return found


async def _check_operations(deployment: LocalDeployment) -> list[str]:
    """Check that each router replays the other one's operation, and that it runs only once."""
    found = []
    for first, second in (deployment.routers, deployment.routers[::-1]):
        key = mint_key(time.time(), random.Random())
        headers = {"Authorization": f"Bearer {TENANT_KEYS['nurses']}", "Idempotency-Key": key}
        answers = [
            await _call("POST", f"http://{router.http}/apps/roster/swaps", {"from": 7}, headers)
            for router in (first, second)
        ]
        assert deployment.application is not None
        _, executions = await _call(
            "GET", f"http://{deployment.application.http}/standin/executions"
        )
        if answers[0] != answers[1] or answers[0][0] != 201 or executions.get(key) != 1:
            found.append(f"operation at {first.name}: {answers}, ran {executions.get(key)} times")
    return found


async def _check_configuration(deployment: LocalDeployment) -> list[str]:
    """Check that each router applies a configuration change that the other one accepted."""
    found = []
    for number, router in enumerate(deployment.routers):
        path = f"/admin/v1/objects/Place/mixed-{number}"
        change = {"spec": {"labels": {}, "region": "mixed"}, "version": 0, "change_id": path}
        status, answer = await _call("PUT", f"http://{router.http}{path}", change)
        if status != 200:
            found.append(f"change at {router.name}: {status} {answer}")
            continue
        for other in deployment.routers:
            await asyncio.to_thread(deployment.wait_fresh, other, answer["revision"])
    return found


async def _check_resumed_stream(deployment: LocalDeployment) -> list[str]:
    """Check that a stream of a killed router is resumed at the other one with its resume token."""
    first, second = deployment.routers
    body = streaming_body(0, STREAM_TOKENS)
    result = StreamResult()
    started = asyncio.Event()
    async with aiohttp.ClientSession() as session:
        reading = asyncio.create_task(read_stream(session, first.http, body, result, started))
        await started.wait()
        first.kill()
        await reading
        if result.done:
            return ["the stream ended before its router was killed"]
        await read_stream(session, second.http, body, result)
    if result.done and result.text == expected(body):
        return []
    return [f"resumed at {second.name}: {result.error_type} {len(result.text)} characters"]


async def _call(
    method: str, url: str, document: object = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Status and decoded body of a call, by default with the operator's credentials."""
    given = headers or {"Authorization": f"Bearer {OPERATOR_KEY}"}
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=document, headers=given) as response,
    ):
        return response.status, json.loads(await response.read() or b"null")


def main() -> int:
    """Run the gateways with all seeds, then the routers in both build orders."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("old", type=Path, help="checkout of the build that starts first")
    parser.add_argument("new", type=Path, help="checkout of the build that replaces it")
    parser.add_argument("--seeds", default="", help="FIRST:LAST; default: one new seed")
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAYS, help="processes")
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="duration of replacements per seed"
    )
    parser.add_argument("--keep", type=Path, help="folder in which to keep the gateways' logs")
    arguments = parser.parse_args()
    sources = [str((arguments.old / "src").resolve()), str((arguments.new / "src").resolve())]

    def run_seed(seed: int, folder: Path) -> Coroutine[Any, Any, Report]:
        return mixed_gateways(seed, folder, sources, arguments.gateways, arguments.seconds)

    failed = run_seeds(arguments.seeds, arguments.keep, run_seed)
    for order in (sources, sources[::-1]):
        report = asyncio.run(mixed_routers(order))
        failed |= bool(report["violations"])
        print(json.dumps(report), flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(main())
