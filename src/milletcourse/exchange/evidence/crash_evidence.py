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

import msgspec

from milletcourse.exchange.evidence.containment import (
    Containment,
    EvidenceChange,
    EvidenceEvent,
)
from milletcourse.exchange.evidence.containment_rules import (
    PRODUCTION_RULES,
    ContainmentRule,
    ServerCrash,
)
from milletcourse.exchange.evidence.crash_record import CrashRecord
from milletcourse.exchange.evidence.crash_reports import (
    MAX_REPORTS_PER_MESSAGE,
    is_sender_behind,
    merge_report,
    write_report,
)
from milletcourse.exchange.evidence.explanations import (
    is_explained_by_parts,
    is_explained_by_repeats,
)
from milletcourse.exchange.evidence.feature_records import FeatureRecords
from milletcourse.exchange.evidence.request_identity import RequestFeatures
from milletcourse.exchange.evidence.trial_schedule import TrialSchedule
from milletcourse.exchange.messages.peer_messages import CrashReport, FeatureKind

ISOLATED_RETRY_SECONDS = 1.0
"""Retry delay for a request refused by a gateway without a list of its peers. Once the object store
is available again, the list of gateways is read at least this often."""
LEARNING_SECONDS = 2.0
"""Time from a gateway's first answer until a part that it knows no answer for may be suspected."""


