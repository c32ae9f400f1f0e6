"""Finds requests that crash the servers that run them (queries of death), across all gateways.

No input/output.

The state of a request is a set of crashes and the time of its latest answer. Gateways report this
state to each other; merging is idempotent and commutative, so repeated and reordered reports give
the same result.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from milletcourse.errors import RequestContained
from milletcourse.exchange.evidence.crash_record import (
    CONTAINMENT_SECONDS,
    ContainmentRule,
    CrashRecord,
    ServerCrash,
    sequential_crashes,
)
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.peer_messages import CrashReport, ReportedCrash

MAX_ANSWERED = 1024
"""Requests without a crash whose latest answer is kept: an answer is evidence in a request's favor,
and a crash may be reported after the answer that clears it. About 0.15 MB."""
MAX_RECORDS = 1024
"""Requests with crash evidence that are kept: about 0.7 MB (tracemalloc). A crash adds as many as
ran on the server."""
AGE_SLACK_SECONDS = 0.05
"""Tolerance between two reports of one event: ages are rounded, and messages have latency."""
REPORT_COPIES = 3
"""A first crash is reported this many times, against message loss."""
SUSPECT_REPORT_COPIES = 6
"""Further crashes are reported this many times. With three copies and a tenth of the messages lost,
one or two of 79 gateways hadn't received the containment of a request after 0.5 s; with six all
had."""
ISOLATED_RETRY_SECONDS = 1.0
"""Retry delay for a request refused by a gateway without a list of its peers. Once the object store
is available again, the list of gateways is read at least this often."""
MAX_REPORTS_PER_MESSAGE = 16
"""Reports in one message: 962 bytes with three crashes each."""


class Containment(msgspec.Struct, frozen=True):
    """A request that is not sent to servers, as shown to operators and to its caller.

    Attributes:
        identity: Identity of its content.
        crashes: Number of servers that crashed under it.
        last_crash_at: Monotonic time of the latest of these crashes.
        seconds_left: Time until it is admitted again.
    """

    identity: int
    crashes: int
    last_crash_at: float
    seconds_left: float

    def failure(self) -> RequestContained:
        """Failure that is returned to its caller."""
        content = identity_text(self.identity)
        detail = f"{self.crashes} servers crashed under this request, content {content}"
        return RequestContained(detail, self.seconds_left)


class CrashEvidence:
    """One gateway's evidence about requests under which servers crashed.

    Attributes:
        knows_peers: Whether this gateway knows its peers, and so receives their reports.
    """

    def __init__(self, rule: ContainmentRule = sequential_crashes) -> None:
        """Start without evidence.

        Args:
            rule: Decides when crashes suffice for containment.
        """
        self.knows_peers = True
        self._rule = rule
        self._records: dict[int, CrashRecord] = {}
        self._answered: dict[int, float] = {}
        self._has_updates = False
        self._newly_contained: list[int] = []

    def __bool__(self) -> bool:
        """Whether there is any evidence; without it, no request needs to be looked up."""
        return bool(self._records)

    # -- observations of servers ----------------------------------------------------------------

    def on_crash(self, identity: int, server: int, sent_at: float, crashed_at: float) -> None:
        """Record that a server process terminated while it had a request.

        Args:
            identity: Identity of the request's content.
            server: Key of the server's incarnation.
            sent_at: Monotonic time at which the request was sent there.
            crashed_at: Monotonic time at which the crash was detected.
        """
        record = self._record(identity)
        was_conclusive = record.is_conclusive
        if record.add(server, ServerCrash(sent_at, crashed_at)):
            self._note_update(record)
        if record.is_conclusive and not was_conclusive:
            record.is_persisted_here = True
        self._note_if_contained(identity, record, was_conclusive)

    def on_answer(self, identity: int, now: float) -> bool:
        """Record a complete answer of a server; True when it clears crashes."""
        record = self._records.get(identity)
        if record is None:
            self._record_answer(identity, now)
            return False
        had_crashes = bool(record.crashes)
        record.clear(now)
        if had_crashes:
            self._note_update(record)
        return had_crashes

    def release(self, identity: int, now: float) -> None:
        """Clear a request for an operator: crashes up to now don't count, at any gateway."""
        record = self._records.get(identity)
        if record is not None:
            record.clear(now)
            self._note_update(record)

    # -- decisions ------------------------------------------------------------------------------

    def containment(self, identity: int, now: float) -> Containment | None:
        """Containment of a request; None when it may be sent to servers."""
        record = self._records.get(identity)
        if record is None:
            return None
        if not record.is_conclusive:
            return self._contain_without_peers(identity, record)
        seconds_left = record.last_crash_at + CONTAINMENT_SECONDS - now
        if seconds_left <= 0.0:
            return None
        return Containment(identity, len(record.crashes), record.last_crash_at, seconds_left)

    def _contain_without_peers(self, identity: int, record: CrashRecord) -> Containment | None:
        """Contain after one crash without peers: else each gateway alone would cause three."""
        if self.knows_peers or not record.crashes or record.was_answered:
            return None
        return Containment(
            identity, len(record.crashes), record.last_crash_at, ISOLATED_RETRY_SECONDS
        )

    def on_peers_known(self) -> None:
        """Report all crashes seen here to the peers, which are known from now on."""
        if self.knows_peers:
            return
        self.knows_peers = True
        for record in self._records.values():
            if record.crashes:
                self._note_update(record)

    def crash_count(self, identity: int) -> int:
        """Number of servers that crashed under a request since its latest answer."""
        record = self._records.get(identity)
        return len(record.crashes) if record is not None else 0

    def containments(self, now: float) -> list[Containment]:
        """All contained requests, by the time of their latest crash."""
        found = (self.containment(identity, now) for identity in self._records)
        contained = [item for item in found if item is not None]
        return sorted(contained, key=lambda item: item.last_crash_at)

    def locally_persisted(self, now: float) -> list[CrashReport]:
        """Contained requests that this gateway persists for a restart of all gateways."""
        return [
            _report(identity, record, now)
            for identity, record in self._records.items()
            if record.is_persisted_here and self.containment(identity, now) is not None
        ][:MAX_REPORTS_PER_MESSAGE]

    def restore(
        self, reports: Iterable[CrashReport], age_seconds: float, now: float, is_own: bool
    ) -> None:
        """Load persisted reports.

        Args:
            reports: Contained requests, with ages as of the time they were persisted.
            age_seconds: Time since they were persisted.
            now: Monotonic time.
            is_own: Whether this gateway persisted them, and continues to do so.
        """
        for report in reports:
            self.merge([report], now - age_seconds, relays=False)
            record = self._records[report.identity]
            record.is_persisted_here = record.is_persisted_here or is_own

    def expire(self, now: float) -> None:
        """Drop expired records; their answers stay known."""
        for identity in [key for key, record in self._records.items() if record.is_expired(now)]:
            record = self._records.pop(identity)
            if record.was_answered:
                self._record_answer(identity, record.cleared_at)

    # -- reports between gateways ---------------------------------------------------------------

    @property
    def has_updates(self) -> bool:
        """Whether there are updates that peers may lack."""
        return self._has_updates

    def due_reports(self, now: float, repeat_seconds: float) -> list[CrashReport]:
        """Reports for the next message: updates, and periodically the strongest evidence.

        Args:
            now: Monotonic time.
            repeat_seconds: Interval at which requests with more than one crash are reported again,
                for peers that missed them or have started since.
        """
        due = [
            (identity, record)
            for identity, record in self._records.items()
            if record.reports_left > 0
            or (len(record.crashes) > 1 and now - record.reported_at >= repeat_seconds)
        ]
        # Among requests with a single crash, those reported least often come first: otherwise the
        # crash of a server with many requests would delay the reports of the last ones.
        due.sort(key=lambda item: (-len(item[1].crashes), -item[1].reports_left, item[0]))
        for _, record in due[:MAX_REPORTS_PER_MESSAGE]:
            record.reports_left = max(record.reports_left - 1, 0)
            record.reported_at = now
        self._has_updates = any(record.reports_left for record in self._records.values())
        return [
            _report(identity, record, now) for identity, record in due[:MAX_REPORTS_PER_MESSAGE]
        ]

    def repeat_reports(self) -> None:
        """Report all requests with several crashes again, for a peer that may know none."""
        for record in self._records.values():
            if len(record.crashes) > 1:
                record.reported_at = float("-inf")

    def most_severe(self, now: float) -> list[CrashReport]:
        """Reports with the strongest evidence, for one message."""
        known = sorted(
            self._records.items(),
            key=lambda item: (-len(item[1].crashes), -item[1].last_crash_at, item[0]),
        )
        return [
            _report(identity, record, now) for identity, record in known[:MAX_REPORTS_PER_MESSAGE]
        ]

    def merge(self, reports: Iterable[CrashReport], now: float, relays: bool) -> None:
        """Merge the reports of another gateway.

        Args:
            reports: Its reports.
            now: Monotonic time.
            relays: Whether other gateways depend on this one to forward the reports.
        """
        for report in reports:
            record = self._record(report.identity)
            was_conclusive = record.is_conclusive
            is_update = _merge_into(record, report, now) and relays
            if is_update or _is_behind(record, report, now):
                self._note_update(record)
            self._note_if_contained(report.identity, record, was_conclusive)

    def take_newly_contained(self, now: float) -> list[Containment]:
        """Requests that became contained since the last call."""
        identities, self._newly_contained = self._newly_contained, []
        found = (self.containment(identity, now) for identity in identities)
        return [item for item in found if item is not None]

    # -- internals ------------------------------------------------------------------------------

    def _record_answer(self, identity: int, at: float) -> None:
        self._answered.pop(identity, None)
        self._answered[identity] = at
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]

    def _note_if_contained(self, identity: int, record: CrashRecord, was_conclusive: bool) -> None:
        if record.is_conclusive and not was_conclusive:
            self._newly_contained.append(identity)

    def _note_update(self, record: CrashRecord) -> None:
        record.reports_left = SUSPECT_REPORT_COPIES if len(record.crashes) > 1 else REPORT_COPIES
        self._has_updates = True

    def _record(self, identity: int) -> CrashRecord:
        record = self._records.get(identity)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                self._evict()
            record = self._records[identity] = CrashRecord(self._rule)
            record.cleared_at = self._answered.pop(identity, record.cleared_at)
        return record

    def _evict(self) -> None:
        """Drop the record with the fewest crashes, and of these the oldest; contained ones last."""

        def retention_order(identity: int) -> tuple[bool, int, float]:
            record = self._records[identity]
            return record.is_conclusive, len(record.crashes), record.last_crash_at

        del self._records[min(self._records, key=retention_order)]


def _merge_into(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Merge a report into a record; True when the report was an update."""
    is_update = False
    if report.cleared_ms is not None:
        is_update = record.clear(now - report.cleared_ms / 1000.0)
    for end in report.crashes:
        crash = ServerCrash(now - end.sent_ms / 1000.0, now - end.crashed_ms / 1000.0)
        is_update = record.add(end.server, crash) or is_update
    return is_update


def _is_behind(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Whether the sender counts crashes that an answer has cleared, and no report of it is due."""
    if record.reports_left:
        return False
    cleared_ms = (now - record.cleared_at + AGE_SLACK_SECONDS) * 1000.0
    return any(crash.crashed_ms > cleared_ms for crash in report.crashes)


def _report(identity: int, record: CrashRecord, now: float) -> CrashReport:
    crashes = [
        ReportedCrash(server, _age_ms(crash.sent_at, now), _age_ms(crash.crashed_at, now))
        for server, crash in record.crashes.items()
    ]
    cleared_ms = _age_ms(record.cleared_at, now) if record.was_answered else None
    return CrashReport(identity, crashes, cleared_ms)


def _age_ms(at: float, now: float) -> int:
    return max(round((now - at) * 1000.0), 0)
