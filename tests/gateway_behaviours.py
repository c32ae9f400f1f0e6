"""Behaviours of stand-in servers in gateway tests: valid answers and faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gateway_standin import (
    Behaviour,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    event,
    serve_whole,
    signed,
    stream_head,
)

PROMPT = {
    "Model": "model-1",
    "Token_Usage": "1460,80",
    "Prompt_Prefix": "5c1e07a2:800,91bd3f06:660",
}


def first_then(first: Behaviour, then: Behaviour) -> Behaviour:
    """One behaviour for the first request at all servers that share it, another for the rest."""
    used: list[str] = []

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if used:
            await then(server, request, writer)
            return
        used.append(server.name)
        await first(server, request, writer)

    return behave


def once_then_whole(first: Behaviour) -> Behaviour:
    """One behaviour for the first request at all servers that share it, valid answers later."""
    return first_then(first, serve_whole)


async def reset(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without an answer."""
    writer.transport.abort()


async def truncated(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send half of the body, then close the connection."""
    writer.write(answer(200, b"0123456789", signed(request))[:-5])
    await writer.drain()
    writer.close()


async def garbled(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send bytes that are not an HTTP answer."""
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


async def unsigned(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a successful answer without a signature."""
    writer.write(answer(200, b"forged", {"Request-Id": request.request_id}))


async def failing(_: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer 500."""
    writer.write(answer(500, b"own failure", signed(request)))


async def shedding(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer 503 with the mark that the request was not executed."""
    writer.write(answer(503, b"", {"Request-Id": request.request_id, "Not-Executed": "1"}))


async def unmarked_service_unavailable(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answer 503 without the mark that the request was not executed."""
    writer.write(answer(503, b"", signed(request)))


async def foreign_answer_first(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a surplus answer to an earlier request before the expected one."""
    writer.write(answer(200, b"foreign", {"Request-Id": "earlier", "Server-Signature": "s"}))
    await serve_whole(server, request, writer)


async def unframed(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body without a length, which ends when the connection closes."""
    writer.write(answer(200, b"until the end", signed(request), length=False))
    await writer.drain()
    writer.close()


async def unframed_reset(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body without a length, then reset the connection."""
    writer.write(answer(200, b"until the", signed(request), length=False))
    await writer.drain()
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SOL_SOCKET, SO_LINGER: reset
    writer.transport.abort()


async def stream_of_four(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Stream events 1 to 4, or those after the request's Last-Event-ID."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(request))
    for number in range(first, 5):
        writer.write(chunk(event(number)))
    writer.write(b"0\r\n\r\n")


WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))
"""Body of a stream of four events."""


def pausing_stream(seconds: float, goes_on: bool = True) -> Behaviour:
    """Two events and a pause, then either the other two or an aborted connection."""

    async def behave(
        _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)))
        await asyncio.sleep(seconds)
        if writer.is_closing():
            return
        if goes_on:
            writer.write(chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n")
        else:
            writer.transport.abort()

    return behave


def stream_waiting_for(condition: Callable[[], bool], goes_on: bool = True) -> Behaviour:
    """Two events, then the other two or an aborted connection once a condition is true."""

    async def behave(
        _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)))
        while not condition():
            await asyncio.sleep(0.005)
        if not goes_on:
            writer.transport.abort()
            return
        writer.write(chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n")

    return behave


async def stream_broken_in_an_event(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Stream two events and half of the third, then close the connection."""
    writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:7]))
    await writer.drain()
    writer.close()
