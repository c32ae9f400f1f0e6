"""Streams that a server breaks off: what clients get for each framing and place of the cut."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from enum import Enum

from gateway_behaviours import PROMPT, WHOLE_STREAM
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    ClientAnswer,
    ReceivedRequest,
    StandinServer,
    chunk,
    event,
    signed,
)

EVENTS = 4


class StreamFraming(Enum):
    """Framing of a stand-in's stream."""

    UNFRAMED = "no length, no chunks"
    CLOSE = "Connection: close"
    HTTP_1_0 = "HTTP/1.0"
    CHUNKED = "chunks"
    LENGTH = "Content-Length"


class StreamEnd(Enum):
    """How the connection ends behind the last byte of a stream that is broken off."""

    CLOSED = "closed"
    RESET = "reset"
    LAST_CHUNK = "last chunk"


@dataclass(frozen=True)
class Break:
    """Where and how a stream is broken off: `sent` bytes of event number `number` are sent."""

    framing: StreamFraming
    end: StreamEnd
    number: int
    sent: int

    @property
    def request_id(self) -> str:
        """A request id for this case."""
        return f"{self.framing.name}-{self.end.name}-{self.number}-{self.sent}"

    @property
    def whole_events(self) -> bytes:
        """The events before the one that is broken off."""
        return b"".join(event(number) for number in range(1, self.number))


NO_EVENTS = 0
"""Bytes of the first event that a stream without any event sends."""
LINE_ENDS = (1, len(b"id: 1\n"), len(b"id: 1\ndata"), len(event(1)) - 2, len(event(1)) - 1)
"""Cuts of an event: within and after a line, before and within its blank line."""


def _ends(framing: StreamFraming) -> list[StreamEnd]:
    ends = [StreamEnd.CLOSED, StreamEnd.RESET]
    if framing is StreamFraming.CHUNKED:
        ends.append(StreamEnd.LAST_CHUNK)
    return ends


def _breaks_within_events(framing: StreamFraming) -> list[Break]:
    return [
        Break(framing, end, number, sent)
        for end, number, sent in itertools.product(_ends(framing), (1, 3), LINE_ENDS)
    ]


def _breaks_before_events(framing: StreamFraming) -> list[Break]:
    return [Break(framing, end, 1, NO_EVENTS) for end in _ends(framing)]


def _head(request: ReceivedRequest, framing: StreamFraming) -> bytes:
    version = "1.0" if framing is StreamFraming.HTTP_1_0 else "1.1"
    fields = signed(request, **{"Content-Type": "text/event-stream"})
    if framing is StreamFraming.CLOSE:
        fields["Connection"] = "close"
    elif framing is StreamFraming.CHUNKED:
        fields["Transfer-Encoding"] = "chunked"
    elif framing is StreamFraming.LENGTH:
        fields["Content-Length"] = str(len(WHOLE_STREAM))
    lines = [f"HTTP/{version} 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _end(writer: asyncio.StreamWriter, end: StreamEnd) -> None:
    await writer.drain()
    await asyncio.sleep(0.02)
    if end is StreamEnd.LAST_CHUNK:
        writer.write(b"0\r\n\r\n")
    elif end is StreamEnd.CLOSED:
        writer.close()
    else:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SOL_SOCKET, SO_LINGER: reset
        writer.transport.abort()


def breaking_once(breaks: list[Break]) -> Behaviour:
    """Break off the first run of each request as its case says, and stream whole otherwise."""
    pending = {case.request_id: case for case in breaks}

    async def behave(
        _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        case = pending.pop(request.request_id, None)
        first = int(request.headers.get("last-event-id", "0")) + 1
        body = b"".join(event(number) for number in range(first, EVENTS + 1))
        if case is None:
            chunks = chunk(body) if body else b""
            writer.write(_head(request, StreamFraming.CHUNKED) + chunks + b"0\r\n\r\n")
            return
        body = case.whole_events + event(case.number)[: case.sent]
        framed = chunk(body) if body and case.framing is StreamFraming.CHUNKED else body
        writer.write(_head(request, case.framing) + framed)
        await _end(writer, case.end)

    return behave


def _problem(case: Break, got: ClientAnswer | None, resumable: bool) -> str:
    """What is wrong with the answer that a client got; empty when nothing is."""
    if got is None:
        return "" if not resumable and case.number == 1 else "no answer"
    if resumable:
        is_right = (got.status, got.whole, got.body) == (200, True, WHOLE_STREAM)
        return "" if is_right else f"not resumed: {got.status} {got.whole} {got.body!r}"
    if got.status == 502:
        return "" if case.number == 1 else "a stream that had begun got 502"
    if got.whole:
        return f"framed as complete: {got.body!r}"
    return "" if got.body == case.whole_events else f"part of an event: {got.body!r}"


def _problems(breaks: list[Break], resumable: bool) -> list[str]:
    problems: list[str] = []

    async def scenario(harness: Harness) -> None:
        behaviour = breaking_once(breaks)
        for number in range(3):
            await harness.add_server(f"e-{number}", "engine", behaviour, 1)
        await harness.start(RetrySlack=1000)
        path = "/stream/" if resumable else "/single/"
        for case in breaks:
            client = await harness.client()
            client.send(path, case.request_id, **PROMPT)
            problem = _problem(case, await client.read_answer(), resumable)
            if problem:
                problems.append(f"{case}: {problem}")
            client.close()

    run_with_gateway(scenario)
    return problems


def test_a_stream_that_ends_within_an_event_is_not_passed_on_as_complete() -> None:
    """A stream that may not be resumed is cut after its last whole event, or answered with 502."""
    for framing in StreamFraming:
        assert not _problems(_breaks_within_events(framing), resumable=False)


def test_a_stream_that_ends_within_an_event_is_resumed_after_its_last_whole_event() -> None:
    """The client gets each event once, and no part of an event."""
    for framing in StreamFraming:
        assert not _problems(_breaks_within_events(framing), resumable=True)


def test_a_stream_that_ends_without_any_event_is_not_passed_on_as_complete() -> None:
    """An empty answer can't be told from one whose server ended before its first event."""
    for framing in StreamFraming:
        assert not _problems(_breaks_before_events(framing), resumable=False)


def test_a_stream_that_ends_without_any_event_is_run_at_another_server() -> None:
    """The client gets the whole stream of the other server."""
    for framing in StreamFraming:
        assert not _problems(_breaks_before_events(framing), resumable=True)


def test_a_stream_that_is_resumed_after_its_last_event_may_be_empty() -> None:
    """A client that missed only the end of the stream gets it."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("e-1", "engine", breaking_once([]), 1)
        await harness.start()
        got = await (await harness.client()).ask("/stream/", Last_Event_Id=str(EVENTS), **PROMPT)
        assert (got.status, got.whole, got.body) == (200, True, b"")

    run_with_gateway(scenario)
