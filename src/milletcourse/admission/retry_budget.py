"""Bounds retries to a share of the requests, so that they can't multiply an overload."""

from __future__ import annotations

from milletcourse.admission.token_bucket import TokenBucket

RETRY_RATIO = 0.1
"""One retry for each ten requests."""
MIN_RETRIES_PER_SECOND = 1.0
"""A router with little traffic may still retry."""
FLOOR_BURST = 10.0
"""Retries of the floor that are saved up at most."""
MAX_SAVED_RETRIES = 50.0


class RetryBudget:
    """Retries allowed in proportion to requests."""

    def __init__(
        self,
        now: float,
        ratio: float = RETRY_RATIO,
        floor_per_second: float = MIN_RETRIES_PER_SECOND,
        floor_burst: float = FLOOR_BURST,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._floor = TokenBucket(floor_per_second, floor_burst, now)
        self._ratio = ratio
        self._max_saved = max_saved
        self._earned = 0.0

    def on_request(self) -> None:
        """A first attempt was made."""
        self._earned = min(self._earned + self._ratio, self._max_saved)

    def try_retry(self, now: float) -> bool:
        """Whether one more retry is within the budget; takes it."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._floor.level(now) >= 1.0:
            return self._floor.take(1.0, now)
        return False
