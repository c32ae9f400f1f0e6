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
    CONTAINED_SECONDS,
    CrashRecord,
    ProofRule,
    ServerEnd,
    ended_in_turn,
)
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.peer_messages import CrashReport, ReportedCrash

MAX_ANSWERED = 1024
"""Requests whose latest answer is remembered although no server ended under them: an answer speaks
for a request, and news of an end may come after the answer that clears it. Some 0.15 MB."""
MAX_RECORDS = 1024
"""Requests that evidence is kept of: some 0.7 MB (tracemalloc). A crash leaves as many as ran on
the server."""
AGE_SLACK_SECONDS = 0.05
"""Ages are rounded, and messages take some time: what is told twice may differ by so much."""
TOLD_TIMES = 3
"""News of a first end is told this often, against loss."""
SUSPECT_TOLD_TIMES = 6
"""News of further ends is. With a tenth of the messages lost and three repeats, one or two of 79
gateways didn't know a contained request half a second later (simulated); with six all did."""
LONE_HOLD_SECONDS = 1.0
"""A caller whose request is held back by a gateway that doesn't know the others may come back after
this time: lists are read anew at least as often once the object store is back."""
MAX_TOLD = 16
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
    ends: int
    last_end_at: float
    seconds_left: float

    def failure(self) -> RequestContained:
        """The refusal that its caller gets."""
        content = identity_text(self.identity)
        detail = f"{self.ends} servers ended under this request, content {content}"
        return RequestContained(detail, self.seconds_left)


