"""Messages about leases of server slots: how single ones ended, and which ones a gateway holds.

They are sent in their own datagrams. A lost message is made up for by the holder's next report.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from milletcourse.exchange.messages.peer_messages import LimitPerSecond
from milletcourse.runtime.decode_errors import DECODE_ERRORS

_MARK = b"\xc3"
"""First byte of these datagrams; no load report (msgpack) starts with it."""
MAX_REPORTED_LEASES = 128
"""Maximum number of leases in a message, so that it fits into one packet."""
MAX_SLOTS = 100_000

SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class LeaseEnd(IntEnum):
    """How the request of a lease ended."""

    ENDED = 1
    REJECTED = 2
    """The server rejected it, since it had no room."""


class SlotDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway that requests a slot knows of the server.

    Attributes:
        slots: Slots of the server; 0 when unknown.
        rejections_per_second: Rejections per second beyond which the server crashes.
    """

    slots: SlotCount
    rejections_per_second: LimitPerSecond


class HeldLeases(msgspec.Struct, array_like=True, frozen=True):
    """The requests of one gateway at one server.

    Attributes:
        key: Key of the server's incarnation.
        numbers: Numbers of its leases, also of those that it has requested and may get.
        unleased: Requests that it sent before leases were needed.
    """

    key: int
    numbers: Annotated[list[int], msgspec.Meta(max_length=MAX_REPORTED_LEASES)]
    unleased: SlotCount = 0


class EndedLease(msgspec.Struct, array_like=True, frozen=True):
    """A lease that has ended.

    Attributes:
        key: Key of the server's incarnation.
        number: Number that the holder gave the lease.
        end: How its request ended.
    """

    key: int
    number: int
    end: LeaseEnd


class SlotMessage(msgspec.Struct, array_like=True, frozen=True):
    """One datagram to the owner of slots, or to the gateway that may have to replace it.

    Attributes:
        sender: The gateway that holds the leases.
        latest_number: Latest number that it has used; later leases aren't reported here.
        ended: Leases that have ended.
        held: All its requests at some of the receiver's servers.
    """

    sender: str
    latest_number: int
    ended: list[EndedLease] = []
    held: list[HeldLeases] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(SlotMessage)


def is_slot_message(data: bytes) -> bool:
    """Whether the first byte marks a datagram as a message about slots."""
    return data.startswith(_MARK)


def encode_slot_message(message: SlotMessage) -> bytes:
    """Encodes a message as a datagram."""
    return _MARK + _ENCODER.encode(message)


def decode_slot_message(data: bytes) -> SlotMessage | None:
    """Decodes a datagram; returns None when it is malformed."""
    try:
        return _DECODER.decode(memoryview(data)[len(_MARK) :])
    except DECODE_ERRORS:
        return None
