"""Reports about crashes between gateways: written from records, and merged into them; no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from milletcourse.exchange.evidence.containment_rules import ServerCrash
from milletcourse.exchange.evidence.crash_record import CrashRecord
from milletcourse.exchange.messages.peer_messages import CrashReport, FeatureKind, ReportedCrash

AGE_SLACK_SECONDS = 0.05
"""Tolerance between two reports of one event: ages are rounded, and messages have latency."""
MAX_REPORTS_PER_MESSAGE = 32
"""Reports in one message: 963 bytes with one crash each."""
MAX_CRASHES_PER_MESSAGE = 48
"""Crashes in all reports of one message: 995 bytes with three in a report."""

RecordsByIdentity = Iterable[tuple[int, CrashRecord]]


def write_report(identity: int, record: CrashRecord, now: float) -> CrashReport:
    """The report of a record."""
    crashes = [
        ReportedCrash(server, _age_ms(crash.sent_at, now), _age_ms(crash.crashed_at, now))
        for server, crash in record.crashes.items()
    ]
    cleared_ms = _age_ms(record.cleared_at, now) if record.was_answered else None
    tried_ms = _age_ms(record.tried_at, now) if record.was_tried else None
    return CrashReport(identity, crashes, cleared_ms, record.kind, tried_ms)


def merge_report(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Merge a report into a record; True when the report was an update."""
    is_update = False
    if report.cleared_ms is not None:
        is_update = record.clear(now - report.cleared_ms / 1000.0)
    for end in report.crashes:
        crash = ServerCrash(now - end.sent_ms / 1000.0, now - end.crashed_ms / 1000.0)
        is_update = record.add(end.server, crash) or is_update
    if report.tried_ms is not None:
        is_update = record.on_tried(now - report.tried_ms / 1000.0, AGE_SLACK_SECONDS) or is_update
    return is_update


def is_sender_behind(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Whether a report's sender lacks an answer that is known here, and no report of it is due."""
    if record.reports_left or not record.was_answered:
        return False
    if report.cleared_ms is None and report.crashes:
        return True
    cleared_ms = (now - record.cleared_at + AGE_SLACK_SECONDS) * 1000.0
    return any(crash.crashed_ms > cleared_ms for crash in report.crashes)


def urgent_first(records: RecordsByIdentity) -> list[tuple[int, CrashRecord]]:
    """Records in the order in which they are reported.

    A crash adds a record for each feature of each request at the server. Prompt parts that were
    never answered come first, since other gateways may be about to send them. Among records alike,
    those reported least often come first, so that a crash of a server with many requests doesn't
    delay the reports of the last ones.
    """

    def urgency(item: tuple[int, CrashRecord]) -> tuple[int, bool, bool, int, int]:
        identity, record = item
        is_content = record.kind is FeatureKind.CONTENT
        return -len(record.crashes), record.was_answered, is_content, -record.reports_left, identity

    return sorted(records, key=urgency)


def fill_message(records: RecordsByIdentity) -> list[tuple[int, CrashRecord]]:
    """The first records that fit into one message."""
    chosen: list[tuple[int, CrashRecord]] = []
    crashes = 0
    for identity, record in records:
        crashes += len(record.crashes)
        is_full = len(chosen) >= MAX_REPORTS_PER_MESSAGE or crashes > MAX_CRASHES_PER_MESSAGE
        if is_full:
            break
        chosen.append((identity, record))
    return chosen


def _age_ms(at: float, now: float) -> int:
    return max(round((now - at) * 1000.0), 0)
