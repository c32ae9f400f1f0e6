"""Aborts a stream that has been idle for too long.

Each stream has one timer, which is rescheduled lazily. `asyncio.timeout` around each read costs
several times as much, and it must not stay open across the yields of a generator.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.runtime.clock import Clock


class IdleTimeout:
    """Calls `abort` when the next event does not arrive before the deadline."""

    def __init__(self, abort: Callable[[], None], clock: Clock) -> None:
        self._abort = abort
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._deadline = 0.0
        self._fires_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def restart(self, seconds: float) -> None:
        """Set the deadline of the next event to this many seconds from now."""
        self._deadline = self._clock.monotonic() + seconds
        if self._timer is None or self._fires_at > self._deadline:
            self._schedule()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self.close()
        self._fires_at = self._deadline
        seconds = max(self._deadline - self._clock.monotonic(), 0.0)
        self._timer = self._loop.call_later(seconds, self._check)

    def _check(self) -> None:
        if self._clock.monotonic() >= self._deadline:
            self._abort()
        else:
            self._schedule()
