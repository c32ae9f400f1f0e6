"""Tracks the request rates of prompt prefixes, and detects hot ones, with bounded memory.

A frequent-items sketch counts the requests whose prompts contain each block. Two sketches cover two
successive windows, so that the count of a prefix without requests drops to zero after two windows.
"""

from __future__ import annotations

from collections.abc import Sequence

from datasketches import frequent_items_error_type, frequent_strings_sketch

from milletcourse.prefix.blocks import BlockHash

SKETCH_LOG2_SIZE = 11
"""2,048 counters per window: every prefix with more than 1/700 of the traffic is found."""
WINDOW_SECONDS = 10.0
"""Hot prefixes change suddenly; two windows of 10 s follow a change within 20 s."""


class HotPrefixTracker:
    """Request rates and counts by block."""

    def __init__(self, window_seconds: float = WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._window_start = 0.0
        self._current = frequent_strings_sketch(SKETCH_LOG2_SIZE)
        self._previous = frequent_strings_sketch(SKETCH_LOG2_SIZE)

    def record(self, blocks: Sequence[BlockHash], now: float) -> None:
        """Count one request whose prompt contains these blocks.

        Args:
            blocks: Hashes to count; callers pass only the depths that they will query.
            now: Monotonic seconds.
        """
        self._rotate(now)
        for block in blocks:
            self._current.update(block.hex())

    def requests_per_second(self, block: BlockHash, now: float) -> float:
        """Estimated rate of requests with a block over the last one to two windows."""
        self._rotate(now)
        name = block.hex()
        count = self._current.get_estimate(name) + self._previous.get_estimate(name)
        covered = self._window_seconds + max(now - self._window_start, 0.0)
        return float(count / covered)

    def requests(self, block: BlockHash) -> int:
        """Estimated number of requests with a block in the two windows."""
        name = block.hex()
        return int(self._current.get_estimate(name) + self._previous.get_estimate(name))

    def hottest(self, limit: int) -> list[tuple[BlockHash, int]]:
        """The most requested blocks of the current window with their counts."""
        rows = self._current.get_frequent_items(frequent_items_error_type.NO_FALSE_POSITIVES)
        ordered = sorted(rows, key=lambda row: (-row[1], row[0]))
        return [(bytes.fromhex(row[0]), int(row[1])) for row in ordered[:limit]]

    def _rotate(self, now: float) -> None:
        if now - self._window_start < self._window_seconds:
            return
        missed_whole_window = now - self._window_start >= 2 * self._window_seconds
        empty = frequent_strings_sketch(SKETCH_LOG2_SIZE)
        self._previous = empty if missed_whole_window else self._current
        self._current = frequent_strings_sketch(SKETCH_LOG2_SIZE)
        self._window_start = now
