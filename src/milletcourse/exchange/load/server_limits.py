"""The limits that servers name, merged from answers here and what other gateways tell; no I/O.

What a server said last holds: its limit, or that it names none any more. Reports of it are told
with the messages about load, so that a gateway knows the limit of a server that it hasn't used yet.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from enum import Enum

import msgspec

from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, LimitReport

TOLD_TIMES = 3
"""A changed limit is told so often, against loss."""
MAX_TOLD = 64
"""Reports in one message; a datagram holds some thousand bytes."""
ENDED_SECONDS = 60.0
"""That a limit has ended, or what a server that is gone said, is remembered this long, so that
older reports don't bring it back."""
PROBE_SECONDS = 20.0
"""A server that takes nothing is still asked once in this time: only its answers tell that it takes
requests again."""
MAX_KNOWN = 4096


class LimitChange(Enum):
    """What an answer of a server, or another gateway's report of one, changes here."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class ChangedLimit(msgspec.Struct, frozen=True):
    """A server's limit that another gateway told.

    Attributes:
        key: Identity of the server's incarnation.
        change: What is new.
        per_second: Its limit, None for none.
    """

    key: int
    change: LimitChange
    per_second: float | None


class KnownLimit(msgspec.Struct):
    """What one server said last.

    Attributes:
        per_second: Its limit, None once it names none any more.
        said_at: Monotonic time of the answer that said so.
        tells_left: How often it is still to be told.
        told_at: When it was told last.
    """

    per_second: float | None
    said_at: float
    tells_left: int = 0
    told_at: float = float("-inf")


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


class ServerLimits:
    """The limits of all servers that name one, or named one lately."""

    def __init__(self) -> None:
        self._known: dict[int, KnownLimit] = {}
        self._has_news = False

    def per_second(self, key: int) -> float | None:
        """Limit of a server, None when it names none.

        Args:
            key: Identity of the incarnation in messages.
        """
        known = self._known.get(key)
        return known.per_second if known is not None else None

    def income(self, key: int) -> float | None:
        """Requests a second that may be sent to a server; None for as many as there are."""
        per_second = self.per_second(key)
        return None if per_second is None else max(per_second, 1.0 / PROBE_SECONDS)

    def age(self, key: int, now: float) -> float:
        """Seconds since the server said so; infinite when it said nothing."""
        known = self._known.get(key)
        return now - known.said_at if known is not None else float("inf")

    def limited(self) -> dict[int, KnownLimit]:
        """All servers that name a limit."""
        return {key: known for key, known in self._known.items() if known.per_second is not None}

    def on_answer(
        self, key: int, per_second: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """An answer said what the server takes; what that changes.

        Args:
            key: Identity of the incarnation.
            per_second: Its limit, None when the answer named none.
            sent_at: Monotonic time of the request's send.
            now: Monotonic time.
        """
        known = self._known.get(key)
        if known is None and per_second is None:
            return None
        if known is not None and per_second is None and sent_at <= known.said_at:
            # The answer may have been on its way before the limit was named.
            return None
        return self._take(key, per_second, now, passes_on=True)

    def merge(
        self, reports: Iterable[LimitReport], now: float, passes_on: bool
    ) -> list[ChangedLimit]:
        """Take what another gateway tells; what that changes.

        Args:
            reports: What it heard of servers.
            now: Monotonic time.
            passes_on: Others depend on this gateway to hear of it.
        """
        changes = []
        for report in reports:
            said_at = now - report.said_ms / 1000.0
            known = self._known.get(report.key)
            if known is not None and said_at <= known.said_at:
                continue
            change = self._take(report.key, report.per_second, said_at, passes_on)
            if change is not None:
                changes.append(ChangedLimit(report.key, change, report.per_second))
        return changes

    def _take(
        self, key: int, per_second: float | None, said_at: float, passes_on: bool
    ) -> LimitChange | None:
        known = self._known.get(key)
        if known is None:
            if len(self._known) >= MAX_KNOWN:
                del self._known[next(iter(self._known))]
            known = self._known[key] = KnownLimit(None, said_at)
        before, known.per_second, known.said_at = known.per_second, per_second, said_at
        if before == per_second:
            return None
        if passes_on:
            known.tells_left = TOLD_TIMES
            self._has_news = True
        if before is None:
            return LimitChange.NAMED
        return LimitChange.ENDED if per_second is None else LimitChange.CHANGED

    def expire(self, now: float, servers: Callable[[], Collection[int]]) -> None:
        """Forget limits that ended long ago, and those of servers that are gone.

        Args:
            now: Monotonic time.
            servers: Tells the identities of the incarnations that there are.
        """
        old = [key for key, known in self._known.items() if now - known.said_at > ENDED_SECONDS]
        if not old:
            return
        present = servers()
        for key in old:
            if self._known[key].per_second is None or key not in present:
                del self._known[key]

    # -- what gateways tell each other ----------------------------------------------------------

    @property
    def has_news(self) -> bool:
        """Whether something is to be told that others may not know."""
        return self._has_news

    def to_tell(self, now: float, retell_seconds: float) -> list[LimitReport]:
        """What belongs in a message now: changes, and from time to time what holds.

        Args:
            now: Monotonic time.
            retell_seconds: What holds is told again after this time, to those who missed it or
                have started since.
        """
        if not self._known:
            return []
        due = [
            (key, known)
            for key, known in self._known.items()
            if known.tells_left > 0 or now - known.told_at >= retell_seconds
        ]
        due.sort(key=lambda item: (-item[1].tells_left, item[1].told_at, item[0]))
        for _, known in due[:MAX_TOLD]:
            known.tells_left = max(known.tells_left - 1, 0)
            known.told_at = now
        self._has_news = any(known.tells_left for known in self._known.values())
        return [_report(key, known, now) for key, known in due[:MAX_TOLD]]

    def tell_again(self) -> None:
        """Somebody has come who may know nothing."""
        for known in self._known.values():
            known.told_at = float("-inf")

    def newest(self, now: float) -> list[LimitReport]:
        """What was said last, of all servers."""
        known = sorted(self._known.items(), key=lambda item: (-item[1].said_at, item[0]))
        return [_report(key, limit, now) for key, limit in known[:MAX_TOLD]]


def _report(key: int, known: KnownLimit, now: float) -> LimitReport:
    age_ms = min(max(round((now - known.said_at) * 1000.0), 0), MAX_AGE_MS)
    return LimitReport(key, known.per_second, age_ms)
