"""Tracks how recently a gateway's configuration was proved current; no input/output.

A proof is a completed call to the object store, by this gateway or a peer, dated by its send time:
the store is linearizable, so the answer includes everything acknowledged before the call was sent.
"""

from __future__ import annotations

import msgspec

NOT_FOUND_SLACK_SECONDS = 0.3
"""Time of one call and the pause after it, added to the steady-state age of a proof."""
PROOF_SLACK_SECONDS = 0.3
"""The same, for the proof age above which a reader no longer attests its state."""
WAITS_PER_PROOF = 2.0
"""A watch proves the state at its send time, so without changes the age reaches twice its wait."""
MAX_WAIT_SECONDS = 1.0
WAITS_PER_KEY_BOUND = 5.0
"""Waits that fit into the bound on keys, so that one lost answer doesn't exceed it."""
WAITS_PER_APPLY_BOUND = 4.0
"""Waits that fit into the bound on changes: a follower must detect that its reader lost the store,
and read the store itself, before a missed change must be applied."""
MAX_HOLD_SECONDS = 0.8
HOLDS_PER_APPLY_BOUND = 2.5
"""Queries to a reader that fit into the bound on changes: one sent to a dead reader is lost."""
HOLDS_PER_KEY_BOUND = 4.0


class ReplicationTimes(msgspec.Struct, frozen=True):
    """Poll intervals and proof ages of store replication, all in seconds.

    Attributes:
        watch_wait: Longest wait of a watch of the configuration.
        feed_hold: Longest time for which a reader holds a follower's query (long poll).
        max_proof_age: A reader whose own proof is older doesn't attest its state.
        steady_state_age: Age that a proof reaches at a follower without faults or changes.
        max_receiving_age: Proof age up to which a reader attests its state while it receives a
            change.
    """

    watch_wait: float
    feed_hold: float
    max_proof_age: float
    steady_state_age: float
    max_receiving_age: float


def replication_times(bound_seconds: float, config_apply_seconds: float) -> ReplicationTimes:
    """Derive the times that keep the bounds on keys and on changes, both in seconds."""
    wait = min(
        MAX_WAIT_SECONDS,
        bound_seconds / WAITS_PER_KEY_BOUND,
        config_apply_seconds / WAITS_PER_APPLY_BOUND,
    )
    hold = min(
        MAX_HOLD_SECONDS,
        bound_seconds / HOLDS_PER_KEY_BOUND,
        config_apply_seconds / HOLDS_PER_APPLY_BOUND,
    )
    proof_age = WAITS_PER_PROOF * wait
    steady_state_age = proof_age + hold
    return ReplicationTimes(
        wait,
        hold,
        proof_age + PROOF_SLACK_SECONDS,
        steady_state_age,
        max(bound_seconds, steady_state_age),
    )


class ProofOfFreshness:
    """The latest proof of freshness, on this process's monotonic clock."""

    def __init__(
        self, bound_seconds: float, fail_closed: bool, steady_state_age_seconds: float
    ) -> None:
        self._proved_at = float("-inf")
        self.set_bound(bound_seconds, fail_closed, steady_state_age_seconds)

    def set_bound(
        self, bound_seconds: float, fail_closed: bool, steady_state_age_seconds: float
    ) -> None:
        """Change the bounds and keep the proof.

        Args:
            bound_seconds: Age of a proof up to which keys are trusted.
            fail_closed: Whether keys are refused without such a proof.
            steady_state_age_seconds: Age that a proof reaches without faults or changes.
        """
        self._bound_seconds = bound_seconds
        self._fail_closed = fail_closed
        self._not_found_seconds = steady_state_age_seconds + NOT_FOUND_SLACK_SECONDS

    def on_proof(self, sent_at: float) -> None:
        """Record that a call sent at this time has completed and its result is applied."""
        self._proved_at = max(self._proved_at, sent_at)

    def forget(self) -> None:
        """Invalidate all proofs: the store had lost a configuration that is applied elsewhere."""
        self._proved_at = float("-inf")

    @property
    def proved_at(self) -> float:
        """Send time of the call of the latest proof; minus infinity before the first."""
        return self._proved_at

    def age(self, now: float) -> float:
        """Seconds since the latest proof."""
        return now - self._proved_at

    def allows_keys(self, now: float) -> bool:
        """Whether keys of the configuration may be trusted."""
        return not self._fail_closed or self.age(now) <= self._bound_seconds

    @property
    def view_seconds(self) -> float:
        """Age of a proof up to which what isn't known may be taken for missing."""
        return self._not_found_seconds

    def allows_not_found(self, now: float) -> bool:
        """Whether a missing route or key may be refused as unknown: the proof is recent enough."""
        return self.age(now) <= self._not_found_seconds
