"""Servers whose answers never end make a gateway hold a bounded number of bytes.

Guards against parts of an answer that only a timeout bounds: at a second's bandwidth of one server,
a few requests filled the memory of a small machine.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from gateway_harness import Harness, run_with_gateway
from gateway_standin import ReceivedRequest, StandinServer, chunk, event, signed, stream_head
from signalling_fleet import SHORT_PROMPT

PIECE_BYTES = 64 * 1024
MAX_TAKEN_BYTES = 4 * 1024 * 1024
"""Bound on what a gateway takes from one connection, with its socket's buffer."""
MAX_SECONDS = 0.9
"""Well below the second after which a silent server is left anyway."""
FILLER = b"x" * PIECE_BYTES


def _head(request: ReceivedRequest, *lines: bytes) -> bytes:
    fields = [f"{name}: {value}".encode() for name, value in signed(request).items()]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *fields, *lines])


def _beginning(part: str, request: ReceivedRequest) -> tuple[bytes, bytes]:
    """What a server sends first, and what it repeats until the connection is closed."""
    chunked = _head(request, b"Transfer-Encoding: chunked", b"", b"")
    return {
        "status line": (b"HTTP/1.1 200 ", FILLER),
        "head fields": (_head(request, b""), b"Some-Field: some value\r\n" * 2000),
        "one field": (_head(request, b"Some-Field: "), FILLER),
        "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
        "chunk size": (chunked, b"0" * PIECE_BYTES),
        "chunk extension": (chunked + b"1;", FILLER),
        "many extensions": (chunked, (b"1;" + b"x" * 4000 + b"\r\na\r\n") * 16),
        "trailers": (chunked + b"1\r\na\r\n0\r\n", b"Some-Field: some value\r\n" * 2000),
        "event": (stream_head(request) + chunk(event(1)), chunk(FILLER)),
        "comments": (stream_head(request) + chunk(event(1)), chunk(b": comment\n" * 6000)),
    }[part]


PARTS = (
    "status line",
    "head fields",
    "one field",
    "informational answers",
    "chunk size",
    "chunk extension",
    "many extensions",
    "trailers",
    "event",
    "comments",
)


@pytest.mark.parametrize("part", PARTS)
def test_an_answer_without_end_is_cut_at_a_bound_in_bytes(part: str) -> None:
    taken: list[int] = []
    seconds: list[float] = []

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first, repeated = _beginning(part, request)
        began_at = asyncio.get_running_loop().time()
        taken.append(0)
        number = len(taken) - 1
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE_BYTES)
        try:
            writer.write(first)
            while not writer.transport.is_closing():
                writer.write(repeated)
                await writer.drain()
                taken[number] += len(repeated)
        except ConnectionError:
            pass
        finally:
            seconds.append(asyncio.get_running_loop().time() - began_at)

    async def scenario(harness: Harness) -> None:
        is_stream = part in ("event", "comments")
        await harness.add_server("s-1", "engine" if is_stream else "app", behave, 1)
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        await harness.start()
        client = await harness.client()
        if is_stream:
            client.send("/single/", "endless", **SHORT_PROMPT)
            got = await client.read_answer()
            assert got is not None
            assert not got.whole
        else:
            result = await client.ask("/unsafe/", "endless")
            assert result.status == 502
        await harness.until(lambda: len(seconds) == len(taken))
        assert taken
        assert max(taken) <= MAX_TAKEN_BYTES
        assert max(seconds) <= MAX_SECONDS

    run_with_gateway(scenario)
