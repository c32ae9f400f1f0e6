"""Outlier ejection of one server by the results of its requests; no input/output."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.counting.decaying_count import DecayingCount
from milletcourse.exchange.messages.messages import AttemptResult

HALF_LIFE_SECONDS = 3.0
"""Half-life of failures in the penalty."""
EJECTION_PENALTY = 2.0
"""Penalty from which a server is ejected and gets no new requests."""
FIRST_EJECTION_SECONDS = 0.8
MAX_EJECTION_SECONDS = 4.0
ANSWER_PENALTY_FACTOR = 0.7
"""Factor on the penalty after an answer."""
BUSY_PAUSE_SECONDS = 0.15
"""A server that rejected a request is avoided this long while others are free."""
TALLY_HALF_LIFE_SECONDS = 1.5
"""Half-life of the counts that are reported to other gateways."""
MAX_REPORTED_FAILURES = 2
"""Upper bound of the failures that one gateway reports: its own link may be the cause."""
SUSPICION_FAILURES = 3
"""Failures at all gateways from which a server is suspected: more than one gateway can report."""
SUSPICION_FAILURE_RATIO = 0.5
"""A server is suspected only when failures exceed this fraction of the answers."""
_WEIGHTS = {
    AttemptResult.NOT_SENT: 2.0,
    AttemptResult.LOST: 1.0,
    AttemptResult.TRUNCATED: 1.0,
    # Healthy applications answer some requests with failures.
    AttemptResult.FAILED: 0.3,
}


class ServerTally(msgspec.Struct, frozen=True):
    """Recent results of attempts at a server.

    Attributes:
        failures: Failures, weighted by how strongly they indicate a fault of the server.
        successes: Answers.
    """

    failures: int
    successes: int


class ServerHealth:
    """Penalty by recent failures, and ejection for exponentially growing times."""

    def __init__(self) -> None:
        self._penalty = DecayingCount(HALF_LIFE_SECONDS)
        self._ejected_until = float("-inf")
        self._pause_seconds = FIRST_EJECTION_SECONDS
        self._probe_running = False
        self._refused_until = float("-inf")
        self._order_until = float("-inf")
        self._failures = DecayingCount(TALLY_HALF_LIFE_SECONDS)
        self._successes = DecayingCount(TALLY_HALF_LIFE_SECONDS)

    def on_result(self, result: AttemptResult, now: float, is_reported: bool = True) -> None:
        """Record the result of an attempt at the server.

        Args:
            result: How the attempt ended.
            now: Monotonic time.
            is_reported: Whether a failure is reported to the other gateways.
        """
        self._probe_running = False
        if result is AttemptResult.ANSWERED:
            self._successes.add(1.0, now)
            self._penalty.scale(ANSWER_PENALTY_FACTOR, now)
            if now >= self._ejected_until:
                self._pause_seconds = FIRST_EJECTION_SECONDS
            return
        if result is AttemptResult.REJECTED:
            self._refused_until = now + BUSY_PAUSE_SECONDS
            return
        weight = _WEIGHTS.get(result, 0.0)
        if weight == 0.0:
            return
        if is_reported:
            self._failures.add(weight, now)
        self._penalty.add(weight, now)
        if self._penalty.value(now) >= EJECTION_PENALTY and now >= self._ejected_until:
            self._ejected_until = now + self._pause_seconds
            self._pause_seconds = min(self._pause_seconds * 2, MAX_EJECTION_SECONDS)

    def tally(self, now: float) -> ServerTally:
        """Recent failures and answers, as reported to other gateways."""
        failures = min(round(self._failures.value(now)), MAX_REPORTED_FAILURES)
        return ServerTally(failures, round(self._successes.value(now)))

    def is_suspected(self, others: ServerTally, now: float) -> bool:
        """Whether the recent results of all gateways indicate a fault of the server."""
        if others.failures == 0:
            return False
        own = self.tally(now)
        failures = own.failures + others.failures
        return failures >= SUSPICION_FAILURES and failures > SUSPICION_FAILURE_RATIO * (
            own.successes + others.successes
        )

    def on_aborted(self) -> None:
        """Record that an attempt was aborted for reasons unrelated to the server's health."""
        self._probe_running = False

    def on_order(self, until: float) -> None:
        """Record that the server loads new weights until about this time."""
        self._order_until = max(self._order_until, until)

    def on_ready(self) -> None:
        """Record that the server has finished an order."""
        self._order_until = float("-inf")

    def on_dispatch(self, now: float) -> None:
        """Record that a request is sent; the first one after an ejection is the probe."""
        if self._needs_probe(now):
            self._probe_running = True

    def is_ejected(self, now: float) -> bool:
        """Whether it gets no new requests, apart from one probe at a time after the ejection."""
        if now < self._ejected_until:
            return True
        return self._needs_probe(now) and self._probe_running

    def is_busy(self, now: float) -> bool:
        """Whether it recently rejected a request or is carrying out an order."""
        return now < max(self._refused_until, self._order_until)

    def _needs_probe(self, now: float) -> bool:
        return self._ejected_until > 0 and self._penalty.value(now) >= EJECTION_PENALTY / 2
