"""Bounds on the silence of others, in the time that this process could listen."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from milletcourse.runtime.responsive_clock import ResponsiveClock

RECHECK_DELAY_SECONDS = 0.01
"""The loop runs timers before it reads its sockets, so that what has arrived is read between the
first ring and the second: some turns of a busy loop."""
_SLACK_SECONDS = 0.001
_ELAPSED = 0.0
"""A moment of the loop's clock that is over: what is due then happens at once."""


class ResponsiveTimer:
    """One timer for all waits of its owner: moving the deadline costs no new timer.

    It rings when nothing came for a time in which the event loop ran; a process that was held, or a
    machine that slept, waits on for as long as it was away.
    """

    def __init__(self, clock: ResponsiveClock, on_timeout: Callable[[], None]) -> None:
        self._clock = clock
        self._on_timeout = on_timeout
        self._loop = asyncio.get_running_loop()
        self._deadline = float("inf")
        self._fires_at = float("inf")
        self._has_rechecked = False
        self._handle: asyncio.TimerHandle | None = None

    def expect_within(self, seconds: float) -> None:
        """Something must come within this time; infinite to wait without a bound."""
        now = self._clock.seconds()
        self._deadline = now + seconds
        self._has_rechecked = False
        if self._handle is None:
            self._arm(now)
        elif self._deadline < self._fires_at:
            self._handle.cancel()
            self._arm(now)

    def stop(self) -> None:
        """Nothing is awaited any more."""
        self._deadline = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _arm(self, now: float) -> None:
        self._handle = None
        if self._deadline != float("inf"):
            self._fires_at = self._deadline
            seconds = max(self._deadline - now, 0.0)
            self._handle = self._loop.call_later(seconds, self._fire)

    def _fire(self) -> None:
        now = self._clock.seconds()
        if now + _SLACK_SECONDS < self._deadline:
            self._arm(now)
            return
        if not self._has_rechecked:
            self._has_rechecked = True
            self._handle = self._loop.call_later(RECHECK_DELAY_SECONDS, self._fire)
            return
        self._handle = None
        self._on_timeout()


@asynccontextmanager
async def responsive_timeout(clock: ResponsiveClock, seconds: float) -> AsyncIterator[None]:
    """`asyncio.timeout` in the time that this process could listen.

    Raises:
        TimeoutError: The time is over.
    """
    async with asyncio.timeout(None) as scope:
        timer = ResponsiveTimer(clock, lambda: scope.reschedule(_ELAPSED))
        timer.expect_within(seconds)
        try:
            yield
        finally:
            timer.stop()
