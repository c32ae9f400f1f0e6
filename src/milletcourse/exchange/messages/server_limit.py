"""Reads what a server in need says of itself: how many requests a second it takes; no I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

MAX_LIMIT_PER_SECOND = 1e6
"""A greater limit is read as this one: no server gets more."""
MAX_LIMIT_CHARACTERS = 32
"""A longer number is none that a server could mean."""
MAX_SHOWN_BYTES = 64
"""Of a field that can't be read, logs show no more."""
_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


class LimitReading(msgspec.Struct, frozen=True):
    """What the head of an answer says of its server's limit.

    Attributes:
        per_second: Requests a second that it takes from all gateways together, None for no limit.
        unreadable: Beginning of what it says when that is no limit; empty otherwise.
    """

    per_second: float | None = None
    unreadable: str = ""


NO_LIMIT = LimitReading()


def read_limit(values: Sequence[bytes]) -> LimitReading:
    """Understand a limit.

    Args:
        values: Values of all fields of that name; servers that agree with themselves send one.
    """
    distinct = sorted({value.strip() for value in values})
    if not distinct:
        return NO_LIMIT
    named = distinct[0]
    is_number = len(named) <= MAX_LIMIT_CHARACTERS and _DECIMAL.fullmatch(named)
    if len(distinct) == 1 and is_number:
        return LimitReading(min(float(named), MAX_LIMIT_PER_SECOND))
    shown = b", ".join(distinct)[:MAX_SHOWN_BYTES]
    return LimitReading(unreadable=shown.decode("latin-1") or "(empty)")
