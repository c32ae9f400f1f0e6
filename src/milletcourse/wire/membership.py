"""Codec of membership datagrams."""

from __future__ import annotations

from construct import (
    Byte,
    Bytes,
    Float64b,
    Int16ub,
    Int32ub,
    Int64ub,
    PascalString,
    PrefixedArray,
    Struct,
)

from milletcourse.errors import FailureError, WireError
from milletcourse.membership.messages import (
    MemberRecord,
    MembershipMessage,
    MemberState,
    MessageKind,
    PlatformStamp,
)
from milletcourse.wire.decoding import DECODE_ERRORS

_NAME = PascalString(Byte, "utf8")
_ADDRESS = Struct("host" / Bytes(4), "port" / Int16ub)
_RECORD = Struct(
    "name" / _NAME,
    "place" / _NAME,
    "datagram_address" / _ADDRESS,
    "http_address" / _ADDRESS,
    "state" / Byte,
    "incarnation" / Int64ub,
)
_LAYOUT = Struct(
    "kind" / Byte,
    "sequence" / Int32ub,
    "target" / _NAME,
    "revision" / Int64ub,
    "stamp_revision" / Int64ub,
    "stamp_wall_seconds" / Float64b,
    "records" / PrefixedArray(Int16ub, _RECORD),
).compile()


def _pack_address(address: str) -> dict[str, object]:
    host, _, port = address.rpartition(":")
    return {"host": bytes(int(part) for part in host.split(".")), "port": int(port)}


def _unpack_address(parsed: object) -> str:
    host = getattr(parsed, "host")  # noqa: B009 - construct containers have dynamic attributes
    return f"{'.'.join(str(part) for part in host)}:{parsed.port}"  # type: ignore[attr-defined]


def encode_membership(message: MembershipMessage) -> bytes:
    """Encode a membership message."""
    return bytes(
        _LAYOUT.build(
            {
                "kind": int(message.kind),
                "sequence": message.sequence,
                "target": message.target,
                "revision": message.revision,
                "stamp_revision": message.stamp.revision,
                "stamp_wall_seconds": message.stamp.wall_seconds,
                "records": [
                    {
                        "name": record.name,
                        "place": record.place,
                        "datagram_address": _pack_address(record.datagram_address),
                        "http_address": _pack_address(record.http_address),
                        "state": int(record.state),
                        "incarnation": record.incarnation,
                    }
                    for record in message.records
                ],
            }
        )
    )


def decode_membership(body: bytes) -> MembershipMessage:
    """Parse a membership message.

    Raises:
        FailureError: `WireError`.
    """
    try:
        parsed = _LAYOUT.parse(body)
        return MembershipMessage(
            kind=MessageKind(parsed.kind),
            sequence=parsed.sequence,
            target=parsed.target,
            revision=parsed.revision,
            stamp=PlatformStamp(parsed.stamp_revision, parsed.stamp_wall_seconds),
            records=tuple(
                MemberRecord(
                    name=item.name,
                    place=item.place,
                    datagram_address=_unpack_address(item.datagram_address),
                    http_address=_unpack_address(item.http_address),
                    state=MemberState(item.state),
                    incarnation=item.incarnation,
                )
                for item in parsed.records
            ),
        )
    except DECODE_ERRORS as error:
        raise FailureError(WireError(str(error)[:200])) from error
