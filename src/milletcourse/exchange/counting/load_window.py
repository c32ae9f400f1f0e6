"""Adapts how many servers load weights concurrently to the duration of loads; no input/output.

Loads read from a shared source, so above some concurrency they slow each other down. The window
grows with each load that was about as fast as the fastest, and shrinks when a load is slower.
"""

from __future__ import annotations

MIN_PARALLEL_LOADS = 2
BASE_DIVISOR = 6
"""The window starts at one server in six, but not below `MIN_PARALLEL_LOADS`."""
MAX_DIVISOR = 3
"""The window never exceeds one server in three: servers that load weights take no requests."""
GROWTH_PER_LOAD = 0.5
"""Added by each load that wasn't slowed down, so the window grows by half in each round."""
SLOWDOWN_RATIO = 1.3
"""A load that takes this many times as long as the fastest counts as slowed down by others."""
COOLDOWN_LOADS = 12
"""Number of loads after a slow one before the window may grow again."""


class LoadWindow:
    """The number of concurrent loads: a base and an adaptive part."""

    def __init__(self) -> None:
        self._extra = 0.0
        self._fastest = float("inf")
        self._cooldown_loads = 0

    def base_size(self, servers: int) -> int:
        """Concurrent loads assumed not to slow each other down; deadlines are planned with it."""
        return max(MIN_PARALLEL_LOADS, servers // BASE_DIVISOR)

    def size(self, servers: int) -> int:
        """Maximum number of concurrent loads."""
        base = self.base_size(servers)
        return min(base + int(self._extra), max(base, servers // MAX_DIVISOR))

    def on_load(self, seconds: float) -> None:
        """Adapts the window to the duration of a completed load."""
        self._fastest = min(self._fastest, seconds)
        if seconds > SLOWDOWN_RATIO * self._fastest:
            self._extra /= 2
            self._cooldown_loads = COOLDOWN_LOADS
        elif self._cooldown_loads:
            self._cooldown_loads -= 1
        else:
            self._extra += GROWTH_PER_LOAD
