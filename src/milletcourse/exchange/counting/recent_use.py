"""A gateway's recent usage as a rate that it reports to others; no input/output."""

from __future__ import annotations

from collections import deque

RATE_WINDOW_SECONDS = 0.25
"""Usage is reported as a rate over this window, which spans five messages of a gateway and two of a
reader, so that the reports add up to the usage. A longer window delays the reports."""


class RecentUse:
    """Units used within a sliding window."""

    def __init__(self) -> None:
        self._used: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, units: float, now: float) -> None:
        """Records used units; a negative number is a refund."""
        self._used.append((now, units))
        self._sum += units

    def per_second(self, now: float) -> float:
        """Units per second; each unit counts fully for `RATE_WINDOW_SECONDS`, then not at all."""
        while self._used and now - self._used[0][0] >= RATE_WINDOW_SECONDS:
            self._sum -= self._used.popleft()[1]
        if not self._used:
            self._sum = 0.0
        return self._sum / RATE_WINDOW_SECONDS
