"""Limits retries to a share of the requests, so that they can't amplify an overload."""

from __future__ import annotations

from milletcourse.admission.token_bucket import TokenBucket

RETRY_RATIO = 0.1
"""One retry per ten requests."""
MIN_RETRIES_PER_SECOND = 1.0
"""Lets a router with little traffic retry, too."""
FLOOR_BURST = 10.0
"""Capacity of the token bucket behind `MIN_RETRIES_PER_SECOND`, in retries."""
MAX_SAVED_RETRIES = 50.0
SLACK_PARTS = 3
"""A shared slack is split equally into a burst, a rate over the window, and saved retries."""


class RetryBudget:
    """A budget of retries in proportion to requests, with a minimum rate."""

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
        """Record a first attempt, which earns a fraction of a retry."""
        self._earned = min(self._earned + self._ratio, self._max_saved)

    def try_retry(self, now: float) -> bool:
        """Take one retry from the budget; False when it is exhausted."""
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._floor.level(now) >= 1.0:
            return self._floor.take(1.0, now)
        return False


def shared_retry_budget(
    now: float, ratio: float, slack: float, window_seconds: float, members: int
) -> RetryBudget:
    """Create one member's part of a budget that many share without coordination.

    Args:
        now: Monotonic seconds.
        ratio: Retries of all members in a window, as a share of their requests.
        slack: Retries that all members may make in a window in addition to that share.
        window_seconds: Length of the window in seconds.
        members: Number of members that share the budget.
    """
    member_slack = slack / members
    slack_part = member_slack / SLACK_PARTS
    if slack_part >= 1.0:
        return RetryBudget(now, ratio, slack_part / window_seconds, slack_part, slack_part)
    # A part of less than one retry could never be spent. The member then saves only what its
    # requests earn, up to its slack, but at least one retry: with less slack per member than that,
    # the members are so many that the unused part of their common ratio covers it.
    saved = min(member_slack, 1.0)
    max_saved = max(member_slack, 1.0) if slack > 0.0 else 0.0
    return RetryBudget(now, ratio, 0.0, 0.0, max_saved, saved)
