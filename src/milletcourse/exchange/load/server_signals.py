"""What servers say of themselves, from answers here and what other gateways tell; no I/O.

One record by incarnation: how many requests a server takes, that it leaves, that it rests. What a
server said last of its limit holds. That it leaves holds until another incarnation takes its place.
Both are facts of the server, and are told with the messages about load, so that a gateway knows
them of a server that it hasn't used yet. A rest is asked of one gateway, and is kept by it alone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from milletcourse.exchange.load.signal_record import (
    SOURCE_ANSWER,
    SOURCE_ENTRY,
    SOURCE_PEER,
    ChangedSignal,
    CurrentBackOff,
    LimitChange,
    ServerSignalState,
    Signal,
    SignalRecord,
)
from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

REPORT_REPEATS = 3
"""What has changed is told so often, against loss."""
MAX_REPORTS_PER_MESSAGE = 64
"""Reports in one message; a datagram holds some thousand bytes."""
LEAVING_RETENTION_SECONDS = 600.0
"""That a server leaves which is on no list is remembered this long: a list that is read again after
an outage of the store may be older than the word."""
PROBE_INTERVAL_SECONDS = 20.0
"""A server that takes nothing is still asked once in this time: only its answers tell that it takes
requests again."""
MAX_RECORDS = 4096


class ServerSignals:
    """What all servers say of themselves, or said lately."""

    def __init__(self) -> None:
        self._records: dict[int, SignalRecord] = {}
        self._signalling: set[int] = set()
        """Servers that leave, or had a rest a moment ago; each request looks at them."""
        self._has_updates = False

    # -- limits ---------------------------------------------------------------------------------

    def per_second(self, key: int) -> float | None:
        """Limit of a server, None when it names none.

        Args:
            key: Identity of the incarnation in messages.
        """
        record = self._records.get(key)
        return record.per_second if record is not None else None

    def send_rate(self, key: int) -> float | None:
        """Requests a second that may be sent to a server; None for as many as there are."""
        per_second = self.per_second(key)
        return None if per_second is None else max(per_second, 1.0 / PROBE_INTERVAL_SECONDS)

    def limit_age(self, key: int, now: float) -> float:
        """Seconds since the server spoke of a limit; infinite when it didn't."""
        record = self._records.get(key)
        return now - record.limit_seen_at if record is not None else float("inf")

    def limited(self) -> dict[int, SignalRecord]:
        """All servers that name a limit."""
        return {
            key: record for key, record in self._records.items() if record.per_second is not None
        }

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
        record = self._records.get(key)
        has_reported = record is not None and record.limit_seen_at > float("-inf")
        if per_second is None and not has_reported:
            return None
        if per_second is None and record is not None and sent_at <= record.limit_seen_at:
            # The answer may have been on its way before the limit was named.
            return None
        return self._take_limit(key, per_second, now, relay=True)

    def _take_limit(
        self, key: int, per_second: float | None, seen_at: float, relay: bool
    ) -> LimitChange | None:
        record = self._record_for(key)
        before, record.per_second, record.limit_seen_at = record.per_second, per_second, seen_at
        if before == per_second:
            return None
        self._schedule_reports(record, relay)
        if before is None:
            return LimitChange.ADDED
        return LimitChange.REMOVED if per_second is None else LimitChange.CHANGED

    # -- leaving and rest -----------------------------------------------------------------------

    def on_leaving(
        self, key: int, seen_at: float, relay: bool = True, source: str = SOURCE_ANSWER
    ) -> bool:
        """An answer said that its server leaves; True when this is news.

        Args:
            key: Identity of the incarnation.
            said_at: Monotonic time of the answer.
            passes_on: Others depend on this gateway to hear of it.
            told_by: Whose answer it was: one here, or at another gateway.
        """
        record = self._record_for(key)
        is_new = record.leaving_at == float("inf")
        self._signalling.add(key)
        record.leaving_at = min(record.leaving_at, seen_at)
        record.leaving_source = record.leaving_source or source
        if is_new:
            self._schedule_reports(record, relay)
        return is_new

    def on_entry_leaving(self, key: int, now: float) -> bool:
        """A server's entry says that it leaves; True when it didn't before."""
        record = self._record_for(key)
        is_new = record.entry_leaving_at == float("inf")
        self._signalling.add(key)
        record.entry_leaving_at = min(record.entry_leaving_at, now)
        record.leaving_source = record.leaving_source or SOURCE_ENTRY
        return is_new

    def on_back_off(self, key: int, seconds: float, now: float) -> bool:
        """A server wants nothing from this gateway for a while; True when it had no rest before.

        Args:
            key: Identity of the incarnation.
            seconds: For how long.
            now: Monotonic time.
        """
        record = self._record_for(key)
        is_new = now >= record.back_off_until
        if is_new:
            record.back_off_since = now
        self._signalling.add(key)
        record.back_off_until = max(record.back_off_until, now + seconds)
        return is_new

    def back_off(self, key: int, now: float) -> CurrentBackOff | None:
        """The rest that a server has, None when it has none, or leaves."""
        record = self._records.get(key)
        if record is None or record.signal(now) is not Signal.BACKING_OFF:
            return None
        return CurrentBackOff(
            record.back_off_until - now, record.back_off_until - record.back_off_since
        )

    def record(self, key: int) -> SignalRecord | None:
        """All that a server said, None when it said nothing."""
        return self._records.get(key)

    def state(self, key: int, instance: str, service: str, now: float) -> ServerSignalState | None:
        """What a server said that keeps requests from it, None for nothing.

        Args:
            key: Identity of the incarnation.
            instance: Its name.
            service: Its service.
            now: Monotonic time.
        """
        record = self._records.get(key)
        signal = record.signal(now) if record is not None else None
        if record is None or signal is None:
            return None
        is_leaving = signal is Signal.LEAVING
        return ServerSignalState(
            instance,
            service,
            signal.value,
            record.leaving_source if is_leaving else SOURCE_ANSWER,
            round(now - (record.first_leaving_at if is_leaving else record.back_off_since), 3),
            None if is_leaving else round(record.back_off_until - now, 3),
            record.kept_away,
        )

    @property
    def has_signals(self) -> bool:
        """Whether some server may have said that it leaves or rests; mostly none has."""
        return bool(self._signalling)

    def active_signals(self, keys: Iterable[int], now: float) -> Mapping[int, Signal]:
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
        record = self._records.get(key)
        if record is not None:
            record.kept_away += 1

    def signal(self, key: int, now: float) -> Signal | None:
        """What a server said that keeps requests from it now, None for nothing."""
        record = self._records.get(key)
        return record.signal(now) if record is not None else None

    # -- incarnations ---------------------------------------------------------------------------

    def on_renamed(self, before: int, key: int) -> None:
        """A server's start is known now, and with it another identity of the same incarnation."""
        record = self._records.pop(before, None)
        if record is not None:
            self._records.setdefault(key, record).merge_from(record)
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
        old = [key for key, record in self._records.items() if record.is_expired(now)]
        if not old:
            return
        present = servers()
        for key in old:
            if self._may_forget(self._records[key], key in present, now):
                del self._records[key]
                self._signalling.discard(key)

    @staticmethod
    def _may_forget(record: SignalRecord, is_present: bool, now: float) -> bool:
        if is_present:
            return record.per_second is None and not record.is_leaving
        return not record.is_leaving or now - record.first_leaving_at > LEAVING_RETENTION_SECONDS

    # -- what gateways tell each other ----------------------------------------------------------

    @property
    def has_updates(self) -> bool:
        """Whether something is to be told that others may not know."""
        return self._has_updates

    def merge(
        self, reports: Iterable[SignalReport], now: float, relay: bool
    ) -> list[ChangedSignal]:
        """Take what another gateway tells; what that changes.

        Args:
            reports: What it heard of servers.
            now: Monotonic time.
            passes_on: Others depend on this gateway to hear of it.
        """
        changes = []
        for report in reports:
            change = self._merge_limit(report, now, relay)
            is_leaving = report.leaving_age_ms is not None and self.on_leaving(
                report.key, now - report.leaving_age_ms / 1000.0, relay, SOURCE_PEER
            )
            if change is not None or is_leaving:
                changes.append(ChangedSignal(report.key, change, report.per_second, is_leaving))
        return changes

    def _merge_limit(self, report: SignalReport, now: float, relay: bool) -> LimitChange | None:
        if report.per_second is None and report.limit_age_ms >= MAX_AGE_MS:
            # It never spoke of a limit.
            return None
        seen_at = now - report.limit_age_ms / 1000.0
        record = self._records.get(report.key)
        if record is not None and seen_at <= record.limit_seen_at:
            return None
        return self._take_limit(report.key, report.per_second, seen_at, relay)

    def due_reports(self, now: float, retell_seconds: float) -> list[SignalReport]:
        """What belongs in a message now: changes, and from time to time what holds.

        Args:
            now: Monotonic time.
            retell_seconds: What holds is told again after this time, to those who missed it or
                have started since.
        """
        if not self._records:
            return []
        due = [
            (key, record)
            for key, record in self._records.items()
            if record.reports_left > 0
            or (now - record.reported_at >= retell_seconds and record.is_reported(now))
        ]
        due.sort(key=lambda item: (-item[1].reports_left, item[1].reported_at, item[0]))
        for _, record in due[:MAX_REPORTS_PER_MESSAGE]:
            record.reports_left = max(record.reports_left - 1, 0)
            record.reported_at = now
        self._has_updates = any(record.reports_left for record in self._records.values())
        return [record.report(key, now) for key, record in due[:MAX_REPORTS_PER_MESSAGE]]

    def resend_all(self) -> None:
        """Somebody has come who may know nothing."""
        for record in self._records.values():
            record.reported_at = float("-inf")

    def latest_reports(self, now: float) -> list[SignalReport]:
        """What was said last, of all servers."""
        told = [(key, record) for key, record in self._records.items() if record.is_reported(now)]
        told.sort(key=lambda item: (-item[1].last_signal_at, item[0]))
        return [record.report(key, now) for key, record in told[:MAX_REPORTS_PER_MESSAGE]]

    # -- inside ---------------------------------------------------------------------------------

    def _record_for(self, key: int) -> SignalRecord:
        record = self._records.get(key)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                first = next(iter(self._records))
                del self._records[first]
                self._signalling.discard(first)
            record = self._records[key] = SignalRecord()
        return record

    def _schedule_reports(self, record: SignalRecord, relay: bool) -> None:
        if relay:
            record.reports_left = REPORT_REPEATS
            self._has_updates = True
