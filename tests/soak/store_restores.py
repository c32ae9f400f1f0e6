"""The store goes away for a moment and comes back from a copy some seconds old, again and again."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from gateway_standin import StoreCopy
from milletcourse.cli.operator_port import call_gateway
from milletcourse.errors import FailureError
from milletcourse.gateway.operator_api import STORE_STATE_PATH
from soak.world import GATEWAY_KIND, LEASE_KIND, GatewayProcess, SoakWorld

LOST_SECONDS = (0.3, 5.0)
AWAY_SECONDS = (0.0, 1.0)
WRITTEN_AGAIN_SECONDS = (0.0, 0.6)
"""The operator and the servers write again so long after the return."""
SECOND_RETURN_CHANCE = 0.25
"""Of a return right after a return."""
PAUSE_SECONDS = (2.5, 5.0)
SERVES_ON_SECONDS = (3.0, 6.0)
"""A server ends so long after its entry said that it leaves, or went."""
KNOWN_AGAIN_SECONDS = 2.0
"""After a return, or the end of what disturbed a gateway since, all is known and listed by now."""
ORDERED_SECONDS = 8.0
"""The bound on old weights, and a holder's lease before it."""
LOOKS = 4
SAMPLE_SECONDS = 0.05
LOOK_SECONDS = 0.2
"""A change that is under way differs in one look, and not in all."""


async def copy_store(world: SoakWorld) -> None:
    """Losses of some seconds, some with a second one at once, until cancelled."""
    while True:
        copy = _some_copy(world)
        await asyncio.sleep(world.random.uniform(*LOST_SECONDS))
        await _come_back(world, copy)
        if world.random.random() < SECOND_RETURN_CHANCE:
            await asyncio.sleep(world.random.uniform(0.0, 0.5))
            await _come_back(world, copy)
        await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))


def _some_copy(world: SoakWorld) -> StoreCopy:
    """As the store is, or as if gateways had entered, and the lease been made, a moment later."""
    copy = world.store.copy()
    if world.random.random() < 0.4:
        copy = copy.without(LEASE_KIND, list(copy.objects.get(LEASE_KIND, {})))
    if world.random.random() < 0.4:
        names = list(copy.objects.get(GATEWAY_KIND, {}))
        entered = world.random.sample(names, world.random.randint(1, max(len(names), 1)))
        copy = copy.without(GATEWAY_KIND, entered)
    return copy


async def _come_back(world: SoakWorld, copy: StoreCopy) -> None:
    """The operator and the servers write again a moment after the store is there."""
    store = world.store
    is_cut = world.random.random() < 0.7
    away = world.random.uniform(*AWAY_SECONDS)
    writes_after = world.random.uniform(*WRITTEN_AGAIN_SECONDS)
    world.is_returning = store.unavailable = True
    world.on_store_away()
    if is_cut:
        store.cut()
    try:
        await asyncio.sleep(away)
    finally:
        store.unavailable = False
        store.come_back(copy, cut=is_cut, writes_again=False)
        world.own_cut_at = store.cut_at
        try:
            await asyncio.sleep(writes_after)
        finally:
            # Whoever ends the series leaves a store that lacks nothing.
            store.write_again()
            world.is_returning = False
            world.on_store_return()


async def drain_servers(world: SoakWorld) -> None:
    """Servers are replaced, and say so in their entries, or their entries just go."""
    while True:
        name = world.random.choice(list(world.servers))
        await world.add_server(world.servers[name].service)
        await asyncio.sleep(world.random.uniform(0.2, 0.6))
        if name in world.servers:
            world.say_leaving(name, in_a_word=world.random.random() < 0.7)
            await asyncio.sleep(world.random.uniform(*SERVES_ON_SECONDS))
            await world.retire_server(name)


async def revoke_keys(world: SoakWorld) -> None:
    """A key after the other is taken away, and a new one given to its tenant."""
    number = 0
    while True:
        await asyncio.sleep(world.random.uniform(1.0, 2.5))
        key = world.random.choice(list(world.keys))
        number += 1
        world.replace_key(key, f"{key.partition('+')[0]}+{number}")


async def check_gateways_know_the_store(world: SoakWorld) -> None:
    """Each gateway that runs undisturbed is listed, and knows what the store holds."""
    await asyncio.gather(*(_check(world, gateway) for gateway in world.gateways))


async def _check(world: SoakWorld, gateway: GatewayProcess) -> None:
    began_at = time.monotonic()
    state: dict[str, Any] = {}
    for look in range(LOOKS):
        if look:
            await asyncio.sleep(LOOK_SECONDS)
        state = await _state(gateway)
        if state and _is_equal(state) and gateway.name in world.store.objects[GATEWAY_KIND]:
            world.compared += 1
            return
    since = began_at - KNOWN_AGAIN_SECONDS
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


def begin_copies(world: SoakWorld) -> list[asyncio.Task[None]]:
    """Returns of the store, and what must not be missed after them."""
    series = (copy_store, drain_servers, revoke_keys, watch_returns, watch_store)
    return [asyncio.create_task(work(world)) for work in series]


async def check_after_returns(world: SoakWorld) -> None:
    """When all is over, everybody knows the store, and the servers have the newest weights."""
    await asyncio.sleep(KNOWN_AGAIN_SECONDS)
    await check_gateways_know_the_store(world)
    ends_at = time.monotonic() + ORDERED_SECONDS
    while (old := _with_old_weights(world)) and time.monotonic() < ends_at:
        await asyncio.sleep(LOOK_SECONDS)
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
    if not world.returns:
        return {}
    return {
        "returns": len(world.returns),
        "compared": world.compared,
        "drained": len(world.entry_words.leaving_since),
        "revoked": len(world.ledger.revoked_at),
    }


async def watch_store(world: SoakWorld) -> None:
    """Other faults take the store away as well: notes when it last was, until cancelled."""
    while True:
        ways = [gateway.store.delay_seconds for gateway in world.gateways]
        is_cut = world.store.cut_at != world.own_cut_at
        is_away = world.store.unavailable or world.store.silent or is_cut
        if not world.is_returning and (is_away or any(ways)):
            world.store_disturbances.append(time.monotonic())
            world.own_cut_at = world.store.cut_at
        await asyncio.sleep(SAMPLE_SECONDS)


async def watch_returns(world: SoakWorld) -> None:
    """Some time after each return, gateways are compared with the store, until cancelled."""
    while True:
        await world.store_returned.wait()
        world.store_returned.clear()
        await asyncio.sleep(KNOWN_AGAIN_SECONDS)
        if not world.store_returned.is_set():
            await check_gateways_know_the_store(world)
