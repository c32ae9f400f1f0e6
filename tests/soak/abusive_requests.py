"""Requests of clients that follow no limit, as bytes to send."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from client_crowd import pieces_of

MAX_BODY_BYTES = 4_000_000
PIECE_BYTES = (1_400, 64_000)
CHUNK_BYTES = (1, 2, 16, 1_000, 60_000)
MAX_FRAMING_BYTES = 1_000_000
"""Size of parts that carry no body."""
PIPELINED = 6


@dataclass(frozen=True)
class AbusiveRequest:
    """Bytes of one client.

    Attributes:
        name: What is wrong with it.
        data: All bytes; the request may not end with them.
        ends: Whether the last request in them is complete.
    """

    name: str
    data: bytes
    ends: bool


def draw_request(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    """Draw a request.

    Args:
        source: Decides on kind and sizes.
        request_id: Id of the request.
        key: API key.
    """
    return source.choice(KINDS)(source, request_id, key)


def pieces(source: random.Random, data: bytes) -> Iterable[bytes]:
    """The bytes in pieces of one size."""
    return pieces_of(data, source.choice(PIECE_BYTES))


def _head(request_id: str, key: str, *fields: str) -> bytes:
    lines = ("POST /safe/ HTTP/1.1", "Host: site.example", f"Api-Key: {key}")
    return "\r\n".join((*lines, f"Request-Id: {request_id}", *fields)).encode() + b"\r\n\r\n"


def _chunks(source: random.Random) -> bytes:
    size = source.choice(CHUNK_BYTES)
    payload = min(source.randint(1, MAX_BODY_BYTES), 20_000 * size)
    return (b"%x\r\n%b\r\n" % (size, b"x" * size)) * max(payload // size, 1)


def _body_short_of_its_end(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    size = source.randint(2, MAX_BODY_BYTES)
    head = _head(request_id, key, f"Content-Length: {size}")
    return AbusiveRequest("short-body", head + b"x" * (size - 1), ends=False)


def _whole_body(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    size = source.randint(1, MAX_BODY_BYTES)
    head = _head(request_id, key, f"Content-Length: {size}")
    return AbusiveRequest("whole-body", head + b"x" * size, ends=True)


def _unknown_key(source: random.Random, request_id: str, _: str) -> AbusiveRequest:
    request = _body_short_of_its_end(source, request_id, "no-key")
    return AbusiveRequest("unknown-key", request.data, ends=False)


def _pipelined_bodies(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    requests = [
        _whole_body(source, f"{request_id}-{number}", key).data for number in range(PIPELINED)
    ]
    return AbusiveRequest("pipelined", b"".join(requests), ends=True)


def _open_chunks(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    head = _head(request_id, key, "Transfer-Encoding: chunked")
    return AbusiveRequest("open-chunks", head + _chunks(source), ends=False)


def _whole_chunks(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    open_request = _open_chunks(source, request_id, key)
    return AbusiveRequest("whole-chunks", open_request.data + b"0\r\n\r\n", ends=True)


def _trailers(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    start = _open_chunks(source, request_id, key).data + b"0\r\n"
    field = b"x-trailer: " + b"v" * source.choice((1, 80, 4_000)) + b"\r\n"
    return AbusiveRequest("trailers", start + field * (MAX_FRAMING_BYTES // len(field)), ends=False)


def _trailer_field(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    start = _open_chunks(source, request_id, key).data + b"0\r\nx-trailer: "
    return AbusiveRequest("trailer-field", start + b"v" * MAX_FRAMING_BYTES, ends=False)


def _header_field(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    start = _head(request_id, key)[:-2] + b"x-header: "
    return AbusiveRequest("header-field", start + b"v" * MAX_FRAMING_BYTES, ends=False)


def _short_fields(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    head = _head(request_id, key, *["ab:cd"] * source.randint(1, 400), "Content-Length: 9")
    return AbusiveRequest("short-fields", head + b"x", ends=False)


def _extensions(source: random.Random, request_id: str, key: str) -> AbusiveRequest:
    head = _head(request_id, key, "Transfer-Encoding: chunked")
    chunk = b"1;" + b"e" * source.choice((10, 2_000)) + b"\r\nx\r\n"
    return AbusiveRequest("extensions", head + chunk * (MAX_FRAMING_BYTES // len(chunk)), False)


def _noise(source: random.Random, _: str, __: str) -> AbusiveRequest:
    return AbusiveRequest("noise", source.randbytes(source.randint(1, 10_000)), ends=False)


KINDS: tuple[Callable[[random.Random, str, str], AbusiveRequest], ...] = (
    _body_short_of_its_end,
    _body_short_of_its_end,
    _whole_body,
    _unknown_key,
    _pipelined_bodies,
    _open_chunks,
    _whole_chunks,
    _trailers,
    _trailer_field,
    _header_field,
    _short_fields,
    _extensions,
    _noise,
)
