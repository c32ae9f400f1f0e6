"""Bounds on the silence of others, in the time that this process could listen."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from milletcourse.runtime.responsive_clock import AttendedClock

SECOND_LOOK_SECONDS = 0.01
"""The loop runs timers before it reads its sockets, so that what has arrived is read between the
first ring and the second: some turns of a busy loop."""
_SLACK_SECONDS = 0.001
_PAST = 0.0
"""A moment of the loop's clock that is over: what is due then happens at once."""


class AttendedTimer:
    """One timer for all waits of its owner: moving the deadline costs no new timer.

    It rings when nothing came for a time in which the event loop ran; a process that was held, or a
    machine that slept, waits on for as long as it was away.
    """

    def __init__(self, clock: AttendedClock, on_time_over: Callable[[], None]) -> None:
        self._clock = clock
        self._on_time_over = on_time_over
        self._loop = asyncio.get_running_loop()
        self._quiet_until = float("inf")
        self._rings_at = float("inf")
        self._has_looked = False
        self._handle: asyncio.TimerHandle | None = None

    def expect_within(self, seconds: float) -> None:
        """Something must come within this time; infinite to wait without a bound."""
        now = self._clock.seconds()
        self._quiet_until = now + seconds
        self._has_looked = False
        if self._handle is None:
            self._arm(now)
        elif self._quiet_until < self._rings_at:
            self._handle.cancel()
            self._arm(now)

    def stop(self) -> None:
        """Nothing is awaited any more."""
        self._quiet_until = float("inf")
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _arm(self, now: float) -> None:
        self._handle = None
        if self._quiet_until != float("inf"):
            self._rings_at = self._quiet_until
            seconds = max(self._quiet_until - now, 0.0)
            self._handle = self._loop.call_later(seconds, self._ring)

    def _ring(self) -> None:
        now = self._clock.seconds()
        if now + _SLACK_SECONDS < self._quiet_until:
            self._arm(now)
            return
        if not self._has_looked:
            self._has_looked = True
            self._handle = self._loop.call_later(SECOND_LOOK_SECONDS, self._ring)
            return
        self._handle = None
        self._on_time_over()


@asynccontextmanager
async def attended_timeout(clock: AttendedClock, seconds: float) -> AsyncIterator[None]:
    """`asyncio.timeout` in the time that this process could listen.

    Raises:
        TimeoutError: The time is over.
    """
    async with asyncio.timeout(None) as scope:
        timer = AttendedTimer(clock, lambda: scope.reschedule(_PAST))
        timer.expect_within(seconds)
        try:
            yield
        finally:
            timer.stop()
