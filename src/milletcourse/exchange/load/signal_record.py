"""What one server said of itself, and what follows from it; no input/output."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

ENDED_SECONDS = 60.0
"""That a limit has ended, or what a server that is gone said, is remembered this long, so that
older reports don't bring it back."""
LEAVING_TOLD_SECONDS = 120.0
"""That a server leaves is told this long: few take longer to end."""
ANSWER = "answer"
PEER = "peer"
ENTRY = "entry"
"""Who told that a server leaves: its answer here, another gateway, the discovery."""


class Signal(Enum):
    """Why a server's own word keeps requests from it."""

    LEAVING = "leaving"
    """It is about to end."""
    RESTING = "resting"
    """It turned a request away, and wants nothing from this gateway for a while."""


class LimitChange(Enum):
    """What an answer of a server, or another gateway's report of one, changes here."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class ChangedSignal(msgspec.Struct, frozen=True):
    """News of a server that another gateway told.

    Attributes:
        key: Identity of the server's incarnation.
        change: What is new of its limit, None for nothing.
        per_second: Its limit, None for none.
        leaves: That it leaves is new.
    """

    key: int
    change: LimitChange | None
    per_second: float | None
    leaves: bool


class CurrentRest(msgspec.Struct, frozen=True):
    """The rest that a server has now.

    Attributes:
        left: Seconds until its end.
        seconds: How long it takes as a whole.
    """

    left: float
    seconds: float


class KnownServer(msgspec.Struct):
    """What one server said last.

    Attributes:
        per_second: Its limit, None for none, or none any more.
        said_at: Monotonic time of the answer that said so; minus infinity when none did.
        leaving_at: When an answer first said that it leaves; infinite when none did.
        entry_leaving_at: When its entry first did so; infinite when it didn't.
        leaving_told_by: Who told that first: `answer`, `peer` or `entry`; empty when nobody did.
        kept_away: Requests for which it was no candidate for its leaving or its rest.
        rest_since: When it asked this gateway for the rest that it has now, or had last.
        rest_until: End of that rest.
        tells_left: How often it is still to be told.
        told_at: When it was told last.
    """

    per_second: float | None = None
    said_at: float = float("-inf")
    leaving_at: float = float("inf")
    entry_leaving_at: float = float("inf")
    leaving_told_by: str = ""
    kept_away: int = 0
    rest_since: float = float("-inf")
    rest_until: float = float("-inf")
    tells_left: int = 0
    told_at: float = float("-inf")

    @property
    def first_leaving_at(self) -> float:
        """When it first said in any way that it leaves; infinite when it didn't."""
        return min(self.leaving_at, self.entry_leaving_at)

    @property
    def leaves(self) -> bool:
        """Whether it said in any way that it leaves."""
        return self.first_leaving_at < float("inf")

    @property
    def last_said_at(self) -> float:
        """When it spoke of a limit last, or of leaving first; minus infinity for neither."""
        return max(self.said_at, self.first_leaving_at if self.leaves else float("-inf"))

    def signal(self, now: float) -> Signal | None:
        """What keeps requests from it now, None for nothing."""
        if self.leaves:
            return Signal.LEAVING
        return Signal.RESTING if now < self.rest_until else None

    def take_over(self, other: KnownServer) -> None:
        """What was known of the same server under another identity holds as well."""
        self.leaving_at = min(self.leaving_at, other.leaving_at)
        self.entry_leaving_at = min(self.entry_leaving_at, other.entry_leaving_at)
        self.leaving_told_by = self.leaving_told_by or other.leaving_told_by
        if other.rest_until > self.rest_until:
            self.rest_since, self.rest_until = other.rest_since, other.rest_until

    def report(self, key: int, now: float) -> SignalReport:
        """What other gateways are told of it."""
        leaving_ms = _age_ms(self.leaving_at, now) if self.leaving_at < float("inf") else None
        return SignalReport(key, self.per_second, _age_ms(self.said_at, now), leaving_ms)

    def is_told(self, now: float) -> bool:
        """Whether others are to hear of it: not of a rest, which is asked of one gateway alone."""
        is_leaving_told = 0.0 <= now - self.leaving_at < LEAVING_TOLD_SECONDS
        return self.said_at > float("-inf") or is_leaving_told

    def is_over(self, now: float) -> bool:
        """Whether nothing of it has held for a while."""
        return now - max(self.last_said_at, self.rest_until) > ENDED_SECONDS


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
