"""What a gateway spent in the last moments, as it tells it to others; no input/output."""

from __future__ import annotations

from collections import deque

RATE_WINDOW_SECONDS = 0.25
"""What was spent is told as a rate over this time: five messages of a gateway, two of a reader, so
that what is told adds up to what was spent. A longer time makes all others hear of it later."""


class RecentUse:
    """Units spent within the last moments."""

    def __init__(self) -> None:
        self._spent: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, units: float, now: float) -> None:
        """Units were spent; a negative number was given back."""
        self._spent.append((now, units))
        self._sum += units

    def per_second(self, now: float) -> float:
        """Units a second; each unit counts fully for `RATE_WINDOW_SECONDS` and then not at all."""
        while self._spent and now - self._spent[0][0] >= RATE_WINDOW_SECONDS:
            self._sum -= self._spent.popleft()[1]
        if not self._spent:
            self._sum = 0.0
        return self._sum / RATE_WINDOW_SECONDS
