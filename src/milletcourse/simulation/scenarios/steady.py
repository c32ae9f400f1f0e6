"""No faults, or network and cache event faults that must not affect clients."""

from __future__ import annotations

import asyncio

from milletcourse.simulation.checks import check_refusals_immediate
from milletcourse.simulation.clients import SimulatedClients
from milletcourse.simulation.deployment import CARE_TENANTS
from milletcourse.simulation.operators import SimulatedOperator
from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.world import World


async def _steady(world: World, clients: SimulatedClients) -> None:
    await asyncio.sleep(20)


async def _cross_tokens(world: World, clients: SimulatedClients) -> None:
    for engine in world.engines:
        engine.app.faults.duplicate_tokens = True
        engine.app.faults.cross_tokens = True
    await asyncio.sleep(20)


async def _event_gaps(world: World, clients: SimulatedClients) -> None:
    for engine in world.engines:
        engine.app.faults.event_loss = 0.5
        engine.app.faults.event_delay_seconds = 5.0
        engine.app.faults.load_lag_seconds = 2.0
    await asyncio.sleep(20)


async def _datagrams(world: World, clients: SimulatedClients) -> None:
    world.network.faults.datagram_loss = 0.1
    world.network.faults.datagram_duplicate = 0.2
    world.network.faults.datagram_delay_seconds = 0.3
    await asyncio.sleep(30)


async def _tenant_limit(world: World, clients: SimulatedClients) -> None:
    """Requests over a tenant's limit are refused at once; other tenants are served."""
    operator = SimulatedOperator(world, "one")
    stored = world.platform.core.get("Tenant", CARE_TENANTS[0])
    assert stored is not None
    limit = {"prompt_tokens_per_second": 1000.0, "burst_tokens": 4000.0}
    await operator.change("Tenant", CARE_TENANTS[0], {**stored.spec, **limit}, 0)
    await asyncio.sleep(20)
    check_refusals_immediate(world, clients.totals)
    if not clients.totals.refusal_seconds:
        world.record_violation("availability", "the limit never refused")


SCENARIOS = (
    Scenario("steady", "every permitted request is served", _steady, floor=1.0),
    Scenario(
        "crossed-answers",
        "each caller gets its own complete answer despite crossed and duplicated events",
        _cross_tokens,
        floor=1.0,
    ),
    Scenario(
        "event-gaps",
        "with lost and late cache events, no request relies on missing blocks",
        _event_gaps,
        floor=1.0,
    ),
    Scenario(
        "datagram-faults",
        "loss, duplicates and reordering between routers affect no request",
        _datagrams,
        floor=1.0,
    ),
    Scenario(
        "tenant-limit",
        "a refusal is sent at once with a retry time",
        _tenant_limit,
        floor=0.7,
        callers=8,
        write_share=0.0,
        retry=False,
    ),
)
