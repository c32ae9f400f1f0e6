"""External faults selected by a seed: network, signals, store, servers and operator changes."""

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
"""Fields of `FaultRates` that a fault may raise; the draws of a seed depend on their order."""
Fault = Callable[[SoakWorld], Awaitable[None]]


async def kill_gateway(world: SoakWorld) -> None:
    """Send SIGKILL to one gateway."""
    world.random.choice(world.gateways).send(signal.SIGKILL)


async def kill_all_gateways(world: SoakWorld) -> None:
    """Send SIGKILL to all gateways at the same time."""
    for gateway in world.gateways:
        gateway.send(signal.SIGKILL)
    world.on_all_killed()


async def stop_gateway(world: SoakWorld) -> None:
    """Send SIGTERM to one gateway."""
    world.random.choice(world.gateways).send(signal.SIGTERM)


async def freeze_gateway(world: SoakWorld) -> None:
    """Send SIGSTOP, and SIGCONT after 0.5 to 4 s, which may exceed the lease of 1.5 s."""
    gateway = world.random.choice(world.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    gateway.send(signal.SIGCONT)


async def reload_gateway(world: SoakWorld) -> None:
    """Send SIGHUP to one gateway, which reloads its settings."""
    world.random.choice(world.gateways).send(signal.SIGHUP)


async def partition_from_store(world: SoakWorld) -> None:
    """Partition one gateway from the store; bytes are held back, not dropped."""
    proxy = world.random.choice(world.gateways).store
    proxy.block()
    await asyncio.sleep(world.random.uniform(0.5, 5.0))
    proxy.unblock()


async def disrupt_feed(world: SoakWorld) -> None:
    """Block or delay a gateway's feed to its followers."""
    proxy = world.random.choice(world.gateways).feed
    if world.random.random() < 0.5:
        proxy.delay_seconds = world.random.uniform(0.1, 1.0)
    else:
        proxy.block()
    await asyncio.sleep(world.random.uniform(0.5, 5.0))
    proxy.unblock()


async def reset_feed(world: SoakWorld) -> None:
    """Reset all connections to a gateway's feed."""
    world.random.choice(world.gateways).feed.reset_all()


async def slow_store(world: SoakWorld) -> None:
    """Delay all gateways' connections to the store."""
    for gateway in world.gateways:
        gateway.store.delay_seconds = world.random.uniform(0.05, 0.3)
    await asyncio.sleep(world.random.uniform(0.5, 3.0))
    for gateway in world.gateways:
        gateway.store.unblock()


async def store_down(world: SoakWorld) -> None:
    """The store answers 503, and may also reset its connections."""
    world.store.unavailable = True
    if world.random.random() < 0.5:
        world.store.reset_connections()
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    world.store.unavailable = False


async def store_silent(world: SoakWorld) -> None:
    """The store executes calls without answering them, then resets its connections."""
    world.store.silent = True
    await asyncio.sleep(world.random.uniform(0.5, 3.0))
    world.store.silent = False
    world.store.reset_connections()


async def compact_history(world: SoakWorld) -> None:
    """Compact the store's history: watches from earlier revisions receive 410."""
    world.store.compact_history()
    world.store.reset_connections()


async def partition_server(world: SoakWorld) -> None:
    """Partition a server from all gateways; bytes are held back, not dropped."""
    name = world.random.choice(list(world.server_proxies))
    proxy = world.server_proxies[name]
    proxy.block()
    await asyncio.sleep(world.random.uniform(0.3, 4.0))
    proxy.unblock()


async def reset_server(world: SoakWorld) -> None:
    """Reset all connections to a server."""
    world.server_proxies[world.random.choice(list(world.server_proxies))].reset_all()


async def replace_server(world: SoakWorld) -> None:
    """Crash a server and add a new one to the same service."""
    name = world.random.choice(list(world.servers))
    service = world.servers[name].service
    await world.remove_server(name)
    await asyncio.sleep(world.random.uniform(0.1, 1.0))
    await world.add_server(service)


async def drain_server(world: SoakWorld) -> None:
    """Mark a server as draining in its entry, and remove it 2.5 seconds later."""
    name = world.random.choice(list(world.servers))
    server = world.servers[name]
    await world.add_server(server.service)
    server.draining = True
    world.write_entry(server)
    await asyncio.sleep(2.5)
    if name in world.servers:
        await world.remove_server(name)


async def faulty_server(world: SoakWorld) -> None:
    """Raise one fault rate of a server for a while."""
    server = world.servers[world.random.choice(list(world.servers))]
    kind = world.random.choice(FAULT_NAMES)
    setattr(server.fault_rates, kind, world.random.uniform(0.1, 0.7))
    await asyncio.sleep(world.random.uniform(1.0, 4.0))
    setattr(server.fault_rates, kind, 0.0)


async def publish_version(world: SoakWorld) -> None:
    """Publish a new weight version."""
    world.publish_version()


async def change_configuration(world: SoakWorld) -> None:
    """Write a few configuration versions in quick succession."""
    for _ in range(world.random.randint(1, 5)):
        world.put_configuration()
        await asyncio.sleep(0.05)


async def revoke_key(world: SoakWorld) -> None:
    """Revoke an API key; at least two always remain valid."""
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
