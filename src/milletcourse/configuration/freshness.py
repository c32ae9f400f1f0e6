"""Decides whether a router can prove that its configuration is in force.

Fresh means: within the bound, a router saw the platform at a revision that this router has, or
this router heard the majority of the members while the platform is away. A process that was frozen
is not fresh until it has heard again.
"""

from __future__ import annotations

from milletcourse.membership.messages import PlatformStamp

DEFAULT_BOUND_SECONDS = 5.0
"""The users' bound on an accepted change at today's sizes."""
DEFAULT_SKEW_SECONDS = 0.5
"""Largest difference between the wall clocks of two machines."""


class FreshnessTracker:
    """Evidence of freshness; no input/output.

    Times are wall seconds of this machine. A stamp of another machine counts as older by the bound
    on the difference of clocks.
    """

    def __init__(self, bound_seconds: float, skew_seconds: float) -> None:
        self._bound_seconds = bound_seconds
        self._skew_seconds = skew_seconds
        self._confirmed_wall = float("-inf")
        self._majority_wall = float("-inf")
        self._ignored_before_wall = float("-inf")
        self.latest_stamp = PlatformStamp()

    def on_stamp(self, stamp: PlatformStamp, own_revision: int) -> None:
        """A router saw the platform at a revision; counts when this router has that revision."""
        if stamp.wall_seconds > self.latest_stamp.wall_seconds:
            self.latest_stamp = stamp
        self.on_revision(own_revision)

    def on_revision(self, own_revision: int) -> None:
        """This router's revision changed."""
        if own_revision >= self.latest_stamp.revision:
            wall = self.latest_stamp.wall_seconds - self._skew_seconds
            self._confirmed_wall = max(self._confirmed_wall, wall)

    def on_majority(
        self, contact_wall_seconds: float, own_revision: int, highest_peer_revision: int
    ) -> None:
        """The majority of the members was heard by this time and none has a higher revision."""
        if own_revision >= highest_peer_revision:
            self._majority_wall = max(self._majority_wall, contact_wall_seconds)

    def on_resume(self, wall_now: float) -> None:
        """This process was frozen: evidence from before counts no more."""
        self._ignored_before_wall = wall_now

    def is_fresh(self, wall_now: float) -> bool:
        """Whether regulated workloads may be served."""
        evidence = max(self._confirmed_wall, self._majority_wall)
        if evidence < self._ignored_before_wall:
            return False
        return wall_now - evidence <= self._bound_seconds
