"""Whether a gateway's configuration is proved to be in force; no input/output.

A proof is a completed call to the object store, or a peer's, counted from when it was sent: the
store's answers are linearizable, so anything acknowledged before the call is known after it.
"""

from __future__ import annotations

NOT_FOUND_PROOF_SECONDS = 2.3
"""A refusal for an unknown route or key needs a proof this young; an older one may be outdated. A
watch that waits 1 s proves the time of its sending, so on a calm day the age goes up to 2 s."""


class ProofOfFreshness:
    """Latest proof, on this process's monotonic clock."""

    def __init__(self, bound_seconds: float, fail_closed: bool) -> None:
        self._bound_seconds = bound_seconds
        self._fail_closed = fail_closed
        self._proved_at = float("-inf")

    def set_bound(self, bound_seconds: float, fail_closed: bool) -> None:
        """Change the bound; the proof stays."""
        self._bound_seconds = bound_seconds
        self._fail_closed = fail_closed

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
        """Whether an unknown route or key may be called unknown."""
        return self.age(now) <= NOT_FOUND_PROOF_SECONDS
