"""Token bucket; no input/output."""

from __future__ import annotations


class TokenBucket:
    """A token bucket whose level one take may make negative.

    Args:
        rate_per_second: Refill rate.
        size: Capacity in tokens.
        now: Monotonic seconds.
    """

    def __init__(self, rate_per_second: float, size: float, now: float) -> None:
        self.rate_per_second = rate_per_second
        self.size = size
        self._level = size
        self._updated_at = now

    def level(self, now: float) -> float:
        """Tokens available; negative while in debt."""
        gained = (now - self._updated_at) * self.rate_per_second
        self._level = min(self._level + gained, self.size)
        self._updated_at = now
        return self._level

    def take(self, amount: float, now: float) -> bool:
        """Take tokens if the bucket is not empty.

        A take larger than the level is allowed and makes the level negative, so that a large
        request is served and later ones wait for the refill.
        """
        if self.level(now) <= 0:
            return False
        self._level -= amount
        return True

    def seconds_until_positive(self, now: float) -> float:
        """Seconds until `take` succeeds again; 0 for a bucket that never refills."""
        level = self.level(now)
        if level > 0 or self.rate_per_second <= 0:
            return 0.0
        return -level / self.rate_per_second + 1.0 / self.rate_per_second
