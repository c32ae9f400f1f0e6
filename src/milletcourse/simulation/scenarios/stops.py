"""Planned stops of routers and engines, draining machines, new weights and member changes."""

from __future__ import annotations

import asyncio

from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.deployment import MODEL
from milletcourse.simulation.operators import SimulatedOperator
from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.world import World

WEIGHTS_BOUND_SECONDS = 20.0
ROUTER_SET_BOUND_SECONDS = 20.0


async def _stop_routers(world: World, clients: SimulatedClients) -> None:
    for index in range(3):
        await asyncio.sleep(4)
        await world.stop_router(index)
        await asyncio.sleep(1)
        await world.restart_router(index)
    await asyncio.sleep(6)


async def _stop_engines(world: World, clients: SimulatedClients) -> None:
    for index in (0, 3, 1):
        await asyncio.sleep(4)
        await world.stop_engine(index)
        await asyncio.sleep(1)
        await world.restart_engine(index)
    await asyncio.sleep(4)


async def _machine_list(world: World, clients: SimulatedClients) -> None:
    """Only the platform's machine list reports a draining machine; the engine does not."""
    await asyncio.sleep(4)
    world.record_event("machine engine-1 leaves")
    world.mark_machine_leaving("engine-1")
    await asyncio.sleep(15)


async def _new_weights(world: World, clients: SimulatedClients) -> None:
    operator = SimulatedOperator(world, "one")
    for version in ("2", "3"):
        await asyncio.sleep(5)
        await operator.change("Model", MODEL, {"weight_version": version}, 0)
        await asyncio.sleep(WEIGHTS_BOUND_SECONDS)
        for engine in world.engines:
            if engine.app.core.loaded.get(MODEL) != version:
                world.record_violation(
                    "weights-in-service", f"{engine.name} lacks version {version}"
                )
    operator.check()


async def _router_set(world: World, clients: SimulatedClients) -> None:
    """Change the router set twice during writes, each time while a router is suspended."""
    for application in world.applications:
        application.faults.slow_seconds = 0.5
    operator = SimulatedOperator(world, "one")
    all_members = [
        {"name": item.name, "address": item.host.address, "place": item.host.place}
        for item in world.routers
    ]
    current_members = all_members
    for epoch, members in ((2, all_members[:1]), (3, all_members[1:])):
        await asyncio.sleep(4)
        world.freeze(world.routers[epoch - 2])
        spec = {
            "epoch": epoch,
            "members": members,
            "previous_members": current_members,
            "from_mint_seconds": world.wall() + 3.0,
            "confirmed": False,
        }
        await operator.change("RouterSet", "default", spec, (epoch - 1) % 3)
        await asyncio.sleep(4)
        world.thaw(world.routers[epoch - 2])
        await asyncio.sleep(ROUTER_SET_BOUND_SECONDS)
        stored = world.platform.core.get("RouterSet", "default")
        if stored is None or not stored.spec.get("confirmed", True):
            world.record_violation("router-set-changes", f"epoch {epoch} is not confirmed")
        current_members = members
    await asyncio.sleep(4)
    operator.check()


SCENARIOS = (
    Scenario(
        "planned-router-stops",
        "a planned stop of a router interrupts no request",
        _stop_routers,
        floor=1.0,
        write_share=0.0,
        retry=False,
        tokens=60,
    ),
    Scenario(
        "planned-engine-stops",
        "a planned stop of an engine interrupts no request; a draining engine gets no new work",
        _stop_engines,
        floor=1.0,
    ),
    Scenario(
        "machine-list",
        "a machine reported as leaving only by the platform's list gets no new work",
        _machine_list,
        floor=1.0,
    ),
    Scenario(
        "new-weights",
        "weights change under a fenced lease; no request relies on older weights",
        _new_weights,
        floor=0.9,
        callers=4,
    ),
    Scenario(
        "router-set-change",
        "the members that keep claims change; a write runs at most once",
        _router_set,
        floor=0.6,
        write_share=0.8,
    ),
)
