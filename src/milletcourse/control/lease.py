"""Leases with fencing tokens, kept as objects of the platform; no input/output.

The observer's own monotonic clock decides expiry: a lease has lapsed for an observer when its
object did not change for the lease's duration. A holder stops acting earlier, by a margin, counted
from before it sent the renewal.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from milletcourse.exchange.messages.store_place import UNKNOWN_ERA, StorePlace

DEFAULT_DURATION_SECONDS = 6.0
"""Short enough to replace a dead holder within seconds, long enough for few renewals."""
NOT_THERE = 0
"""Revision of an object that doesn't exist."""
HOLDER_MARGIN_SECONDS = 1.0
"""A holder stops acting this long before others may take over."""


class LeaseSpec(msgspec.Struct, frozen=True):
    """A lease as an object of the platform.

    Attributes:
        holder: Name of the process that holds it; empty when released.
        fencing_token: Rises by one with each change of the holder.
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
        expected: Its last change as this process knows it; `NOT_THERE` when there is no lease yet.
    """

    spec: LeaseSpec
    expected: StorePlace

    @property
    def creates(self) -> bool:
        """Whether the lease must not be there yet."""
        return self.expected.revision == NOT_THERE


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
        self._spec: LeaseSpec | None = None
        self._place = StorePlace(UNKNOWN_ERA, NOT_THERE)
        self._unchanged_since = 0.0
        self._held_until = float("-inf")

    def on_observed(self, spec: LeaseSpec | None, place: StorePlace, now: float) -> None:
        """The lease was read from the platform.

        Args:
            spec: The lease, None when it isn't there.
            place: Its last change; of revision `NOT_THERE` when it isn't there.
            now: Monotonic time.
        """
        if place != self._place or spec is None:
            self._unchanged_since = now
        self._spec = spec
        self._place = place
        if spec is None or spec.holder != self._owner:
            self._held_until = float("-inf")

    def next_claim(self, now: float) -> LeaseClaim | None:
        """The write to try now: a renewal, a takeover, or None while another one holds it."""
        spec = self._spec
        if spec is None:
            return LeaseClaim(LeaseSpec(self._owner, 1, self._duration_seconds, 0), self._place)
        if spec.holder == self._owner and self._held_until > now:
            renewed = LeaseSpec(
                self._owner, spec.fencing_token, self._duration_seconds, spec.renewals + 1
            )
            return LeaseClaim(renewed, self._place)
        lapsed = now - self._unchanged_since >= spec.duration_seconds
        if spec.holder and not lapsed and spec.holder != self._owner:
            return None
        taken = LeaseSpec(self._owner, spec.fencing_token + 1, self._duration_seconds, 0)
        return LeaseClaim(taken, self._place)

    def on_written(self, claim: LeaseClaim, place: StorePlace, sent_at: float) -> None:
        """The platform accepted the claim."""
        self._spec = claim.spec
        self._place = place
        self._unchanged_since = sent_at
        self._held_until = sent_at + self._duration_seconds - self._margin_seconds

    def is_held(self, now: float) -> bool:
        """Whether this process may act as the holder."""
        return now < self._held_until

    @property
    def fencing_token(self) -> int:
        """Token of the present term."""
        return self._spec.fencing_token if self._spec else 0

    @property
    def holder(self) -> str:
        """Last seen holder."""
        return self._spec.holder if self._spec else ""
