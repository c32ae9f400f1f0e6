"""Authenticated envelope of every message between routers.

Layout: magic, version, message type, sender name, sender incarnation, body, 16-byte keyed blake3
tag over all preceding bytes. A message with another key or version, or with any altered byte, is
rejected.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import IntEnum

from blake3 import blake3
from construct import (
    Byte,
    Bytes,
    Const,
    GreedyBytes,
    Int32ub,
    Int64ub,
    PascalString,
    Prefixed,
    Struct,
)

from milletcourse.errors import FailureError, WireError
from milletcourse.wire.decoding import DECODE_ERRORS

PROTOCOL_VERSION = 1
TAG_BYTES = 16
KEY_CONTEXT = "milletcourse cluster key v1"


class MessageType(IntEnum):
    """Type of the message in the body of an envelope."""

    MEMBERSHIP = 1
    CHANGES_REQUEST = 2
    CHANGES_PAGE = 3
    CLAIM = 4
    CLAIM_REPLY = 5
    LOAD_DIGEST = 6
    HOT_PREFIXES = 7
    STATUS_REQUEST = 8
    STATUS_REPLY = 9
    MACHINES = 10
    JOIN = 11


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its authenticated sender.

    Attributes:
        message_type: Type of the body.
        sender: Name of the sending router.
        incarnation: The sender's incarnation.
        body: Encoded body.
    """

    message_type: MessageType
    sender: str
    incarnation: int
    body: bytes


_LAYOUT = Struct(
    "magic" / Const(b"MC"),
    "version" / Const(PROTOCOL_VERSION, Byte),
    "message_type" / Byte,
    "sender" / PascalString(Byte, "utf8"),
    "incarnation" / Int64ub,
    "body" / Prefixed(Int32ub, GreedyBytes),
    "tag" / Bytes(TAG_BYTES),
).compile()


class EnvelopeCodec:
    """Encodes and verifies envelopes with the cluster key."""

    def __init__(self, cluster_key: str) -> None:
        self._key = blake3(cluster_key.encode(), derive_key_context=KEY_CONTEXT).digest()

    def encode(self, envelope: Envelope) -> bytes:
        """Encode an envelope and append its tag."""
        unsigned = _LAYOUT.build(
            {
                "message_type": int(envelope.message_type),
                "sender": envelope.sender,
                "incarnation": envelope.incarnation,
                "body": envelope.body,
                "tag": bytes(TAG_BYTES),
            }
        )[:-TAG_BYTES]
        return unsigned + self._tag(unsigned)

    def decode(self, payload: bytes) -> Envelope:
        """Verify and decode an envelope.

        Raises:
            FailureError: `WireError`.
        """
        tag = self._tag(payload[:-TAG_BYTES])
        if not hmac.compare_digest(tag, payload[-TAG_BYTES:]):
            raise FailureError(WireError("the message is not authentic"))
        try:
            parsed = _LAYOUT.parse(payload)
            message_type = MessageType(parsed.message_type)
        except DECODE_ERRORS as error:
            raise FailureError(WireError(str(error)[:200])) from error
        return Envelope(message_type, parsed.sender, parsed.incarnation, parsed.body)

    def _tag(self, unsigned: bytes) -> bytes:
        return blake3(unsigned, key=self._key).digest(TAG_BYTES)
