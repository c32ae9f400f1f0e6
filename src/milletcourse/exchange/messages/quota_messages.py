"""Messages by which gateways lend each other units of a shared allowance; no input/output.

They travel beside the messages about load, in datagrams of their own, since requests wait for them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from milletcourse.exchange.messages.peer_messages import AgeMs
from milletcourse.exchange.messages.signal_headers import MAX_LIMIT_PER_SECOND

_MARK = b"\xc1"
"""First byte of these datagrams: one with which no message about load begins (msgpack)."""
MAX_MS = 60_000
"""Longest time that is told."""

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]


class PermitStep(IntEnum):
    """What a message is."""

    ASK = 1
    GRANT = 2
    DENY = 3


class PermitMessage(msgspec.Struct, array_like=True, frozen=True):
    """One unit is asked for, lent or denied.

    Attributes:
        step: Which of them.
        sender: Name of the gateway that sends it.
        key: Identity of the allowance.
        request_number: The asker's number of its ask, repeated by the reply.
        per_second: Units a second, as the asker knows it; None in replies.
        limit_age_ms: Age of that knowledge.
        priority: Rank of the request, 0 for the most urgent.
        unit_ms: Time until there may be a unit for the asker.
        pause_ms: Time after which it may ask again.
        requesters: Gateways that asked lately.
    """

    step: PermitStep
    sender: str
    key: int
    request_number: int
    per_second: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LIMIT_PER_SECOND)] | None = None
    limit_age_ms: AgeMs = 0
    priority: int = 0
    permit_wait_ms: Milliseconds = 0
    retry_after_ms: Milliseconds = 0
    requesters: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PermitMessage)


def is_permit_message(data: bytes) -> bool:
    """Whether a datagram is one of these messages, as far as its first byte tells."""
    return data.startswith(_MARK)


def encode_permit_message(message: PermitMessage) -> bytes:
    """Bytes of a datagram."""
    return _MARK + _ENCODER.encode(message)


def decode_permit_message(data: bytes) -> PermitMessage | None:
    """Understand a datagram; None when it is none of ours."""
    try:
        return _DECODER.decode(memoryview(data)[len(_MARK) :])
    except msgspec.MsgspecError:
        return None


def wire_ms(seconds: float) -> int:
    """A time as messages tell it."""
    return min(max(round(seconds * 1000.0), 0), MAX_MS)
