"""A counter with exponential decay; no input/output."""

from __future__ import annotations


class DecayingCount:
    """A counter that halves after each half-life.

    Args:
        half_life_seconds: Time after which a counted amount has half its weight.
    """

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life_seconds = half_life_seconds
        self._count = 0.0
        self._counted_at = 0.0

    def value(self, now: float) -> float:
        """The decayed count."""
        return self._count * 0.5 ** ((now - self._counted_at) / self._half_life_seconds)

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self._count = self.value(now) + amount
        self._counted_at = now

    def scale(self, factor: float, now: float) -> None:
        """Multiplies the count by a factor."""
        self._count = self.value(now) * factor
        self._counted_at = now
