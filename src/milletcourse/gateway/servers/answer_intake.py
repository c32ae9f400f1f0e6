"""Takes the received data of one connection to a server to the parser, a piece at a time.

Data is parsed as it arrives. What takes more parser work than ordinary answers do waits until the
parts parsed before it were taken, and then for its turn among all connections; the connection isn't
read meanwhile. The end of the connection keeps its place behind the data.
"""

from __future__ import annotations

from typing import Protocol

from milletcourse.exchange.messages.answer_end import LossCause
from milletcourse.runtime.received_data import ReceivedData
from milletcourse.runtime.turn_scheduler import (
    IMMEDIATE_PARSER_WORK,
    PARSER_WORK_PER_ITERATION,
    TurnScheduler,
)

PARSED_BYTES = 16 * 1024
"""Data is parsed in pieces, between which the bounds of the answer are checked."""
MAX_UNPARSED_BYTES = 64 * 1024
"""Size of the data that waits at which the connection isn't read any further."""


class IntakeOwner(Protocol):
    """The connection whose data is taken in."""

    @property
    def work(self) -> int:
        """Parser callbacks for the answer that is being received."""

    def parse(self, piece: memoryview) -> None:
        """Parse a piece of the received data; may discard what follows it."""

    def is_drained(self) -> bool:
        """Whether all that was parsed has been taken."""

    def is_full(self) -> bool:
        """Whether so much was parsed that it has to be taken first."""

    def set_reading(self, is_reading: bool) -> None:
        """Read from the socket, or leave data in it."""

    def on_data_waiting(self) -> None:
        """There is data that waits to be parsed."""

    def on_eof(self) -> None:
        """The other end has sent all, and all of it is parsed."""

    def on_delayed_eof(self) -> None:
        """`on_eof` was called after the transport had reported the end: it must be closed."""

    def on_lost(self, cause: LossCause) -> None:
        """The connection is closed, and all that came before is parsed."""


class AnswerIntake:
    """Received data of one connection, and its end.

    Attributes:
        turns: Shared by all connections of a pool; its unit is one parser callback.
    """

    def __init__(self, owner: IntakeOwner) -> None:
        self.turns = TurnScheduler(PARSER_WORK_PER_ITERATION)
        self._owner = owner
        self._unparsed = ReceivedData()
        self._is_paused = False
        self._has_unhandled_eof = False
        self._unhandled_loss: LossCause | None = None

    @property
    def has_data(self) -> bool:
        """Whether there is data that isn't parsed yet."""
        return len(self._unparsed) > 0

    @property
    def memory_bytes(self) -> int:
        """Memory of that data."""
        return self._unparsed.memory_bytes

    def receive(self, data: bytes) -> None:
        """Take in a read: parse it at once as far as that is little work."""
        is_waiting = self.has_data
        self._unparsed.add(data)
        if not is_waiting:
            self._parse_at_once()
        if self.has_data:
            self._owner.on_data_waiting()
            self._update_reading()
            self.resume()

    def resume(self) -> None:
        """Go on when there is data and its turn has come."""
        if self.has_work():
            self.turns.add(self)

    def discard(self) -> None:
        """Drop the data and the end behind it."""
        self._unparsed.clear()
        self._has_unhandled_eof = False
        self._unhandled_loss = None

    def _parse_at_once(self) -> None:
        work_before = self._owner.work
        while self.has_data and not self._is_heavy(work_before):
            self.take_turn()

    def _is_heavy(self, work_before: int) -> bool:
        """Whether a read, of which some is parsed, or its answer takes too much work for now."""
        owner = self._owner
        if owner.is_full() or owner.work > IMMEDIATE_PARSER_WORK:
            return True
        return owner.work - work_before > IMMEDIATE_PARSER_WORK

    def _update_reading(self) -> None:
        if not self._is_paused and len(self._unparsed) > MAX_UNPARSED_BYTES:
            self._is_paused = True
            self._owner.set_reading(False)
        elif self._is_paused and not self.has_data:
            self._is_paused = False
            self._owner.set_reading(True)

    # -- turns ----------------------------------------------------------------------------------

    def has_work(self) -> bool:
        """Whether a piece may be parsed in a turn now."""
        return self.has_data and self._owner.is_drained()

    def take_turn(self) -> int:
        """Parse one piece; returns the number of parser callbacks."""
        work_before = self._owner.work
        self._owner.parse(self._unparsed.take(PARSED_BYTES))
        self._update_reading()
        if not self.has_data:
            self._handle_end()
        return self._owner.work - work_before

    # -- end of the connection ------------------------------------------------------------------

    def end(self) -> bool:
        """The other end has sent all; returns whether that must wait for data before it."""
        self._has_unhandled_eof = self.has_data
        if not self.has_data:
            self._owner.on_eof()
        return self._has_unhandled_eof

    def lose(self, cause: LossCause) -> None:
        """The connection is closed."""
        self._unhandled_loss = cause
        if not self.has_data:
            self._handle_end()

    def _handle_end(self) -> None:
        """Report what ended the connection, in the order in which it happened."""
        loss, self._unhandled_loss = self._unhandled_loss, None
        if self._has_unhandled_eof:
            self._has_unhandled_eof = False
            self._owner.on_eof()
            if loss is None:
                self._owner.on_delayed_eof()
        if loss is not None:
            self._owner.on_lost(loss)
