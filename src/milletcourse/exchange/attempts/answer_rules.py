"""Classifies complete answers of servers; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.messages import MISDIRECTED, AnswerHead, AttemptResult

NEVER_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses by which a gateway guarantees a client that its request has not run and never will."""


def classify_answer(head: AnswerHead, instance: str, expected_version: int | None) -> AttemptResult:
    """The result of an attempt that ended with a complete answer.

    Args:
        head: Head of the answer.
        instance: Incarnation that the request was sent to.
        expected_version: Weight version that the request required, None if none.
    """
    if head.status == MISDIRECTED:
        if expected_version is None or head.instance not in ("", instance):
            return AttemptResult.WRONG_INSTANCE
        return AttemptResult.WRONG_VERSION
    if head.not_executed:
        return AttemptResult.REJECTED
    if head.encoded or head.status in NEVER_RUN_STATUSES:
        # Without the explicit not-executed marker the server may have run the request, so that the
        # status can't be forwarded as a guarantee.
        return AttemptResult.LOST
    if not head.successful:
        return AttemptResult.FAILED
    return AttemptResult.ANSWERED if head.signed else AttemptResult.LOST
