"""What servers say of themselves, from answers here and what other gateways tell; no I/O.

One record by incarnation: how many requests a server takes, that it leaves, that it rests. What a
server said last of its limit holds. That it leaves holds until another incarnation takes its place.
Both are facts of the server, and are told with the messages about load, so that a gateway knows
them of a server that it hasn't used yet. A rest is asked of one gateway, and is kept by it alone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from milletcourse.exchange.load.signal_record import (
    ANSWER,
    ENTRY,
    PEER,
    ChangedSignal,
    CurrentRest,
    KnownServer,
    LimitChange,
    ServerSignalState,
    Signal,
)
from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

TOLD_TIMES = 3
"""What has changed is told so often, against loss."""
MAX_TOLD = 64
"""Reports in one message; a datagram holds some thousand bytes."""
LEAVING_REMEMBERED_SECONDS = 600.0
"""That a server leaves which is on no list is remembered this long: a list that is read again after
an outage of the store may be older than the word."""
PROBE_SECONDS = 20.0
"""A server that takes nothing is still asked once in this time: only its answers tell that it takes
requests again."""
MAX_KNOWN = 4096


class ServerSignals:
    """What all servers say of themselves, or said lately."""

    def __init__(self) -> None:
        self._known: dict[int, KnownServer] = {}
        self._signalling: set[int] = set()
        """Servers that leave, or had a rest a moment ago; each request looks at them."""
        self._has_news = False

    # -- limits ---------------------------------------------------------------------------------

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
        """Seconds since the server spoke of a limit; infinite when it didn't."""
        known = self._known.get(key)
        return now - known.said_at if known is not None else float("inf")

    def limited(self) -> dict[int, KnownServer]:
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
        has_spoken = known is not None and known.said_at > float("-inf")
        if per_second is None and not has_spoken:
            return None
        if per_second is None and known is not None and sent_at <= known.said_at:
            # The answer may have been on its way before the limit was named.
            return None
        return self._take_limit(key, per_second, now, passes_on=True)

    def _take_limit(
        self, key: int, per_second: float | None, said_at: float, passes_on: bool
    ) -> LimitChange | None:
        known = self._known_or_new(key)
        before, known.per_second, known.said_at = known.per_second, per_second, said_at
        if before == per_second:
            return None
        self._on_change(known, passes_on)
        if before is None:
            return LimitChange.NAMED
        return LimitChange.ENDED if per_second is None else LimitChange.CHANGED

    # -- leaving and rest -----------------------------------------------------------------------

    def on_leaving(
        self, key: int, said_at: float, passes_on: bool = True, told_by: str = ANSWER
    ) -> bool:
        """An answer said that its server leaves; True when this is news.

        Args:
            key: Identity of the incarnation.
            said_at: Monotonic time of the answer.
            passes_on: Others depend on this gateway to hear of it.
            told_by: Whose answer it was: one here, or at another gateway.
        """
        known = self._known_or_new(key)
        is_news = known.leaving_at == float("inf")
        self._signalling.add(key)
        known.leaving_at = min(known.leaving_at, said_at)
        known.leaving_told_by = known.leaving_told_by or told_by
        if is_news:
            self._on_change(known, passes_on)
        return is_news

    def on_entry_leaving(self, key: int, now: float) -> bool:
        """A server's entry says that it leaves; True when it didn't before."""
        known = self._known_or_new(key)
        is_news = known.entry_leaving_at == float("inf")
        self._signalling.add(key)
        known.entry_leaving_at = min(known.entry_leaving_at, now)
        known.leaving_told_by = known.leaving_told_by or ENTRY
        return is_news

    def on_rest(self, key: int, seconds: float, now: float) -> bool:
        """A server wants nothing from this gateway for a while; True when it had no rest before.

        Args:
            key: Identity of the incarnation.
            seconds: For how long.
            now: Monotonic time.
        """
        known = self._known_or_new(key)
        is_news = now >= known.rest_until
        if is_news:
            known.rest_since = now
        self._signalling.add(key)
        known.rest_until = max(known.rest_until, now + seconds)
        return is_news

    def rest(self, key: int, now: float) -> CurrentRest | None:
        """The rest that a server has, None when it has none, or leaves."""
        known = self._known.get(key)
        if known is None or known.signal(now) is not Signal.RESTING:
            return None
        return CurrentRest(known.rest_until - now, known.rest_until - known.rest_since)

    def known(self, key: int) -> KnownServer | None:
        """All that a server said, None when it said nothing."""
        return self._known.get(key)

    def state(self, key: int, instance: str, service: str, now: float) -> ServerSignalState | None:
        """What a server said that keeps requests from it, None for nothing.

        Args:
            key: Identity of the incarnation.
            instance: Its name.
            service: Its service.
            now: Monotonic time.
        """
        known = self._known.get(key)
        signal = known.signal(now) if known is not None else None
        if known is None or signal is None:
            return None
        leaves = signal is Signal.LEAVING
        return ServerSignalState(
            instance,
            service,
            signal.value,
            known.leaving_told_by if leaves else ANSWER,
            round(now - (known.first_leaving_at if leaves else known.rest_since), 3),
            None if leaves else round(known.rest_until - now, 3),
            known.kept_away,
        )

    @property
    def has_signals(self) -> bool:
        """Whether some server may have said that it leaves or rests; mostly none has."""
        return bool(self._signalling)

    def in_force(self, keys: Iterable[int], now: float) -> Mapping[int, Signal]:
        """Which of some servers said that they leave, or have their rest; mostly none.

        Args:
            keys: Identities of the incarnations.
            now: Monotonic time.
        """
        if not self._signalling:
            return {}
        found = {key: self.signal(key, now) for key in keys if key in self._signalling}
        return {key: signal for key, signal in found.items() if signal is not None}

    def on_kept_away(self, key: int) -> None:
        """A request went elsewhere, or nowhere, for what a server said."""
        known = self._known.get(key)
        if known is not None:
            known.kept_away += 1

    def signal(self, key: int, now: float) -> Signal | None:
        """What a server said that keeps requests from it now, None for nothing."""
        known = self._known.get(key)
        return known.signal(now) if known is not None else None

    # -- incarnations ---------------------------------------------------------------------------

    def on_renamed(self, before: int, key: int) -> None:
        """A server's start is known now, and with it another identity of the same incarnation."""
        known = self._known.pop(before, None)
        if known is not None:
            self._known.setdefault(key, known).take_over(known)
        if before in self._signalling:
            self._signalling.discard(before)
            self._signalling.add(key)

    def expire(self, now: float, servers: Callable[[], Collection[int]]) -> None:
        """Forget what ended long ago, and what servers said that are gone.

        Args:
            now: Monotonic time.
            servers: Tells the identities of the incarnations that there are.
        """
        self._signalling = {key for key in self._signalling if self.signal(key, now) is not None}
        old = [key for key, known in self._known.items() if known.is_over(now)]
        if not old:
            return
        present = servers()
        for key in old:
            if self._may_forget(self._known[key], key in present, now):
                del self._known[key]
                self._signalling.discard(key)

    @staticmethod
    def _may_forget(known: KnownServer, is_present: bool, now: float) -> bool:
        if is_present:
            return known.per_second is None and not known.leaves
        return not known.leaves or now - known.first_leaving_at > LEAVING_REMEMBERED_SECONDS

    # -- what gateways tell each other ----------------------------------------------------------

    @property
    def has_news(self) -> bool:
        """Whether something is to be told that others may not know."""
        return self._has_news

    def merge(
        self, reports: Iterable[SignalReport], now: float, passes_on: bool
    ) -> list[ChangedSignal]:
        """Take what another gateway tells; what that changes.

        Args:
            reports: What it heard of servers.
            now: Monotonic time.
            passes_on: Others depend on this gateway to hear of it.
        """
        changes = []
        for report in reports:
            change = self._merge_limit(report, now, passes_on)
            leaves = report.leaving_ms is not None and self.on_leaving(
                report.key, now - report.leaving_ms / 1000.0, passes_on, PEER
            )
            if change is not None or leaves:
                changes.append(ChangedSignal(report.key, change, report.per_second, leaves))
        return changes

    def _merge_limit(self, report: SignalReport, now: float, passes_on: bool) -> LimitChange | None:
        if report.per_second is None and report.said_ms >= MAX_AGE_MS:
            # It never spoke of a limit.
            return None
        said_at = now - report.said_ms / 1000.0
        known = self._known.get(report.key)
        if known is not None and said_at <= known.said_at:
            return None
        return self._take_limit(report.key, report.per_second, said_at, passes_on)

    def to_tell(self, now: float, retell_seconds: float) -> list[SignalReport]:
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
            if known.tells_left > 0
            or (now - known.told_at >= retell_seconds and known.is_told(now))
        ]
        due.sort(key=lambda item: (-item[1].tells_left, item[1].told_at, item[0]))
        for _, known in due[:MAX_TOLD]:
            known.tells_left = max(known.tells_left - 1, 0)
            known.told_at = now
        self._has_news = any(known.tells_left for known in self._known.values())
        return [known.report(key, now) for key, known in due[:MAX_TOLD]]

    def tell_again(self) -> None:
        """Somebody has come who may know nothing."""
        for known in self._known.values():
            known.told_at = float("-inf")

    def newest(self, now: float) -> list[SignalReport]:
        """What was said last, of all servers."""
        told = [(key, known) for key, known in self._known.items() if known.is_told(now)]
        told.sort(key=lambda item: (-item[1].last_said_at, item[0]))
        return [known.report(key, now) for key, known in told[:MAX_TOLD]]

    # -- inside ---------------------------------------------------------------------------------

    def _known_or_new(self, key: int) -> KnownServer:
        known = self._known.get(key)
        if known is None:
            if len(self._known) >= MAX_KNOWN:
                first = next(iter(self._known))
                del self._known[first]
                self._signalling.discard(first)
            known = self._known[key] = KnownServer()
        return known

    def _on_change(self, known: KnownServer, passes_on: bool) -> None:
        if passes_on:
            known.tells_left = TOLD_TIMES
            self._has_news = True
