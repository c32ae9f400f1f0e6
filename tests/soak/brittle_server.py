"""Model servers that crash when they must reject too many requests, for the soak of them."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from gateway_standin import ReceivedRequest, answer, chunk, stream_head
from soak.server import SoakServer

SLOTS = 4
QUEUE = 4
"""Requests that may wait at a sound server."""
SHRINK_SECONDS = 4.0
"""Time from the first announcement until servers accept fewer waiting requests."""
KNOWN_SECONDS = 1.0
"""From this long after the room has shrunk, no server may have to reject more than it bears."""
WORK_SECONDS = (0.1, 0.4)
EVENTS = 4
PIECE_BYTES = 64 * 1024
ENDLESS_PARTS = (
    (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    (b"HTTP/1.1 200 OK\r\n", b"Some-Field: some value\r\n" * 2000),
    (b"HTTP/1.1 200 OK\r\nSome-Field: ", b"x" * PIECE_BYTES),
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
)
"""What an endless answer begins with, and repeats."""
ENDLESS_CHUNKS = (
    b"0" * PIECE_BYTES,
    b"1;" + b"x" * PIECE_BYTES,
    b"0\r\n" + b"Some-Field: some value\r\n" * 2000,
    chunk(b"x" * PIECE_BYTES),
    chunk(b": comment\n" * 6000),
)
"""What an endless stream repeats behind its head."""


@dataclass
class Brittleness:
    """State that all model servers of the fleet share.

    Attributes:
        announced: Rejections a second that they announce; None while they are sound.
        room: Requests that may wait at each of them.
        since: Monotonic time of the announcement.
        endless: Share of the answers of which one part never ends.
        usable: Requests that each of them works on at once; fewer than its slots when its memory is
            used up.
    """

    announced: float | None = None
    room: int = QUEUE
    since: float = math.inf
    endless: float = 0.0
    usable: int = SLOTS

    def has_shrunk(self, now: float) -> bool:
        """Whether fewer requests may wait, and servers crash when they must reject too many."""
        return now - self.since >= SHRINK_SECONDS

    def is_small(self, now: float) -> bool:
        """Whether the room has shrunk for long enough that all gateways know it."""
        return now - self.since >= SHRINK_SECONDS + KNOWN_SECONDS


@dataclass(frozen=True)
class Crash:
    """A crash of a server for too many rejections.

    Attributes:
        at: Monotonic time.
        rejected: Ids of the requests that it rejected in the second before.
    """

    at: float
    rejected: tuple[str, ...]


@dataclass
class Account:
    """What the servers had to reject, and how their slots were used.

    Attributes:
        rejections: Monotonic time of each rejection, and the id of its request, by server.
        crashes: Crashes for too many rejections.
        endless: Ids of the requests whose answer never ended.
        busy: Slots in use, summed over samples while the room was small.
        slots: Slots there were, summed over the same samples.
        worst_second: Most rejections of one server in a second while the room was known as small.
    """

    rejections: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    crashes: list[Crash] = field(default_factory=list)
    endless: set[str] = field(default_factory=set)
    busy: int = 0
    slots: int = 0
    worst_second: int = 0


class BrittleServer(SoakServer):
    """A model server with few slots that crashes when it must reject too many requests."""

    brittleness: Brittleness
    account: Account

    def prepare(self, brittleness: Brittleness, account: Account) -> None:
        """Set the state that it shares with the other servers."""
        self.brittleness = brittleness
        self.account = account
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self._recent: deque[tuple[float, str]] = deque()
        self._has_crashed = False

    def entry(self, address: str) -> dict[str, Any]:
        """See `SoakServer.entry`."""
        return {**super().entry(address), "Slots": SLOTS}

    def _signal_fields(self, request_id: str) -> dict[str, str]:
        fields = super()._signal_fields(request_id)
        if self.brittleness.announced is not None:
            fields["Server-Brittle"] = f"{self.brittleness.announced:g}"
        return fields

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if self.running >= self.brittleness.usable and len(self.waiting) >= self.brittleness.room:
            self._reject(request, writer)
            return
        with self.ledger.running(request.request_id, self.name):
            await self._take_slot()
            try:
                await self._answer(request, writer)
            finally:
                self._return_slot()

    async def _take_slot(self) -> None:
        if self.running < self.brittleness.usable:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._return_slot()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            raise

    def _return_slot(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def _reject(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        now = time.monotonic()
        fields = {
            "Request-Id": request.request_id,
            "Instance-Id": self.name,
            "Not-Executed": "1",
            **self._signal_fields(request.request_id),
        }
        writer.write(answer(503, b"", fields))
        rejection = (now, request.request_id)
        self.account.rejections.setdefault(self.name, []).append(rejection)
        self._recent.append(rejection)
        while now - self._recent[0][0] > 1.0:
            self._recent.popleft()
        if self.brittleness.is_small(now):
            self.account.worst_second = max(self.account.worst_second, len(self._recent))
        announced = self.brittleness.announced
        if announced is None or not self.brittleness.has_shrunk(now):
            return
        if len(self._recent) > announced and not self._has_crashed:
            self._has_crashed = True
            rejected = tuple(request_id for _, request_id in self._recent)
            self.account.crashes.append(Crash(now, rejected))
            self.on_crash(self.name)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if self.random.random() < self.brittleness.endless:
            self.account.endless.add(request.request_id)
            await self._answer_endlessly(request, writer)
            return
        fields = {
            "Request-Id": request.request_id,
            "Server-Signature": f"s-{self.name}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            **self._signal_fields(request.request_id),
        }
        writer.write(answer(200, b"", fields, length=False))
        seconds = self.random.uniform(*WORK_SECONDS)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(seconds / EVENTS)
            writer.write(chunk(b"id: %d\ndata: %d\n\n" % (number, number)))
        writer.write(b"0\r\n\r\n")

    async def _answer_endlessly(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send one part of an answer until the connection is closed."""
        first, repeated = self.random.choice(ENDLESS_PARTS)
        if self.random.random() < 0.5:
            first, repeated = stream_head(request), self.random.choice(ENDLESS_CHUNKS)
        writer.write(first)
        while not writer.transport.is_closing():
            writer.write(repeated)
            await writer.drain()
