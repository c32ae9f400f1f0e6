"""Idempotency keys: UUIDv7 (RFC 9562), whose mint time makes replicas without storage safe."""

from __future__ import annotations

import random
import uuid
from dataclasses import dataclass

from blake3 import blake3
from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.errors import InvalidIdempotencyKey

RECORD_KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class OperationKey:
    """A key scoped to its tenant and application.

    Attributes:
        text: The key in canonical UUID form.
        mint_seconds: Wall time encoded in the key.
        record: Digest under which replicas store the claim.
    """

    text: str
    mint_seconds: float
    record: bytes


def mint_key(wall_seconds: float, random_source: random.Random) -> str:
    """Return a new UUIDv7 for the given wall time."""
    milliseconds = int(wall_seconds * 1000)
    value = milliseconds << 80
    value |= 0x7 << 76
    value |= random_source.getrandbits(12) << 64
    value |= 0b10 << 62
    value |= random_source.getrandbits(62)
    return str(uuid.UUID(int=value))


def parse_key(
    text: str, tenant: str, application: str
) -> Result[OperationKey, InvalidIdempotencyKey]:
    """Validate a caller's key and scope it to its tenant and application."""
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Err(InvalidIdempotencyKey("Idempotency-Key must be a UUIDv7"))
    if parsed.version != 7:
        return Err(InvalidIdempotencyKey("Idempotency-Key must be a UUID of version 7"))
    scoped = blake3(f"{tenant}\0{application}\0{parsed}".encode())
    return Success(
        OperationKey(str(parsed), (parsed.int >> 80) / 1000, scoped.digest(RECORD_KEY_BYTES))
    )
