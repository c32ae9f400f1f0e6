"""What one server said of itself, and what follows from it; no input/output."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

TOMBSTONE_SECONDS = 60.0
"""That a limit has ended, or what a server that is gone said, is remembered this long, so that
older reports don't bring it back."""
LEAVING_REPORT_SECONDS = 120.0
"""That a server leaves is told this long: few take longer to end."""
SOURCE_ANSWER = "answer"
SOURCE_PEER = "peer"
SOURCE_ENTRY = "entry"
"""Who told that a server leaves: its answer here, another gateway, the discovery."""


class Signal(Enum):
    """Why a server's own word keeps requests from it."""

    LEAVING = "leaving"
    """It is about to end."""
    BACKING_OFF = "resting"
    """It turned a request away, and wants nothing from this gateway for a while."""


class LimitChange(Enum):
    """What an answer of a server, or another gateway's report of one, changes here."""

    ADDED = "named"
    CHANGED = "changed"
    REMOVED = "ended"


class ChangedSignal(msgspec.Struct, frozen=True):
    """News of a server that another gateway told.

    Attributes:
        key: Identity of the server's incarnation.
        change: What is new of its limit, None for nothing.
        per_second: Its limit, None for none.
        is_leaving: That it leaves is new.
    """

    key: int
    change: LimitChange | None
    per_second: float | None
    is_leaving: bool


class CurrentBackOff(msgspec.Struct, frozen=True):
    """The rest that a server has now.

    Attributes:
        remaining_seconds: Seconds until its end.
        total_seconds: How long it takes as a whole.
    """

    remaining_seconds: float
    total_seconds: float


class SignalRecord(msgspec.Struct):
    """What one server said last.

    Attributes:
        per_second: Its limit, None for none, or none any more.
        limit_seen_at: Monotonic time of the answer that said so; minus infinity when none did.
        leaving_at: When an answer first said that it leaves; infinite when none did.
        entry_leaving_at: When its entry first did so; infinite when it didn't.
        leaving_source: Who told that first: `answer`, `peer` or `entry`; empty when nobody did.
        kept_away: Requests for which it was no candidate for its leaving or its rest.
        back_off_since: When it asked this gateway for the rest that it has now, or had last.
        back_off_until: End of that rest.
        reports_left: How often it is still to be told.
        reported_at: When it was told last.
    """

    per_second: float | None = None
    limit_seen_at: float = float("-inf")
    leaving_at: float = float("inf")
    entry_leaving_at: float = float("inf")
    leaving_source: str = ""
    kept_away: int = 0
    back_off_since: float = float("-inf")
    back_off_until: float = float("-inf")
    reports_left: int = 0
    reported_at: float = float("-inf")

    @property
    def first_leaving_at(self) -> float:
        """When it first said in any way that it leaves; infinite when it didn't."""
        return min(self.leaving_at, self.entry_leaving_at)

    @property
    def is_leaving(self) -> bool:
        """Whether it said in any way that it leaves."""
        return self.first_leaving_at < float("inf")

    @property
    def last_signal_at(self) -> float:
        """When it spoke of a limit last, or of leaving first; minus infinity for neither."""
        return max(self.limit_seen_at, self.first_leaving_at if self.is_leaving else float("-inf"))

    def signal(self, now: float) -> Signal | None:
        """What keeps requests from it now, None for nothing."""
        if self.is_leaving:
            return Signal.LEAVING
        return Signal.BACKING_OFF if now < self.back_off_until else None

    def merge_from(self, other: SignalRecord) -> None:
        """What was known of the same server under another identity holds as well."""
        self.leaving_at = min(self.leaving_at, other.leaving_at)
        self.entry_leaving_at = min(self.entry_leaving_at, other.entry_leaving_at)
        self.leaving_source = self.leaving_source or other.leaving_source
        if other.back_off_until > self.back_off_until:
            self.back_off_since, self.back_off_until = other.back_off_since, other.back_off_until

    def report(self, key: int, now: float) -> SignalReport:
        """What other gateways are told of it."""
        leaving_ms = _age_ms(self.leaving_at, now) if self.leaving_at < float("inf") else None
        return SignalReport(key, self.per_second, _age_ms(self.limit_seen_at, now), leaving_ms)

    def is_reported(self, now: float) -> bool:
        """Whether others are to hear of it: not of a rest, which is asked of one gateway alone."""
        is_leaving_told = 0.0 <= now - self.leaving_at < LEAVING_REPORT_SECONDS
        return self.limit_seen_at > float("-inf") or is_leaving_told

    def is_expired(self, now: float) -> bool:
        """Whether nothing of it has held for a while."""
        return now - max(self.last_signal_at, self.back_off_until) > TOMBSTONE_SECONDS


class ServerLimitState(msgspec.Struct, frozen=True):
    """What a gateway knows of a server's limit, for operators.

    Attributes:
        instance: The server.
        per_second: Requests a second that it takes from all gateways together.
        said: Seconds since an answer, here or at another gateway, said so last.
        lender: Gateway that is asked for each request to it.
        standing: As what that one lends: home, deputy or alone.
    """

    instance: str
    per_second: float
    said: float
    lender: str
    standing: str


class ServerSignalState(msgspec.Struct, frozen=True):
    """What a server said that keeps requests from it, for operators.

    Attributes:
        instance: The server.
        service: Its service.
        signal: That it leaves, or rests.
        told_by: Who told it: `answer` of the server here, `peer` or `entry`.
        said: Seconds since it was first said.
        left: Seconds until it is over; None for a server that leaves.
        kept_away: Requests of this gateway that went elsewhere, or nowhere, for it.
    """

    instance: str
    service: str
    signal: str
    told_by: str
    said: float
    left: float | None
    kept_away: int


def _age_ms(said_at: float, now: float) -> int:
    return round(min(max((now - said_at) * 1000.0, 0.0), float(MAX_AGE_MS)))
