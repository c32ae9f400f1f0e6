"""Takes the store down briefly and restores it from a snapshot some seconds old, repeatedly."""

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
"""Range of the delay after a restore until the operator and the servers rewrite their objects."""
SECOND_RESTORE_CHANCE = 0.25
"""Chance of a second restore directly after a restore."""
PAUSE_SECONDS = (2.5, 5.0)
DRAIN_SECONDS = (3.0, 6.0)
"""Range of the time for which a server keeps serving after its entry was marked as draining or
removed."""
SYNCED_SECONDS = 2.0
"""Time after a restore, or after the end of a later disturbance of a gateway, by which the gateway
is listed in the store and knows its contents."""
WEIGHT_UPDATE_SECONDS = 8.0
"""Upper bound for replacing old weights, including the expiry of a previous holder's lease."""
POLLS = 4
SAMPLE_SECONDS = 0.05
POLL_SECONDS = 0.2
"""Time between polls; a change that is still propagating makes one poll differ, but not all."""


async def restore_store(world: SoakWorld) -> None:
    """Restore the store from snapshots, sometimes twice in a row, until cancelled."""
    while True:
        snapshot = _draw_snapshot(world)
        await asyncio.sleep(world.random.uniform(*SNAPSHOT_AGE_SECONDS))
        await _restore(world, snapshot)
        if world.random.random() < SECOND_RESTORE_CHANCE:
            await asyncio.sleep(world.random.uniform(0.0, 0.5))
            await _restore(world, snapshot)
        await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))


def _draw_snapshot(world: SoakWorld) -> StoreSnapshot:
    """Take a snapshot of the store, sometimes without the lease or some gateways' entries.

    Such a snapshot looks as if these objects had been written after it was taken.
    """
    snapshot = world.store.take_snapshot()
    if world.random.random() < 0.4:
        snapshot = snapshot.without(LEASE_KIND, list(snapshot.objects.get(LEASE_KIND, {})))
    if world.random.random() < 0.4:
        names = list(snapshot.objects.get(GATEWAY_KIND, {}))
        entered = world.random.sample(names, world.random.randint(1, max(len(names), 1)))
        snapshot = snapshot.without(GATEWAY_KIND, entered)
    return snapshot


async def _restore(world: SoakWorld, snapshot: StoreSnapshot) -> None:
    """Restore the store after an outage; lost objects are rewritten a short time later."""
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
            # Lost objects are rewritten even when this task is cancelled.
            store.rewrite_lost()
            world.is_restoring = False
            world.on_store_restored()


async def drain_servers(world: SoakWorld) -> None:
    """Replace servers, whose entries are first marked as draining or just removed."""
    while True:
        name = world.random.choice(list(world.servers))
        await world.add_server(world.servers[name].service)
        await asyncio.sleep(world.random.uniform(0.2, 0.6))
        if name in world.servers:
            world.announce_draining(name, by_state=world.random.random() < 0.7)
            await asyncio.sleep(world.random.uniform(*DRAIN_SECONDS))
            await world.retire_server(name)


async def revoke_keys(world: SoakWorld) -> None:
    """Revoke one API key after another and issue a new one to the same tenant."""
    number = 0
    while True:
        await asyncio.sleep(world.random.uniform(1.0, 2.5))
        key = world.random.choice(list(world.keys))
        number += 1
        world.replace_key(key, f"{key.partition('+')[0]}+{number}")


async def check_gateways_match_store(world: SoakWorld) -> None:
    """Check that each undisturbed gateway is listed in the store and knows the store's contents."""
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
        world.ledger.violate("start", f"{gateway.name} is not listening yet")
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
    """Start store restores together with drains, key revocations and the checks after restores."""
    series = (restore_store, drain_servers, revoke_keys, check_each_restore, watch_store)
    return [asyncio.create_task(work(world)) for work in series]


async def check_after_restores(world: SoakWorld) -> None:
    """Check at the end that gateways match the store and servers have the newest weights."""
    await asyncio.sleep(SYNCED_SECONDS)
    await check_gateways_match_store(world)
    ends_at = time.monotonic() + WEIGHT_UPDATE_SECONDS
    while (old := _with_old_weights(world)) and time.monotonic() < ends_at:
        await asyncio.sleep(POLL_SECONDS)
    if old:
        world.ledger.violate("weights", f"{old} do not have weight version {world.version}")


def _with_old_weights(world: SoakWorld) -> list[str]:
    return [
        server.name
        for server in world.servers.values()
        if server.version is not None and server.version < world.version and not server.draining
    ]


def store_figures(world: SoakWorld) -> dict[str, int]:
    """Counts of restores, matching gateways, drained servers and revoked keys."""
    if not world.restores:
        return {}
    return {
        "returns": len(world.restores),
        "compared": world.matched,
        "drained": len(world.entry_ledger.draining_since),
        "revoked": len(world.ledger.revoked_at),
    }


async def watch_store(world: SoakWorld) -> None:
    """Record when other faults make the store unavailable or slow, until cancelled."""
    while True:
        delays = [gateway.store.delay_seconds for gateway in world.gateways]
        resets_connections = world.store.reset_at != world.own_reset_at
        is_unavailable = world.store.unavailable or world.store.silent or resets_connections
        if not world.is_restoring and (is_unavailable or any(delays)):
            world.store_disturbances.append(time.monotonic())
            world.own_reset_at = world.store.reset_at
        await asyncio.sleep(SAMPLE_SECONDS)


async def check_each_restore(world: SoakWorld) -> None:
    """Compare gateways with the store some time after each restore, until cancelled."""
    while True:
        await world.store_restored.wait()
        world.store_restored.clear()
        await asyncio.sleep(SYNCED_SECONDS)
        if not world.store_restored.is_set():
            await check_gateways_match_store(world)
