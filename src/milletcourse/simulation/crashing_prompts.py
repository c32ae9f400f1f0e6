"""Prompts that end each engine that begins them; the engine is back after some seconds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

CRASH_MARKER = "ends its engine"
"""A prompt that holds this ends its engine."""
CRASH_DELAY_SECONDS = 0.001
"""From the begin to the end: before the first token."""
ENGINE_DOWNTIME_SECONDS = 3.0


class CrashingPrompts:
    """Ends engines under marked prompts.

    Attributes:
        ends: Engines that ended so.
    """

    def __init__(
        self, kill: Callable[[str], None], restart: Callable[[str], Awaitable[None]]
    ) -> None:
        """No end yet.

        Args:
            kill: Ends an engine by name.
            restart: Starts it again, unless it lives.
        """
        self._kill = kill
        self._restart = restart
        self._crashes: set[asyncio.Future[None]] = set()
        self.crash_count = 0

    def on_accept(self, engine: str, prompt: str) -> None:
        """An engine begins a prompt."""
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
