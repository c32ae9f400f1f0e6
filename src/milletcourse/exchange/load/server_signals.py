"""Servers' self-reported state, from answers to this gateway and reports of other gateways; no I/O.

Each incarnation has one record of its limits, its shutdown and its back-off. The limit that a
server reported last applies. A shutdown applies until another incarnation replaces the server.
Both concern the server as a whole and are sent with the load reports, so that a gateway has them
for a server that it hasn't used yet. A back-off is requested from one gateway and applies only
there.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from milletcourse.exchange.load.signal_record import (
    SOURCE_ANSWER,
    SOURCE_ENTRY,
    SOURCE_PEER,
    AnnouncedLimit,
    ChangedSignal,
    CurrentBackOff,
    LimitChange,
    LimitOf,
    ServerSignalState,
    Signal,
    SignalRecord,
    rejection_limit_of,
    request_limit_of,
)
from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport

REPORT_REPEATS = 3
"""Number of times that a changed record is sent, in case messages are lost."""
MAX_REPORTS_PER_MESSAGE = 64
"""Maximum number of reports in one message; a datagram holds a few thousand bytes."""
LEAVING_RETENTION_SECONDS = 600.0
"""The shutdown of an unlisted server is remembered this long: a list that is read after a store
outage may be older than the shutdown report."""
PROBE_INTERVAL_SECONDS = 20.0
"""A server with a limit of zero still gets one request per this interval: only its answers show
that it accepts requests again."""
MAX_RECORDS = 4096


class ServerSignals:
    """Current and recent self-reported state of all servers.

    Attributes:
        rejection_limit_changes: Number of changes of rejection limits so far.
    """

    def __init__(self) -> None:
        self._records: dict[int, SignalRecord] = {}
        self._signalling: set[int] = set()
        """Servers that are shutting down or backed off recently; checked for each request."""
        self._has_updates = False
        self.rejection_limit_changes = 0

    # -- limits ---------------------------------------------------------------------------------

    def per_second(self, key: int) -> float | None:
        """Limit of a server in requests per second, None for no limit.

        Args:
            key: Key of the incarnation.
        """
        record = self._records.get(key)
        return record.limit.per_second if record is not None else None

    def rejection_limit(self, key: int) -> AnnouncedLimit | None:
        """Rejections per second beyond which a server crashes, None when nothing is known.

        Args:
            key: Key of the incarnation.
        """
        record = self._records.get(key)
        return record.rejection_limit if record is not None else None

    def send_rate(self, key: int) -> float | None:
        """Requests per second that may be sent to a server; None for no limit."""
        per_second = self.per_second(key)
        return None if per_second is None else max(per_second, 1.0 / PROBE_INTERVAL_SECONDS)

    def limit_age(self, key: int, now: float) -> float:
        """Seconds since the server last reported a limit; infinite when it didn't."""
        record = self._records.get(key)
        return now - record.limit.seen_at if record is not None else float("inf")

    def limited(self) -> list[SignalRecord]:
        """Records of all servers that have a request limit."""
        return [item for item in self._records.values() if item.limit.per_second is not None]

    def on_answer(
        self, key: int, per_second: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """Applies the request limit that an answer reports; returns the change, None for none.

        Args:
            key: Key of the incarnation.
            per_second: Its limit, None when the answer reports none.
            sent_at: Monotonic time of the request's send.
            now: Monotonic time.
        """
        return self._on_answer_limit(key, request_limit_of, per_second, sent_at, now)

    def on_answer_rejection_limit(
        self, key: int, per_second: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """Applies the rejection limit that an answer reports; arguments and result as above."""
        return self._on_answer_limit(key, rejection_limit_of, per_second, sent_at, now)

    def _on_answer_limit(
        self,
        key: int,
        limit_of: LimitOf,
        per_second: float | None,
        sent_at: float,
        now: float,
    ) -> LimitChange | None:
        record = self._records.get(key)
        seen_at = limit_of(record).seen_at if record is not None else float("-inf")
        # The server may have sent an answer without the limit before it first reported one.
        if per_second is None and (seen_at == float("-inf") or sent_at <= seen_at):
            return None
        return self._take_limit(key, limit_of, per_second, now, relay=True)

    def _take_limit(
        self, key: int, limit_of: LimitOf, per_second: float | None, seen_at: float, relay: bool
    ) -> LimitChange | None:
        record = self._record_for(key)
        change = limit_of(record).take(per_second, seen_at)
        if change is not None and limit_of is rejection_limit_of:
            self.rejection_limit_changes += 1
        if change is not None:
            self._schedule_reports(record, relay)
        return change

    # -- shutdown and back-off ------------------------------------------------------------------

    def on_leaving(
        self, key: int, seen_at: float, relay: bool = True, source: str = SOURCE_ANSWER
    ) -> bool:
        """Records that an answer reported its server's shutdown; returns True when this is new.

        Args:
            key: Key of the incarnation.
            seen_at: Monotonic time of the answer.
            relay: Other gateways depend on this one to forward it.
            source: Whether this gateway or another one received the answer.
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
        """Records that a server's entry reports its shutdown; returns True when this is new."""
        record = self._record_for(key)
        is_new = record.entry_leaving_at == float("inf")
        self._signalling.add(key)
        record.entry_leaving_at = min(record.entry_leaving_at, now)
        record.leaving_source = record.leaving_source or SOURCE_ENTRY
        return is_new

    def on_back_off(self, key: int, seconds: float, now: float) -> bool:
        """Records a requested back-off; returns True when the server wasn't backing off before.

        Args:
            key: Key of the incarnation.
            seconds: Duration of the back-off.
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
        """Current back-off of a server, None when it has none or is shutting down."""
        record = self._records.get(key)
        if record is None or record.signal(now) is not Signal.BACKING_OFF:
            return None
        return CurrentBackOff(
            record.back_off_until - now, record.back_off_until - record.back_off_since
        )

    def record(self, key: int) -> SignalRecord | None:
        """Record of a server, None when it has reported nothing."""
        return self._records.get(key)

    def state(self, key: int, instance: str, service: str, now: float) -> ServerSignalState | None:
        """The self-reported state that excludes a server from new requests, None for none.

        Args:
            key: Key of the incarnation.
            instance: Name of the server.
            service: Name of its service.
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
            record.excluded_requests,
        )

    @property
    def has_signals(self) -> bool:
        """Whether some server may be shutting down or backing off; usually none is."""
        return bool(self._signalling)

    def active_signals(self, keys: Iterable[int], now: float) -> Mapping[int, Signal]:
        """Signals of those of some servers that are shutting down or backing off; usually none.

        Args:
            keys: Keys of the incarnations.
            now: Monotonic time.
        """
        if not self._signalling:
            return {}
        found = {key: self.signal(key, now) for key in keys if key in self._signalling}
        return {key: signal for key, signal in found.items() if signal is not None}

    def on_server_excluded(self, key: int) -> None:
        """Counts a request that was sent elsewhere, or refused, because of a server's signal."""
        record = self._records.get(key)
        if record is not None:
            record.excluded_requests += 1

    def signal(self, key: int, now: float) -> Signal | None:
        """The signal that excludes a server from new requests now, None for none."""
        record = self._records.get(key)
        return record.signal(now) if record is not None else None

    # -- incarnations ---------------------------------------------------------------------------

    def on_renamed(self, before: int, key: int) -> None:
        """Moves a record when the server's start becomes known, which changes its key."""
        record = self._records.pop(before, None)
        if record is not None:
            self._records.setdefault(key, record).merge_from(record)
        if before in self._signalling:
            self._signalling.discard(before)
            self._signalling.add(key)

    def expire(self, now: float, servers: Callable[[], Collection[int]]) -> None:
        """Removes outdated records, and records of departed servers.

        Args:
            now: Monotonic time.
            servers: Returns the keys of the present incarnations.
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
            limits = (record.limit.per_second, record.rejection_limit.per_second)
            return limits == (None, None) and not record.is_leaving
        return not record.is_leaving or now - record.first_leaving_at > LEAVING_RETENTION_SECONDS

    # -- reports between gateways ---------------------------------------------------------------

    @property
    def has_updates(self) -> bool:
        """Whether there are changes still to be sent to other gateways."""
        return self._has_updates

    def merge(
        self, reports: Iterable[SignalReport], now: float, relay: bool
    ) -> list[ChangedSignal]:
        """Merges the reports of another gateway; returns the resulting changes.

        Args:
            reports: Reports on servers.
            now: Monotonic time.
            relay: Other gateways depend on this one to forward them.
        """
        changes = []
        for report in reports:
            change = self._merge_limit(
                report.key, request_limit_of, report.per_second, report.limit_age_ms, now, relay
            )
            rejection_change = self._merge_limit(
                report.key,
                rejection_limit_of,
                report.rejections_per_second,
                report.rejection_limit_age_ms,
                now,
                relay,
            )
            is_leaving = report.leaving_age_ms is not None and self.on_leaving(
                report.key, now - report.leaving_age_ms / 1000.0, relay, SOURCE_PEER
            )
            if change is not None or rejection_change is not None or is_leaving:
                changed = ChangedSignal(
                    report.key,
                    change,
                    report.per_second,
                    is_leaving,
                    rejection_change,
                    report.rejections_per_second,
                )
                changes.append(changed)
        return changes

    def _merge_limit(
        self,
        key: int,
        limit_of: LimitOf,
        per_second: float | None,
        age_ms: int,
        now: float,
        relay: bool,
    ) -> LimitChange | None:
        if per_second is None and age_ms >= MAX_AGE_MS:
            # The server never reported a limit.
            return None
        seen_at = now - age_ms / 1000.0
        record = self._records.get(key)
        if record is not None and seen_at <= limit_of(record).seen_at:
            return None
        return self._take_limit(key, limit_of, per_second, seen_at, relay)

    def due_reports(self, now: float, resend_seconds: float) -> list[SignalReport]:
        """Returns the reports for a message now: changes, and periodically all current records.

        Args:
            now: Monotonic time.
            resend_seconds: Interval at which current records are sent again, for gateways that
                missed them or have started since.
        """
        if not self._records:
            return []
        due = [
            (key, record)
            for key, record in self._records.items()
            if record.reports_left > 0
            or (now - record.reported_at >= resend_seconds and record.is_reported(now))
        ]
        due.sort(key=lambda entry: (-entry[1].reports_left, entry[1].reported_at, entry[0]))
        for _, record in due[:MAX_REPORTS_PER_MESSAGE]:
            record.reports_left = max(record.reports_left - 1, 0)
            record.reported_at = now
        self._has_updates = any(record.reports_left for record in self._records.values())
        return [record.report(key, now) for key, record in due[:MAX_REPORTS_PER_MESSAGE]]

    def resend_all(self) -> None:
        """Schedules all records for sending, for a new follower that may know none of them."""
        for record in self._records.values():
            record.reported_at = float("-inf")

    def latest_reports(self, now: float) -> list[SignalReport]:
        """Reports of the latest signals of all servers."""
        reported = [
            (key, record) for key, record in self._records.items() if record.is_reported(now)
        ]
        reported.sort(key=lambda entry: (-entry[1].last_signal_at, entry[0]))
        return [record.report(key, now) for key, record in reported[:MAX_REPORTS_PER_MESSAGE]]

    # -- internals ------------------------------------------------------------------------------

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
