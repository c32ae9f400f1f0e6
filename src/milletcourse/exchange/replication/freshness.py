"""Whether a gateway's configuration is proved to be in force; no input/output.

A proof is a completed call to the object store, or a peer's, counted from when it was sent: the
store's answers are linearizable, so anything acknowledged before the call is known after it.
"""

from __future__ import annotations

import msgspec

NOT_FOUND_SLACK_SECONDS = 0.3
"""Time of a call and its pause, beyond the age that a calm day's proofs reach."""
PROOF_SLACK_SECONDS = 0.3
"""The same for the age at which a reader of the store stops vouching for what it knows."""
WAITS_PER_PROOF = 2.0
"""A watch proves the time of its sending, so on a calm day the age goes up to twice its wait."""
MAX_WAIT_SECONDS = 1.0
WAITS_PER_KEY_BOUND = 5.0
"""Waits that fit into the bound on keys, so that one lost answer doesn't end it."""
WAITS_PER_APPLY_BOUND = 4.0
"""Waits that fit into the bound on changes: a follower must notice that its reader lost the store,
and read it itself, before a change that it missed is due."""
MAX_HOLD_SECONDS = 0.8
HOLDS_PER_APPLY_BOUND = 2.5
"""Questions to a reader that fit into the bound on changes, since one to a dead reader is lost."""
HOLDS_PER_KEY_BOUND = 4.0


class ReplicationTimes(msgspec.Struct, frozen=True):
    """How often the store's state is asked for, and how old a proof of it may get.

    Attributes:
        watch_wait: Longest wait of a watch of the configuration.
        feed_hold: Longest time that a reader keeps a follower's question.
        max_proof_age: A reader whose own proof is older doesn't vouch for what it knows.
        calm_age: Age that a proof reaches on a calm day, at a follower.
        max_receiving_age: Age up to which a reader vouches while a change is on its way to it.
    """

    watch_wait: float
    feed_hold: float
    max_proof_age: float
    steady_state_age: float
    max_receiving_age: float


def replication_times(bound_seconds: float, config_apply_seconds: float) -> ReplicationTimes:
    """Times that keep the bounds on keys and on changes."""
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
    """Latest proof, on this process's monotonic clock."""

    def __init__(
        self, bound_seconds: float, fail_closed: bool, steady_state_age_seconds: float
    ) -> None:
        self._proved_at = float("-inf")
        self.set_bound(bound_seconds, fail_closed, steady_state_age_seconds)

    def set_bound(
        self, bound_seconds: float, fail_closed: bool, steady_state_age_seconds: float
    ) -> None:
        """Change the bounds; the proof stays.

        Args:
            bound_seconds: Age of a proof up to which keys are trusted.
            fail_closed: Whether keys are refused without such a proof.
            calm_age_seconds: Age that a proof reaches on a calm day.
        """
        self._bound_seconds = bound_seconds
        self._fail_closed = fail_closed
        self._not_found_seconds = steady_state_age_seconds + NOT_FOUND_SLACK_SECONDS

    def on_proof(self, sent_at: float) -> None:
        """A call that was sent at this time has completed and its result is in force."""
        self._proved_at = max(self._proved_at, sent_at)

    def forget(self) -> None:
        """All proofs so far are void: the store had lost what is in force elsewhere."""
        self._proved_at = float("-inf")

    @property
    def proved_at(self) -> float:
        """When the call of the latest proof was sent; minus infinity before the first."""
        return self._proved_at

    def age(self, now: float) -> float:
        """Seconds since the latest proof."""
        return now - self._proved_at

    def allows_keys(self, now: float) -> bool:
        """Whether keys of the configuration may be trusted."""
        return not self._fail_closed or self.age(now) <= self._bound_seconds

    def allows_not_found(self, now: float) -> bool:
        """Whether an unknown route or key may be called unknown; an old proof may be outdated."""
        return self.age(now) <= self._not_found_seconds
