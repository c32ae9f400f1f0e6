"""Faults from outside, drawn by a seed: proxies, signals, the store, servers, the operator."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.world import SoakWorld

FAULT_NAMES = (
    "shed",
    "fail",
    "reset_before",
    "reset_after",
    "truncate",
    "garble",
    "mute",
    "surplus",
)
"""Chances of a server's mood that a fault may raise; seeds depend on their order."""
Fault = Callable[[SoakWorld], Awaitable[None]]


async def kill_gateway(world: SoakWorld) -> None:
    """SIGKILL."""
    world.random.choice(world.gateways).send(signal.SIGKILL)


async def kill_all_gateways(world: SoakWorld) -> None:
    """All at the same moment."""
    for gateway in world.gateways:
        gateway.send(signal.SIGKILL)
    world.on_all_killed()


async def stop_gateway(world: SoakWorld) -> None:
    """SIGTERM."""
    world.random.choice(world.gateways).send(signal.SIGTERM)


async def freeze_gateway(world: SoakWorld) -> None:
    """SIGSTOP, and SIGCONT after longer than a lease."""
    gateway = world.random.choice(world.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    gateway.send(signal.SIGCONT)


async def reload_gateway(world: SoakWorld) -> None:
    """SIGHUP."""
    world.random.choice(world.gateways).send(signal.SIGHUP)


async def partition_from_store(world: SoakWorld) -> None:
    """One gateway's way to the store is cut; bytes are held up."""
    proxy = world.random.choice(world.gateways).store
    proxy.block()
    await asyncio.sleep(world.random.uniform(0.5, 5.0))
    proxy.unblock()


async def disrupt_feed(world: SoakWorld) -> None:
    """What a gateway tells its followers is held up, or comes late."""
    proxy = world.random.choice(world.gateways).feed
    if world.random.random() < 0.5:
        proxy.delay_seconds = world.random.uniform(0.1, 1.0)
    else:
        proxy.block()
    await asyncio.sleep(world.random.uniform(0.5, 5.0))
    proxy.unblock()


async def reset_feed(world: SoakWorld) -> None:
    """All connections to what a gateway tells break."""
    world.random.choice(world.gateways).feed.reset_all()


async def slow_store(world: SoakWorld) -> None:
    """All ways to the store are slow."""
    for gateway in world.gateways:
        gateway.store.delay_seconds = world.random.uniform(0.05, 0.3)
    await asyncio.sleep(world.random.uniform(0.5, 3.0))
    for gateway in world.gateways:
        gateway.store.unblock()


async def store_down(world: SoakWorld) -> None:
    """The store answers 503, or resets its connections."""
    world.store.unavailable = True
    if world.random.random() < 0.5:
        world.store.reset_connections()
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    world.store.unavailable = False


async def store_silent(world: SoakWorld) -> None:
    """Calls are carried out and get no answer; then their connections break."""
    world.store.silent = True
    await asyncio.sleep(world.random.uniform(0.5, 3.0))
    world.store.silent = False
    world.store.reset_connections()


async def compact_history(world: SoakWorld) -> None:
    """Watches from before get 410."""
    world.store.compact_history()
    world.store.reset_connections()


async def partition_server(world: SoakWorld) -> None:
    """The way to a server is cut for all gateways; bytes are held up."""
    name = world.random.choice(list(world.server_proxies))
    proxy = world.server_proxies[name]
    proxy.block()
    await asyncio.sleep(world.random.uniform(0.3, 4.0))
    proxy.unblock()


async def reset_server(world: SoakWorld) -> None:
    """All connections to a server break."""
    world.server_proxies[world.random.choice(list(world.server_proxies))].reset_all()


async def replace_server(world: SoakWorld) -> None:
    """A server crashes; another incarnation comes."""
    name = world.random.choice(list(world.servers))
    service = world.servers[name].service
    await world.remove_server(name)
    await asyncio.sleep(world.random.uniform(0.1, 1.0))
    await world.add_server(service)


async def drain_server(world: SoakWorld) -> None:
    """A server says that it leaves, and does after its time."""
    name = world.random.choice(list(world.servers))
    server = world.servers[name]
    await world.add_server(server.service)
    server.draining = True
    world.write_entry(server)
    await asyncio.sleep(2.5)
    if name in world.servers:
        await world.remove_server(name)


async def faulty_server(world: SoakWorld) -> None:
    """A server misbehaves in one way for a while."""
    server = world.servers[world.random.choice(list(world.servers))]
    kind = world.random.choice(FAULT_NAMES)
    setattr(server.fault_rates, kind, world.random.uniform(0.1, 0.7))
    await asyncio.sleep(world.random.uniform(1.0, 4.0))
    setattr(server.fault_rates, kind, 0.0)


async def publish_version(world: SoakWorld) -> None:
    """New weights are named."""
    world.publish_version()


async def change_configuration(world: SoakWorld) -> None:
    """A few versions in quick succession."""
    for _ in range(world.random.randint(1, 5)):
        world.put_configuration()
        await asyncio.sleep(0.05)


async def revoke_key(world: SoakWorld) -> None:
    """A key is taken away; two are always left."""
    if len(world.keys) > 2:
        world.revoke(world.random.choice(list(world.keys)))


FAULTS: tuple[Fault, ...] = (
    kill_gateway,
    kill_all_gateways,
    stop_gateway,
    freeze_gateway,
    reload_gateway,
    partition_from_store,
    disrupt_feed,
    reset_feed,
    slow_store,
    store_down,
    store_silent,
    compact_history,
    partition_server,
    reset_server,
    replace_server,
    drain_server,
    faulty_server,
    publish_version,
    change_configuration,
    revoke_key,
)
