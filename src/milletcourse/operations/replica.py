"""Replica of operation claims; performs no I/O and stores nothing on disk.

A claim is a single-decree consensus on which coordinator may send the write: PREPARE promises not
to accept a lower ballot, DISPATCHING accepts. A coordinator sends the write only after a majority
of the key's replicas accepted DISPATCHING under its ballot.

A replica loses its state at a restart. One rule keeps it safe: it votes only on keys minted later
than its own start plus `skew + clock difference`. Any key on which its previous incarnation voted
was minted at most `skew` ahead of the time of that vote, and therefore earlier than that.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from milletcourse.operations.messages import (
    Ballot,
    ClaimReply,
    ClaimRequest,
    ClaimStep,
    ClaimVerdict,
    StoredOutcome,
)

SKEW_BOUND_SECONDS = 0.5
"""Largest accepted lead of a key's mint time over a replica's clock."""
CLOCK_DIFFERENCE_BOUND_SECONDS = 1.0
"""Twice the bound on the clock error of a machine: a replica may restart on another machine, and
one clock may be slow while the other is fast."""
TAKEOVER_SECONDS = 2.0
"""A claim without a recorded DISPATCHING may be taken over after this time."""
RETENTION_SECONDS = 900.0
"""Time after minting for which a key is accepted; older keys are refused."""
PRUNE_BATCH = 16


@dataclass(slots=True)
class _Claim:
    mint_seconds: float
    body_digest: bytes
    promised: Ballot
    promised_at: float
    dispatching: Ballot | None = None
    outcome: StoredOutcome | None = None


class ClaimReplica:
    """Holds the claims on which one incarnation of a router has voted.

    Args:
        start_wall_seconds: Wall time at which this process started.
        vote_after_start_seconds: Keys must be minted later than this after the start.
    """

    def __init__(
        self,
        start_wall_seconds: float,
        vote_after_start_seconds: float = SKEW_BOUND_SECONDS + CLOCK_DIFFERENCE_BOUND_SECONDS,
    ) -> None:
        self._votes_from = start_wall_seconds + vote_after_start_seconds
        self._claims: OrderedDict[bytes, _Claim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def handle(self, request: ClaimRequest, wall_now: float) -> ClaimReply:
        """Handle one step of a claim.

        Args:
            request: The step.
            wall_now: This replica's wall clock.
        """
        self._prune(wall_now)
        if request.mint_seconds > wall_now + SKEW_BOUND_SECONDS:
            return ClaimReply(ClaimVerdict.FROM_FUTURE)
        too_old = (
            request.mint_seconds <= self._votes_from
            or request.mint_seconds <= wall_now - RETENTION_SECONDS
        )
        if too_old:
            return ClaimReply(ClaimVerdict.TOO_OLD)
        claim = self._claims.get(request.record)
        if claim is None:
            claim = self._open(request, wall_now)
        if claim.body_digest != request.body_digest:
            return ClaimReply(ClaimVerdict.BODY_DIFFERS, claim.promised)
        if claim.outcome is not None:
            return ClaimReply(ClaimVerdict.FINISHED, claim.dispatching, claim.outcome)
        if request.step is ClaimStep.PREPARE:
            return self._on_prepare(claim, request.ballot, wall_now)
        if request.step is ClaimStep.DISPATCHING:
            return self._on_dispatching(claim, request.ballot)
        return self._on_outcome(claim, request)

    def _open(self, request: ClaimRequest, wall_now: float) -> _Claim:
        claim = _Claim(request.mint_seconds, request.body_digest, request.ballot, wall_now)
        self._claims[request.record] = claim
        return claim

    def _on_prepare(self, claim: _Claim, ballot: Ballot, wall_now: float) -> ClaimReply:
        if claim.dispatching is not None and claim.dispatching != ballot:
            return ClaimReply(ClaimVerdict.DISPATCHED, claim.dispatching)
        if ballot == claim.promised:
            return ClaimReply(ClaimVerdict.ACCEPTED)
        is_recent = wall_now - claim.promised_at < TAKEOVER_SECONDS
        if is_recent or ballot < claim.promised:
            return ClaimReply(ClaimVerdict.HELD, claim.promised)
        claim.promised = ballot
        claim.promised_at = wall_now
        return ClaimReply(ClaimVerdict.ACCEPTED)

    def _on_dispatching(self, claim: _Claim, ballot: Ballot) -> ClaimReply:
        if ballot < claim.promised:
            return ClaimReply(ClaimVerdict.HELD, claim.promised)
        if claim.dispatching is not None and claim.dispatching != ballot:
            return ClaimReply(ClaimVerdict.DISPATCHED, claim.dispatching)
        claim.promised = ballot
        claim.dispatching = ballot
        return ClaimReply(ClaimVerdict.ACCEPTED)

    def _on_outcome(self, claim: _Claim, request: ClaimRequest) -> ClaimReply:
        claim.dispatching = request.ballot
        claim.outcome = request.outcome
        return ClaimReply(ClaimVerdict.ACCEPTED)

    def _prune(self, wall_now: float) -> None:
        for _ in range(PRUNE_BATCH):
            if not self._claims:
                return
            oldest = next(iter(self._claims))
            age = wall_now - self._claims[oldest].mint_seconds
            if age < 2 * RETENTION_SECONDS:
                return
            del self._claims[oldest]
