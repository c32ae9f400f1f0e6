"""A count whose entries lose weight with time; no input/output."""

from __future__ import annotations


class DecayingCount:
    """Counts half after each half-life.

    Args:
        half_life_seconds: Time after which what was counted counts half.
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._count = 0.0
        self._counted_at = 0.0

    def value(self, now: float) -> float:
        """What is left of the count."""
        return self._count * 0.5 ** ((now - self._counted_at) / self._half_life_seconds)

    def add(self, amount: float, now: float) -> None:
        """Count something."""
        self._count = self.value(now) + amount
        self._counted_at = now

    def scale(self, factor: float, now: float) -> None:
        """Keep a part of the count only."""
        self._count = self.value(now) * factor
        self._counted_at = now
