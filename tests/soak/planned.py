"""Planned maintenance on real gateway processes with healthy servers: no request may be lost.

`python3 tests/soak/planned.py [--seeds FIRST:LAST] [--gateways N] [--seconds N] [--clients N]`

Gateways receive SIGTERM in turn and restart, some receive SIGHUP, the configuration changes and
weight versions are published, all concurrently and under load. Options make streams pause at their
servers, servers reject requests as full, and gateways be suspended for a while. Prints one JSON
line per seed; the exit code is 1 if a request that was sent completely ended without a complete
answer.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from soak.answers import LOST, RequestResult
from soak.clients import SHORT_PROMPT, ClientProfile, SoakClient
from soak.large_configuration import (
    APPLY_TARGET_SECONDS,
    change_configuration,
    configuration_figures,
    many_routes,
    probe_routes,
)
from soak.limits import limit_servers
from soak.load_balancer import LoadBalancer
from soak.seeds import Report, run_seeds
from soak.signals import back_off_servers, drain_and_replace_servers
from soak.store_restores import check_after_restores, start_restores, store_figures
from soak.world import (
    DEFAULT_GATEWAYS,
    GATEWAY_PROGRAM,
    Disturbance,
    GatewayProcess,
    SoakWorld,
)

KEEP_ALIVE = ClientProfile(
    SHORT_PROMPT,
    deadline_seconds=6.0,
    pause_seconds=(0.002, 0.04),
    close_share=0.05,
    pipelined_share=0.1,
)
"""Keeps its connection open for long and sometimes pipelines requests on it."""
CONNECTION_PER_REQUEST = replace(
    KEEP_ALIVE, close_share=1.0, pipelined_share=0.0, first_request_delay_seconds=0.2
)
"""Opens a connection for each request, which it sends after a short delay."""
PROFILES = (KEEP_ALIVE, CONNECTION_PER_REQUEST)
"""Assigned to the clients in turn."""
DEFAULT_CLIENTS = 40
READY_SECONDS = 30.0
QUIET_SECONDS = 1.0
SUSPEND_INTERVAL_SECONDS = 1.0
MAX_OWN_STALL_SECONDS = 0.3
"""If this process's event loop stalled for less than this in total, none of the servers that run in
it was silent for a second."""
COUNTED_EVENTS = ("left", "instance-ejected", "instance-suspected", "stream-cut")
"""Gateway actions against servers and streams, counted from log lines."""
PERCENTILES = {"p50": 0.5, "p99": 0.99}
MUTANTS_FILE = Path(__file__).parent / "mutants.py"


async def restart_gateways_in_turn(
    world: SoakWorld, balancer: LoadBalancer, at_a_time: int
) -> None:
    """Send SIGTERM to gateways in turn, each group after the previous one is back in rotation."""
    while True:
        for first in range(0, len(world.gateways), at_a_time):
            group = world.gateways[first : first + at_a_time]
            starts = {gateway.name: gateway.starts for gateway in group}
            for gateway in group:
                gateway.send(signal.SIGTERM)
                world.stops += 1
            while any(
                gateway.starts == starts[gateway.name] or not balancer.is_in_rotation(gateway)
                for gateway in group
            ):
                await asyncio.sleep(0.05)


async def make_planned_changes(world: SoakWorld) -> None:
    """Reload settings, change the configuration and publish weight versions at random times."""
    while True:
        await asyncio.sleep(world.random.uniform(0.3, 1.5))
        drawn = world.random.random()
        if drawn < 0.4:
            started = [gateway for gateway in world.gateways if has_started(gateway)]
            if started:
                world.random.choice(started).send(signal.SIGHUP)
        elif drawn < 0.8:
            world.put_configuration()
        else:
            world.publish_version()


def has_started(gateway: GatewayProcess) -> bool:
    """Whether a process has logged that it started; before that, SIGHUP would terminate it."""
    return gateway.is_running() and gateway.has_started()


async def suspend_gateways(world: SoakWorld, seconds: float) -> None:
    """Suspend gateway processes in turn, as on an overloaded machine.

    A suspension excuses no lost request; it only excuses outdated knowledge of the store.
    """
    while True:
        await asyncio.sleep(SUSPEND_INTERVAL_SECONDS)
        gateway = world.random.choice(world.gateways)
        process = gateway.process
        if process is None or not has_started(gateway):
            continue
        process.send_signal(signal.SIGSTOP)
        suspension = Disturbance(time.monotonic())
        gateway.suspensions.append(suspension)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)
            suspension.ended_at = time.monotonic()
        world.suspensions += 1


@dataclass(frozen=True)
class PlannedRun:
    """Parameters of one run.

    Attributes:
        gateways: Number of gateway processes.
        clients: Number of clients.
        seconds: Duration of the maintenance.
        at_a_time: Number of gateways that stop together.
        direct: Clients bypass the load balancer.
        mutant: Known defect of the gateways, empty for none.
        pauses: Share of streams that their server pauses once for more than a second.
        full: Share of sends that servers reject as full.
        suspend_seconds: Duration of gateway suspensions, one at a time; 0 for none.
        stops: Whether gateways stop and restart.
        limited: Share of servers that announce rate limits, in turn.
        limit: Average announced limit in requests per second.
        descriptors: File descriptor limit of a gateway; 0 for the machine's default.
        backing_off: Share of servers that ask for back-off, in turn; 0 for none.
        connections: Connections that each server accepts from all gateways; 0 for no limit.
        draining: Share of servers that drain and are replaced, in turn; 0 for none.
        restores_store: Whether the store is restored from older snapshots, while keys are revoked
            and servers' entries are marked as draining.
        link_megabits: Bandwidth of each gateway's link; 0 for no limit.
        routes: Additional routes of the configuration, from the start of the maintenance.
        change_seconds: Interval of configuration writes; 0 for the usual changes.
        changes_only: Nothing but these writes happens.
    """

    gateways: int = DEFAULT_GATEWAYS
    clients: int = DEFAULT_CLIENTS
    seconds: float = 30.0
    at_a_time: int = 1
    direct: bool = False
    mutant: str = ""
    pauses: float = 0.0
    full: float = 0.0
    suspend_seconds: float = 0.0
    stops: bool = True
    limited: float = 0.0
    limit: float = 1.0
    descriptors: int = 0
    backing_off: float = 0.0
    draining: float = 0.0
    connections: int = 0
    restores_store: bool = False
    link_megabits: float = 0.0
    routes: int = 0
    change_seconds: float = 0.0
    changes_only: bool = False

    @property
    def is_large(self) -> bool:
        """Whether the propagation of the configuration is measured."""
        return bool(self.link_megabits or self.routes or self.change_seconds)

    @property
    def program(self) -> tuple[str, ...]:
        """Arguments of the Python interpreter that run a gateway."""
        return (str(MUTANTS_FILE), self.mutant) if self.mutant else GATEWAY_PROGRAM


async def planned_soak(seed: int, folder: Path, run: PlannedRun) -> Report:
    """Run one soak and return its report."""
    world = SoakWorld(seed, folder, run.gateways, run.program)
    background: list[asyncio.Task[None]] = []
    large: dict[str, Any] = {}
    try:
        world.descriptors = run.descriptors
        world.max_connections = run.connections
        world.link_megabits = run.link_megabits
        world.link_callers = bool(run.link_megabits) and not run.stops
        world.serves_state = run.restores_store
        await world.start()
        for server in world.servers.values():
            server.fault_rates.pause = run.pauses
            server.fault_rates.shed = run.full
        balancer = LoadBalancer(world.gateways, world.random)
        background_work = (balancer.run(), world.send_heartbeats(), world.watch_event_loop())
        background = [asyncio.create_task(work) for work in background_work]
        await balancer.wait_for_all(READY_SECONDS)
        callers = [
            asyncio.create_task(new_client(number, world, balancer, run.direct).run())
            for number in range(run.clients)
        ]
        background.append(asyncio.create_task(world.restart_exited_gateways()))
        await asyncio.sleep(QUIET_SECONDS)
        work = []
        if run.is_large:
            world.routes = many_routes(run.routes, world.random)
            work.append(asyncio.create_task(probe_routes(world)))
        if run.change_seconds:
            work.append(asyncio.create_task(change_configuration(world, run.change_seconds)))
        if not run.changes_only:
            work.append(asyncio.create_task(make_planned_changes(world)))
        if run.stops:
            work.append(
                asyncio.create_task(restart_gateways_in_turn(world, balancer, run.at_a_time))
            )
        if run.suspend_seconds:
            work.append(asyncio.create_task(suspend_gateways(world, run.suspend_seconds)))
        if run.limited:
            work.append(asyncio.create_task(limit_servers(world, run.limited, run.limit)))
        if run.backing_off:
            work.append(asyncio.create_task(back_off_servers(world, run.backing_off)))
        if run.draining:
            work.append(asyncio.create_task(drain_and_replace_servers(world, run.draining)))
        if run.restores_store:
            work += start_restores(world)
        await asyncio.sleep(run.seconds)
        for task in work:
            task.cancel()
        if run.restores_store:
            await check_after_restores(world)
        if run.is_large:
            await asyncio.sleep(APPLY_TARGET_SECONDS)
            large = configuration_figures(world)
        world.ended = True
        await asyncio.gather(*callers)
    finally:
        for task in background:
            task.cancel()
        await world.stop()
    if not run.suspend_seconds:
        # A suspended gateway cannot abort a stream's previous attempt.
        world.ledger.check_overlaps()
    world.ledger.check_limits()
    world.check_signals()
    report = report_of(seed, world, servers_are_silent=run.pauses > 0.0)
    return {**report, "configuration": large} if run.is_large else report


def new_client(number: int, world: SoakWorld, balancer: LoadBalancer, direct: bool) -> SoakClient:
    """A client that uses the load balancer, or connects to a random gateway."""
    source = random.Random(number)
    profile = PROFILES[number % len(PROFILES)]

    def any_gateway() -> GatewayProcess:
        return source.choice(world.gateways)

    return SoakClient(number, world, source, any_gateway if direct else balancer.choose, profile)


def report_of(seed: int, world: SoakWorld, servers_are_silent: bool) -> Report:
    """Report with counts by verdict and the first lost requests."""
    servers_may_be_silent = (
        servers_are_silent or world.clock.stalled_seconds > MAX_OWN_STALL_SECONDS
    )
    verdicts = world.verdicts()
    lost = [item for item in world.requests if verdicts[item.request_id] in LOST]
    events: Counter[str] = Counter()
    for gateway in world.gateways:
        for line in gateway.log_lines():
            if line["event"] == "attempt-failed" and line["loss"] == "aborted":
                events["left"] += 1
            events[line["event"]] += 1
            if (
                is_silence_verdict(line)
                and not servers_may_be_silent
                and line["instance"] not in world.terminated_servers
            ):
                world.ledger.violate(
                    "blamed", f"gateway ejected or aborted a server that was never silent: {line}"
                )
            if line["event"] == "task-failed":
                world.ledger.violate("defect", f"{gateway.name}: {line}")
    return {
        "seed": seed,
        "stops": world.stops,
        "requests": len(world.requests),
        "pauses": world.ledger.pauses,
        "holds": world.suspensions,
        "own_absence": round(world.clock.stalled_seconds, 2),
        "judged": {name: events[name] for name in COUNTED_EVENTS if events[name]},
        "limits": world.ledger.limits.figures(time.monotonic()),
        "resets": sum(server.resets for server in world.servers.values()),
        "signals": world.ledger.signals.figures(),
        "store": store_figures(world),
        "outcomes": dict(sorted(world.ledger.outcomes.items())),
        "seconds_to_answer": answer_times(world),
        "verdicts": dict(Counter(verdict.value for verdict in verdicts.values())),
        "lost": [
            {
                "id": item.request_id,
                "gateway": item.gateway,
                "verdict": verdicts[item.request_id].value,
                "end": item.end.value if item.end is not None else None,
                "position": item.position,
                "waited": round(item.ended_at - item.sent_at, 4),
                "wall": round(time.time() - time.monotonic() + item.ended_at, 3),
            }
            for item in lost[:20]
        ],
        "violations": world.ledger.violations[:20],
    }


def answer_times(world: SoakWorld) -> dict[str, float]:
    """Median and 99th percentile of the time until an answer was complete."""
    times = sorted(
        item.ended_at - item.sent_at
        for item in world.requests
        if item.end is RequestResult.COMPLETE
    )
    if not times:
        return {}
    return {name: round(times[int(len(times) * share)], 3) for name, share in PERCENTILES.items()}


def is_silence_verdict(line: dict[str, Any]) -> bool:
    """Whether a log line reports that a gateway ejected or abandoned a server as silent."""
    if line["event"] == "instance-ejected":
        return True
    return line["event"] == "attempt-failed" and line["left"] == "silent"


def main() -> int:
    """Run all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="FIRST:LAST; default: one new seed")
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="duration of maintenance per seed"
    )
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAYS, help="processes")
    parser.add_argument("--clients", type=int, default=DEFAULT_CLIENTS)
    parser.add_argument("--at-a-time", type=int, default=1, help="gateways that stop together")
    parser.add_argument("--direct", action="store_true", help="clients bypass the load balancer")
    parser.add_argument("--mutant", default="", help="a known defect, see soak/mutants.py")
    parser.add_argument("--keep", type=Path, help="folder in which to keep the gateways' logs")
    parser.add_argument("--pauses", type=float, default=0.0, help="share of streams that pause")
    parser.add_argument(
        "--full", type=float, default=0.0, help="share of sends that servers reject as full"
    )
    parser.add_argument(
        "--hold", type=float, default=0.0, help="seconds for which gateways are suspended"
    )
    parser.add_argument("--no-stops", action="store_true", help="do not stop gateways")
    parser.add_argument("--limited", type=float, default=0.0, help="share of servers with limits")
    parser.add_argument(
        "--limit", type=float, default=1.0, help="average limit in requests per second"
    )
    parser.add_argument(
        "--descriptors", type=int, default=0, help="file descriptor limit of a gateway"
    )
    parser.add_argument(
        "--resting", type=float, default=0.0, help="share of servers that ask for back-off"
    )
    parser.add_argument("--connections", type=int, default=0, help="connection limit of a server")
    parser.add_argument("--leaving", type=float, default=0.0, help="share of servers that drain")
    parser.add_argument("--copies", action="store_true", help="restore the store from snapshots")
    parser.add_argument(
        "--link", type=float, default=0.0, help="link bandwidth of each gateway in Mbit/s"
    )
    parser.add_argument("--routes", type=int, default=0, help="additional routes")
    parser.add_argument(
        "--changes", type=float, default=0.0, help="seconds between configuration versions"
    )
    parser.add_argument("--calm", action="store_true", help="make no other changes")
    arguments = parser.parse_args()
    run = PlannedRun(
        arguments.gateways,
        arguments.clients,
        arguments.seconds,
        arguments.at_a_time,
        arguments.direct,
        arguments.mutant,
        arguments.pauses,
        arguments.full,
        arguments.hold,
        not arguments.no_stops,
        arguments.limited,
        arguments.limit,
        arguments.descriptors,
        arguments.resting,
        arguments.leaving,
        arguments.connections,
        arguments.copies,
        arguments.link,
        arguments.routes,
        arguments.changes,
        arguments.calm,
    )
    return run_seeds(
        arguments.seeds, arguments.keep, lambda seed, folder: planned_soak(seed, folder, run)
    )


if __name__ == "__main__":
    sys.exit(main())
