"""Finds what requests that crash servers have in common (queries of death), across all gateways.

No input/output.

A request has several features: its whole content, and the parts of its prompt that others may
share. The state of a feature is a set of crashes and the time of the latest answer to a request
with it. Gateways report this state to each other; merging is idempotent and commutative, so
repeated and reordered reports give the same result.

A feature is contained once crashes prove that it crashes servers, and a prompt part is held as a
suspect before that. While a feature is held, gateways take turns in sending single requests with
it; an answer to one of them clears it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from milletcourse.errors import RequestContained
from milletcourse.exchange.evidence.answer_memory import AnswerMemory
from milletcourse.exchange.evidence.crash_record import (
    PRODUCTION_RULES,
    ContainmentRule,
    CrashRecord,
    ServerCrash,
)
from milletcourse.exchange.evidence.crash_reports import (
    MAX_REPORTS_PER_MESSAGE,
    fill_message,
    is_sender_behind,
    merge_report,
    urgent_first,
    write_report,
)
from milletcourse.exchange.evidence.explanations import (
    is_explained_by_parts,
    is_explained_by_repeats,
)
from milletcourse.exchange.evidence.request_identity import RequestFeatures, identity_text
from milletcourse.exchange.evidence.trial_schedule import TrialSchedule
from milletcourse.exchange.messages.peer_messages import CrashReport, FeatureKind

MAX_ANSWERED_CONTENTS = 1024
"""Contents without a crash whose latest answer is kept: about 0.15 MB."""
MAX_ANSWERED_PARTS = 2048
"""The same for prompt parts that were answered once, and again for those answered repeatedly."""
MAX_RECORDS = 1024
"""Features with crash evidence that are kept: about 0.7 MB (tracemalloc). A crash adds several for
each request that ran on the server."""
REPORT_COPIES = 3
"""A first crash is reported this many times, against message loss."""
SUSPECT_REPORT_COPIES = 6
"""Further crashes are reported this many times. With three copies and a tenth of the messages lost,
one or two of 79 gateways hadn't received the containment of a request after 0.5 s; with six all
had."""
ISOLATED_RETRY_SECONDS = 1.0
"""Retry delay for a request refused by a gateway without a list of its peers. Once the object store
is available again, the list of gateways is read at least this often."""
LEARNING_SECONDS = 2.0
"""Time from a gateway's first answer until a part that it knows no answer for may be suspected."""
KIND_NAMES = {FeatureKind.CONTENT: "content", FeatureKind.PROMPT_PART: "prompt part"}


class Containment(msgspec.Struct, frozen=True):
    """A feature whose requests are not sent to servers, as shown to operators and to callers.

    Attributes:
        identity: Identity of the feature.
        crashes: Number of servers that crashed under it.
        last_crash_at: Monotonic time of the latest of these crashes.
        seconds_left: Time until this gateway may send a request with it again.
        kind: What the feature is.
        is_proven: Whether the crashes suffice; otherwise it is a suspect.
    """

    identity: int
    crashes: int
    last_crash_at: float
    seconds_left: float
    kind: FeatureKind = FeatureKind.CONTENT
    is_proven: bool = True

    def failure(self) -> RequestContained:
        """Failure that is returned to a caller."""
        feature = f"{KIND_NAMES[self.kind]} {identity_text(self.identity)}"
        detail = f"{self.crashes} servers crashed under requests like this, {feature}"
        return RequestContained(detail, self.seconds_left)


class EvidenceEvent(Enum):
    """A change in how requests with a feature are treated."""

    SUSPECTED = "suspected"
    """Gateways take turns in sending single requests with it."""
    CONTAINED = "contained"
    """Requests with it are refused."""
    TRIED = "tried"
    """This gateway sends a request with a held feature."""
    CLEARED = "cleared"
    """A server answered a request with a held feature, which is held no more."""


class EvidenceChange(msgspec.Struct, frozen=True):
    """A change for operators, with the containment as of then."""

    event: EvidenceEvent
    containment: Containment


