"""Reserves the next permits of a shared quota for more urgent requests; no input/output."""

from __future__ import annotations

URGENT_SECONDS = 1.0
"""A denied request of a more urgent rank has priority for the next permits for this long."""
MAX_URGENT_IN_A_ROW = 4
"""After this many permits in a row for the more urgent rank, a less urgent request is treated
alike, so that it is served less often but not starved."""


class UrgentReserve:
    """Which requests have to leave a permit to more urgent ones that were denied recently."""

    def __init__(self) -> None:
        self._rank = 0
        self._until = float("-inf")
        self._in_a_row = 0

    def applies_to(self, rank: int, now: float) -> bool:
        """Whether a request of this rank must leave permits to more urgent ones.

        Args:
            rank: Rank of the request, 0 for the most urgent.
            now: Monotonic time.
        """
        if now >= self._until or rank <= self._rank:
            return False
        return self._in_a_row < MAX_URGENT_IN_A_ROW

    def on_denied(self, rank: int, now: float) -> None:
        """Records that a request of a rank was denied a permit."""
        if now >= self._until or rank <= self._rank:
            self._rank = rank
            self._until = now + URGENT_SECONDS

    def on_granted(self, rank: int) -> None:
        """Records that a request of a rank got a permit."""
        self._in_a_row = self._in_a_row + 1 if rank <= self._rank else 0
