"""The time in which this process could see what others do: it stands still while the loop does.

Silence of another party is judged by it, since a process that is held, or a machine that sleeps,
would take its own pause for the other's silence. What this process holds itself (leases, keys,
deadlines) ends by `elapsed_seconds`, whether it was there or not.
"""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.runtime.clock import elapsed_seconds

STALL_THRESHOLD_SECONDS = 0.05
"""A loop that is late by less is busy, and reads on in time."""


class ResponsiveClock:
    """Monotonic seconds, less those in which the event loop did not run."""

    def __init__(self, now: Callable[[], float] = elapsed_seconds) -> None:
        self._now = now
        self._stalled_seconds = 0.0
        self._next_tick_by = float("inf")
        self._last_read_at = float("-inf")

    def seconds(self) -> float:
        """Seconds attended; comparable within one process only."""
        now = self._now()
        self._record_stall(now)
        return now - self._stalled_seconds

    @property
    def stalled_seconds(self) -> float:
        """Seconds in which the loop did not run, as of the latest look at the clock."""
        return self._stalled_seconds

    def on_loop_tick(self, seconds: float) -> None:
        """The loop shows that it runs, and will show it again within this time."""
        now = self._now()
        self._record_stall(now)
        self._next_tick_by = now + seconds

    def _record_stall(self, now: float) -> None:
        if now - self._next_tick_by > STALL_THRESHOLD_SECONDS:
            # What was told as attended already stays so: the clock never runs backwards.
            self._stalled_seconds += now - max(self._next_tick_by, self._last_read_at)
            self._next_tick_by = now
        self._last_read_at = now
