"""Messages by which a gateway asks another one for a connection to a server; no input/output.

The request is one frame: a mark, the length of the body, and the body. The reply is one byte. After
a positive reply the connection carries the bytes of both sides unchanged.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from milletcourse.runtime.decode_errors import DECODE_ERRORS

RELAY_MARK = b"\xc1"
"""First byte of a request; no HTTP request starts with it."""
_LENGTH_BYTES = 2
_HEADER_BYTES = len(RELAY_MARK) + _LENGTH_BYTES
MAX_REQUEST_BYTES = 1024
MAX_RELAY_TIMEOUT_MS = 5_000

Name = Annotated[str, msgspec.Meta(max_length=255)]


class RelayReply(IntEnum):
    """Reply to a request for a connection."""

    CONNECTED = 0x80
    """The connection is up; the bytes that follow are the server's."""
    SERVER_REFUSES = 0x81
    """The server refuses connections, while others accept them."""
    SERVER_SILENT = 0x82
    """The server doesn't reply, while others do."""
    UNREACHABLE = 0x83
    """This gateway doesn't reach the server; that says nothing about the server."""
    BUSY = 0x84
    """This gateway relays as many connections as it may, or is shutting down."""
    EXCLUDED = 0x85
    """The server asked this gateway to send it nothing."""
    UNKNOWN_SERVER = 0x86
    """This gateway knows no server at the address."""
    NOT_PERMITTED = 0x87
    """The caller isn't a listed gateway."""
    MALFORMED = 0x88
    """The request can't be decoded."""


SERVER_REPLIES = frozenset(
    {RelayReply.SERVER_REFUSES, RelayReply.SERVER_SILENT, RelayReply.EXCLUDED}
)
"""Replies that are about the server, not about the gateway that replies."""


class RelayRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for a connection.

    Attributes:
        sender: Name of the gateway that asks.
        server: `host:port` of the server.
        request_id: Id of the client's request that the connection will carry, for logs.
        timeout_ms: How long the sender waits.
    """

    sender: Name
    server: Name
    request_id: Name
    timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_RELAY_TIMEOUT_MS)]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RelayRequest)


class RelayRequestError(ValueError):
    """Raised for bytes that are not a request for a connection."""


def encode_relay_request(request: RelayRequest) -> bytes:
    """Encodes a request as a frame."""
    body = _ENCODER.encode(request)
    return RELAY_MARK + len(body).to_bytes(_LENGTH_BYTES, "big") + body


def decode_relay_request(data: bytes) -> tuple[RelayRequest, bytes] | None:
    """Decodes a frame and returns the request and the bytes after it; None if it is incomplete.

    Raises:
        RelayRequestError: The bytes are not a request.
    """
    if not data.startswith(RELAY_MARK):
        raise RelayRequestError("no mark")
    if len(data) < _HEADER_BYTES:
        return None
    size = int.from_bytes(data[len(RELAY_MARK) : _HEADER_BYTES], "big")
    if size > MAX_REQUEST_BYTES:
        raise RelayRequestError("too long")
    if len(data) < _HEADER_BYTES + size:
        return None
    try:
        request = _DECODER.decode(data[_HEADER_BYTES : _HEADER_BYTES + size])
    except DECODE_ERRORS as error:
        raise RelayRequestError("not decodable") from error
    return request, data[_HEADER_BYTES + size :]


def decode_relay_reply(data: bytes) -> RelayReply | None:
    """Decodes the first byte of a reply; None if it is none, as from an older release."""
    try:
        return RelayReply(data[0])
    except (ValueError, IndexError):
        return None
