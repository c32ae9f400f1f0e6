"""The store goes away for a moment and comes back from a copy some seconds old, again and again."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from gateway_standin import StoreSnapshot
from milletcourse.cli.operator_port import call_gateway
from milletcourse.errors import FailureError
from milletcourse.gateway.operator_api import STORE_STATE_PATH
from soak.world import GATEWAY_KIND, LEASE_KIND, GatewayProcess, SoakWorld

SNAPSHOT_AGE_SECONDS = (0.3, 5.0)
OUTAGE_SECONDS = (0.0, 1.0)
REWRITE_DELAY_SECONDS = (0.0, 0.6)
"""The operator and the servers write again so long after the return."""
SECOND_RESTORE_CHANCE = 0.25
"""Of a return right after a return."""
PAUSE_SECONDS = (2.5, 5.0)
DRAIN_SECONDS = (3.0, 6.0)
"""A server ends so long after its entry said that it leaves, or went."""
SYNCED_SECONDS = 2.0
"""After a return, or the end of what disturbed a gateway since, all is known and listed by now."""
WEIGHT_UPDATE_SECONDS = 8.0
"""The bound on old weights, and a holder's lease before it."""
POLLS = 4
SAMPLE_SECONDS = 0.05
POLL_SECONDS = 0.2
"""A change that is under way differs in one look, and not in all."""


async def restore_store(world: SoakWorld) -> None:
    """Losses of some seconds, some with a second one at once, until cancelled."""
    while True:
        snapshot = _draw_snapshot(world)
        await asyncio.sleep(world.random.uniform(*SNAPSHOT_AGE_SECONDS))
        await _restore(world, snapshot)
        if world.random.random() < SECOND_RESTORE_CHANCE:
            await asyncio.sleep(world.random.uniform(0.0, 0.5))
            await _restore(world, snapshot)
        await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))


def _draw_snapshot(world: SoakWorld) -> StoreSnapshot:
    """As the store is, or as if gateways had entered, and the lease been made, a moment later."""
    snapshot = world.store.take_snapshot()
    if world.random.random() < 0.4:
        snapshot = snapshot.without(LEASE_KIND, list(snapshot.objects.get(LEASE_KIND, {})))
    if world.random.random() < 0.4:
        names = list(snapshot.objects.get(GATEWAY_KIND, {}))
        entered = world.random.sample(names, world.random.randint(1, max(len(names), 1)))
        snapshot = snapshot.without(GATEWAY_KIND, entered)
    return snapshot


async def _restore(world: SoakWorld, snapshot: StoreSnapshot) -> None:
    """The operator and the servers write again a moment after the store is there."""
    store = world.store
    resets_connections = world.random.random() < 0.7
    outage_seconds = world.random.uniform(*OUTAGE_SECONDS)
    rewrite_delay_seconds = world.random.uniform(*REWRITE_DELAY_SECONDS)
    world.is_restoring = store.unavailable = True
    world.on_store_unavailable()
    if resets_connections:
        store.reset_connections()
    try:
        await asyncio.sleep(outage_seconds)
    finally:
        store.unavailable = False
        store.restore(snapshot, resets_connections=resets_connections, rewrites_lost=False)
        world.own_reset_at = store.reset_at
        try:
            await asyncio.sleep(rewrite_delay_seconds)
        finally:
            # Whoever ends the series leaves a store that lacks nothing.
            store.rewrite_lost()
            world.is_restoring = False
            world.on_store_restored()


async def drain_servers(world: SoakWorld) -> None:
    """Servers are replaced, and say so in their entries, or their entries just go."""
    while True:
        name = world.random.choice(list(world.servers))
        await world.add_server(world.servers[name].service)
        await asyncio.sleep(world.random.uniform(0.2, 0.6))
        if name in world.servers:
            world.announce_draining(name, by_state=world.random.random() < 0.7)
            await asyncio.sleep(world.random.uniform(*DRAIN_SECONDS))
            await world.retire_server(name)


