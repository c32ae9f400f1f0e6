"""Servers that restart with the same names, and malformed entries of other writers."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from soak.world import GATEWAY_KIND, SoakWorld

MALFORMED_SPECS: tuple[Any, ...] = (
    None,
    [],
    "text",
    {"Service": "engine"},
    {"Service": "engine", "Address": "127.0.0.1"},
    {"Service": "engine", "Address": "127.0.0.1:99999", "State": "ready"},
    {"Service": "engine", "Address": "somewhere:80", "State": "ready"},
    {"Service": "engine", "Address": 7},
    {"Service": "app", "Address": "127.0.0.1:1", "State": ["ready"]},
    {"Service": "app", "Address": "127.0.0.1:1", "State": "elsewhere"},
    {"Service": "app", "Address": "127.0.0.1:1", "Models": [{"Name": "m", "Version": -1}]},
    {"Service": "unnamed", "Address": "127.0.0.1:1", "State": "ready"},
    {"Service": "app", "Address": "127.0.0.1:1", "born": "yesterday"},
    msgspec.Raw(b'{"Service": "app", "Address": "127.0.0.1:1", "Slots": 1%b}' % (b"0" * 400)),
    msgspec.Raw(b"[" * 5_000 + b"]" * 5_000),
    msgspec.Raw(b"[" * 960 + b"]" * 960),
    msgspec.Raw(b'{"Service": "app", "Address": "127.0.0.1:1", "Odd": "\\ud800"}'),
)
RESTART_SECONDS = (1.0, 3.0)
WRITE_SECONDS = (0.1, 0.6)


async def restart_servers(world: SoakWorld) -> None:
    """Restart one server after another, on the same port or a different one."""
    while True:
        await asyncio.sleep(world.random.uniform(*RESTART_SECONDS))
        name = world.random.choice(list(world.servers))
        await world.restart_server(name, keeps_port=world.random.random() < 0.5)


async def write_malformed_entries(world: SoakWorld) -> None:
    """Write malformed entries among the servers' and gateways' entries, and remove some again."""
    written = 0
    while True:
        await asyncio.sleep(world.random.uniform(*WRITE_SECONDS))
        kind = "servers" if world.random.random() < 0.8 else GATEWAY_KIND
        name = f"strange-{written % 20}"
        written += 1
        if name in world.store.objects.get(kind, {}) and world.random.random() < 0.3:
            world.store.remove(kind, name)
        else:
            world.store.put(kind, name, world.random.choice(MALFORMED_SPECS))
