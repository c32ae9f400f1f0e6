"""Timeouts for the silence of other parties, measured in responsive time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from milletcourse.runtime.responsive_clock import ResponsiveClock

RECHECK_DELAY_SECONDS = 0.01
"""Delay between the first expiry of a timer and the one that counts. The loop runs timers before it
reads its sockets, so data that has already arrived is read in between; long enough for several
iterations of a busy loop."""
_SLACK_SECONDS = 0.001
_ELAPSED = 0.0
"""A past time of the loop's clock: a timeout rescheduled to it expires at once."""


class ResponsiveTimer:
    """One reusable timer for all waits of its owner: moving the deadline needs no new loop timer.

    It expires when nothing arrived for some responsive time. After a stall of the process or a
    suspension of the machine, it waits longer by the length of that stall.
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
        """Restart the timer: it expires after `seconds`, never if infinite."""
        now = self._clock.seconds()
        self._deadline = now + seconds
        self._has_rechecked = False
        if self._handle is None:
            self._arm(now)
        elif self._deadline < self._fires_at:
            self._handle.cancel()
            self._arm(now)

    def stop(self) -> None:
        """Cancel the pending expiry; `expect_within` starts the timer again."""
        self._deadline = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def close(self) -> None:
        """Stop for good, without a reference to the owner."""
        self.stop()
        self._on_timeout = _do_nothing

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


def _do_nothing() -> None:
    """The callback of a closed timer."""


@asynccontextmanager
async def responsive_timeout(clock: ResponsiveClock, seconds: float) -> AsyncIterator[None]:
    """`asyncio.timeout` measured in responsive time.

    Raises:
        TimeoutError: The body did not finish within `seconds`.
    """
    async with asyncio.timeout(None) as scope:
        timer = ResponsiveTimer(clock, lambda: scope.reschedule(_ELAPSED))
        timer.expect_within(seconds)
        try:
            yield
        finally:
            timer.stop()
