"""uvicorn's HTTP protocol with bounds on what a client's data may take.

Bounds hold for the parts of a request that carry no body, and for the time that its parsing takes
from other connections.
"""

from __future__ import annotations

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from milletcourse.exchange.messages.message_bounds import REQUEST_PIECE_BYTES, MessageBounds
from milletcourse.runtime.received_data import ReceivedData
from milletcourse.runtime.turn_scheduler import IMMEDIATE_PARSER_WORK, TurnScheduler

REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses requests whose head, trailers or chunk framing never end, and parses in turns.

    The parser keeps a field until it is complete, and the application sees the head of a request
    only then, so that it can't bound these parts itself.
    """

    def __init__(self, turns: TurnScheduler, **options: Any) -> None:
        """Create the protocol of one connection.

        Args:
            turns: Shared by all connections; its unit is one parser callback.
            options: Those of uvicorn.
        """
        super().__init__(**options)
        self._turns = turns
        self._bounds = MessageBounds()
        self._unparsed = ReceivedData()
        self._work = 0
        """Parser callbacks so far."""
        self._request_work = 0
        """Parser callbacks of the latest request."""

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        # The flow control of uvicorn may have resumed reading.
        is_waiting = self.has_work()
        self._unparsed.add(data)
        work_before = self._work
        while self.has_work() and not is_waiting and not self._is_heavy(work_before):
            self.take_turn()
        if self.has_work():
            self._turns.add(self)
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._unparsed.clear()
        super().connection_lost(exc)

    def _is_heavy(self, work_before: int) -> bool:
        work = max(self._work - work_before, self._request_work)
        return work > IMMEDIATE_PARSER_WORK

    def _refuse(self) -> None:
        self._unparsed.clear()
        cycle = self.cycle
        is_answering = cycle is not None and cycle.response_started and not cycle.response_complete
        if is_answering or self.pipeline:
            self.transport.abort()
            return
        self.transport.write(REFUSAL)
        self.transport.close()

    # -- turns ----------------------------------------------------------------------------------

    def has_work(self) -> bool:
        """Whether received data isn't parsed yet."""
        return len(self._unparsed) > 0 and not self.transport.is_closing()

    def take_turn(self) -> int:
        """Parse one piece; returns the number of parser callbacks."""
        piece = self._unparsed.take(REQUEST_PIECE_BYTES)
        work_before = self._work
        self._bounds.on_received(len(piece))
        super().data_received(bytes(piece))
        if not self._bounds.is_within():
            self._refuse()
        elif not self._unparsed and not self.flow.read_paused:
            self.transport.resume_reading()
        return self._work - work_before

    # -- httptools callbacks --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of a request."""
        self._bounds = MessageBounds()
        self._request_work = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header or trailer field."""
        self._count_work()
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """End of the head."""
        self._bounds.on_head_complete()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._count_work()
        self._bounds.on_body(len(body))
        super().on_body(body)

    def _count_work(self) -> None:
        self._work += 1
        self._request_work += 1
