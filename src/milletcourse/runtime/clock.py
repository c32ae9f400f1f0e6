"""Clocks: monotonic seconds, wall-clock seconds and sleeping.

Other code never reads `time` directly, so that the simulator can substitute a virtual clock with
skew and freezes. Nor does it read the event loop's time: that clock (CLOCK_MONOTONIC) stands still
while the machine is suspended, so that leases or proofs that expired during a suspension would look
valid after it.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

_BOOTTIME_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
MIN_SUSPENSION_SECONDS = 0.1
"""A smaller difference between the clocks is drift; no timeout or lease is as short."""


def elapsed_seconds() -> float:
    """Monotonic seconds that include the time in which the machine was suspended."""
    return time.clock_gettime(_BOOTTIME_CLOCK)


def wall_seconds() -> float:
    """Seconds since the Unix epoch by the machine's wall clock, which may jump."""
    return time.time()


class SuspensionDetector:
    """Detects suspensions of the machine: CLOCK_BOOTTIME counts them, CLOCK_MONOTONIC does not."""

    def __init__(self) -> None:
        self._known_suspension_seconds = self._total_suspension_seconds()

    def take_suspension_seconds(self) -> float:
        """Seconds of suspension of the machine since the last call; 0 without one."""
        total_seconds = self._total_suspension_seconds()
        suspended_seconds = total_seconds - self._known_suspension_seconds
        if suspended_seconds < MIN_SUSPENSION_SECONDS:
            return 0.0
        self._known_suspension_seconds = total_seconds
        return suspended_seconds

    @staticmethod
    def _total_suspension_seconds() -> float:
        return elapsed_seconds() - time.clock_gettime(time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of time for one process."""

    def monotonic(self) -> float:
        """Monotonic seconds; comparable within one process only."""

    def wall(self) -> float:
        """Seconds since the Unix epoch; may differ between machines within the skew bound."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""


class LoopClock:
    """Clock of a real process: the machine's clocks, and sleeping on the event loop."""

    def monotonic(self) -> float:
        """See `Clock.monotonic`; includes suspensions."""
        return elapsed_seconds()

    def wall(self) -> float:
        """See `Clock.wall`."""
        return wall_seconds()

    async def sleep(self, seconds: float) -> None:
        """See `Clock.sleep`."""
        await asyncio.sleep(seconds)
