"""Ways in which the servers of a gateway's tests answer, or fail to."""

from __future__ import annotations

import asyncio

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
    """One way at the first request of all servers that share it, another way at the others."""
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
    """Misbehaves at the first request of all servers that share it, and serves the others."""
    return first_then(first, serve_whole)


async def reset(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """The connection ends without an answer."""
    writer.transport.abort()


async def truncated(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Half of the body, then the end."""
    writer.write(answer(200, b"0123456789", signed(request))[:-5])
    await writer.drain()
    writer.close()


async def garbled(_: StandinServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Bytes that are no answer."""
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")


async def unsigned(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A success without a signature."""
    writer.write(answer(200, b"forged", {"Request-Id": request.request_id}))


async def failing(_: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """The server's own failure."""
    writer.write(answer(500, b"own failure", signed(request)))


async def shedding(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Turned away, not run."""
    writer.write(answer(503, b"", {"Request-Id": request.request_id, "Not-Executed": "1"}))


async def unmarked_service_unavailable(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A 503 that doesn't say that it has not run."""
    writer.write(answer(503, b"", signed(request)))


async def foreign_answer_first(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A surplus answer of an earlier request comes in the place of the expected one."""
    writer.write(answer(200, b"foreign", {"Request-Id": "earlier", "Server-Signature": "s"}))
    await serve_whole(server, request, writer)


async def unframed(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A body without a length that ends with its connection."""
    writer.write(answer(200, b"until the end", signed(request), length=False))
    await writer.drain()
    writer.close()


async def unframed_reset(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """A body without a length whose connection is reset."""
    writer.write(answer(200, b"until the", signed(request), length=False))
    await writer.drain()
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SOL_SOCKET, SO_LINGER: reset
    writer.transport.abort()


async def stream_of_four(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Events 1 to 4, or those after the last one that the request names."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(request))
    for number in range(first, 5):
        writer.write(chunk(event(number)))
    writer.write(b"0\r\n\r\n")


WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))
"""The body of a stream of four events."""


def pausing_stream(seconds: float, goes_on: bool = True) -> Behaviour:
    """Two events, a pause, then the other two; or the end of the connection."""

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


async def stream_broken_in_an_event(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Two events and half of the third."""
    writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:7]))
    await writer.drain()
    writer.close()
