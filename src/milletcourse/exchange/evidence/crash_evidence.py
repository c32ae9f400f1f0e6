"""Which requests end the servers that run them (queries of death), as all gateways together saw it.

No input/output.

What a gateway knows of a request is a set of ends and the time of the latest answer. Gateways tell
each other what they know, and merging it twice or in any order gives the same.
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
from milletcourse.exchange.messages.peer_messages import CrashEnd, CrashReport

MAX_ANSWERED = 1024
"""Requests whose latest answer is remembered although no server ended under them: an answer speaks
for a request, and news of an end may come after the answer that clears it. Some 0.15 MB."""
MAX_RECORDS = 1024
"""Requests that evidence is kept of: some 0.7 MB (tracemalloc). A crash leaves as many as ran on
the server."""
AGE_SLACK_SECONDS = 0.05
"""Ages are rounded, and messages take some time: what is told twice may differ by so much."""
REPORT_COPIES = 3
"""News of a first end is told this often, against loss."""
SUSPECT_REPORT_COPIES = 6
"""News of further ends is. With a tenth of the messages lost and three repeats, one or two of 79
gateways didn't know a contained request half a second later (simulated); with six all did."""
ISOLATED_HOLD_SECONDS = 1.0
"""A caller whose request is held back by a gateway that doesn't know the others may come back after
this time: lists are read anew at least as often once the object store is back."""
MAX_REPORTS_PER_MESSAGE = 16
"""Reports in one message: 962 bytes with three ends each."""


class Containment(msgspec.Struct, frozen=True):
    """A request that isn't sent to servers, for operators and for its caller.

    Attributes:
        identity: Identity of its content.
        ends: Servers that ended under it.
        last_end_at: Monotonic time of the latest of these ends.
        seconds_left: Time until it is tried again.
    """

    identity: int
    crashes: int
    last_crash_at: float
    seconds_left: float

    def failure(self) -> RequestContained:
        """The refusal that its caller gets."""
        content = identity_text(self.identity)
        detail = f"{self.crashes} servers ended under this request, content {content}"
        return RequestContained(detail, self.seconds_left)


