"""Leases with fencing tokens, stored as objects of the platform; performs no I/O.

Each observer decides expiry by its own monotonic clock: a lease has expired for an observer when
its object did not change for the duration of the lease. The holder stops acting earlier by a margin
and counts its term from before it sent the renewal.

The store may be restored from an older snapshot in which the lease is older or missing. The current
holder is not visible there and may act until its own term expires, so no other process acquires the
lease before then. A fencing token encodes the store position at which its term started, so that a
token lost in the restore is not issued again.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition

DEFAULT_DURATION_SECONDS = 6.0
"""Replaces a dead holder within seconds at a low rate of renewals."""
ABSENT_REVISION = 0
"""Revision that stands for an object that does not exist."""
TOKENS_PER_ERA = 2**36
"""Exceeds the number of changes to a store within one era; tokens of many eras still fit into the
53 bits that JSON numbers represent exactly."""
HOLDER_MARGIN_SECONDS = 1.0
"""The holder stops acting this long before another process may acquire the lease."""


class LeaseSpec(msgspec.Struct, frozen=True):
    """A lease as an object of the platform.

    Attributes:
        holder: Name of the process that holds it; empty when released.
        fencing_token: Increases with each term.
        duration_seconds: Time without a renewal after which the lease expires.
        renewals: Increases with each renewal, so that each renewal changes the object.
    """

    holder: str
    fencing_token: int
    duration_seconds: float
    renewals: int


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A conditional write that acquires or renews the lease.

    Attributes:
        spec: The lease to write.
        expected: Position of the last known change; revision `ABSENT_REVISION` if no lease exists.
    """

    spec: LeaseSpec
    expected: StorePosition

    @property
    def creates(self) -> bool:
        """Whether the write requires that the lease does not exist."""
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
        """Last change of the lease; None while it must be read before the next claim."""
        self._unchanged_since = 0.0
        self._held_until = float("-inf")
        self._held_era = UNKNOWN_ERA
        self._token = 0
        self._highest_token = 0

    # -- observations ---------------------------------------------------------------------------

    def on_era(self, era: int, now: float) -> bool:
        """Handle a response of the store that carries its era.

        Args:
            era: The latest known era.
            now: Monotonic time.

        Returns:
            True when the store was restored from a snapshot since the previous known era.
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
        """Handle a read of the lease from the platform.

        Args:
            spec: The lease, None when it does not exist.
            position: Its last change; with revision `ABSENT_REVISION` when it does not exist.
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
        # An older snapshot does not end a term that the restore removed from the store.
        if not is_own and position.era == self._held_era:
            self._held_until = float("-inf")

    def on_conflict(self) -> None:
        """Require another read after a claim failed because the lease has changed."""
        self._position = None

    def on_written(self, claim: LeaseClaim, position: StorePosition, sent_at: float) -> None:
        """Handle the platform's acceptance of a claim.

        A claim accepted in another era than expected is ignored, since it did not replace the
        version that it was based on.
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

    # -- claims ---------------------------------------------------------------------------------

    def next_claim(self, now: float) -> LeaseClaim | None:
        """Return the renewal or the new term to write now, None if the lease must only be read."""
        if self._position is None:
            return None
        if self.is_held(now):
            return self._renewal(self._position)
        return self._new_term(self._position) if self._may_acquire(now) else None

    def _renewal(self, position: StorePosition) -> LeaseClaim:
        spec = self._spec
        if spec is None or spec.holder != self._owner or spec.fencing_token != self._token:
            # A restore removed this term; no other process acquires the lease before it expires.
            return self._new_term(position)
        renewed = LeaseSpec(self._owner, self._token, self._duration_seconds, spec.renewals + 1)
        return LeaseClaim(renewed, position)

    def _new_term(self, position: StorePosition) -> LeaseClaim:
        token = self._highest_token + 1
        if position.era != UNKNOWN_ERA:
            token = max(token, position.era * TOKENS_PER_ERA + position.revision)
        return LeaseClaim(LeaseSpec(self._owner, token, self._duration_seconds, 0), position)

    def _may_acquire(self, now: float) -> bool:
        """Whether no other process can still be acting as the holder."""
        if now - self._restored_at < self._duration_seconds:
            return False
        spec = self._spec
        if spec is None:
            # A newly started process can't know whether a restore has just removed the lease.
            is_settled = now - self._era_known_at >= self._duration_seconds
            return is_settled or self._era in (None, UNKNOWN_ERA)
        is_free = not spec.holder or spec.holder == self._owner
        if is_free and self._began_in_present_era(spec):
            return True
        return now - self._unchanged_since >= spec.duration_seconds

    def _began_in_present_era(self, spec: LeaseSpec) -> bool:
        """Whether the store has not been restored since the term of a lease began.

        In an older copy a later term is missing, whose holder may still be acting.
        """
        if self._era in (None, UNKNOWN_ERA):
            return True
        return spec.fencing_token // TOKENS_PER_ERA >= self._era

    def is_held(self, now: float) -> bool:
        """Whether this process may act as the holder."""
        return now < self._held_until

    @property
    def fencing_token(self) -> int:
        """Token of this process's current or latest term."""
        return self._token

    @property
    def holder(self) -> str:
        """Holder in the latest observed lease."""
        return self._spec.holder if self._spec else ""
