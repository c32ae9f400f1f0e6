"""What is known of one request under which servers ended; no input/output.

A server that ends takes all its requests with it, and most of them are innocent. What tells the one
that ended it from the others is what happens next: work that ends each server that begins it never
gets an answer. So ends count in a row, and any answer to the same work, at any gateway, clears it.

Servers also end for other reasons, many at the same moment. Work that was at all of them was begun
before the first of them ended, so only ends of work that was begun later tell it apart.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import msgspec

from milletcourse.exchange.messages.peer_messages import MAX_TOLD_ENDS

CONTAINMENT_CRASHES = 3
"""Servers that must have ended under a request before it is contained. With two, work that is sent
again once, and meets two servers that end for other reasons, would be refused."""
CONTAINMENT_CRASHES_AFTER_ANSWER = 6
"""The same for a request that servers have answered before, which speaks for it. Without this, two
requests that ended all of four servers within half a second brought a popular third one to three
ends, with no server left to clear it (`make soak`)."""
CRASH_ROUNDS_AFTER_ANSWER = 3
"""And so many of them must have come after each other, each begun after the one before: popular
work that a server's crash and then a rack's crash cut was begun anew in between, but only once."""
START_SLACK_SECONDS = 0.05
"""What was begun this long before an end still counts as begun after it: a caller that repeats at
once is some milliseconds behind the end, as long as the news of it takes to another gateway."""
CONTAINMENT_SECONDS = 600.0
"""A contained request is tried again this long after the latest end: a release or new weights may
have mended what it met. One more end contains it again, so it costs one server in this time."""
RECORD_RETENTION_SECONDS = 2 * CONTAINMENT_SECONDS
"""Ends older than this are forgotten."""
ANSWER_RETENTION_SECONDS = 10.0
"""An answer is remembered this long, so that late news of ends before it doesn't come in again."""


class ServerCrash(msgspec.Struct, frozen=True):
    """A server that ended while it had a request.

    Attributes:
        sent_at: Monotonic time of the send of the request to it.
        ended_at: Monotonic time of its end.
    """

    sent_at: float
    ended_at: float


ContainmentRule = Callable[[Collection[ServerCrash], bool], bool]
"""Whether the servers that ended under a request since its latest answer are proof enough; with
whether there ever was an answer."""


def sequential_crashes(crashes: Collection[ServerCrash], was_answered: bool) -> bool:
    """The product's rule: enough ends, and all but one of them begun after the first one.

    A popular request that ran on the servers of a crashed rack had begun before. Without this,
    2.2 of 1,000 innocent requests were refused beside crashes of a fifth of 49 servers, with it
    0.3 (`milletcourse experiment containment`, 79 gateways).
    """
    if was_answered:
        return (
            len(crashes) >= CONTAINMENT_CRASHES_AFTER_ANSWER
            and _rounds(crashes) >= CRASH_ROUNDS_AFTER_ANSWER
        )
    if len(crashes) < CONTAINMENT_CRASHES:
        return False
    started_after = min(crash.ended_at for crash in crashes) - START_SLACK_SECONDS
    started_later = sum(crash.sent_at > started_after for crash in crashes)
    return started_later >= CONTAINMENT_CRASHES - 1


def _rounds(crashes: Collection[ServerCrash]) -> int:
    """Most ends of which each was begun after the one before."""
    rounds = 0
    started_after = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_at):
        if crash.sent_at > started_after:
            rounds += 1
            started_after = crash.ended_at - START_SLACK_SECONDS
    return rounds


class CrashRecord:
    """What is known of one request.

    Attributes:
        ends: Server's key -> its end.
        is_proved: Whether the evidence is enough, however old it is.
        cleared_at: When a server last answered it.
        tells_left: How often it is still to be told as news.
        told_at: When it was last told.
        is_kept_here: This gateway keeps it where it outlasts the end of all gateways.
    """

    __slots__ = (
        "_rule",
        "cleared_at",
        "crashes",
        "is_conclusive",
        "is_persisted_here",
        "reported_at",
        "reports_left",
    )

    def __init__(self, rule: ContainmentRule) -> None:
        self._rule = rule
        self.crashes: dict[int, ServerCrash] = {}
        self.is_conclusive = False
        self.cleared_at = float("-inf")
        self.reports_left = 0
        self.reported_at = float("-inf")
        self.is_persisted_here = False

    @property
    def was_answered(self) -> bool:
        """Whether a server ever answered it, as far as is remembered."""
        return self.cleared_at != float("-inf")

    @property
    def last_crash_at(self) -> float:
        """When the latest server ended under it."""
        return max((crash.ended_at for crash in self.crashes.values()), default=float("-inf"))

    def add(self, server: int, crash: ServerCrash) -> bool:
        """A server ended under it; False when that was known, or was before an answer."""
        if server in self.crashes or crash.ended_at <= self.cleared_at:
            return False
        self.crashes[server] = crash
        self.is_conclusive = self.is_conclusive or self._rule(
            self.crashes.values(), self.was_answered
        )
        if len(self.crashes) > MAX_TOLD_ENDS:
            # The first one and the latest ones prove that work was begun again after an end.
            in_order = sorted(self.crashes, key=lambda key: self.crashes[key].ended_at)
            del self.crashes[in_order[1]]
        return True

    def clear(self, at: float) -> bool:
        """A server answered it; True when that is news."""
        if at <= self.cleared_at:
            return False
        self.cleared_at = at
        self.crashes = {key: crash for key, crash in self.crashes.items() if crash.ended_at > at}
        self.is_conclusive = self._rule(self.crashes.values(), self.was_answered)
        return True

    def is_over(self, now: float) -> bool:
        """Whether nothing of it is worth keeping."""
        if self.crashes:
            return now - self.last_crash_at > RECORD_RETENTION_SECONDS
        return now - self.cleared_at > ANSWER_RETENTION_SECONDS
