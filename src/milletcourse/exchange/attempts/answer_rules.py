"""What a whole answer of a server means for its request; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.messages import AnswerHead, AttemptResult

MISDIRECTED = 421
PROMISES = frozenset({408, 429, 503})
"""Statuses that promise a client that its request has not run and never will."""


def judge_answer(head: AnswerHead, instance: str, expected_version: int | None) -> AttemptResult:
    """The result of an attempt that ended with a whole answer.

    Args:
        head: Head of the answer.
        instance: Incarnation that the request was sent to.
        expected_version: Weight version that the request demanded, None if none.
    """
    if head.status == MISDIRECTED:
        if expected_version is None or head.instance not in ("", instance):
            return AttemptResult.WRONG_INSTANCE
        return AttemptResult.WRONG_VERSION
    if head.not_executed:
        return AttemptResult.REJECTED
    if head.encoded or head.status in PROMISES:
        # Only a server that says so has not run it: a bare promise can't be passed on.
        return AttemptResult.LOST
    if not head.successful:
        return AttemptResult.FAILED
    return AttemptResult.ANSWERED if head.signed else AttemptResult.LOST
