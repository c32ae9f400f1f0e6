"""Feeds the freshness tracker with process stalls, stamps of peers, and majority contacts."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.configuration.freshness import FreshnessTracker
from milletcourse.configuration.store import ConfigurationStore
from milletcourse.logs import get_logger
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.runtime.clock import Clock

STALL_THRESHOLD_SECONDS = 1.5
"""A longer time between two checks means that the process was not running."""


class FreshnessWatch:
    """Updates the freshness evidence periodically.

    Args:
        freshness: Tracks the evidence of freshness.
        detector: Membership view and contact times of the other routers.
        store: The configuration in force.
        highest_peer_revision: Returns the highest revision reported by any router.
        clock: Time.
    """

    def __init__(
        self,
        freshness: FreshnessTracker,
        detector: FailureDetector,
        store: ConfigurationStore,
        highest_peer_revision: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._freshness = freshness
        self._detector = detector
        self._store = store
        self._highest_peer_revision = highest_peer_revision
        self._clock = clock
        self._checked_at = 0.0
        self._log = get_logger("node")

    def start(self) -> None:
        """Start the stall detection at the current time."""
        self._checked_at = self._clock.monotonic()

    def check(self) -> None:
        """Check for a stall, then update the stamp to send and the majority contact."""
        self.check_for_stall()
        self.publish_stamp()
        self._note_majority()

    def check_for_stall(self) -> None:
        """Discard the evidence from before a stall of this process."""
        now = self._clock.monotonic()
        if self._checked_at and now - self._checked_at > STALL_THRESHOLD_SECONDS:
            self._log.warning(
                "the process was not running", seconds=round(now - self._checked_at, 1)
            )
            self._freshness.on_resume(self._clock.wall())
        self._checked_at = now

    def publish_stamp(self) -> None:
        """Put the latest platform stamp into the next datagrams."""
        self._detector.stamp = self._freshness.latest_stamp

    def _note_majority(self) -> None:
        """Record majority contact, which is evidence while the platform is unavailable."""
        router_set = self._store.policy.router_set
        if router_set is None or not router_set.members:
            return
        now = self._clock.monotonic()
        names = {item.name for item in router_set.members}
        contact_at = min(self._detector.majority_contact_at(names), now)
        self._freshness.on_majority(
            self._clock.wall() - (now - contact_at),
            self._store.revision,
            self._highest_peer_revision(),
        )
