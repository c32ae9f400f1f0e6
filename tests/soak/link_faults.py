"""Cuts of links between single gateways and servers, while all else stays connected."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from link_cuts import CutMode
from soak.world import GatewayProcess, SoakWorld

CUT_PROGRAM = (str(Path(__file__).parent / "cut_launcher.py"),)
ALL_GATEWAYS_SHARE = 0.15
"""Share of the cuts that concern all gateways."""
ALL_SERVERS_SHARE = 0.6
"""Share of the cuts that concern all servers; the others one service or a few servers."""
FLAPPING_SHARE = 0.25
CUT_SECONDS = (0.5, 5.0)
FLAP_SECONDS = (0.1, 1.0)
FLAPS = 4
PAUSE_SECONDS = (0.2, 2.0)


async def cut_links(world: SoakWorld) -> None:
    """Cut links again and again; cuts of different gateways overlap."""
    running: set[asyncio.Task[None]] = set()
    try:
        while True:
            task = asyncio.create_task(_cut_some(world))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(world.random.uniform(*PAUSE_SECONDS))
    finally:
        for task in running:
            task.cancel()
        for gateway in world.gateways:
            _heal(world, gateway)


async def _cut_some(world: SoakWorld) -> None:
    random = world.random
    free = [gateway for gateway in world.gateways if not gateway.links_are_cut]
    if random.random() >= ALL_GATEWAYS_SHARE and free:
        free = random.sample(free, random.randint(1, max(len(free) - 1, 1)))
    mode = random.choice(list(CutMode))
    servers = _servers(world)
    flaps = FLAPS if random.random() < FLAPPING_SHARE else 1
    seconds = FLAP_SECONDS if flaps > 1 else CUT_SECONDS
    for gateway in free:
        gateway.links_are_cut = True
    try:
        for _ in range(flaps):
            for gateway in free:
                _cut(world, gateway, mode, servers)
            await asyncio.sleep(random.uniform(*seconds))
            for gateway in free:
                _heal(world, gateway)
            await asyncio.sleep(random.uniform(*seconds) if flaps > 1 else 0.0)
    finally:
        for gateway in free:
            _heal(world, gateway)
            gateway.links_are_cut = False


def _servers(world: SoakWorld) -> list[str]:
    """Addresses of the servers of one cut."""
    random = world.random
    names = list(world.server_proxies)
    if random.random() >= ALL_SERVERS_SHARE:
        if random.random() < 0.5:
            service = random.choice(["engine", "app"])
            names = [name for name in names if name.startswith(service)]
        else:
            names = random.sample(names, random.randint(1, len(names)))
    return [world.server_proxies[name].address for name in names]


def _cut(world: SoakWorld, gateway: GatewayProcess, mode: CutMode, servers: list[str]) -> None:
    world.link_cuts += 1
    gateway.cut_file.write_text(json.dumps({"mode": mode.value, "servers": servers}))


def _heal(world: SoakWorld, gateway: GatewayProcess) -> None:
    gateway.cut_file.write_text("")
