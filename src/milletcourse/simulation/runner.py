"""Runs scenarios on a virtual clock."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import looptime

from milletcourse.logs import configure_logs
from milletcourse.node import RouterNode
from milletcourse.simulation.checks import ConfigurationMonitor, check_all
from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.outcome import SimulationReport
from milletcourse.simulation.world import NodeFactory, World

SETTLE_SECONDS = 3.0
"""Wait after the last request, so that the checks also see late executions."""

Script = Callable[[World, SimulatedClients], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named fault script with its load and its availability floor.

    Attributes:
        name: Name on the command line.
        invariant: Description of what the scenario verifies.
        script: Injects faults while clients send requests.
        floor: Lowest share of requests that must be served.
        callers: Number of concurrent callers.
        write_share: Share of writes among the requests.
        retry: Whether callers retry at another router after a failure.
        tokens: Length of a completion in tokens.
    """

    name: str
    invariant: str
    script: Script
    floor: float
    callers: int = 6
    write_share: float = 0.3
    retry: bool = True
    tokens: int = 12


def run_scenario(
    scenario: Scenario,
    seed: int,
    node_factory: NodeFactory = RouterNode,
    keep_trace: bool = False,
) -> tuple[SimulationReport, World]:
    """Run one scenario with one seed; equal arguments give equal reports.

    Returns:
        The report, and the world for inspection.
    """
    configure_logs("critical")
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)
    gc.collect()
    gc.disable()
    try:
        return loop.run_until_complete(_run(scenario, seed, node_factory, keep_trace))
    finally:
        gc.enable()
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
        asyncio.set_event_loop(None)


async def _run(
    scenario: Scenario, seed: int, node_factory: NodeFactory, keep_trace: bool
) -> tuple[SimulationReport, World]:
    world = World(seed, node_factory)
    world.trace.keep_lines = keep_trace
    await world.start()
    monitor = asyncio.ensure_future(ConfigurationMonitor(world).run())
    clients = SimulatedClients(
        world, write_share=scenario.write_share, retry=scenario.retry, tokens=scenario.tokens
    )
    clients.start(scenario.callers)
    await scenario.script(world, clients)
    await clients.finish()
    await asyncio.sleep(SETTLE_SECONDS)
    monitor.cancel()
    check_all(world, clients.totals)
    report = _report(scenario, seed, world, clients)
    await world.stop()
    return report, world


def _report(
    scenario: Scenario, seed: int, world: World, clients: SimulatedClients
) -> SimulationReport:
    totals = clients.totals
    share = totals.served / totals.requests if totals.requests else 0.0
    if share < scenario.floor:
        world.record_violation("availability", f"served {share:.3f}, floor {scenario.floor}")
    return SimulationReport(
        scenario=scenario.name,
        seed=seed,
        requests=totals.requests,
        served=totals.served,
        served_share=round(share, 4),
        floor=scenario.floor,
        refused=dict(sorted(totals.refused.items())),
        violations=tuple(world.violations[:20]),
        virtual_seconds=round(world.now(), 3),
        trace_hash=world.trace.digest(),
    )
