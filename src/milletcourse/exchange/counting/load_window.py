"""How many servers take weights at the same time, learned from how long it takes; no input/output.

Loads share what they read from, so more than some number of them slow each other down. The number
grows with each load that was as fast as the fastest, and falls back when loads get slower.
"""

from __future__ import annotations

MIN_PARALLEL_LOADS = 2
BASE_DIVISOR = 6
"""One server in six at first, two at least."""
MAX_DIVISOR = 3
"""Never more than one server in three: those that take weights take no requests."""
GROWTH_PER_LOAD = 0.5
"""Added by each load that wasn't slowed down: half as many again in the next round."""
SLOWDOWN_RATIO = 1.3
"""A load that takes this many times as long as the fastest was slowed down by others."""
COOLDOWN_LOADS = 12
"""Loads after one that was slowed down, before the number grows again."""


class LoadWindow:
    """Counts what is allowed beyond the first number."""

    def __init__(self) -> None:
        self._extra = 0.0
        self._fastest = float("inf")
        self._cooldown_loads = 0

    def base_size(self, servers: int) -> int:
        """Loads that are taken not to slow each other: what a bound is planned by."""
        return max(MIN_PARALLEL_LOADS, servers // BASE_DIVISOR)

    def size(self, servers: int) -> int:
        """Loads that may run at the same time."""
        base = self.base_size(servers)
        return min(base + int(self._extra), max(base, servers // MAX_DIVISOR))

    def on_load(self, seconds: float) -> None:
        """A load took this long."""
        self._fastest = min(self._fastest, seconds)
        if seconds > SLOWDOWN_RATIO * self._fastest:
            self._extra /= 2
            self._cooldown_loads = COOLDOWN_LOADS
        elif self._cooldown_loads:
            self._cooldown_loads -= 1
        else:
            self._extra += GROWTH_PER_LOAD
