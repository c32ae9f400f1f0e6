"""Remembers which features of requests servers have answered; no input/output.

An answer is evidence in a feature's favor, and a crash may be reported after the answer that clears
it. Features that are answered again and again stay known when many others are answered once.
"""

from __future__ import annotations


class AnswerMemory:
    """Latest answers of features, bounded in number."""

    def __init__(self, max_single: int, max_repeated: int) -> None:
        """Start without any answer.

        Args:
            max_single: Features kept that were answered once.
            max_repeated: Features kept that were answered more than once.
        """
        self._max_single = max_single
        self._max_repeated = max_repeated
        self._single: dict[int, float] = {}
        self._repeated: dict[int, float] = {}

    def record(self, identity: int, at: float) -> None:
        """Record an answer at a monotonic time."""
        was_answered = self.take(identity) is not None
        kept, bound = self._single, self._max_single
        if was_answered and self._max_repeated:
            kept, bound = self._repeated, self._max_repeated
        kept[identity] = at
        if len(kept) > bound:
            del kept[next(iter(kept))]

    def take(self, identity: int) -> float | None:
        """Remove a feature; returns the time of its latest answer, None when none is known."""
        single = self._single.pop(identity, None)
        return single if single is not None else self._repeated.pop(identity, None)
