"""Decides, after each attempt of a request, what may be done next; no input/output.

What may run at most once is sent again only when it certainly has not run. What may be repeated is
sent again within the route's attempts, the retry budget and the time left.
"""

from __future__ import annotations

from enum import Enum

from milletcourse.exchange.messages.messages import AttemptResult

MIN_USEFUL_SECONDS = 0.02
"""With less time than this left, another attempt could not answer in time."""
MAX_SENDS = 4
"""Bound on servers tried for one request, those that turned it away included."""
_POSSIBLE_RUNS = frozenset({AttemptResult.LOST, AttemptResult.FAILED, AttemptResult.TRUNCATED})


class NextStep(Enum):
    """What follows an attempt."""

    SEND_AGAIN = "send-again"
    HANDED_OVER = "handed-over"
    """Another server has its stream already."""
    FIRST_GOES_ON = "first-goes-on"
    """The server that it was to take a stream over from still has it."""
    REFUSE = "refuse"
    """It never ran: refuse, and say when to come back."""
    PASS_FAILURE = "pass-failure"
    """Pass on the server's own failure."""
    ANSWER_LOST = "answer-lost"
    """It may have run: say so, without a promise."""
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
        """Servers that ran it, or may have."""
        return self.possible_runs + self._answered

    def on_send(self) -> None:
        """A server is about to get the request."""
        self.sends += 1

    def on_result(self, result: AttemptResult) -> None:
        """The latest attempt ended."""
        self.possible_runs += result in _POSSIBLE_RUNS
        self._answered = self._answered or result is AttemptResult.ANSWERED

    def may_send_again(self, seconds_left: float) -> bool:
        """Whether another server may get the request, as far as its own attempts tell."""
        return self._may_send(self.possible_runs, seconds_left)

    def may_hand_over(self, seconds_left: float) -> bool:
        """Whether another server may get it beside the running attempt, which counts as a run."""
        return self._may_send(self.possible_runs + 1, seconds_left)

    def _may_send(self, possible_runs: int, seconds_left: float) -> bool:
        if self.sends >= MAX_SENDS or seconds_left < MIN_USEFUL_SECONDS:
            return False
        if possible_runs == 0:
            return True
        return self._repeatable and possible_runs < self._max_attempts

    def final_step(self, result: AttemptResult) -> NextStep:
        """How the request ends when it is not sent again."""
        if result is AttemptResult.ANSWERED:
            return NextStep.FINISHED
        if result is AttemptResult.FAILED:
            return NextStep.PASS_FAILURE
        if self.possible_runs == 0:
            return NextStep.REFUSE
        return NextStep.ANSWER_LOST
