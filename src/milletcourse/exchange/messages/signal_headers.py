"""Reads what servers say of themselves in the heads of their answers; no input/output."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

MAX_LIMIT_PER_SECOND = 1e6
"""A greater limit is read as this one: no server gets more."""
MAX_NUMBER_CHARACTERS = 32
"""A longer number is none that a server could mean."""
MAX_LOGGED_BYTES = 64
"""Of a field that can't be read, logs show no more."""
MAX_BACK_OFF_SECONDS = 24 * 3600.0
"""A longer rest is read as this one."""
LEAVING_VALUE = b"1"
STAYING_VALUE = b"0"
_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


class LimitHeader(msgspec.Struct, frozen=True):
    """What the head of an answer says of its server's limit.

    Attributes:
        per_second: Requests a second that it takes from all gateways together, None for no limit.
        unreadable: Beginning of what it says when that is no limit; empty otherwise.
    """

    per_second: float | None = None
    unreadable: str = ""


NO_LIMIT = LimitHeader()


def read_limit(values: Sequence[bytes]) -> LimitHeader:
    """Understand a limit.

    Args:
        values: Values of all fields of that name; servers that agree with themselves send one.
    """
    distinct = sorted({value.strip() for value in values})
    if not distinct:
        return NO_LIMIT
    if len(distinct) == 1 and _is_decimal(distinct[0]):
        return LimitHeader(min(float(distinct[0]), MAX_LIMIT_PER_SECOND))
    return LimitHeader(unreadable=_excerpt(distinct))


class BackOffHeader(msgspec.Struct, frozen=True):
    """What the head of a refusal says of the rest that its server wants.

    Attributes:
        seconds: For how long it wants nothing more, None when it doesn't say.
        unreadable: Beginning of what it says when that is no time; empty otherwise.
    """

    seconds: float | None = None
    unreadable: str = ""


NO_BACK_OFF = BackOffHeader()


def read_back_off(values: Sequence[bytes]) -> BackOffHeader:
    """Understand a rest in seconds; dates are no use between clocks that differ.

    Args:
        values: Values of all fields of that name; of several times the longest is meant, which
            keeps to all of them.
    """
    distinct = sorted({value.strip() for value in values})
    if not distinct:
        return NO_BACK_OFF
    times = [float(value) for value in distinct if _is_decimal(value)]
    if not times:
        return BackOffHeader(unreadable=_excerpt(distinct))
    return BackOffHeader(min(max(times), MAX_BACK_OFF_SECONDS))


class LeavingHeader(msgspec.Struct, frozen=True):
    """Whether the head of an answer says that its server leaves.

    Attributes:
        is_leaving: It does.
        unreadable: Beginning of what it says when that is neither yes nor no; empty otherwise.
    """

    is_leaving: bool = False
    unreadable: str = ""


NOT_LEAVING = LeavingHeader()


def read_leaving(values: Sequence[bytes]) -> LeavingHeader:
    """Understand whether a server leaves.

    Args:
        values: Values of all fields of that name; one that says so is enough.
    """
    distinct = sorted({value.strip() for value in values})
    if LEAVING_VALUE in distinct:
        return LeavingHeader(is_leaving=True)
    if not distinct or distinct == [STAYING_VALUE]:
        return NOT_LEAVING
    return LeavingHeader(unreadable=_excerpt(distinct))


def _is_decimal(value: bytes) -> bool:
    return len(value) <= MAX_NUMBER_CHARACTERS and _DECIMAL.fullmatch(value) is not None


def _excerpt(values: Sequence[bytes]) -> str:
    return b", ".join(values)[:MAX_LOGGED_BYTES].decode("latin-1") or "(empty)"
