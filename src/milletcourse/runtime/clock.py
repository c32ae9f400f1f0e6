"""Time as the code sees it: monotonic and wall seconds, and sleeping.

Code never reads `time` directly, so that the simulator can put a virtual clock with skew and
freezes in its place. Nor does it read the event loop's time: that is the steady clock, which stands
still while the machine is suspended, so that what ran out in a sleep would look fresh after it.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

_COUNTS_SUSPENSION = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
MIN_SUSPENSION_SECONDS = 0.1
"""Clocks that drift apart by less haven't slept; no bound is as short."""


def elapsed_seconds() -> float:
    """Seconds that never run backwards, and count the time in which the machine was suspended."""
    return time.clock_gettime(_COUNTS_SUSPENSION)


def wall_seconds() -> float:
    """Seconds since the Unix epoch by the machine's time of day, which may jump."""
    return time.time()


class SuspensionDetector:
    """Notices that the machine was suspended, by the steady clock beside the one that counts it."""

    def __init__(self) -> None:
        self._ahead = self._seconds_ahead()

    def take_suspension_seconds(self) -> float:
        """Seconds that the machine slept since the last call; 0 when it didn't."""
        ahead = self._seconds_ahead()
        slept = ahead - self._ahead
        if slept < MIN_SUSPENSION_SECONDS:
            return 0.0
        self._ahead = ahead
        return slept

    @staticmethod
    def _seconds_ahead() -> float:
        return elapsed_seconds() - time.clock_gettime(time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time for one process."""

    def monotonic(self) -> float:
        """Seconds that never run backwards; comparable within one process only."""

    def wall(self) -> float:
        """Seconds since the Unix epoch; may differ between machines within the skew bound."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""


class LoopClock:
    """The machine's clocks; sleeping is the event loop's."""

    def monotonic(self) -> float:
        """See `Clock.monotonic`; counts suspension."""
        return elapsed_seconds()

    def wall(self) -> float:
        """See `Clock.wall`."""
        return wall_seconds()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
