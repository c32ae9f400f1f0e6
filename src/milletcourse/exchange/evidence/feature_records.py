"""Records of the features of requests under which servers crashed, bounded in number; no I/O."""

from __future__ import annotations

from collections.abc import ItemsView, Mapping, ValuesView

from milletcourse.exchange.evidence.answer_memory import AnswerMemory
from milletcourse.exchange.evidence.containment_rules import ContainmentRule
from milletcourse.exchange.evidence.crash_record import CrashRecord
from milletcourse.exchange.evidence.crash_reports import fill_message, urgent_first, write_report
from milletcourse.exchange.messages.peer_messages import CrashReport, FeatureKind

MAX_ANSWERED_CONTENTS = 1024
"""Contents without a crash whose latest answer is kept: about 0.15 MB."""
MAX_ANSWERED_PARTS = 2048
"""The same for prompt parts that were answered once, and again for those answered repeatedly."""
MAX_RECORDS = 1024
"""Features with crash evidence that are kept: about 0.8 MB (tracemalloc). A crash adds several for
each request that ran on the server."""
REPORT_COPIES = 3
"""A first crash is reported this many times, against message loss."""
SUSPECT_REPORT_COPIES = 6
"""Further crashes are reported this many times. With three copies and a tenth of the messages lost,
one or two of 79 gateways hadn't received the containment of a request after 0.5 s; with six all
had."""


class FeatureRecords:
    """All records of one gateway, and its reports about them."""

    def __init__(self, rules: Mapping[FeatureKind, ContainmentRule]) -> None:
        """Start without records.

        Args:
            rules: When crashes suffice for containment, by kind of the feature.
        """
        self._rules = rules
        self._records: dict[int, CrashRecord] = {}
        self._answers = {
            FeatureKind.CONTENT: AnswerMemory(MAX_ANSWERED_CONTENTS, 0),
            FeatureKind.PROMPT_PART: AnswerMemory(MAX_ANSWERED_PARTS, MAX_ANSWERED_PARTS),
        }
        self._has_updates = False

    def __bool__(self) -> bool:
        """Whether there are any records."""
        return bool(self._records)

    def get(self, identity: int) -> CrashRecord | None:
        """The record of a feature, None without evidence."""
        return self._records.get(identity)

    def items(self) -> ItemsView[int, CrashRecord]:
        """All records by identity."""
        return self._records.items()

    def values(self) -> ValuesView[CrashRecord]:
        """All records."""
        return self._records.values()

    def get_or_create(self, identity: int, kind: FeatureKind) -> CrashRecord:
        """The record of a feature, a new one without evidence so far."""
        record = self._records.get(identity)
        if record is None:
            return self._create(identity, kind)
        if kind is FeatureKind.PROMPT_PART and record.kind is FeatureKind.CONTENT:
            # Gateways of an earlier release forward reports without the kind.
            record.set_kind(kind, self._rules[kind])
        return record

    def _create(self, identity: int, kind: FeatureKind) -> CrashRecord:
        if len(self._records) >= MAX_RECORDS:
            self._evict()
        record = self._records[identity] = CrashRecord(self._rules[kind], kind)
        answered_at = self._answers[kind].take(identity)
        record.cleared_at = record.cleared_at if answered_at is None else answered_at
        return record

    def _evict(self) -> None:
        """Drop the record with the fewest crashes, and of these the oldest; contained ones last."""

        def retention_order(identity: int) -> tuple[bool, int, float]:
            record = self._records[identity]
            return record.is_conclusive, len(record.crashes), record.last_crash_at

        del self._records[min(self._records, key=retention_order)]

    def remember_answer(self, identity: int, kind: FeatureKind, now: float) -> None:
        """Remember the answer to a request with a feature that has no record."""
        self._answers[kind].record(identity, now)

    def expire(self, now: float) -> None:
        """Drop expired records; their answers stay known."""
        for identity in [key for key, record in self._records.items() if record.is_expired(now)]:
            record = self._records.pop(identity)
            if record.was_answered:
                self._answers[record.kind].record(identity, record.cleared_at)

    # -- reports to other gateways --------------------------------------------------------------

    def note_update(self, record: CrashRecord) -> None:
        """Report a record with the next messages."""
        record.reports_left = SUSPECT_REPORT_COPIES if len(record.crashes) > 1 else REPORT_COPIES
        self._has_updates = True

    @property
    def has_updates(self) -> bool:
        """Whether there are updates that peers may lack."""
        return self._has_updates

    def due_reports(self, now: float, repeat_seconds: float) -> list[CrashReport]:
        """Reports for the next message: updates, and periodically the strongest evidence.

        Args:
            now: Monotonic time.
            repeat_seconds: Interval at which features with more than one crash are reported again,
                for peers that missed them or have started since.
        """
        due = [
            (identity, record)
            for identity, record in self._records.items()
            if record.reports_left > 0
            or (len(record.crashes) > 1 and now - record.reported_at >= repeat_seconds)
        ]
        chosen = fill_message(urgent_first(due))
        for _, record in chosen:
            record.reports_left = max(record.reports_left - 1, 0)
            record.reported_at = now
        self._has_updates = any(record.reports_left for record in self._records.values())
        return [write_report(identity, record, now) for identity, record in chosen]

    def repeat_reports(self) -> None:
        """Report all features with several crashes again, for a peer that may know none."""
        for record in self._records.values():
            if len(record.crashes) > 1:
                record.reported_at = float("-inf")

    def most_severe(self, now: float) -> list[CrashReport]:
        """Reports with the strongest evidence, for one message."""
        known = sorted(
            self._records.items(),
            key=lambda item: (-len(item[1].crashes), -item[1].last_crash_at, item[0]),
        )
        return [write_report(identity, record, now) for identity, record in fill_message(known)]
