"""Matches the answers on one connection to the requests that it has carried; no input/output.

A server may send an answer once more, at any later time. A request id identifies the send that an
answer belongs to only while no two sends on a connection share it.
"""

from __future__ import annotations

from milletcourse.exchange.messages.messages import MISDIRECTED, AnswerHead

MAX_REQUEST_IDS = 256
"""Bounds the memory of a connection; it is closed when it has carried so many requests."""


class ConnectionRequests:
    """The requests that a connection has carried; the latest one may be pending.

    Attributes:
        count: Number of requests, with calls that have no id.
        latest_id: Id of the latest request; empty when its answer carries none.
    """

    def __init__(self) -> None:
        self.count = 0
        self.latest_id = ""
        self._ids: set[str] = set()

    @property
    def is_full(self) -> bool:
        """Whether the connection may carry no further request."""
        return len(self._ids) >= MAX_REQUEST_IDS

    def may_carry(self, request_id: str) -> bool:
        """Whether no request of this id has been sent; empty for a call without one."""
        return request_id not in self._ids

    def on_send(self, request_id: str) -> None:
        """A request is sent.

        Args:
            request_id: Id that its answer must carry; empty when answers carry none.
        """
        self.count += 1
        self.latest_id = request_id
        if request_id:
            self._ids.add(request_id)

    def is_answered_by(self, head: AnswerHead) -> bool:
        """Whether an answer belongs to the latest request.

        A refusal without a request id may be a late answer to any request of the connection, so
        that it counts only if there has been no other. The reply to a call without an id names no
        request.
        """
        if not self.latest_id:
            return not head.request_id
        if head.request_id == self.latest_id:
            return True
        is_refusal = head.not_executed or head.status == MISDIRECTED
        return self.count == 1 and is_refusal and not head.request_id
