"""Steps of one answer between its parser and its receiver."""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from milletcourse.exchange.messages.answer_end import LossCause
from milletcourse.exchange.messages.messages import AnswerHead


class AnswerEvent(msgspec.Struct):
    """One step of an answer: its head, a part of its body, its end, or its loss."""

    head: AnswerHead | None = None
    body: bytes = b""
    complete: bool = False
    lost: LossCause | None = None


class AnswerQueue:
    """Steps that were parsed and not taken yet.

    Parts of the body are joined until `flush` or the next other step, since a chunk may carry a
    single byte.
    """

    def __init__(self) -> None:
        self._events: deque[AnswerEvent] = deque()
        self._body_parts: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_empty(self) -> bool:
        """Whether all steps were taken."""
        return not self._events

    @property
    def body_bytes(self) -> int:
        """Size of the parts of the body."""
        return sum(len(event.body) for event in self._events)

    async def take(self) -> AnswerEvent:
        """Wait for the next step."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._events.popleft()

    def add_body(self, part: bytes) -> None:
        """Add a part of the body, which is delivered by the next `flush`."""
        self._body_parts.append(part)

    def add(self, event: AnswerEvent) -> None:
        """Add another step behind the parts of the body so far."""
        self.flush()
        self._append(event)

    def flush(self) -> None:
        """Deliver the parts of the body so far as one step."""
        if self._body_parts:
            body = b"".join(self._body_parts)
            self._body_parts.clear()
            self._append(AnswerEvent(body=body))

    def clear(self) -> None:
        """Drop all steps: those of an answer that nobody waits for any more."""
        self._events.clear()
        self._body_parts.clear()

    def _append(self, event: AnswerEvent) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
