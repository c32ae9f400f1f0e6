"""Record of one server's self-reported state; no input/output."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

TOMBSTONE_SECONDS = 60.0
"""A removed limit, or the state of a departed server, is remembered this long, so that older
reports don't restore it."""
LEAVING_REPORT_SECONDS = 120.0
"""A server's shutdown is reported for this long; few servers take longer to exit."""
SOURCE_ANSWER = "answer"
SOURCE_PEER = "peer"
SOURCE_ENTRY = "entry"
"""Source of the information that a server is shutting down: an answer to this gateway, a report of
another gateway, or the server's discovery entry."""


class Signal(Enum):
    """Why a server's self-reported state excludes it from new requests."""

    LEAVING = "leaving"
    """It is shutting down."""
    BACKING_OFF = "resting"
    """It rejected a request and asked this gateway to send none for some time."""


class LimitChange(Enum):
    """How an answer of a server, or another gateway's report, changes the known limit."""

    ADDED = "named"
    CHANGED = "changed"
    REMOVED = "ended"


class AnnouncedLimit(msgspec.Struct):
    """A limit that a server announces in its answers; the latest answer applies.

    Attributes:
        per_second: The limit, None for no limit or a removed one.
        seen_at: Monotonic time of the answer that reported the limit or its removal; minus infinity
            when none did.
    """

    per_second: float | None = None
    seen_at: float = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether any answer has reported the limit."""
        return self.seen_at > float("-inf")

    def take(self, per_second: float | None, seen_at: float) -> LimitChange | None:
        """Applies a newer report; returns the change, None for none."""
        before, self.per_second, self.seen_at = self.per_second, per_second, seen_at
        if before == per_second:
            return None
        if before is None:
            return LimitChange.ADDED
        return LimitChange.REMOVED if per_second is None else LimitChange.CHANGED


class ChangedSignal(msgspec.Struct, frozen=True):
    """A change of a server's state that another gateway reported.

    Attributes:
        key: Key of the server's incarnation.
        change: Change of its limit, None for no change.
        per_second: Its limit in requests per second, None for none.
        is_leaving: Its shutdown is newly reported.
        rejection_change: Change of its rejection limit, None for no change.
        rejections_per_second: Its rejection limit, None for none.
    """

    key: int
    change: LimitChange | None
    per_second: float | None
    is_leaving: bool
    rejection_change: LimitChange | None = None
    rejections_per_second: float | None = None


class CurrentBackOff(msgspec.Struct, frozen=True):
    """The current back-off of a server.

    Attributes:
        remaining_seconds: Time until its end.
        total_seconds: Its total duration.
    """

    remaining_seconds: float
    total_seconds: float


class SignalRecord(msgspec.Struct):
    """Latest self-reported state of one server.

    Attributes:
        limit: Its limit of requests per second.
        rejection_limit: Its limit of rejections per second, beyond which it crashes.
        leaving_at: When an answer first reported its shutdown; infinite when none did.
        entry_leaving_at: When its discovery entry first reported its shutdown; infinite when it
            didn't.
        leaving_source: First source of its shutdown: `answer`, `peer` or `entry`; empty for none.
        excluded_requests: Requests for which its shutdown or back-off excluded it as a candidate.
        back_off_since: When it requested its current or last back-off from this gateway.
        back_off_until: End of that back-off.
        reports_left: Number of repetitions of a changed report that are still to be sent.
        reported_at: When it was last reported to other gateways.
    """

    limit: AnnouncedLimit = msgspec.field(default_factory=AnnouncedLimit)
    rejection_limit: AnnouncedLimit = msgspec.field(default_factory=AnnouncedLimit)
    leaving_at: float = float("inf")
    entry_leaving_at: float = float("inf")
    leaving_source: str = ""
    excluded_requests: int = 0
    back_off_since: float = float("-inf")
    back_off_until: float = float("-inf")
    reports_left: int = 0
    reported_at: float = float("-inf")

    @property
    def first_leaving_at(self) -> float:
        """When its shutdown was first reported by any source; infinite when it wasn't."""
        return min(self.leaving_at, self.entry_leaving_at)

    @property
    def is_leaving(self) -> bool:
        """Whether any source reported its shutdown."""
        return self.first_leaving_at < float("inf")

    @property
    def last_signal_at(self) -> float:
        """Time of its last limit report or first shutdown report; minus infinity for neither."""
        limit_seen_at = max(self.limit.seen_at, self.rejection_limit.seen_at)
        return max(limit_seen_at, self.first_leaving_at if self.is_leaving else float("-inf"))

    def signal(self, now: float) -> Signal | None:
        """The signal that excludes it from new requests now, None for none."""
        if self.is_leaving:
            return Signal.LEAVING
        return Signal.BACKING_OFF if now < self.back_off_until else None

    def merge_from(self, other: SignalRecord) -> None:
        """Merges the record of the same server under another key into this one."""
        self.leaving_at = min(self.leaving_at, other.leaving_at)
        self.entry_leaving_at = min(self.entry_leaving_at, other.entry_leaving_at)
        self.leaving_source = self.leaving_source or other.leaving_source
        if other.back_off_until > self.back_off_until:
            self.back_off_since, self.back_off_until = other.back_off_since, other.back_off_until

    def report(self, key: int, now: float) -> SignalReport:
        """The report on this server for other gateways."""
        leaving_ms = _age_ms(self.leaving_at, now) if self.leaving_at < float("inf") else None
        return SignalReport(
            key,
            self.limit.per_second,
            _age_ms(self.limit.seen_at, now),
            leaving_ms,
            self.rejection_limit.per_second,
            _age_ms(self.rejection_limit.seen_at, now),
        )

    def is_reported(self, now: float) -> bool:
        """Whether it is reported to others; a back-off isn't, as it concerns one gateway only."""
        is_shutdown_reported = 0.0 <= now - self.leaving_at < LEAVING_REPORT_SECONDS
        return self.limit.is_known or self.rejection_limit.is_known or is_shutdown_reported

    def is_expired(self, now: float) -> bool:
        """Whether its latest signal and back-off ended longer ago than `TOMBSTONE_SECONDS`."""
        return now - max(self.last_signal_at, self.back_off_until) > TOMBSTONE_SECONDS


