"""Crashes of engines, routers and applications: single, repeated and simultaneous."""

from __future__ import annotations

import asyncio
import functools

from milletcourse.exchange.evidence.containment_rules import CONTAINMENT_CRASHES
from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.cluster_records import SimulatedRouter
from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.world import World

LATE_EFFECT_SECONDS = 12.0
"""Delay of a write; it exceeds the router's timeout for an application's answer."""
CRASHING_REQUEST_REPEATS = 16
"""Number of times that the clients send the request that crashes engines."""
RESTART_BOUND_SECONDS = 1.0
"""A restarted router must be ready within this time, even while the platform is down."""


async def _engine_crash(world: World, clients: SimulatedClients) -> None:
    for index in (0, 3, 0):
        await asyncio.sleep(3)
        world.kill_engine(index)
        await asyncio.sleep(2)
        await world.restart_engine(index)
    await asyncio.sleep(5)


def _slow_applications(world: World, seconds: float) -> None:
    """Delay writes, so that the injected faults occur while writes are in flight."""
    for application in world.applications:
        application.faults.slow_seconds = seconds


async def _crashing_request(world: World, clients: SimulatedClients) -> None:
    await asyncio.sleep(2)
    await clients.repeat_crashing_request(CRASHING_REQUEST_REPEATS, 2.0)
    bound = CONTAINMENT_CRASHES * len(world.routers)
    crash_count = world.crashing_prompts.crash_count
    if crash_count > bound:
        world.record_violation("crashing-request-contained", f"{crash_count} engine crashes")
    await asyncio.sleep(8)


async def _router_kill(world: World, clients: SimulatedClients) -> None:
    _slow_applications(world, 1.0)
    for index in (0, 1, 2, 0):
        await asyncio.sleep(2.5)
        world.kill_router(index)
        await asyncio.sleep(1.5)
        await world.restart_router(index)
    await asyncio.sleep(5)


async def _restart_all_routers(world: World, clients: SimulatedClients) -> None:
    _slow_applications(world, 1.0)
    for _ in range(2):
        await asyncio.sleep(5)
        for index in range(len(world.routers)):
            world.kill_router(index)
        for index in range(len(world.routers)):
            await world.restart_router(index)
    await asyncio.sleep(8)


async def _restart_replicas_in_turn(world: World, clients: SimulatedClients) -> None:
    """Restart replicas one after another, at intervals shorter than a claim takes to settle."""
    _slow_applications(world, 1.5)
    for index in (0, 1, 2, 0, 1, 2):
        await asyncio.sleep(0.9)
        await world.restart_router(index)
    await asyncio.sleep(8)


async def _app_crash(world: World, clients: SimulatedClients) -> None:
    for step in range(10):
        await asyncio.sleep(1.5)
        application = world.applications[step % len(world.applications)]
        if step % 3 == 0:
            application.faults.crash_before = 2
        elif step % 3 == 1:
            application.faults.crash_after = 2
        else:
            slow = application.faults.slow_seconds
            application.faults.slow_seconds = 0.0 if slow else LATE_EFFECT_SECONDS
    _slow_applications(world, 0.0)
    await asyncio.sleep(2 * LATE_EFFECT_SECONDS)


def _serves(router: SimulatedRouter) -> bool:
    return router.node.store.revision > 0 and router.node.is_fresh()


async def _restart_without_platform(world: World, clients: SimulatedClients) -> None:
    await asyncio.sleep(2)
    world.set_platform_fault(down=True)
    for index in range(len(world.routers)):
        await asyncio.sleep(4)
        await world.restart_router(index)
        started_at = world.now()
        router = world.routers[index]
        try:
            await world.wait_until(functools.partial(_serves, router), RESTART_BOUND_SECONDS)
        except TimeoutError:
            world.record_violation(
                "restart-serves-at-once", f"{router.name} does not serve in time"
            )
        world.record_event(f"{router.name} serves after {world.now() - started_at:.3f}")
    await asyncio.sleep(5)
    world.set_platform_fault()
    await asyncio.sleep(3)


SCENARIOS = (
    Scenario(
        "engine-crash",
        "requests do not rely on a crashed engine; streams continue at another engine",
        _engine_crash,
        floor=0.99,
    ),
    Scenario(
        "crashing-request",
        "a request crashes at most three engines for each router that receives it",
        _crashing_request,
        floor=0.9,
    ),
    Scenario(
        "router-kill",
        "streams resume at another router; a write runs at most once",
        _router_kill,
        floor=0.9,
    ),
    Scenario(
        "herd-restart",
        "all routers restart at once, twice; a write runs at most once",
        _restart_all_routers,
        floor=0.75,
    ),
    Scenario(
        "replica-restarts",
        "replicas restart one after another; a write runs at most once",
        _restart_replicas_in_turn,
        floor=0.6,
        write_share=0.8,
    ),
    Scenario(
        "app-crash",
        "applications crash before and after a write takes effect",
        _app_crash,
        floor=0.75,
        write_share=0.8,
    ),
    Scenario(
        "restart-without-platform",
        "a restarted router gets its configuration from peers while the platform is down",
        _restart_without_platform,
        floor=0.85,
    ),
)
