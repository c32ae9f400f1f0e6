"""Servers that ask for rest, and servers that say in their answers that they leave."""

from __future__ import annotations

import asyncio

from soak.world import SoakWorld

BACK_OFF_SECONDS = (1.0, 2.0, 3.0, 6.0)
"""Seconds that servers ask for."""
BACK_OFF_ROUNDS = (1.2, 2.5)
"""For how many of its rests a server turns requests away."""
ALL_BACK_OFF_CHANCE = 0.4
"""Chance that all servers ask for rest at once."""
ALL_DRAIN_CHANCE = 0.2
DRAIN_SECONDS = (3.0, 6.0)
"""A server ends so long after it first said that it leaves; its entry says nothing of it."""
PAUSE_SECONDS = (0.3, 1.5)


async def back_off_servers(world: SoakWorld, share: float) -> None:
    """Some servers ask for rest, others after them; at times all do, until cancelled."""
    while True:
        servers = list(world.servers.values())
        chosen = servers
        if world.random.random() >= ALL_BACK_OFF_CHANCE:
            count = max(round(share * len(servers)), 1)
            chosen = world.random.sample(servers, count)
        back_off = world.random.choice(BACK_OFF_SECONDS)
        for server in chosen:
            server.back_off_seconds = back_off
        await asyncio.sleep(back_off * world.random.uniform(*BACK_OFF_ROUNDS))
        for server in chosen:
            server.back_off_seconds = 0.0
        await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))


async def drain_and_replace_servers(world: SoakWorld, share: float) -> None:
    """Some servers are replaced, the new ones first; at times all are, until cancelled."""
    while True:
        names = list(world.servers)
        draining = names
        if world.random.random() >= ALL_DRAIN_CHANCE:
            draining = world.random.sample(names, max(round(share * len(names)), 1))
        for name in draining:
            if name in world.servers:
                await world.add_server(world.servers[name].service)
        await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))
        for name in draining:
            if name in world.servers:
                world.servers[name].announces_draining = True
        await asyncio.sleep(world.random.uniform(*DRAIN_SECONDS))
        for name in draining:
            # Streams that run there end before it does.
            await world.retire_server(name)


async def replace_draining_servers(world: SoakWorld) -> None:
    """Those that said that they leave do, and others take their places."""
    for name, server in list(world.servers.items()):
        if server.announces_draining:
            await world.add_server(server.service)
            await world.retire_server(name)
