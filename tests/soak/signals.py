"""Servers that ask for back-off, and servers that announce in answers that they are draining."""

from __future__ import annotations

import asyncio

from soak.world import SoakWorld

BACK_OFF_SECONDS = (1.0, 2.0, 3.0, 6.0)
"""Back-offs that servers ask for."""
BACK_OFF_ROUNDS = (1.2, 2.5)
"""Time for which a server rejects requests, as a multiple of its back-off."""
ALL_BACK_OFF_CHANCE = 0.4
"""Chance that all servers ask for back-off at the same time."""
ALL_DRAIN_CHANCE = 0.2
DRAIN_SECONDS = (3.0, 6.0)
"""Time between a server's first draining announcement and its exit; its entry does not show it."""
PAUSE_SECONDS = (0.3, 1.5)


async def back_off_servers(world: SoakWorld, share: float) -> None:
    """Let random groups of servers, sometimes all, ask for back-off in turn, until cancelled."""
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
    """Replace random groups of servers, sometimes all, until cancelled; new servers start first."""
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
            # The server exits after the streams that run on it.
            await world.retire_server(name)


async def replace_draining_servers(world: SoakWorld) -> None:
    """Replace all servers that have announced that they are draining."""
    for name, server in list(world.servers.items()):
        if server.announces_draining:
            await world.add_server(server.service)
            await world.retire_server(name)
