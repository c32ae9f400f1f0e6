"""A clock that counts only the time during which the event loop ran (responsive time).

Timeouts for the silence of another party use it: otherwise a process that was paused, or a machine
that was suspended, would mistake its own stall for silence of the other party. What this process
itself holds (leases, keys, deadlines) expires by `elapsed_seconds`, stalls included.
"""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.runtime.clock import elapsed_seconds

STALL_THRESHOLD_SECONDS = 0.05
"""A smaller delay is a busy loop, which still reads its sockets in time."""


class ResponsiveClock:
    """Monotonic seconds without those in which the event loop was stalled."""

    def __init__(self, now: Callable[[], float] = elapsed_seconds) -> None:
        self._now = now
        self._stalled_seconds = 0.0
        self._next_tick_by = float("inf")
        self._last_read_at = float("-inf")

    def seconds(self) -> float:
        """Responsive time in seconds; comparable within one process only."""
        now = self._now()
        self._record_stall(now)
        return now - self._stalled_seconds

    @property
    def stalled_seconds(self) -> float:
        """Seconds in which the loop was stalled, as of the latest reading of the clock."""
        return self._stalled_seconds

    def on_loop_tick(self, seconds: float) -> None:
        """Called by the loop: it runs now, and will call again within `seconds`."""
        now = self._now()
        self._record_stall(now)
        self._next_tick_by = now + seconds

    def _record_stall(self, now: float) -> None:
        if now - self._next_tick_by > STALL_THRESHOLD_SECONDS:
            # Time that was already returned as responsive is kept: the clock never runs backwards.
            self._stalled_seconds += now - max(self._next_tick_by, self._last_read_at)
            self._next_tick_by = now
        self._last_read_at = now
