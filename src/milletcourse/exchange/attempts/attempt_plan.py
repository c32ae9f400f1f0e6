"""Decides the next step after each attempt of a request; no input/output.

A request that may run at most once is retried only when it certainly has not run. A repeatable
request is retried within the route's attempts, the retry budget and the time left.
"""

from __future__ import annotations

from enum import Enum

from milletcourse.exchange.messages.messages import AttemptResult

MIN_USEFUL_SECONDS = 0.02
"""With less time left than this, another attempt could not answer in time."""
MAX_SENDS = 4
"""Maximum number of servers tried for one request, including those that rejected it."""
_POSSIBLE_RUNS = frozenset({AttemptResult.LOST, AttemptResult.FAILED, AttemptResult.TRUNCATED})


class NextStep(Enum):
    """The step that follows an attempt."""

    RETRY = "send-again"
    HANDED_OVER = "handed-over"
    """Another server has already taken the stream over."""
    FIRST_CONTINUES = "first-goes-on"
    """The server from which the stream was to be taken over continues it."""
    REFUSE = "refuse"
    """The request never ran: refuse it with a retry time."""
    FORWARD_FAILURE = "pass-failure"
    """Forward the server's own failure."""
    ANSWER_LOST = "answer-lost"
    """The request may have run: report that its outcome is unknown."""
    FINISHED = "finished"


class AttemptPlan:
    """The attempts of one request."""

    def __init__(self, repeatable: bool, max_attempts: int) -> None:
        self._repeatable = repeatable
        self._max_attempts = max_attempts
        self.sends = 0
        self.possible_runs = 0
        self._answered = False

    @property
    def runs(self) -> int:
        """Number of servers that ran the request or may have."""
        return self.possible_runs + self._answered

    def on_send(self) -> None:
        """Count an attempt that is about to be sent."""
        self.sends += 1

    def on_result(self, result: AttemptResult) -> None:
        """Record the result of the latest attempt."""
        self.possible_runs += result in _POSSIBLE_RUNS
        self._answered = self._answered or result is AttemptResult.ANSWERED

    def may_retry(self, seconds_left: float) -> bool:
        """Whether the attempts so far allow sending the request to another server."""
        return self._may_send(self.possible_runs, seconds_left)

    def may_hand_over(self, seconds_left: float) -> bool:
        """Whether another server may get it alongside the running attempt, which counts as one."""
        return self._may_send(self.possible_runs + 1, seconds_left)

    def _may_send(self, possible_runs: int, seconds_left: float) -> bool:
        if self.sends >= MAX_SENDS or seconds_left < MIN_USEFUL_SECONDS:
            return False
        if possible_runs == 0:
            return True
        return self._repeatable and possible_runs < self._max_attempts

    def final_step(self, result: AttemptResult) -> NextStep:
        """The step that ends the request when it is not retried."""
        if result is AttemptResult.ANSWERED:
            return NextStep.FINISHED
        if result is AttemptResult.FAILED:
            return NextStep.FORWARD_FAILURE
        if self.possible_runs == 0:
            return NextStep.REFUSE
        return NextStep.ANSWER_LOST
