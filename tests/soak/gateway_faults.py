"""Faults of gateway processes that soaks of a whole fleet inject, in overlapping series."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from soak.world import GatewayProcess, SoakWorld

FAULT_SECONDS = (0.4, 1.2)
SUSPEND_SECONDS = (0.3, 1.4)
READY_SECONDS = 40.0
KILL_SHARE = 0.4
STOP_SHARE = 0.3
"""The other faults are suspensions."""


async def disturb_gateways(world: SoakWorld) -> None:
    """Kill, stop and suspend single gateways until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(world.random.uniform(*FAULT_SECONDS))
            gateway = world.random.choice(world.gateways)
            drawn = world.random.random()
            if drawn < KILL_SHARE:
                gateway.send(signal.SIGKILL)
            elif drawn < KILL_SHARE + STOP_SHARE:
                gateway.send(signal.SIGTERM)
            else:
                tasks.create_task(_suspend(world, gateway))


async def _suspend(world: SoakWorld, gateway: GatewayProcess) -> None:
    gateway.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(world.random.uniform(*SUSPEND_SECONDS))
    finally:
        # The end of the series cancels the sleep.
        gateway.send(signal.SIGCONT)


async def stop_gateways_in_turn(world: SoakWorld) -> None:
    """Send SIGTERM to one gateway after the other until cancelled."""
    while True:
        for gateway in world.gateways:
            await asyncio.sleep(world.random.uniform(*FAULT_SECONDS))
            gateway.send(signal.SIGTERM)


async def until_all_have_started(world: SoakWorld) -> None:
    """Wait until all gateways log that they listen."""
    async with asyncio.timeout(READY_SECONDS):
        while not all(gateway.has_started() for gateway in world.gateways):
            await asyncio.sleep(0.05)


@asynccontextmanager
async def running_world(
    world: SoakWorld, *more: Coroutine[Any, Any, None]
) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Run a world's processes, and its background tasks, which a soak checks at its end.

    Args:
        world: The world, which is stopped at the end.
        more: Further background work of the soak.
    """
    try:
        await world.start()
        work = (
            world.send_heartbeats(),
            world.restart_exited_gateways(),
            world.watch_event_loop(),
            *more,
        )
        background = [asyncio.create_task(item) for item in work]
        await until_all_have_started(world)
        yield background
    finally:
        await world.stop()


async def end_series(series: list[asyncio.Task[None]]) -> None:
    """Cancel series of faults, and wait until they have ended."""
    for task in series:
        task.cancel()
    await asyncio.gather(*series, return_exceptions=True)