LimitOf = Callable[[SignalRecord], AnnouncedLimit]
"""Selects one of the limits of a record."""


def request_limit_of(record: SignalRecord) -> AnnouncedLimit:
    """A server's limit of requests per second."""
    return record.limit


def rejection_limit_of(record: SignalRecord) -> AnnouncedLimit:
    """A server's limit of rejections per second."""
    return record.rejection_limit


class ServerLimitState(msgspec.Struct, frozen=True):
    """A gateway's view of a server's limit, for operators.

    Attributes:
        instance: Name of the server.
        per_second: Requests per second that it accepts from all gateways together.
        said: Seconds since an answer, here or at another gateway, last reported the limit.
        lender: Gateway that grants the permits for the server.
        standing: Role in which that gateway grants them: home, deputy or alone.
    """

    instance: str
    per_second: float
    said: float
    lender: str
    standing: str


class ServerSlotState(msgspec.Struct, frozen=True):
    """A gateway's view of the leased slots of a server with a rejection limit, for operators.

    Attributes:
        instance: Name of the server.
        rejections_per_second: Rejections per second that the servers of its service bear.
        slots: Its slots by its entry; 0 when unknown.
        held: Leases that this gateway holds.
        owner: Gateway that grants the leases.
        role: Role in which that gateway grants them: home, deputy or alone.
        leased: Requests of all gateways at the server; None unless this gateway keeps account.
        limit: Requests that may be there at once; None likewise.
        rejected: Rejections within the last second; None likewise.
    """

    instance: str
    rejections_per_second: float
    slots: int
    held: int
    owner: str
    role: str
    leased: int | None
    limit: int | None
    rejected: int | None


class ServerSignalState(msgspec.Struct, frozen=True):
    """A server's self-reported state that excludes it from new requests, for operators.

    Attributes:
        instance: Name of the server.
        service: Name of its service.
        signal: The server is shutting down (`leaving`) or backing off (`resting`).
        told_by: Source: `answer` of the server to this gateway, `peer` or `entry`.
        said: Seconds since it was first reported.
        left: Seconds until it ends; None for a server that is shutting down.
        kept_away: Requests of this gateway that were sent elsewhere, or refused, because of it.
    """

    instance: str
    service: str
    signal: str
    told_by: str
    said: float
    left: float | None
    kept_away: int


def _age_ms(seen_at: float, now: float) -> int:
    return round(min(max((now - seen_at) * 1000.0, 0.0), float(MAX_AGE_MS)))
