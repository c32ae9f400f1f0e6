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

from milletcourse.exchange.messages.peer_messages import MAX_REPORTED_CRASHES

CONTAINING_ENDS = 3
"""Servers that must have ended under a request before it is contained. With two, work that is sent
again once, and meets two servers that end for other reasons, would be refused."""
ENDS_DESPITE_ANSWERS = 6
"""The same for a request that servers have answered before, which speaks for it. Without this, two
requests that ended all of four servers within half a second brought a popular third one to three
ends, with no server left to clear it (`make soak`)."""
ROUNDS_DESPITE_ANSWERS = 3
"""And so many of them must have come after each other, each begun after the one before: popular
work that a server's crash and then a rack's crash cut was begun anew in between, but only once."""
BEGUN_SLACK_SECONDS = 0.05
"""What was begun this long before an end still counts as begun after it: a caller that repeats at
once is some milliseconds behind the end, as long as the news of it takes to another gateway."""
CONTAINED_SECONDS = 600.0
"""A contained request is tried again this long after the latest end: a release or new weights may
have mended what it met. One more end contains it again, so it costs one server in this time."""
KEPT_SECONDS = 2 * CONTAINED_SECONDS
"""Ends older than this are forgotten."""
CLEARED_KEPT_SECONDS = 10.0
"""An answer is remembered this long, so that late news of ends before it doesn't come in again."""


class ServerEnd(msgspec.Struct, frozen=True):
    """A server that ended while it had a request.

    Attributes:
        sent_at: Monotonic time of the send of the request to it.
        ended_at: Monotonic time of its end.
    """

    sent_at: float
    ended_at: float


ProofRule = Callable[[Collection[ServerEnd], bool], bool]
"""Whether the servers that ended under a request since its latest answer are proof enough; with
whether there ever was an answer."""


def ended_in_turn(ends: Collection[ServerEnd], was_answered: bool) -> bool:
    """The product's rule: enough ends, and all but one of them begun after the first one.

    A popular request that ran on the servers of a crashed rack had begun before. Without this,
    2.2 of 1,000 innocent requests were refused beside crashes of a fifth of 49 servers, with it
    0.3 (`milletcourse experiment containment`, 79 gateways).
    """
    if was_answered:
        return len(ends) >= ENDS_DESPITE_ANSWERS and _rounds(ends) >= ROUNDS_DESPITE_ANSWERS
    if len(ends) < CONTAINING_ENDS:
        return False
    begun_from = min(end.ended_at for end in ends) - BEGUN_SLACK_SECONDS
    begun_later = sum(end.sent_at > begun_from for end in ends)
    return begun_later >= CONTAINING_ENDS - 1


def _rounds(ends: Collection[ServerEnd]) -> int:
    """Most ends of which each was begun after the one before."""
    rounds = 0
    begun_from = float("-inf")
    for end in sorted(ends, key=lambda end: end.ended_at):
        if end.sent_at > begun_from:
            rounds += 1
            begun_from = end.ended_at - BEGUN_SLACK_SECONDS
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
        "ends",
        "is_kept_here",
        "is_proved",
        "tells_left",
        "told_at",
    )

    def __init__(self, rule: ProofRule) -> None:
        self._rule = rule
        self.ends: dict[int, ServerEnd] = {}
        self.is_proved = False
        self.cleared_at = float("-inf")
        self.tells_left = 0
        self.told_at = float("-inf")
        self.is_kept_here = False

    @property
    def was_answered(self) -> bool:
        """Whether a server ever answered it, as far as is remembered."""
        return self.cleared_at != float("-inf")

    @property
    def last_end_at(self) -> float:
        """When the latest server ended under it."""
        return max((end.ended_at for end in self.ends.values()), default=float("-inf"))

    def add(self, server: int, end: ServerEnd) -> bool:
        """A server ended under it; False when that was known, or was before an answer."""
        if server in self.ends or end.ended_at <= self.cleared_at:
            return False
        self.ends[server] = end
        self.is_proved = self.is_proved or self._rule(self.ends.values(), self.was_answered)
        if len(self.ends) > MAX_REPORTED_CRASHES:
            # The first one and the latest ones prove that work was begun again after an end.
            in_order = sorted(self.ends, key=lambda key: self.ends[key].ended_at)
            del self.ends[in_order[1]]
        return True

    def clear(self, at: float) -> bool:
        """A server answered it; True when that is news."""
        if at <= self.cleared_at:
            return False
        self.cleared_at = at
        self.ends = {key: end for key, end in self.ends.items() if end.ended_at > at}
        self.is_proved = self._rule(self.ends.values(), self.was_answered)
        return True

    def is_over(self, now: float) -> bool:
        """Whether nothing of it is worth keeping."""
        if self.ends:
            return now - self.last_end_at > KEPT_SECONDS
        return now - self.cleared_at > CLEARED_KEPT_SECONDS
