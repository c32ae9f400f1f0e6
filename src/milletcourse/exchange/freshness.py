"""Whether a gateway's configuration is proved to be in force; no input/output.

A proof is a completed call to the object store, or a peer's, counted from when it was sent: the
store's answers are linearizable, so anything acknowledged before the call is known after it.
"""

from __future__ import annotations

NOT_FOUND_SLACK_SECONDS = 0.3
"""Time of a call and its pause, beyond the age that a calm day's proofs reach."""
WAITS_A_PROOF = 2.0
"""A watch proves the time of its sending, so on a calm day the age goes up to twice its wait."""
MAX_WAIT_SECONDS = 1.0
WAITS_WITHIN_BOUND = 2.5
"""Waits that fit into the bound on keys, so that one lost answer doesn't end it."""


def watch_wait(bound_seconds: float, config_apply_seconds: float) -> float:
    """How long a watch of the configuration may wait under the bounds on keys and changes."""
    return min(
        MAX_WAIT_SECONDS, bound_seconds / WAITS_WITHIN_BOUND, config_apply_seconds / WAITS_A_PROOF
    )


class ProofOfFreshness:
    """Latest proof, on this process's monotonic clock."""

    def __init__(self, bound_seconds: float, fail_closed: bool, wait_seconds: float) -> None:
        self._proved_at = float("-inf")
        self.set_bound(bound_seconds, fail_closed, wait_seconds)

    def set_bound(self, bound_seconds: float, fail_closed: bool, wait_seconds: float) -> None:
        """Change the bounds; the proof stays.

        Args:
            bound_seconds: Age of a proof up to which keys are trusted.
            fail_closed: Whether keys are refused without such a proof.
            wait_seconds: How long a watch of the configuration waits.
        """
        self._bound_seconds = bound_seconds
        self._fail_closed = fail_closed
        self._not_found_seconds = WAITS_A_PROOF * wait_seconds + NOT_FOUND_SLACK_SECONDS

    def on_proof(self, sent_at: float) -> None:
        """A call that was sent at this time has completed and its result is in force."""
        self._proved_at = max(self._proved_at, sent_at)

    def age(self, now: float) -> float:
        """Seconds since the latest proof."""
        return now - self._proved_at

    def allows_keys(self, now: float) -> bool:
        """Whether keys of the configuration may be trusted."""
        return not self._fail_closed or self.age(now) <= self._bound_seconds

    def allows_not_found(self, now: float) -> bool:
        """Whether an unknown route or key may be called unknown; an old proof may be outdated."""
        return self.age(now) <= self._not_found_seconds
