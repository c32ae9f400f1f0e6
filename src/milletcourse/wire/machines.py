"""Codec of machine list snapshots."""

from __future__ import annotations

from construct import (
    Byte,
    Float64b,
    PascalString,
    PrefixedArray,
    Struct,
)

from milletcourse.control.machines import MachineListSnapshot
from milletcourse.errors import FailureError, WireError
from milletcourse.wire.decoding import DECODE_ERRORS

MAX_MACHINES = 100
"""Keeps a datagram within one Ethernet frame; more machines are rarely excluded at once."""

_LAYOUT = Struct(
    "wall_seconds" / Float64b,
    "away" / PrefixedArray(Byte, PascalString(Byte, "utf8")),
)


def encode_machines(snapshot: MachineListSnapshot) -> bytes:
    """Encode a snapshot; names beyond `MAX_MACHINES` are left to a later snapshot."""
    excluded = sorted(snapshot.excluded)[:MAX_MACHINES]
    return bytes(_LAYOUT.build({"wall_seconds": snapshot.wall_seconds, "away": excluded}))


def decode_machines(body: bytes) -> MachineListSnapshot:
    """Parse a snapshot; raises `FailureError` with `WireError`."""
    try:
        parsed = _LAYOUT.parse(body)
        return MachineListSnapshot(parsed.wall_seconds, frozenset(parsed.away))
    except DECODE_ERRORS as error:
        raise FailureError(WireError(str(error)[:200])) from error
