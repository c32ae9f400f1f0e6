"""Pool of idle connections to servers; the most recently used one is reused first."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from milletcourse.exchange.limits.answer_memory import AnswerMemory
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.servers.server_dialer import CONNECT_TIMEOUT_SECONDS, Dial, connect
from milletcourse.gateway.telemetry.connection_records import SurplusData
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.turn_scheduler import TurnScheduler

MAX_IDLE_PER_SERVER = 24
"""Bounds the descriptors of idle connections; larger bursts open new connections."""


class ConnectionPool:
    """Keeps connections that may carry another request.

    Attributes:
        clock: Responsive time of the event loop, used for timeouts of callees.
        dial: Opens connections; tests replace it to cut the links of one gateway.
    """

    def __init__(
        self,
        dialect: HeaderDialect,
        on_opened: Callable[[str], None],
        on_surplus: Callable[[SurplusData], None],
        clock: ResponsiveClock,
        max_idle: int,
        max_open_to: Callable[[str], int],
        answer_memory: AnswerMemory,
        parsing_turns: TurnScheduler,
    ) -> None:
        """Start without any connection.

        Args:
            dialect: Parses the heads of answers.
            on_opened: Called with the address of each new connection.
            on_surplus: Called with data that doesn't name the pending request.
            clock: Responsive time of the event loop, used for timeouts of callees.
            max_idle: Maximum number of idle connections.
            max_open_to: Number of open connections to an address above which a connection is
                closed after its answer.
            answer_memory: Accounts for the answers on all connections.
            parsing_turns: Shares the time for parsing answers among the connections.
        """
        self.clock = clock
        self.dial: Dial = connect
        self._max_idle = max_idle
        self._max_open_to = max_open_to
        self._open_counts: Counter[str] = Counter()
        self._dialect = dialect
        self._on_opened = on_opened
        self._on_surplus = on_surplus
        self._answer_memory = answer_memory
        self._parsing_turns = parsing_turns
        self._idle: dict[str, deque[ServerConnection]] = {}

    async def acquire(
        self, address: str, timeout_seconds: float, is_dedicated: bool = False
    ) -> ServerConnection | None:
        """A connection to the address, None when none was established in time.

        Args:
            address: `host:port` of the server.
            timeout_seconds: Timeout for a new connection to be established.
            is_dedicated: Open a connection that is closed after one request.

        Raises:
            LocalResourceError: This process lacks a descriptor or another local resource for it.
        """
        idle = None if is_dedicated else self.take_idle(address)
        if idle is not None:
            return idle
        try:
            opened = await self.open(address, timeout_seconds)
        except LocalResourceError:
            raise
        except (OSError, TimeoutError):
            return None
        if is_dedicated:
            opened.close_after_answer()
        return opened

    def take_idle(
        self, address: str, request_id: str = "", heard_since: float = float("-inf")
    ) -> ServerConnection | None:
        """An idle connection to the address, None when there is none.

        Args:
            address: `host:port` of the server.
            request_id: Id of the request that it will carry; connections that have carried a
                request of this id are left. Empty for calls without one.
            heard_since: Connections on which nothing has arrived since this monotonic time are
                closed.
        """
        now = elapsed_seconds()
        idle = self._idle.get(address, deque())
        for connection in reversed(tuple(idle)):
            if not connection.is_reusable(now) or connection.heard_at < heard_since:
                idle.remove(connection)
                connection.abort()
            elif connection.may_carry(request_id):
                idle.remove(connection)
                return connection
        return None

    async def open(self, address: str, timeout_seconds: float) -> ServerConnection:
        """A new connection to the address.

        Raises:
            OSError: It was not established; `LocalResourceError` when this process lacks a
                descriptor or another local resource for it.
            TimeoutError: It was not established in time.
        """
        try:
            opened = await self.dial(address, self._dialect, timeout_seconds, self.clock)
        except LocalResourceError:
            # The pending request has priority over idle connections. Their descriptors are free
            # after the next iteration of the event loop.
            self.close()
            await asyncio.sleep(0)
            opened = await self.dial(address, self._dialect, timeout_seconds, self.clock)
        self._note_opened(opened)
        return opened

    def _note_opened(self, connection: ServerConnection) -> None:
        self._on_opened(connection.address)
        connection.on_surplus = self._on_surplus
        connection.memory_share.memory = self._answer_memory
        connection.intake.turns = self._parsing_turns
        if connection.is_open:
            self._open_counts[connection.address] += 1
            connection.on_closed = self._on_closed

    def _on_closed(self, address: str) -> None:
        self._open_counts[address] -= 1
        if not self._open_counts[address]:
            del self._open_counts[address]

    async def is_refused(self, address: str) -> bool | None:
        """Whether nothing listens at an address; None when that can't be told.

        A connection that is established is pooled.
        """
        try:
            connection = await self.open(address, CONNECT_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return None
        self.release(connection)
        return False

    def release(self, connection: ServerConnection) -> None:
        """Return a connection after a complete answer; close it when it cannot be reused."""
        connection.end_use()
        now = elapsed_seconds()
        address = connection.address
        idle = self._idle.setdefault(address, deque())
        is_full = len(idle) >= MAX_IDLE_PER_SERVER or self._count_idle() >= self._max_idle
        is_full = is_full or self._open_counts[address] > self._max_open_to(address)
        if is_full or not connection.is_reusable(now):
            connection.abort()
            return
        idle.append(connection)

    def _count_idle(self) -> int:
        return sum(map(len, self._idle.values()))

    def sweep(self) -> None:
        """Close idle connections that the server is about to close."""
        now = elapsed_seconds()
        for address in list(self._idle):
            kept: deque[ServerConnection] = deque()
            for connection in self._idle[address]:
                if connection.is_reusable(now):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close_to(self, address: str) -> None:
        """Close the idle connections to one server."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()
