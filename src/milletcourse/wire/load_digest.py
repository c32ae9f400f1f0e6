"""Codec of load digests."""

from __future__ import annotations

from construct import Byte, Flag, Int32ub, Int64ub, PrefixedArray, Struct

from milletcourse.errors import FailureError, WireError
from milletcourse.routing.load_digest import DigestEntry
from milletcourse.wire.decoding import DECODE_ERRORS

MAX_ENTRIES = 55
"""Keeps a datagram within one Ethernet frame."""

_ENTRY = Struct(
    "engine_key" / Int64ub,
    "incarnation_key" / Int32ub,
    "queued_prefill_tokens" / Int32ub,
    "prefill_tokens_per_second" / Int32ub,
    "leaving" / Flag,
    "serving" / Flag,
)
_LAYOUT = Struct("entries" / PrefixedArray(Byte, _ENTRY)).compile()


def encode_load_digest(entries: list[DigestEntry]) -> bytes:
    """Encode a digest of at most `MAX_ENTRIES` engines."""
    return bytes(
        _LAYOUT.build(
            {
                "entries": [
                    {
                        "engine_key": item.engine_key,
                        "incarnation_key": item.incarnation_key,
                        "queued_prefill_tokens": item.queued_prefill_tokens,
                        "prefill_tokens_per_second": item.prefill_tokens_per_second,
                        "leaving": item.leaving,
                        "serving": item.serving,
                    }
                    for item in entries
                ]
            }
        )
    )


def decode_load_digest(body: bytes) -> list[DigestEntry]:
    """Parse a digest; raises `FailureError` with `WireError`."""
    try:
        parsed = _LAYOUT.parse(body)
    except DECODE_ERRORS as error:
        raise FailureError(WireError(str(error)[:200])) from error
    return [
        DigestEntry(
            item.engine_key,
            item.incarnation_key,
            item.queued_prefill_tokens,
            item.prefill_tokens_per_second,
            item.leaving,
            item.serving,
        )
        for item in parsed.entries
    ]
