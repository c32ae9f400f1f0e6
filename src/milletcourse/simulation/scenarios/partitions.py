"""Routers are suspended or partitioned while placement rules become stricter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.cluster_records import SimulatedRouter
from milletcourse.simulation.deployment import CARE_TENANTS, care_workload
from milletcourse.simulation.operators import SimulatedOperator
from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.world import World

BOTH_POOLS = ("shared", "guarded")


async def _narrow_placement(world: World, operator: SimulatedOperator, router: int) -> None:
    """Restrict the care tenants to the shared pool, retrying through other routers."""
    for attempt in range(3):
        spec = care_workload()
        answer = await operator.change("Workload", "care-checks", spec, (router + attempt) % 3)
        if answer == "accepted":
            return
        await asyncio.sleep(0.5)


async def _freeze(world: World, clients: SimulatedClients) -> None:
    operator = SimulatedOperator(world, "one")
    for index in range(3):
        other = (index + 1) % 3
        await operator.change("Workload", "care-checks", care_workload(BOTH_POOLS), other)
        await asyncio.sleep(8)
        world.freeze(world.routers[index])
        await asyncio.sleep(1)
        await _narrow_placement(world, operator, other)
        await asyncio.sleep(12)
        world.thaw(world.routers[index])
        await asyncio.sleep(4)
    operator.check()


async def _narrow_during_partitions(
    world: World, isolate: Callable[[SimulatedRouter], None]
) -> None:
    """Partition each router in turn and restrict placement through another router meanwhile."""
    operator = SimulatedOperator(world, "one")
    for index in range(3):
        other = (index + 1) % 3
        await operator.change("Workload", "care-checks", care_workload(BOTH_POOLS), other)
        await asyncio.sleep(8)
        isolate(world.routers[index])
        await asyncio.sleep(1)
        await _narrow_placement(world, operator, other)
        await asyncio.sleep(12)
        world.heal()
        await asyncio.sleep(4)
    operator.check()


async def _partition_both_ways(world: World, clients: SimulatedClients) -> None:
    await _narrow_during_partitions(
        world, lambda router: world.partition_router(router, True, True)
    )


async def _partition_inbound(world: World, clients: SimulatedClients) -> None:
    await _narrow_during_partitions(
        world, lambda router: world.partition_router(router, True, False)
    )


async def _partition_outbound(world: World, clients: SimulatedClients) -> None:
    await _narrow_during_partitions(
        world, lambda router: world.partition_router(router, False, True)
    )


async def _partition_from_control(world: World, clients: SimulatedClients) -> None:
    """Partition routers from the platform and their peers, but not from the engines."""

    def isolate(router: SimulatedRouter) -> None:
        peers = [item.host for item in world.routers if item is not router]
        control = [world.platform_host, *peers]
        world.record_event(f"cut {router.name} from control")
        world.network.partition(control, [router.host])
        world.network.partition([router.host], control)

    await _narrow_during_partitions(world, isolate)


async def _scope_change(world: World, clients: SimulatedClients) -> None:
    """Move a tenant out of its reuse group; restarted engines import only permitted prefixes."""
    operator = SimulatedOperator(world, "one")
    spec = {"labels": {"group": "care"}, "key_hashes": []}
    for index in range(2):
        await asyncio.sleep(6)
        stored = world.platform.core.get("Tenant", CARE_TENANTS[2])
        assert stored is not None
        spec = dict(stored.spec)
        spec["labels"] = {"group": "guard" if index == 0 else "care"}
        await operator.change("Tenant", CARE_TENANTS[2], spec, index)
        await asyncio.sleep(2)
        for engine in (3, 4):
            await world.restart_engine(engine)
    await asyncio.sleep(6)
    operator.check()


SCENARIOS = (
    Scenario(
        "freeze",
        "a suspended router enforces a stricter selector once it resumes",
        _freeze,
        floor=0.8,
        callers=4,
    ),
    Scenario(
        "cut-both-ways",
        "a partitioned router enforces a stricter selector",
        _partition_both_ways,
        floor=0.7,
        callers=4,
    ),
    Scenario(
        "cut-inbound",
        "the same for a partition of inbound traffic",
        _partition_inbound,
        floor=0.6,
        callers=4,
    ),
    Scenario(
        "cut-outbound",
        "the same for a partition of outbound traffic",
        _partition_outbound,
        floor=0.6,
        callers=4,
    ),
    Scenario(
        "cut-from-control",
        "a router without proof of freshness refuses regulated work, though it reaches engines",
        _partition_from_control,
        floor=0.8,
        callers=4,
    ),
    Scenario(
        "scope-change",
        "a tenant removed from a reuse group no longer reuses its prefixes",
        _scope_change,
        floor=0.99,
        callers=8,
    ),
)
