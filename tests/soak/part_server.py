"""Model servers that crash when they begin to answer a prompt with a certain part."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from gateway_standin import ReceivedRequest, answer, chunk, signed, stream_head
from soak.server import SoakServer

PREFILL_SECONDS = (0.005, 0.03)
WORK_SECONDS = (0.1, 0.4)
EVENTS = 4


@dataclass(frozen=True)
class PartArrival:
    """A request with a crashing part that reached a server.

    Attributes:
        at: Monotonic time.
        request_id: Its id.
        part: The part.
    """

    at: float
    request_id: str
    part: str


@dataclass(frozen=True)
class PartCrash:
    """A crash of a server; `part` is empty when no request caused it."""

    at: float
    part: str


@dataclass
class CrashAccount:
    """What the servers of a fleet have seen, and what crashes them.

    Attributes:
        crash_seconds: Time from the begin of an answer to the crash, by part.
        streams_before: Whether a server sends events before it crashes.
        arrivals: Requests with a crashing part that reached a server.
        crashes: Crashes in order.
    """

    crash_seconds: dict[str, float] = field(default_factory=dict)
    streams_before: bool = False
    arrivals: list[PartArrival] = field(default_factory=list)
    crashes: list[PartCrash] = field(default_factory=list)

    def crash_times(self, part: str) -> list[float]:
        """Monotonic times of the crashes that a part caused."""
        return [crash.at for crash in self.crashes if crash.part == part]


def shared_parts(request: ReceivedRequest) -> list[str]:
    """Names of the prompt parts that other requests may share."""
    listed = request.headers.get("prompt-prefix", "").split(",")
    return [item.partition(":")[0] for item in listed[:-1]]


class PartServer(SoakServer):
    """A model server that certain prompt parts crash."""

    account: CrashAccount
    has_crashed = False

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        with self.ledger.running(request.request_id, self.name):
            part = self._crashing_part(request)
            await asyncio.sleep(self.random.uniform(*PREFILL_SECONDS))
            if part:
                await self._answer_and_crash(request, writer, part)
            elif request.target.startswith("/ask/"):
                await asyncio.sleep(self.random.uniform(*WORK_SECONDS))
                writer.write(answer(200, b"done", signed(request)))
            else:
                await self._answer_stream(request, writer)

    def _crashing_part(self, request: ReceivedRequest) -> str:
        known = self.account.crash_seconds
        part = next((name for name in shared_parts(request) if name in known), "")
        if part:
            arrival = PartArrival(time.monotonic(), request.request_id, part)
            self.account.arrivals.append(arrival)
        return part

    async def _answer_and_crash(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, part: str
    ) -> None:
        seconds = self.account.crash_seconds[part]
        if self.account.streams_before:
            writer.write(stream_head(request))
            writer.write(chunk(b"id: 1\ndata: 1\n\n"))
        await asyncio.sleep(seconds)
        self.crash_under(part)

    def crash_under(self, part: str) -> None:
        """Crash, unless another request has crashed the server already."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self.account.crashes.append(PartCrash(time.monotonic(), part))
        self.on_crash(self.name)

    async def _answer_stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(request))
        first = int(request.headers.get("last-event-id", "0")) + 1
        seconds = self.random.uniform(*WORK_SECONDS)
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(seconds / EVENTS)
            writer.write(chunk(b"id: %d\ndata: %d\n\n" % (number, number)))
        writer.write(b"0\r\n\r\n")
