"""Outlier ejection of one server from what requests show; no input/output."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.counting.decaying_count import DecayingCount
from milletcourse.exchange.messages.messages import AttemptResult

HALF_LIFE_SECONDS = 3.0
"""Failures count half after this time."""
EJECTION_PENALTY = 2.0
"""Penalty from which a server gets no new work."""
FIRST_EJECTION_SECONDS = 0.8
MAX_EJECTION_SECONDS = 4.0
ANSWER_FORGIVES = 0.7
"""Part of the penalty that is left after an answer."""
BUSY_PAUSE_SECONDS = 0.15
"""A server that turned a request away is passed over this long when others are free."""
TALLY_HALF_LIFE_SECONDS = 1.5
"""What is told to other gateways counts half after this time."""
MAX_TOLD_BAD = 2
"""One gateway's failures count this much at most: its own link may be what is sick."""
SUSPICION_BAD = 3
"""Failures of all gateways from which a server is suspected: more than one gateway can tell."""
SUSPICION_RATIO = 0.5
"""And it is so only when failures are more than this part of the answers."""
_WEIGHTS = {
    AttemptResult.NOT_SENT: 2.0,
    AttemptResult.LOST: 1.0,
    AttemptResult.TRUNCATED: 1.0,
    # Applications answer some requests with failures in good health.
    AttemptResult.FAILED: 0.3,
}


class ServerTally(msgspec.Struct, frozen=True):
    """How attempts at a server went lately.

    Attributes:
        bad: Failures, weighed by what they say of the server.
        good: Answers.
    """

    bad: int
    good: int


class ServerHealth:
    """Penalty by recent failures, and ejection with growing pauses."""

    def __init__(self) -> None:
        self._penalty = DecayingCount(HALF_LIFE_SECONDS)
        self._ejected_until = float("-inf")
        self._pause_seconds = FIRST_EJECTION_SECONDS
        self._trial_running = False
        self._refused_until = float("-inf")
        self._order_until = float("-inf")
        self._bad = DecayingCount(TALLY_HALF_LIFE_SECONDS)
        self._good = DecayingCount(TALLY_HALF_LIFE_SECONDS)

    def on_result(self, result: AttemptResult, now: float) -> None:
        """An attempt at the server ended."""
        self._trial_running = False
        if result is AttemptResult.ANSWERED:
            self._good.add(1.0, now)
            self._penalty.scale(ANSWER_FORGIVES, now)
            if now >= self._ejected_until:
                self._pause_seconds = FIRST_EJECTION_SECONDS
            return
        if result is AttemptResult.REJECTED:
            self._refused_until = now + BUSY_PAUSE_SECONDS
            return
        weight = _WEIGHTS.get(result, 0.0)
        if weight == 0.0:
            return
        self._bad.add(weight, now)
        self._penalty.add(weight, now)
        if self._penalty.value(now) >= EJECTION_PENALTY and now >= self._ejected_until:
            self._ejected_until = now + self._pause_seconds
            self._pause_seconds = min(self._pause_seconds * 2, MAX_EJECTION_SECONDS)

    def tally(self, now: float) -> ServerTally:
        """Failures and answers of late, as they are told to other gateways."""
        bad = min(round(self._bad.value(now)), MAX_TOLD_BAD)
        return ServerTally(bad, round(self._good.value(now)))

    def is_suspected(self, others: ServerTally, now: float) -> bool:
        """Whether what all gateways saw of late says that it is sick."""
        if others.bad == 0:
            return False
        own = self.tally(now)
        bad = own.bad + others.bad
        return bad >= SUSPICION_BAD and bad > SUSPICION_RATIO * (own.good + others.good)

    def on_aborted(self) -> None:
        """An attempt was given up for reasons that say nothing about the server."""
        self._trial_running = False

    def on_order(self, until: float) -> None:
        """The server is taking new weights until about this time."""
        self._order_until = max(self._order_until, until)

    def on_ready(self) -> None:
        """The server has finished an order."""
        self._order_until = float("-inf")

    def on_dispatch(self, now: float) -> None:
        """A request goes there; after an ejection it is the trial."""
        if self._needs_trial(now):
            self._trial_running = True

    def is_ejected(self, now: float) -> bool:
        """Whether it gets no new work; one trial at a time is let through after the pause."""
        if now < self._ejected_until:
            return True
        return self._needs_trial(now) and self._trial_running

    def is_busy(self, now: float) -> bool:
        """Whether it lately turned a request away or is under an order."""
        return now < max(self._refused_until, self._order_until)

    def _needs_trial(self, now: float) -> bool:
        return self._ejected_until > 0 and self._penalty.value(now) >= EJECTION_PENALTY / 2
