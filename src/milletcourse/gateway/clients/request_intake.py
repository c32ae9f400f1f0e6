"""Takes the received data of one client connection to the parser, a piece at a time.

A few kilobytes may hold thousands of chunks or requests. What takes more parser work than ordinary
requests do waits for its turn among all connections, and the connection isn't read meanwhile.
"""

from __future__ import annotations

from typing import Protocol

from milletcourse.errors import Failure
from milletcourse.exchange.limits.client_memory import MemoryShare
from milletcourse.exchange.messages.message_bounds import REQUEST_PIECE_BYTES
from milletcourse.gateway.clients.request_reader import RequestReader
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.received_data import ReceivedData
from milletcourse.runtime.turn_scheduler import IMMEDIATE_PARSER_WORK, TurnScheduler


class IntakeOwner(Protocol):
    """The connection whose data is taken in."""

    def may_take_requests(self) -> bool:
        """Whether further requests may be parsed now."""

    def update_reading(self) -> None:
        """Read from the socket, or leave data in it, as its state now requires."""

    def on_intake_failure(self, failure: Failure) -> None:
        """The received data ends the connection."""


class RequestIntake:
    """Received data of one connection until it forms complete requests."""

    def __init__(
        self, owner: IntakeOwner, reader: RequestReader, turns: TurnScheduler, share: MemoryShare
    ) -> None:
        """Start without data.

        Args:
            owner: The connection.
            reader: Parses its data.
            turns: Shared by all connections; its unit is one parser callback.
            share: Memory of the connection.
        """
        self._owner = owner
        self._reader = reader
        self._turns = turns
        self._share = share
        self._unparsed = ReceivedData()

    @property
    def unparsed_bytes(self) -> int:
        """Size of the data that isn't parsed yet."""
        return len(self._unparsed)

    def receive(self, data: bytes) -> None:
        """Take in received data, at once or in turns."""
        is_waiting = len(self._unparsed) > 0
        self._unparsed.add(data)
        self._account()
        if is_waiting:
            return
        work_before = self._reader.work
        while self.has_work() and not self._is_heavy(work_before):
            self.take_turn()
        self.resume()

    def _is_heavy(self, work_before: int) -> bool:
        if self._reader.work - work_before > IMMEDIATE_PARSER_WORK:
            return True
        incoming = self._reader.incoming
        return incoming is not None and incoming.work > IMMEDIATE_PARSER_WORK

    def resume(self) -> None:
        """Go on after requests could not be taken, or were."""
        if self.has_work():
            self._turns.add(self)
        self._owner.update_reading()

    def discard(self) -> None:
        """Drop the request that is being received, and the data that isn't parsed yet."""
        self._reader.incoming = None
        self._unparsed.clear()
        self._share.set_received(0, elapsed_seconds())

    def _account(self) -> None:
        """Account for what is being received, which may evict this or another request."""
        incoming = self._reader.incoming
        size = self._unparsed.memory_bytes
        if incoming is not None:
            size += incoming.memory_bytes
        self._share.update_received(size, elapsed_seconds())

    # -- turns ----------------------------------------------------------------------------------

    def has_work(self) -> bool:
        """Whether a piece may be parsed now."""
        return len(self._unparsed) > 0 and self._owner.may_take_requests()

    def take_turn(self) -> int:
        """Parse one piece; returns the number of parser callbacks."""
        piece = self._unparsed.take(REQUEST_PIECE_BYTES)
        work_before = self._reader.work
        failure = self._reader.feed(piece)
        if failure is not None:
            self._owner.on_intake_failure(failure)
        self._account()
        if not self._unparsed:
            self._owner.update_reading()
        return self._reader.work - work_before