async def revoke_keys(world: SoakWorld) -> None:
    """A key after the other is taken away, and a new one given to its tenant."""
    number = 0
    while True:
        await asyncio.sleep(world.random.uniform(1.0, 2.5))
        key = world.random.choice(list(world.keys))
        number += 1
        world.replace_key(key, f"{key.partition('+')[0]}+{number}")


async def check_gateways_match_store(world: SoakWorld) -> None:
    """Each gateway that runs undisturbed is listed, and knows what the store holds."""
    await asyncio.gather(*(_check(world, gateway) for gateway in world.gateways))


async def _check(world: SoakWorld, gateway: GatewayProcess) -> None:
    began_at = time.monotonic()
    state: dict[str, Any] = {}
    for poll in range(POLLS):
        if poll:
            await asyncio.sleep(POLL_SECONDS)
        state = await _state(gateway)
        if state and _is_equal(state) and gateway.name in world.store.objects[GATEWAY_KIND]:
            world.matched += 1
            return
    since = began_at - SYNCED_SECONDS
    now = time.monotonic()
    if gateway.is_late(now):
        world.ledger.violate("start", f"{gateway.name} doesn't listen yet")
    if world.ended or world.was_store_disturbed(since, now):
        return
    if not gateway.has_run_undisturbed(since, now):
        return
    listed = gateway.name in world.store.objects[GATEWAY_KIND]
    world.ledger.violate("store", f"{gateway.name} listed={listed}: {json.dumps(state)[:600]}")


async def _state(gateway: GatewayProcess) -> dict[str, Any]:
    try:
        body = await call_gateway("GET", gateway.operators, STORE_STATE_PATH, 200)
    except FailureError:
        return {}
    found: dict[str, Any] = json.loads(body)
    return found


def _is_equal(state: dict[str, Any]) -> bool:
    return not any(
        kind["missing"] or kind["extra"] or kind["different"] or kind["problem"]
        for kind in state["kinds"]
    )


def start_restores(world: SoakWorld) -> list[asyncio.Task[None]]:
    """Returns of the store, and what must not be missed after them."""
    series = (restore_store, drain_servers, revoke_keys, check_each_restore, watch_store)
    return [asyncio.create_task(work(world)) for work in series]


async def check_after_restores(world: SoakWorld) -> None:
    """When all is over, everybody knows the store, and the servers have the newest weights."""
    await asyncio.sleep(SYNCED_SECONDS)
    await check_gateways_match_store(world)
    ends_at = time.monotonic() + WEIGHT_UPDATE_SECONDS
    while (old := _with_old_weights(world)) and time.monotonic() < ends_at:
        await asyncio.sleep(POLL_SECONDS)
    if old:
        world.ledger.violate("weights", f"{old} have not version {world.version}")


def _with_old_weights(world: SoakWorld) -> list[str]:
    return [
        server.name
        for server in world.servers.values()
        if server.version is not None and server.version < world.version and not server.draining
    ]


def store_figures(world: SoakWorld) -> dict[str, int]:
    """What the store went through, and how much of it could be seen."""
    if not world.restores:
        return {}
    return {
        "returns": len(world.restores),
        "compared": world.matched,
        "drained": len(world.drains.draining_since),
        "revoked": len(world.ledger.revoked_at),
    }


async def watch_store(world: SoakWorld) -> None:
    """Other faults take the store away as well: notes when it last was, until cancelled."""
    while True:
        delays = [gateway.store.delay_seconds for gateway in world.gateways]
        resets_connections = world.store.reset_at != world.own_reset_at
        is_unavailable = world.store.unavailable or world.store.silent or resets_connections
        if not world.is_restoring and (is_unavailable or any(delays)):
            world.store_disturbances.append(time.monotonic())
            world.own_reset_at = world.store.reset_at
        await asyncio.sleep(SAMPLE_SECONDS)


async def check_each_restore(world: SoakWorld) -> None:
    """Some time after each return, gateways are compared with the store, until cancelled."""
    while True:
        await world.store_restored.wait()
        world.store_restored.clear()
        await asyncio.sleep(SYNCED_SECONDS)
        if not world.store_restored.is_set():
            await check_gateways_match_store(world)
