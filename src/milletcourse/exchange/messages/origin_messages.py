"""Messages by which gateways tell and ask where streams began; no input/output.

They are sent in their own datagrams, separate from load reports, because client requests wait for
them.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Annotated

import msgspec

from milletcourse.runtime.decode_errors import DECODE_ERRORS

_MARK = b"\xc2"
"""First byte of these datagrams; no load report (msgpack) starts with it."""
MAX_REMAINING_MS = 600 * 1000
MAX_NAME_LENGTH = 128
"""A version or service with a longer name isn't told: its streams are unknown to other gateways."""
MAX_REPORTS = 32
"""Maximum number of origins in a message, so that it fits into one packet."""

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class OriginStep(IntEnum):
    """Kind of an origin message."""

    TELL = 1
    ASK = 2
    REPLY = 3
    JOIN = 4
    """The sender has started, and holds no origin yet."""
    SEEN = 5
    """The sender has seen new software versions, and asks whether the receiver knows them."""
    KNOWN = 6
    """The reply: the receiver knows them, and takes no other version for the only one."""


class OriginReport(msgspec.Struct, array_like=True, frozen=True):
    """Where a stream began.

    Attributes:
        key: Key of the stream.
        service: Service whose server began it.
        software_version: Version of that server's software, None when it is ambiguous.
        remaining_ms: Milliseconds for which a client may still resume it.
    """

    key: Annotated[int, msgspec.Meta(ge=0)]
    service: Name
    software_version: Name | None
    remaining_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_REMAINING_MS)]


class OriginMessage(msgspec.Struct, array_like=True, frozen=True):
    """Origins of streams, a question for one, or the reply to it.

    Attributes:
        step: Kind of the message.
        sender: Name of the sending gateway.
        reports: Origins that are told, or the one that was asked for if it is known.
        key: Key of the stream that is asked for; 0 otherwise.
        request_number: Number that the asker gave its question; the reply repeats it.
        services: Services in question; in a reply those of which the sender has seen a single
            version, with that version. In `SEEN` and `KNOWN` the new version of each.
    """

    step: OriginStep
    sender: str
    reports: Annotated[list[OriginReport], msgspec.Meta(max_length=MAX_REPORTS)] = []
    key: Annotated[int, msgspec.Meta(ge=0)] = 0
    request_number: int = 0
    services: dict[Name, str] = {}


SendMessage = Callable[[str, OriginMessage], None]
"""Sends a message to a gateway by name."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(OriginMessage)


def is_origin_message(data: bytes) -> bool:
    """Whether the first byte marks a datagram as an origin message."""
    return data.startswith(_MARK)


def encode_origin_message(message: OriginMessage) -> bytes:
    """Encodes a message as a datagram."""
    return _MARK + _ENCODER.encode(message)


def decode_origin_message(data: bytes) -> OriginMessage | None:
    """Decodes a datagram; returns None when it is malformed."""
    try:
        return _DECODER.decode(memoryview(data)[len(_MARK) :])
    except DECODE_ERRORS:
        return None
