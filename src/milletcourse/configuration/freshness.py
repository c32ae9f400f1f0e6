"""Decides whether a router can prove that its configuration is current.

A configuration is fresh if, within the freshness bound, some router read from the platform a
revision that this router has, or this router received datagrams from a majority of the members
while the platform is unavailable. After a stall, a process is not fresh until it has new evidence.
"""

from __future__ import annotations

from milletcourse.membership.messages import PlatformStamp

DEFAULT_BOUND_SECONDS = 5.0
"""Required bound on the time for an accepted change to take effect at all routers."""
DEFAULT_SKEW_SECONDS = 0.5
"""Upper bound on the difference between the wall clocks of two machines."""


class FreshnessTracker:
    """Tracks the evidence of freshness; performs no I/O.

    Times are wall seconds of this machine. The age of a stamp from another machine is increased by
    the bound on the clock difference.
    """

    def __init__(self, bound_seconds: float, skew_seconds: float) -> None:
        self._bound_seconds = bound_seconds
        self._skew_seconds = skew_seconds
        self._confirmed_wall = float("-inf")
        self._majority_wall = float("-inf")
        self._ignored_before_wall = float("-inf")
        self.latest_stamp = PlatformStamp()

    def on_stamp(self, stamp: PlatformStamp, own_revision: int) -> None:
        """Record a stamp of any router; it is evidence once this router has its revision."""
        if stamp.wall_seconds > self.latest_stamp.wall_seconds:
            self.latest_stamp = stamp
        self.on_revision(own_revision)

    def on_revision(self, own_revision: int) -> None:
        """Handle a change of this router's revision."""
        if own_revision >= self.latest_stamp.revision:
            wall = self.latest_stamp.wall_seconds - self._skew_seconds
            self._confirmed_wall = max(self._confirmed_wall, wall)

    def on_majority(
        self, contact_wall_seconds: float, own_revision: int, highest_peer_revision: int
    ) -> None:
        """Record contact with a majority of the members, none of which has a higher revision."""
        if own_revision >= highest_peer_revision:
            self._majority_wall = max(self._majority_wall, contact_wall_seconds)

    def on_resume(self, wall_now: float) -> None:
        """Discard all evidence from before a stall of this process."""
        self._ignored_before_wall = wall_now

    def is_fresh(self, wall_now: float) -> bool:
        """Whether regulated workloads may be served."""
        evidence = max(self._confirmed_wall, self._majority_wall)
        if evidence < self._ignored_before_wall:
            return False
        return wall_now - evidence <= self._bound_seconds