class CrashEvidence:
    """One gateway's knowledge of the requests under which servers ended.

    Attributes:
        knows_others: Whether this gateway knows the others, so that what they saw comes here.
    """

    def __init__(self, rule: ProofRule = ended_in_turn) -> None:
        """No evidence yet.

        Args:
            rule: When ends are proof enough.
        """
        self.knows_others = True
        self._rule = rule
        self._records: dict[int, CrashRecord] = {}
        self._answered: dict[int, float] = {}
        self._has_news = False
        self._newly_contained: list[int] = []

    def __bool__(self) -> bool:
        """Whether there is any evidence; without it, no request needs to be looked up."""
        return bool(self._records)

    # -- what servers show ----------------------------------------------------------------------

    def on_end(self, identity: int, server: int, sent_at: float, ended_at: float) -> None:
        """A server's process ended while it had a request.

        Args:
            identity: Identity of the request's content.
            server: Key of the incarnation.
            sent_at: Monotonic time at which the request was sent there.
            ended_at: Monotonic time at which the server was seen to have ended.
        """
        record = self._record(identity)
        was_proved = record.is_proved
        if record.add(server, ServerEnd(sent_at, ended_at)):
            self._note_news(record)
        if record.is_proved and not was_proved:
            record.is_kept_here = True
        self._note_proof(identity, record, was_proved)

    def on_answer(self, identity: int, now: float) -> bool:
        """A server answered a request in whole; True when that clears it of ends."""
        record = self._records.get(identity)
        if record is None:
            self._remember_answer(identity, now)
            return False
        had_ends = bool(record.ends)
        record.clear(now)
        if had_ends:
            self._note_news(record)
        return had_ends

    def release(self, identity: int, now: float) -> None:
        """An operator knows better: what was seen up to now doesn't count, at any gateway."""
        record = self._records.get(identity)
        if record is not None:
            record.clear(now)
            self._note_news(record)

    # -- what follows ---------------------------------------------------------------------------

    def containment(self, identity: int, now: float) -> Containment | None:
        """Why a request isn't sent to servers; None when it may be."""
        record = self._records.get(identity)
        if record is None:
            return None
        if not record.is_proved:
            return self._hold_back(identity, record)
        seconds_left = record.last_end_at + CONTAINED_SECONDS - now
        if seconds_left <= 0.0:
            return None
        return Containment(identity, len(record.ends), record.last_end_at, seconds_left)

    def _hold_back(self, identity: int, record: CrashRecord) -> Containment | None:
        """One end is enough while nobody tells of the others: each gateway would add its three."""
        if self.knows_others or not record.ends or record.was_answered:
            return None
        return Containment(identity, len(record.ends), record.last_end_at, LONE_HOLD_SECONDS)

    def on_others_known(self) -> None:
        """Whom to tell is known now: all that was seen here is news to them."""
        if self.knows_others:
            return
        self.knows_others = True
        for record in self._records.values():
            if record.ends:
                self._note_news(record)

    def ends(self, identity: int) -> int:
        """Servers that ended under a request since the latest answer to it."""
        record = self._records.get(identity)
        return len(record.ends) if record is not None else 0

    def containments(self, now: float) -> list[Containment]:
        """All requests that aren't sent to servers, in the order of their latest ends."""
        found = (self.containment(identity, now) for identity in self._records)
        contained = [item for item in found if item is not None]
        return sorted(contained, key=lambda item: item.last_end_at)

    def contained_here(self, now: float) -> list[CrashReport]:
        """Contained requests that this gateway keeps where they outlast the end of all gateways."""
        return [
            _report(identity, record, now)
            for identity, record in self._records.items()
            if record.is_kept_here and self.containment(identity, now) is not None
        ][:MAX_TOLD]

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
            self.merge([report], now - age_seconds, passes_on=False)
            record = self._records[report.identity]
            record.is_kept_here = record.is_kept_here or is_own

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for identity in [key for key, record in self._records.items() if record.is_over(now)]:
            record = self._records.pop(identity)
            if record.was_answered:
                self._remember_answer(identity, record.cleared_at)

    # -- what gateways tell each other ----------------------------------------------------------

    @property
    def has_news(self) -> bool:
        """Whether something is to be told that others may not know."""
        return self._has_news

    def to_tell(self, now: float, retell_seconds: float) -> list[CrashReport]:
        """What belongs in a message now: news, and from time to time what counts.

        Args:
            now: Monotonic time.
            retell_seconds: Requests under which more than one server ended are told again after
                this time, to those who missed it or have started since.
        """
        due = [
            (identity, record)
            for identity, record in self._records.items()
            if record.tells_left > 0
            or (len(record.ends) > 1 and now - record.told_at >= retell_seconds)
        ]
        # Of those with a single end, what was told least often: else a crash of a server with many
        # requests would keep the news of the last ones back.
        due.sort(key=lambda item: (-len(item[1].ends), -item[1].tells_left, item[0]))
        for _, record in due[:MAX_TOLD]:
            record.tells_left = max(record.tells_left - 1, 0)
            record.told_at = now
        self._has_news = any(record.tells_left for record in self._records.values())
        return [_report(identity, record, now) for identity, record in due[:MAX_TOLD]]

    def tell_again(self) -> None:
        """Somebody has come who may know nothing."""
        for record in self._records.values():
            if len(record.ends) > 1:
                record.told_at = float("-inf")

    def gravest(self, now: float) -> list[CrashReport]:
        """What matters most of all that is known."""
        known = sorted(
            self._records.items(),
            key=lambda item: (-len(item[1].ends), -item[1].last_end_at, item[0]),
        )
        return [_report(identity, record, now) for identity, record in known[:MAX_TOLD]]

    def merge(self, reports: Iterable[CrashReport], now: float, passes_on: bool) -> None:
        """Take what another gateway tells.

        Args:
            reports: Its reports.
            now: Monotonic time.
            passes_on: Others depend on this gateway to hear of it.
        """
        for report in reports:
            record = self._record(report.identity)
            was_proved = record.is_proved
            is_news = _merge_into(record, report, now) and passes_on
            if is_news or _is_behind(record, report, now):
                self._note_news(record)
            self._note_proof(report.identity, record, was_proved)

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

    def _note_proof(self, identity: int, record: CrashRecord, was_proved: bool) -> None:
        if record.is_proved and not was_proved:
            self._newly_contained.append(identity)

    def _note_news(self, record: CrashRecord) -> None:
        record.tells_left = SUSPECT_TOLD_TIMES if len(record.ends) > 1 else TOLD_TIMES
        self._has_news = True

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
            return record.is_proved, len(record.ends), record.last_end_at

        del self._records[min(self._records, key=worth)]


def _merge_into(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """True when the report told something new."""
    is_news = False
    if report.cleared_ms is not None:
        is_news = record.clear(now - report.cleared_ms / 1000.0)
    for end in report.crashes:
        known_end = ServerEnd(now - end.sent_ms / 1000.0, now - end.crashed_ms / 1000.0)
        is_news = record.add(end.server, known_end) or is_news
    return is_news


def _is_behind(record: CrashRecord, report: CrashReport, now: float) -> bool:
    """Whether the sender counts ends that an answer has cleared, and isn't being told so yet."""
    if record.tells_left:
        return False
    cleared_ms = (now - record.cleared_at + AGE_SLACK_SECONDS) * 1000.0
    return any(end.crashed_ms > cleared_ms for end in report.crashes)


def _report(identity: int, record: CrashRecord, now: float) -> CrashReport:
    ends = [
        ReportedCrash(server, _age_ms(end.sent_at, now), _age_ms(end.ended_at, now))
        for server, end in record.ends.items()
    ]
    cleared_ms = _age_ms(record.cleared_at, now) if record.was_answered else None
    return CrashReport(identity, ends, cleared_ms)


def _age_ms(at: float, now: float) -> int:
    return max(round((now - at) * 1000.0), 0)
