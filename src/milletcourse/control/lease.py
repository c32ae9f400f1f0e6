"""Leases with fencing tokens, kept as objects of the platform; no input/output.

The observer's own monotonic clock decides expiry: a lease has lapsed for an observer when its
object did not change for the lease's duration. A holder stops acting earlier, by a margin, counted
from before it sent the renewal.

The store may come back from an older copy, in which the lease is older or missing. Its holder can't
be seen there any more and may act until its own time ends; so nobody else takes the lease before
that. Fencing tokens hold the place in the store's history at which their terms began: a token that
the store has forgotten is not given again.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition

DEFAULT_DURATION_SECONDS = 6.0
"""Short enough to replace a dead holder within seconds, long enough for few renewals."""
ABSENT_REVISION = 0
"""Revision of an object that doesn't exist."""
TOKENS_PER_ERA = 2**36
"""More than a store changes its objects within an era; tokens of many eras fit into 53 bits, which
is what numbers in JSON keep."""
HOLDER_MARGIN_SECONDS = 1.0
"""A holder stops acting this long before others may take over."""


class LeaseSpec(msgspec.Struct, frozen=True):
    """A lease as an object of the platform.

    Attributes:
        holder: Name of the process that holds it; empty when released.
        fencing_token: Rises with each term.
        duration_seconds: Lapses when it was not renewed for this long.
        renewals: Rises with each renewal, so that each renewal is a change.
    """

    holder: str
    fencing_token: int
    duration_seconds: float
    renewals: int


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A write to try: the lease as this process wants it.

    Attributes:
        spec: The lease.
        expected: Its last change as this process knows it; `ABSENT_REVISION` when there is no lease yet.
    """

    spec: LeaseSpec
    expected: StorePosition

    @property
    def creates(self) -> bool:
        """Whether the lease must not be there yet."""
        return self.expected.revision == ABSENT_REVISION


class LeaseTracker:
    """One process's view of one lease."""

    def __init__(
        self,
        owner: str,
        duration_seconds: float = DEFAULT_DURATION_SECONDS,
        margin_seconds: float = HOLDER_MARGIN_SECONDS,
    ) -> None:
        self._owner = owner
        self._duration_seconds = duration_seconds
        self._margin_seconds = margin_seconds
        self._era: int | None = None
        self._era_known_at = float("-inf")
        self._restored_at = float("-inf")
        self._spec: LeaseSpec | None = None
        self._position: StorePosition | None = StorePosition(UNKNOWN_ERA, ABSENT_REVISION)
        """Last change of the lease; None while it must be read before anything is claimed."""
        self._unchanged_since = 0.0
        self._held_until = float("-inf")
        self._held_era = UNKNOWN_ERA
        self._token = 0
        self._highest_token = 0

    # -- what is learnt -------------------------------------------------------------------------

    def on_era(self, era: int, now: float) -> bool:
        """An answer of the store told its era; True when the store has come back from a copy.

        Args:
            era: The latest era that is known.
            now: Monotonic time.
        """
        if self._era is not None and era <= self._era:
            return False
        before, self._era = self._era, era
        self._spec = None
        if before is None:
            self._era_known_at = now
            self._position = StorePosition(era, ABSENT_REVISION)
            return False
        self._restored_at = now
        self._position = None
        return True

    def on_observed(self, spec: LeaseSpec | None, position: StorePosition, now: float) -> None:
        """The lease was read from the platform.

        Args:
            spec: The lease, None when it isn't there.
            place: Its last change; of revision `ABSENT_REVISION` when it isn't there.
            now: Monotonic time.
        """
        if self._era is not None and position.era < self._era:
            return
        self.on_era(position.era, now)
        if position != self._position or spec is None:
            self._unchanged_since = now
        self._spec = spec
        self._position = position
        if spec is not None:
            self._highest_token = max(self._highest_token, spec.fencing_token)
        is_own = spec is not None and spec.holder == self._owner
        # What an older copy shows doesn't end a term that the store has lost.
        if not is_own and position.era == self._held_era:
            self._held_until = float("-inf")

    def on_conflict(self) -> None:
        """A claim failed since the lease has changed; it must be read again."""
        self._position = None

    def on_written(self, claim: LeaseClaim, position: StorePosition, sent_at: float) -> None:
        """The platform accepted the claim.

        One that was accepted in another era than it was meant for counts for nothing: what it
        replaced there is not what was expected.
        """
        if position.era != claim.expected.era:
            self._position = None
            return
        self._spec = claim.spec
        self._position = position
        self._unchanged_since = sent_at
        self._held_until = sent_at + self._duration_seconds - self._margin_seconds
        self._held_era = position.era
        self._token = claim.spec.fencing_token
        self._highest_token = max(self._highest_token, self._token)

    # -- what is to be done ---------------------------------------------------------------------

    def next_claim(self, now: float) -> LeaseClaim | None:
        """The write to try now: a renewal, a new term, or None to look at the lease instead."""
        if self._position is None:
            return None
        if self.is_held(now):
            return self._renewal(self._position)
        return self._new_term(self._position) if self._may_acquire(now) else None

    def _renewal(self, position: StorePosition) -> LeaseClaim:
        spec = self._spec
        if spec is None or spec.holder != self._owner or spec.fencing_token != self._token:
            # The store has lost this term, and nobody else takes the lease before it ends.
            return self._new_term(position)
        renewed = LeaseSpec(self._owner, self._token, self._duration_seconds, spec.renewals + 1)
        return LeaseClaim(renewed, position)

    def _new_term(self, position: StorePosition) -> LeaseClaim:
        token = self._highest_token + 1
        if position.era != UNKNOWN_ERA:
            token = max(token, position.era * TOKENS_PER_ERA + position.revision)
        return LeaseClaim(LeaseSpec(self._owner, token, self._duration_seconds, 0), position)

    def _may_acquire(self, now: float) -> bool:
        """Whether no other process can still act as the holder."""
        if now - self._restored_at < self._duration_seconds:
            return False
        spec = self._spec
        if spec is None:
            # A process that started just now can't know whether the store has just lost the lease.
            is_settled = now - self._era_known_at >= self._duration_seconds
            return is_settled or self._era in (None, UNKNOWN_ERA)
        if not spec.holder or spec.holder == self._owner:
            return True
        return now - self._unchanged_since >= spec.duration_seconds

    def is_held(self, now: float) -> bool:
        """Whether this process may act as the holder."""
        return now < self._held_until

    @property
    def fencing_token(self) -> int:
        """Token of this process's present or latest term."""
        return self._token

    @property
    def holder(self) -> str:
        """Last seen holder."""
        return self._spec.holder if self._spec else ""
