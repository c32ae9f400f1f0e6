"""Collects the body of an answer that is needed whole."""

from __future__ import annotations

from milletcourse.exchange.messages.answer_end import Framing, LossCause
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.gateway.servers.answer_queue import AnswerEvent
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.runtime.block_buffer import BlockBuffer


class AnswerBody:
    """The parts of a body so far."""

    def __init__(self, connection: ServerConnection, max_bytes: int) -> None:
        """Collect nothing yet.

        Args:
            connection: Receives the answer, and accounts for its memory.
            max_bytes: Size of the largest body.
        """
        self._connection = connection
        self._max_bytes = max_bytes
        self._buffer = BlockBuffer()

    def begin(self, head: AnswerHead) -> LossCause | None:
        """The head has been received; returns why its body can't be taken, None if it may be."""
        if self._connection.framing is not Framing.LENGTH:
            return None
        most = min(self._max_bytes, self._connection.max_collected_bytes)
        return None if (head.content_length or 0) <= most else LossCause.OVERSIZED

    def take(self, event: AnswerEvent) -> LossCause | None:
        """Take a step of the answer; returns why the answer is lost, None if it isn't."""
        if event.lost is not None:
            return event.lost
        if event.head is not None:
            return self.begin(event.head)
        return self._add(event.body)

    def _add(self, data: bytes) -> LossCause | None:
        if not data:
            return None
        if len(self._buffer) + len(data) > self._max_bytes:
            return LossCause.OVERSIZED
        self._buffer.write(data)
        self._connection.collect(len(self._buffer))
        return None

    def value(self) -> bytes:
        """The whole body."""
        return self._buffer.value()