class CrashEvidence:
    """One gateway's knowledge of the requests under which servers ended.

    Attributes:
        knows_others: Whether this gateway knows the others, so that what they saw comes here.
    """

    def __init__(self, rule: ContainmentRule = sequential_crashes) -> None:
        """No evidence yet.

        Args:
            rule: When ends are proof enough.
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

    # -- what servers show ----------------------------------------------------------------------

    def on_crash(self, identity: int, server: int, sent_at: float, ended_at: float) -> None:
        """A server's process ended while it had a request.

        Args:
            identity: Identity of the request's content.
            server: Key of the incarnation.
            sent_at: Monotonic time at which the request was sent there.
            ended_at: Monotonic time at which the server was seen to have ended.
        """
        record = self._record(identity)
        was_conclusive = record.is_conclusive
        if record.add(server, ServerCrash(sent_at, ended_at)):
            self._note_update(record)
        if record.is_conclusive and not was_conclusive:
            record.is_persisted_here = True
        self._note_if_contained(identity, record, was_conclusive)

    def on_answer(self, identity: int, now: float) -> bool:
        """A server answered a request in whole; True when that clears it of ends."""
        record = self._records.get(identity)
        if record is None:
            self._remember_answer(identity, now)
            return False
        had_crashes = bool(record.crashes)
        record.clear(now)
        if had_crashes:
            self._note_update(record)
        return had_crashes

    def release(self, identity: int, now: float) -> None:
        """An operator knows better: what was seen up to now doesn't count, at any gateway."""
        record = self._records.get(identity)
        if record is not None:
            record.clear(now)
            self._note_update(record)

    # -- what follows ---------------------------------------------------------------------------

    def containment(self, identity: int, now: float) -> Containment | None:
        """Why a request isn't sent to servers; None when it may be."""
        record = self._records.get(identity)
        if record is None:
            return None
        if not record.is_conclusive:
            return self._hold_back(identity, record)
        seconds_left = record.last_crash_at + CONTAINMENT_SECONDS - now
        if seconds_left <= 0.0:
            return None
        return Containment(identity, len(record.crashes), record.last_crash_at, seconds_left)

    def _hold_back(self, identity: int, record: CrashRecord) -> Containment | None:
        """One end is enough while nobody tells of the others: each gateway would add its three."""
        if self.knows_peers or not record.crashes or record.was_answered:
            return None
        return Containment(
            identity, len(record.crashes), record.last_crash_at, ISOLATED_HOLD_SECONDS
        )

    def on_peers_known(self) -> None:
        """Whom to tell is known now: all that was seen here is news to them."""
        if self.knows_peers:
            return
        self.knows_peers = True
        for record in self._records.values():
            if record.crashes:
                self._note_update(record)

    def crash_count(self, identity: int) -> int:
        """Servers that ended under a request since the latest answer to it."""
        record = self._records.get(identity)
        return len(record.crashes) if record is not None else 0

    def containments(self, now: float) -> list[Containment]:
        """All requests that aren't sent to servers, in the order of their latest ends."""
        found = (self.containment(identity, now) for identity in self._records)
        contained = [item for item in found if item is not None]
        return sorted(contained, key=lambda item: item.last_crash_at)

    def locally_persisted(self, now: float) -> list[CrashReport]:
        """Contained requests that this gateway keeps where they outlast the end of all gateways."""
        return [
            _report(identity, record, now)
            for identity, record in self._records.items()
            if record.is_persisted_here and self.containment(identity, now) is not None
        ][:MAX_REPORTS_PER_MESSAGE]

    def restore(
        self, reports: Iterable[CrashReport], age_seconds: float, now: float, is_own: bool
    ) -> None:
        """Take what was kept so.

        Args:
            reports: Contained requests, as they were told at the time.
            age_seconds: How long ago that was.
            now: Monotonic time.
            is_own: This gateway kept them, and goes on to do so.
        """
        for report in reports:
            self.merge([report], now - age_seconds, relays=False)
            record = self._records[report.identity]
            record.is_persisted_here = record.is_persisted_here or is_own

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for identity in [key for key, record in self._records.items() if record.is_over(now)]:
            record = self._records.pop(identity)
            if record.was_answered:
                self._remember_answer(identity, record.cleared_at)

    # -- what gateways tell each other ----------------------------------------------------------

    @property
    def has_updates(self) -> bool:
        """Whether something is to be told that others may not know."""
        return self._has_updates

    def due_reports(self, now: float, repeat_seconds: float) -> list[CrashReport]:
        """What belongs in a message now: news, and from time to time what counts.

        Args:
            now: Monotonic time.
            retell_seconds: Requests under which more than one server ended are told again after
                this time, to those who missed it or have started since.
        """
        due = [
            (identity, record)
            for identity, record in self._records.items()
            if record.reports_left > 0
            or (len(record.crashes) > 1 and now - record.reported_at >= repeat_seconds)
        ]
        # Of those with a single end, what was told least often: else a crash of a server with many
        # requests would keep the news of the last ones back.
        due.sort(key=lambda item: (-len(item[1].crashes), -item[1].reports_left, item[0]))
        for _, record in due[:MAX_REPORTS_PER_MESSAGE]:
            record.reports_left = max(record.reports_left - 1, 0)
            record.reported_at = now
        self._has_updates = any(record.reports_left for record in self._records.values())
        return [
            _report(identity, record, now) for identity, record in due[:MAX_REPORTS_PER_MESSAGE]
        ]

    def repeat_reports(self) -> None:
        """Somebody has come who may know nothing."""
        for record in self._records.values():
            if len(record.crashes) > 1:
                record.reported_at = float("-inf")

    def most_severe(self, now: float) -> list[CrashReport]:
        """What matters most of all that is known."""
        known = sorted(
            self._records.items(),
            key=lambda item: (-len(item[1].crashes), -item[1].last_crash_at, item[0]),
        )
        return [
            _report(identity, record, now) for identity, record in known[:MAX_REPORTS_PER_MESSAGE]
        ]

    def merge(self, reports: Iterable[CrashReport], now: float, relays: bool) -> None:
        """Take what another gateway tells.

        Args:
            reports: Its reports.
            now: Monotonic time.
            passes_on: Others depend on this gateway to hear of it.
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

    # -- inside ---------------------------------------------------------------------------------

    def _remember_answer(self, identity: int, at: float) -> None:
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
        """Make room: what has the fewest ends goes first, the oldest of these."""

        def worth(identity: int) -> tuple[bool, int, float]:
            record = self._records[identity]
            return record.is_conclusive, len(record.crashes), record.last_crash_at

        del self._records[min(self._records, key=worth)]


def _merge_into(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """True when the report told something new."""
    is_update = False
    if report.cleared_ms is not None:
        is_update = record.clear(now - report.cleared_ms / 1000.0)
    for end in report.ends:
        crash = ServerCrash(now - end.sent_ms / 1000.0, now - end.ended_ms / 1000.0)
        is_update = record.add(end.server, crash) or is_update
    return is_update


def _is_behind(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Whether the sender counts ends that an answer has cleared, and isn't being told so yet."""
    if record.reports_left:
        return False
    cleared_ms = (now - record.cleared_at + AGE_SLACK_SECONDS) * 1000.0
    return any(end.ended_ms > cleared_ms for end in report.ends)


def _report(identity: int, record: CrashRecord, now: float) -> CrashReport:
    ends = [
        CrashEnd(server, _age_ms(end.sent_at, now), _age_ms(end.ended_at, now))
        for server, end in record.crashes.items()
    ]
    cleared_ms = _age_ms(record.cleared_at, now) if record.was_answered else None
    return CrashReport(identity, ends, cleared_ms)


def _age_ms(at: float, now: float) -> int:
    return max(round((now - at) * 1000.0), 0)
