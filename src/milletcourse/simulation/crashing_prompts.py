"""Prompts that crash every engine that starts them; each engine restarts after a few seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

CRASH_MARKER = "ends its engine"
"""A prompt that contains this text crashes the engine that runs it."""
CRASH_DELAY_SECONDS = 0.001
"""Delay from acceptance to the crash; the crash comes before the first token."""
ENGINE_DOWNTIME_SECONDS = 3.0


class CrashingPrompts:
    """Crashes engines that accept a marked prompt.

    Attributes:
        crash_count: Number of crashes caused by marked prompts.
    """

    def __init__(
        self, kill: Callable[[str], None], restart: Callable[[str], Awaitable[None]]
    ) -> None:
        """Start without crashes.

        Args:
            kill: Kills an engine, given its name.
            restart: Restarts an engine, given its name, unless it is running.
        """
        self._kill = kill
        self._restart = restart
        self._crashes: set[asyncio.Future[None]] = set()
        self.crash_count = 0

    def on_accept(self, engine: str, prompt: str) -> None:
        """Schedule a crash of the engine if the prompt it accepted is marked."""
        if CRASH_MARKER not in prompt:
            return
        self.crash_count += 1
        crash = asyncio.ensure_future(self._crash(engine))
        self._crashes.add(crash)
        crash.add_done_callback(self._crashes.discard)

    async def _crash(self, engine: str) -> None:
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        self._kill(engine)
        await asyncio.sleep(ENGINE_DOWNTIME_SECONDS)
        await self._restart(engine)