class CrashEvidence:
    """One gateway's evidence about features of requests under which servers crashed.

    Attributes:
        knows_peers: Whether this gateway knows its peers, and so receives their reports.
        records: The features with evidence, and the reports about them to the other gateways.
    """

    def __init__(self, rule: ContainmentRule | None = None) -> None:
        """Start without evidence.

        Args:
            rule: Decides when crashes suffice for containment; None for the production rules.
        """
        self.knows_peers = True
        self.records = FeatureRecords(
            PRODUCTION_RULES if rule is None else dict.fromkeys(FeatureKind, rule)
        )
        self._trials = TrialSchedule()
        self._knows_answers_from = float("inf")
        """Monotonic time before which popular parts may not be known as such."""
        self._changes: list[EvidenceChange] = []

    def __bool__(self) -> bool:
        """Whether there is any evidence; without it, no request needs to be looked up."""
        return bool(self.records)

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
            record = self.records.get_or_create(identity, kind)
            before = self._state(record, crashed_at)
            if record.add(server, crash):
                self.records.note_update(record)
            if record.is_conclusive and before is not EvidenceEvent.CONTAINED:
                record.is_persisted_here = True
            self._note_change(identity, record, before, crashed_at)

    def on_answer(self, features: RequestFeatures, now: float) -> bool:
        """Record a complete answer of a server; True when it clears crashes."""
        if math.isinf(self._knows_answers_from):
            self._knows_answers_from = now + LEARNING_SECONDS
        has_cleared = False
        for identity, kind in features.by_kind():
            record = self.records.get(identity)
            if record is None:
                self.records.remember_answer(identity, kind, now)
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
            record = self.records.get(identity)
            if record is not None and self._trial_at(identity, record, features, now) is not None:
                record.on_tried(now)
                self.records.note_update(record)
                self._note(EvidenceEvent.TRIED, self._view(identity, record, now))

    def release(self, identity: int, now: float) -> None:
        """Clear a feature for an operator: crashes up to now don't count, at any gateway.

        Neither do they for other features that were at no other crashed server.
        """
        released = self.records.get(identity)
        if released is None:
            return
        servers = released.crashes.keys()
        related = [other for other in self.records.values() if other.crashes.keys() <= servers]
        for record in related:
            record.clear(now)
            self.records.note_update(record)

    def _clear(self, identity: int, record: CrashRecord, now: float) -> bool:
        had_crashes = bool(record.crashes)
        view = self._view(identity, record, now) if self._state(record, now) is not None else None
        record.clear(now)
        if had_crashes:
            self.records.note_update(record)
        if view is not None:
            self._note(EvidenceEvent.CLEARED, view)
        return had_crashes

    # -- decisions ------------------------------------------------------------------------------

    def containment(self, features: RequestFeatures, now: float) -> Containment | None:
        """Why a request must not be sent now; None when it may be sent to servers."""
        found = None
        for identity, _ in features.by_kind():
            record = self.records.get(identity)
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
        is_proven = record.is_conclusive and not self._may_be_companion(record, features)
        delay_seconds = record.containment_seconds if is_proven else 0.0
        return self._trials.next_trial_at(identity, record, delay_seconds)

    def _may_be_companion(self, record: CrashRecord, features: RequestFeatures) -> bool:
        """Whether a part came only with contained ones, none of which a request has."""
        if record.kind is FeatureKind.CONTENT or record.was_answered:
            return False
        contained = (
            other
            for identity, other in self._new_parts()
            if other.is_conclusive and not features.includes(identity)
        )
        return is_explained_by_parts(record, contained)

    def _state(self, record: CrashRecord, now: float) -> EvidenceEvent | None:
        """How requests with a feature are held; None when they are not."""
        if not record.is_conclusive and not record.is_suspect:
            return None
        if not record.is_conclusive and now < self._knows_answers_from:
            return None
        if record.kind is FeatureKind.PROMPT_PART and self._is_explained(record):
            return None
        return EvidenceEvent.CONTAINED if record.is_conclusive else EvidenceEvent.SUSPECTED

    def _is_explained(self, record: CrashRecord) -> bool:
        """Whether something else explains the crashes under a prompt part better."""
        repeated = (
            other
            for other in self.records.values()
            if other.kind is FeatureKind.CONTENT and len(other.crashes) > 1
        )
        if is_explained_by_repeats(record, repeated):
            return True
        # When many servers crash at once, the crashes under a popular part may seem to be in turn
        # before those under the part that causes them do.
        held = (other for _, other in self._new_parts() if other.is_conclusive or other.is_suspect)
        return record.was_answered and is_explained_by_parts(record, held)

    def _new_parts(self) -> Iterator[tuple[int, CrashRecord]]:
        """Prompt parts that no server has answered."""
        for identity, record in self.records.items():
            if record.kind is FeatureKind.PROMPT_PART and not record.was_answered:
                yield identity, record

    def _is_contained(self, record: CrashRecord, now: float) -> bool:
        is_recent = now < record.last_crash_at + record.containment_seconds
        return is_recent and self._state(record, now) is EvidenceEvent.CONTAINED

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
        for record in self.records.values():
            if record.crashes:
                self.records.note_update(record)

    def crash_count(self, identity: int) -> int:
        """Number of servers that crashed under a feature since its latest answer."""
        record = self.records.get(identity)
        return len(record.crashes) if record is not None else 0

    def containments(self, now: float) -> list[Containment]:
        """All contained features, by the time of their latest crash."""
        contained = [
            self._view(identity, record, now)
            for identity, record in self.records.items()
            if self._is_contained(record, now)
        ]
        return sorted(contained, key=lambda item: item.last_crash_at)

    def locally_persisted(self, now: float) -> list[CrashReport]:
        """Contained features that this gateway persists for a restart of all gateways."""
        return [
            write_report(identity, record, now)
            for identity, record in self.records.items()
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
            record = self.records.get_or_create(report.identity, report.kind)
            record.is_persisted_here = record.is_persisted_here or is_own

    # -- reports of other gateways --------------------------------------------------------------

    def merge(self, reports: Iterable[CrashReport], now: float, relays: bool) -> None:
        """Merge the reports of another gateway.

        Args:
            reports: Its reports.
            now: Monotonic time.
            relays: Whether other gateways depend on this one to forward the reports.
        """
        states = []
        for report in reports:
            record = self.records.get_or_create(report.identity, report.kind)
            states.append((report.identity, record, self._state(record, now)))
            is_update = merge_report(record, report, now) and relays
            if is_update or is_sender_behind(record, report, now):
                self.records.note_update(record)
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
