"""Messages by which gateways request and grant permits of a shared server quota; no input/output.

They are sent in their own datagrams, separate from load reports, because client requests wait for
them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from milletcourse.exchange.messages.peer_messages import AgeMs, LimitPerSecond
from milletcourse.exchange.messages.slot_messages import SlotDemand
from milletcourse.runtime.decode_errors import DECODE_ERRORS

_MARK = b"\xc1"
"""First byte of these datagrams; no load report (msgpack) starts with it."""
MAX_MS = 60_000
"""Longest duration that a message carries."""

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]


class PermitStep(IntEnum):
    """Kind of a permit message."""

    ASK = 1
    GRANT = 2
    DENY = 3
    UNAVAILABLE = 4
    """The receiver grants no permits: it is stopping, or has just started and doesn't know yet how
    many are in use. The other owner may grant one."""


class PermitMessage(msgspec.Struct, array_like=True, frozen=True):
    """A request for one permit, or its grant or denial.

    Attributes:
        step: Kind of the message.
        sender: Name of the sending gateway.
        key: Key of the server quota.
        request_number: Number that the requester gave its request; the reply repeats it.
        per_second: Quota in permits per second, as known to the requester; None in replies.
        limit_age_ms: Age of `per_second`.
        priority: Priority of the client request, 0 for the most urgent.
        permit_wait_ms: Time until a permit may be available for the requester.
        retry_after_ms: Time after which the requester may request again.
        requesters: Number of gateways that requested a permit recently.
        slot_demand: A slot of the server is requested too; None in replies.
        permits_per_second: Permits that become available for all gateways together.
    """

    step: PermitStep
    sender: str
    key: int
    request_number: int
    per_second: LimitPerSecond | None = None
    limit_age_ms: AgeMs = 0
    priority: int = 0
    permit_wait_ms: Milliseconds = 0
    retry_after_ms: Milliseconds = 0
    requesters: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    slot_demand: SlotDemand | None = None
    permits_per_second: LimitPerSecond = 0.0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PermitMessage)


def is_permit_message(data: bytes) -> bool:
    """Whether the first byte marks a datagram as a permit message."""
    return data.startswith(_MARK)


def encode_permit_message(message: PermitMessage) -> bytes:
    """Encodes a message as a datagram."""
    return _MARK + _ENCODER.encode(message)


def decode_permit_message(data: bytes) -> PermitMessage | None:
    """Decodes a datagram; returns None when it is malformed."""
    try:
        return _DECODER.decode(memoryview(data)[len(_MARK) :])
    except DECODE_ERRORS:
        return None


def wire_ms(seconds: float) -> int:
    """Converts seconds to the milliseconds of a message, clamped to 0 and `MAX_MS`."""
    return min(max(round(seconds * 1000.0), 0), MAX_MS)
