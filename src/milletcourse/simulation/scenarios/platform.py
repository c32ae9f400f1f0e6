"""The platform is down or slow, loses answers, serves an older state or loses its history."""

from __future__ import annotations

import asyncio

from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.deployment import care_workload
from milletcourse.simulation.operators import SimulatedOperator
from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.world import World

OUTAGE_SECONDS = 600.0


async def _outage(world: World, clients: SimulatedClients) -> None:
    operator = SimulatedOperator(world, "one")
    await asyncio.sleep(5)
    world.set_platform_fault(down=True)
    await asyncio.sleep(OUTAGE_SECONDS / 2)
    await operator.change("Workload", "care-checks", care_workload(("shared", "guarded")), 0)
    await asyncio.sleep(OUTAGE_SECONDS / 2)
    world.set_platform_fault()
    await asyncio.sleep(2)
    await operator.change("Workload", "care-checks", care_workload(("shared", "guarded")), 1)
    await asyncio.sleep(15)
    operator.check()
    if not operator.answers.accepted:
        world.record_violation("availability", "no change was accepted after the outage")


async def _slow_platform(world: World, clients: SimulatedClients) -> None:
    operator = SimulatedOperator(world, "one")
    await asyncio.sleep(5)
    world.set_platform_fault(slow_seconds=2.0)
    for index in range(4):
        await asyncio.sleep(10)
        pools = ("shared",) if index % 2 else ("shared", "guarded")
        await operator.change("Workload", "care-checks", care_workload(pools), index % 3)
    world.set_platform_fault(slow_seconds=10.0)
    await asyncio.sleep(30)
    world.set_platform_fault()
    await asyncio.sleep(15)
    operator.check()


async def _lost_answers(world: World, clients: SimulatedClients) -> None:
    operators = [SimulatedOperator(world, name) for name in ("one", "two")]
    for index in range(8):
        await asyncio.sleep(2)
        world.platform.faults.lose_answers = index % 3
        pools = ("shared",) if index % 2 else ("shared", "guarded")
        await asyncio.gather(
            operators[0].change("Workload", "care-checks", care_workload(pools), index % 3),
            operators[1].change("Workload", "care-checks", care_workload(), (index + 1) % 3),
        )
    world.platform.faults.lose_answers = 0
    await asyncio.sleep(10)
    for operator in operators:
        operator.check()


async def _serve_older_state(world: World, clients: SimulatedClients) -> None:
    operator = SimulatedOperator(world, "one")
    older_state = world.platform.snapshot()
    await asyncio.sleep(3)
    await operator.change("Workload", "care-checks", care_workload(("shared", "guarded")), 0)
    await asyncio.sleep(6)
    world.record_event("platform shows older state")
    world.platform.serve_older_state(older_state)
    world.platform_last_fault_at = world.now()
    await asyncio.sleep(4)
    await world.restart_router(1)
    await asyncio.sleep(6)
    world.record_event("platform shows present state")
    world.platform.serve_older_state(None)
    world.platform_last_fault_at = world.now()
    world.platform.core.lose_history()
    world.platform.notify_watches()
    await asyncio.sleep(8)
    await operator.change("Workload", "care-checks", care_workload(), 2)
    await asyncio.sleep(8)
    operator.check()


SCENARIOS = (
    Scenario(
        "platform-outage",
        "ten minutes without the platform: requests are served, refused changes never commit",
        _outage,
        floor=0.99,
        callers=2,
    ),
    Scenario(
        "platform-slow",
        "a slow platform: requests are served, answers to changes match the stored state",
        _slow_platform,
        floor=0.95,
        callers=3,
    ),
    Scenario(
        "lost-answers",
        "platform answers are lost while operators race; answers match the stored state",
        _lost_answers,
        floor=0.99,
    ),
    Scenario(
        "older-state",
        "the platform serves an older state and loses its history; no router reverts",
        _serve_older_state,
        floor=0.9,
    ),
)
