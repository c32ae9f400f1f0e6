"""Heads of answers without a body, as the parser delivers them."""

from __future__ import annotations

from milletcourse.exchange.messages.messages import AnswerHead


def bodyless_head(
    status: int, request_id: str, instance: str, not_executed: bool = False
) -> AnswerHead:
    """The head of a server's answer; signed if the status is 200."""
    return AnswerHead(
        status=status,
        reason=b"",
        fields=[],
        request_id=request_id,
        signed=status == 200,
        instance=instance,
        not_executed=not_executed,
        weight_version=None,
        keep_alive_seconds=None,
        content_length=0,
        chunked=False,
        closing=False,
        encoded=False,
        event_stream=False,
    )