class CrashEvidence:
    """One gateway's evidence about features of requests under which servers crashed.

    Attributes:
        knows_peers: Whether this gateway knows its peers, and so receives their reports.
    """

    def __init__(self, rule: ContainmentRule | None = None) -> None:
        """Start without evidence.

        Args:
            rule: Decides when crashes suffice for containment; None for the production rules.
        """
        self.knows_peers = True
        self._rules = PRODUCTION_RULES if rule is None else dict.fromkeys(FeatureKind, rule)
        self._records: dict[int, CrashRecord] = {}
        self._answers = {
            FeatureKind.CONTENT: AnswerMemory(MAX_ANSWERED_CONTENTS, 0),
            FeatureKind.PROMPT_PART: AnswerMemory(MAX_ANSWERED_PARTS, MAX_ANSWERED_PARTS),
        }
        self._trials = TrialSchedule()
        self._knows_answers_from = float("inf")
        """Monotonic time before which popular parts may not be known as such."""
        self._has_updates = False
        self._changes: list[EvidenceChange] = []

    def __bool__(self) -> bool:
        """Whether there is any evidence; without it, no request needs to be looked up."""
        return bool(self._records)

    def set_gateways(self, own_name: str, others: Iterable[str]) -> None:
        """Set the gateways that take turns in trials."""
        self._trials.set_gateways(own_name, others)

    # -- observations of servers ----------------------------------------------------------------

    def on_crash(
        self, features: RequestFeatures, server: int, sent_at: float, crashed_at: float
    ) -> None:
        """Record that a server process terminated while it had a request.

        Args:
            features: Features of the request.
            server: Key of the server's incarnation.
            sent_at: Monotonic time at which the request was sent there.
            crashed_at: Monotonic time at which the crash was detected.
        """
        crash = ServerCrash(sent_at, crashed_at)
        for identity, kind in features.by_kind():
            record = self._record(identity, kind)
            before = self._state(record, crashed_at)
            if record.add(server, crash):
                self._note_update(record)
            if record.is_conclusive and before is not EvidenceEvent.CONTAINED:
                record.is_persisted_here = True
            self._note_change(identity, record, before, crashed_at)

    def on_answer(self, features: RequestFeatures, now: float) -> bool:
        """Record a complete answer of a server; True when it clears crashes."""
        if math.isinf(self._knows_answers_from):
            self._knows_answers_from = now + LEARNING_SECONDS
        has_cleared = False
        for identity, kind in features.by_kind():
            record = self._records.get(identity)
            if record is None:
                self._answers[kind].record(identity, now)
                continue
            has_cleared = self._clear(identity, record, now) or has_cleared
        return has_cleared

    def on_failure_answer(self, features: RequestFeatures, now: float) -> bool:
        """Record a complete answer that reports a failure; True when it clears crashes.

        A failure may be reported before the prompt is worked on, so it says nothing of its parts.
        """
        return self.on_answer(RequestFeatures(features.content), now)

    def on_sent(self, features: RequestFeatures, now: float) -> None:
        """Record that a request was sent, which is a trial if one of its features is held."""
        for identity, _ in features.by_kind():
            record = self._records.get(identity)
            if record is not None and self._trial_at(identity, record, features, now) is not None:
                record.on_tried(now)
                self._note_update(record)
                self._note(EvidenceEvent.TRIED, self._view(identity, record, now))

    def release(self, identity: int, now: float) -> None:
        """Clear a feature for an operator: crashes up to now don't count, at any gateway.

        Neither do they for other features that were at no other crashed server.
        """
        released = self._records.get(identity)
        if released is None:
            return
        servers = released.crashes.keys()
        related = [other for other in self._records.values() if other.crashes.keys() <= servers]
        for record in related:
            record.clear(now)
            self._note_update(record)

    def _clear(self, identity: int, record: CrashRecord, now: float) -> bool:
        had_crashes = bool(record.crashes)
        view = self._view(identity, record, now) if self._state(record, now) is not None else None
        record.clear(now)
        if had_crashes:
            self._note_update(record)
        if view is not None:
            self._note(EvidenceEvent.CLEARED, view)
        return had_crashes

    # -- decisions ------------------------------------------------------------------------------

    def containment(self, features: RequestFeatures, now: float) -> Containment | None:
        """Why a request must not be sent now; None when it may be sent to servers."""
        found = None
        for identity, _ in features.by_kind():
            record = self._records.get(identity)
            if record is None:
                continue
            held = self._held(identity, record, features, now)
            if held is not None and (found is None or held.seconds_left > found.seconds_left):
                found = held
        return found

    def _held(
        self, identity: int, record: CrashRecord, features: RequestFeatures, now: float
    ) -> Containment | None:
        trial_at = self._trial_at(identity, record, features, now)
        if trial_at is None:
            return self._contain_without_peers(identity, record)
        if trial_at <= now:
            return None
        view = self._view(identity, record, now)
        return msgspec.structs.replace(view, seconds_left=trial_at - now)

    def _trial_at(
        self, identity: int, record: CrashRecord, features: RequestFeatures, now: float
    ) -> float | None:
        """When a request may be sent as a trial of one of its features.

        Returns:
            Monotonic time; None when the feature is not held against this request.
        """
        if self._state(record, now) is None:
            return None
        is_part = record.kind is FeatureKind.PROMPT_PART
        is_explained = is_part and is_explained_by_parts(record, self._contained_parts(features))
        if is_explained and record.was_answered:
            return None
        is_proven = record.is_conclusive and not is_explained
        delay_seconds = record.containment_seconds if is_proven else 0.0
        return self._trials.next_trial_at(identity, record, delay_seconds)

    def _state(self, record: CrashRecord, now: float) -> EvidenceEvent | None:
        """How requests with a feature are held; None when they are not."""
        if not record.is_conclusive and not record.is_suspect:
            return None
        if not record.is_conclusive and now < self._knows_answers_from:
            return None
        is_part = record.kind is FeatureKind.PROMPT_PART
        if is_part and is_explained_by_repeats(record, self._repeated_contents()):
            return None
        return EvidenceEvent.CONTAINED if record.is_conclusive else EvidenceEvent.SUSPECTED

    def _is_contained(self, record: CrashRecord, now: float) -> bool:
        is_recent = now < record.last_crash_at + record.containment_seconds
        return is_recent and self._state(record, now) is EvidenceEvent.CONTAINED

    def _repeated_contents(self) -> Iterator[CrashRecord]:
        for record in self._records.values():
            if record.kind is FeatureKind.CONTENT and len(record.crashes) > 1:
                yield record

    def _contained_parts(self, features: RequestFeatures) -> Iterator[CrashRecord]:
        """Contained prompt parts that a request doesn't have, and that were never answered."""
        for identity, record in self._records.items():
            is_part = record.kind is FeatureKind.PROMPT_PART
            is_proven = is_part and record.is_conclusive and not record.was_answered
            if is_proven and not features.includes(identity):
                yield record

    def _contain_without_peers(self, identity: int, record: CrashRecord) -> Containment | None:
        """Contain after one crash without peers: else each gateway alone would cause three."""
        is_content = record.kind is FeatureKind.CONTENT
        if self.knows_peers or not is_content or not record.crashes or record.was_answered:
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
        """Number of servers that crashed under a feature since its latest answer."""
        record = self._records.get(identity)
        return len(record.crashes) if record is not None else 0

    def containments(self, now: float) -> list[Containment]:
        """All contained features, by the time of their latest crash."""
        contained = [
            self._view(identity, record, now)
            for identity, record in self._records.items()
            if self._is_contained(record, now)
        ]
        return sorted(contained, key=lambda item: item.last_crash_at)

    def locally_persisted(self, now: float) -> list[CrashReport]:
        """Contained features that this gateway persists for a restart of all gateways."""
        return [
            write_report(identity, record, now)
            for identity, record in self._records.items()
            if record.is_persisted_here and self._is_contained(record, now)
        ][:MAX_REPORTS_PER_MESSAGE]

    def restore(
        self, reports: Iterable[CrashReport], age_seconds: float, now: float, is_own: bool
    ) -> None:
        """Load persisted reports.

        Args:
            reports: Contained features, with ages as of the time they were persisted.
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
            self._trials.forget(identity)
            if record.was_answered:
                self._answers[record.kind].record(identity, record.cleared_at)

    # -- reports between gateways ---------------------------------------------------------------

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

    def merge(self, reports: Iterable[CrashReport], now: float, relays: bool) -> None:
        """Merge the reports of another gateway.

        Args:
            reports: Its reports.
            now: Monotonic time.
            relays: Whether other gateways depend on this one to forward the reports.
        """
        states = []
        for report in reports:
            record = self._record(report.identity, report.kind)
            states.append((report.identity, record, self._state(record, now)))
            is_update = merge_report(record, report, now) and relays
            if is_update or is_sender_behind(record, report, now):
                self._note_update(record)
        for identity, record, before in states:
            self._note_change(identity, record, before, now)

    def take_changes(self) -> list[EvidenceChange]:
        """Changes for operators since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # -- internals ------------------------------------------------------------------------------

    def _view(self, identity: int, record: CrashRecord, now: float) -> Containment:
        seconds_left = record.last_crash_at + record.containment_seconds - now
        return Containment(
            identity,
            len(record.crashes),
            record.last_crash_at,
            seconds_left if record.is_conclusive else 0.0,
            record.kind,
            record.is_conclusive,
        )

    def _note_change(
        self, identity: int, record: CrashRecord, before: EvidenceEvent | None, now: float
    ) -> None:
        after = self._state(record, now)
        if after is not None and after is not before:
            self._note(after, self._view(identity, record, now))

    def _note(self, event: EvidenceEvent, containment: Containment) -> None:
        self._changes.append(EvidenceChange(event, containment))

    def _note_update(self, record: CrashRecord) -> None:
        record.reports_left = SUSPECT_REPORT_COPIES if len(record.crashes) > 1 else REPORT_COPIES
        self._has_updates = True

    def _record(self, identity: int, kind: FeatureKind) -> CrashRecord:
        record = self._records.get(identity)
        if record is None:
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

        evicted = min(self._records, key=retention_order)
        del self._records[evicted]
        self._trials.forget(evicted)
