"""Servers that announce rate limits for some time."""

from __future__ import annotations

import asyncio

from soak.world import SoakWorld

LIMITED_SECONDS = (8.0, 14.0)
UNLIMITED_SECONDS = (0.5, 2.0)
ALL_LIMITED_CHANCE = 0.3
"""Chance that all servers announce limits at the same time."""


async def limit_servers(world: SoakWorld, share: float, limit: float) -> None:
    """Let random groups of servers, sometimes all, announce limits in turn, until cancelled."""
    while True:
        servers = list(world.servers.values())
        count = max(round(share * len(servers)), 1)
        chosen = servers
        if world.random.random() >= ALL_LIMITED_CHANCE:
            chosen = world.random.sample(servers, count)
        try:
            for server in chosen:
                server.announce_limit(round(limit * world.random.uniform(0.5, 1.5), 2))
            await asyncio.sleep(world.random.uniform(*LIMITED_SECONDS))
        finally:
            for server in chosen:
                server.announce_limit(None)
        await asyncio.sleep(world.random.uniform(*UNLIMITED_SECONDS))
