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
SLACK_PARTS = 3
"""A shared slack is spent as a burst, as a rate over the window, and as saved-up earnings."""


class RetryBudget:
    """Retries allowed in proportion to requests."""

    def __init__(
        self,
        now: float,
        ratio: float = RETRY_RATIO,
        floor_per_second: float = MIN_RETRIES_PER_SECOND,
        floor_burst: float = FLOOR_BURST,
        max_saved: float = MAX_SAVED_RETRIES,
        saved: float = 0.0,
    ) -> None:
        self._floor = TokenBucket(floor_per_second, floor_burst, now)
        self._ratio = ratio
        self._max_saved = max_saved
        self._earned = min(saved, max_saved)

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


def shared_retry_budget(
    now: float, ratio: float, slack: float, window_seconds: float, members: int
) -> RetryBudget:
    """One member's part of a budget that many share without talking.

    Args:
        now: Monotonic seconds.
        ratio: Retries of all members in a window, as a share of their requests.
        slack: Retries that all of them may make in a window beside that share.
        window_seconds: The window.
        members: How many share it.
    """
    member_slack = slack / members
    slack_part = member_slack / SLACK_PARTS
    if slack_part >= 1.0:
        return RetryBudget(now, ratio, slack_part / window_seconds, slack_part, slack_part)
    # Parts of less than one retry could never be spent. Only what requests earned is kept then,
    # up to the own slack, but one retry at least: where members have less slack than that, they
    # have so many requests together that what they leave of the ratio covers it.
    saved = min(member_slack, 1.0)
    max_saved = max(member_slack, 1.0) if slack > 0.0 else 0.0
    return RetryBudget(now, ratio, 0.0, 0.0, max_saved, saved)
