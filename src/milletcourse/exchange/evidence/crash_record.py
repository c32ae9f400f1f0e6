"""Crash evidence against one feature of requests; no input/output.

A feature is the whole content of a request, or one part of its prompt. A server crash interrupts
all requests at the server, and most of them are unrelated to it. What distinguishes the feature
that caused it is what happens next: a request whose feature crashes every server that starts it
never gets an answer. So consecutive crashes count, and any answer to a request with the feature, at
any gateway, clears them.

Servers also crash for other reasons, many at the same moment. A request that ran on all of them was
started before the first of them crashed, so only crashes of work started later are evidence.
"""

from __future__ import annotations

from collections.abc import Collection

from milletcourse.exchange.evidence.containment_rules import (
    SUSPECT_CRASHES,
    ContainmentRule,
    ServerCrash,
)
from milletcourse.exchange.messages.peer_messages import MAX_REPORTED_CRASHES, FeatureKind

SPAN_SLACK_SECONDS = 0.3
"""A record that has dropped crashes explains those of its time span, extended by this: crashes
become known one after the other."""
CONTAINMENT_SECONDS = 600.0
"""A contained feature is tried again this long after its latest crash, since a release or new
weights may have fixed the defect. One more crash contains it again, so it costs one server in this
time."""
ANSWERED_PART_CONTAINMENT_SECONDS = 30.0
"""The same for a prompt part that servers have answered before: many requests may have it, and the
crashes another cause."""
RECORD_RETENTION_SECONDS = 2 * CONTAINMENT_SECONDS
"""Crashes older than this are dropped."""
ANSWER_RETENTION_SECONDS = 10.0
"""An answer is kept this long, so that late reports of crashes before it are ignored."""


class CrashRecord:
    """Crashes and answers of the requests with one feature.

    Attributes:
        kind: What the feature is.
        crashes: Crash by server key.
        is_conclusive: Whether the evidence suffices for containment, regardless of its age.
        cleared_at: Monotonic time of the latest answer of a server.
        reports_left: How many more times it is reported as an update.
        reported_at: Monotonic time of its latest report.
        is_persisted_here: Whether this gateway persists it in the object store, so that it
            survives a restart of all gateways.
        tried_at: Monotonic time at which any gateway last sent a request with the held feature.
    """

    __slots__ = (
        "_rule",
        "cleared_at",
        "crashes",
        "is_conclusive",
        "is_persisted_here",
        "kind",
        "reported_at",
        "reports_left",
        "tried_at",
    )

    def __init__(self, rule: ContainmentRule, kind: FeatureKind) -> None:
        self._rule = rule
        self.kind = kind
        self.crashes: dict[int, ServerCrash] = {}
        self.is_conclusive = False
        self.cleared_at = float("-inf")
        self.reports_left = 0
        self.reported_at = float("-inf")
        self.is_persisted_here = False
        self.tried_at = float("-inf")

    def set_kind(self, kind: FeatureKind, rule: ContainmentRule) -> None:
        """Correct what the feature is, and the rule that decides about it."""
        self.kind = kind
        self._rule = rule

    @property
    def is_suspect(self) -> bool:
        """Whether it is a prompt part that may crash servers, but isn't proven to."""
        is_new_part = self.kind is FeatureKind.PROMPT_PART and not self.was_answered
        return is_new_part and not self.is_conclusive and len(self.crashes) >= SUSPECT_CRASHES

    @property
    def containment_seconds(self) -> float:
        """Time from its latest crash until it is tried again, once it is contained."""
        is_part = self.kind is FeatureKind.PROMPT_PART
        if is_part and self.was_answered:
            return ANSWERED_PART_CONTAINMENT_SECONDS
        return CONTAINMENT_SECONDS

    @property
    def longest_run_seconds(self) -> float:
        """Longest time from a request to the crash of its server; 0 without one."""
        return max((crash.crashed_at - crash.sent_at for crash in self.crashes.values()), default=0)

    def explains(self, server: int, crash: ServerCrash) -> bool:
        """Whether a crash is one of this record, or may be one that it has dropped."""
        if server in self.crashes:
            return True
        if len(self.crashes) < MAX_REPORTED_CRASHES:
            return False
        first_crash_at = min(known.crashed_at for known in self.crashes.values())
        return (
            first_crash_at - SPAN_SLACK_SECONDS
            <= crash.crashed_at
            <= self.last_crash_at + SPAN_SLACK_SECONDS
        )

    def are_conclusive(self, crashes: Collection[ServerCrash]) -> bool:
        """Whether some of its crashes would suffice for containment."""
        return self._rule(crashes, self.was_answered)

    @property
    def was_answered(self) -> bool:
        """Whether a server answered it, as far as answers are retained."""
        return self.cleared_at != float("-inf")

    @property
    def last_crash_at(self) -> float:
        """Monotonic time of the latest crash; minus infinity without one."""
        return max((crash.crashed_at for crash in self.crashes.values()), default=float("-inf"))

    def add(self, server: int, crash: ServerCrash) -> bool:
        """Add a crash; False when it was known already, or precedes the latest answer."""
        if server in self.crashes or crash.crashed_at <= self.cleared_at:
            return False
        self.crashes[server] = crash
        self.is_conclusive = self.is_conclusive or self.are_conclusive(self.crashes.values())
        if len(self.crashes) > MAX_REPORTED_CRASHES:
            # The first and the latest crashes show that the work was started again after a crash.
            in_order = sorted(self.crashes, key=lambda key: self.crashes[key].crashed_at)
            del self.crashes[in_order[1]]
        return True

    def clear(self, at: float) -> bool:
        """Record an answer; True when it is later than the latest known one."""
        if at <= self.cleared_at:
            return False
        self.cleared_at = at
        self.crashes = {key: crash for key, crash in self.crashes.items() if crash.crashed_at > at}
        self.is_conclusive = self.are_conclusive(self.crashes.values())
        return True

    @property
    def was_tried(self) -> bool:
        """Whether any gateway is known to have sent a request with the held feature."""
        return self.tried_at != float("-inf")

    def on_tried(self, at: float, slack_seconds: float = 0.0) -> bool:
        """Record a trial; True when it is later than the latest known one by more than a slack."""
        if at <= self.tried_at + slack_seconds:
            return False
        self.tried_at = at
        return True

    def is_expired(self, now: float) -> bool:
        """Whether the record has expired."""
        if self.crashes:
            return now - self.last_crash_at > RECORD_RETENTION_SECONDS
        return now - self.cleared_at > ANSWER_RETENTION_SECONDS
