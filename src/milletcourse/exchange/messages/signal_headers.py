"""Parses the header fields by which servers report their own state; no input/output."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

MAX_LIMIT_PER_SECOND = 1e6
"""A greater limit is read as this one; no server receives more requests."""
MAX_NUMBER_CHARACTERS = 32
"""A longer number is treated as malformed."""
MAX_LOGGED_BYTES = 64
"""Logs show at most this much of a field that can't be parsed."""
MAX_BACK_OFF_SECONDS = 24 * 3600.0
"""A longer back-off is read as this one."""
LEAVING_VALUE = b"1"
STAYING_VALUE = b"0"
_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


class LimitHeader(msgspec.Struct, frozen=True):
    """A limit that a server reports in an answer: of the requests or rejections in a second.

    Attributes:
        per_second: The limit for all gateways together, None for no limit.
        unreadable: Beginning of a value that can't be parsed as a limit; empty otherwise.
    """

    per_second: float | None = None
    unreadable: str = ""


NO_LIMIT = LimitHeader()


def read_limit(values: Sequence[bytes]) -> LimitHeader:
    """Parses a limit per second.

    Args:
        values: Values of all fields of that name; more than one distinct value is malformed.
    """
    distinct = sorted({value.strip() for value in values})
    if not distinct:
        return NO_LIMIT
    if len(distinct) == 1 and _is_decimal(distinct[0]):
        return LimitHeader(min(float(distinct[0]), MAX_LIMIT_PER_SECOND))
    return LimitHeader(unreadable=_excerpt(distinct))


class BackOffHeader(msgspec.Struct, frozen=True):
    """The back-off that a server requests in a refusal.

    Attributes:
        seconds: Time for which the server wants no requests, None when it requests no back-off.
        unreadable: Beginning of a value that can't be parsed as a time; empty otherwise.
    """

    seconds: float | None = None
    unreadable: str = ""


NO_BACK_OFF = BackOffHeader()


def read_back_off(values: Sequence[bytes]) -> BackOffHeader:
    """Parses a back-off in seconds; dates are not supported, since clocks differ.

    Args:
        values: Values of all fields of that name; of several times the longest applies, which
            satisfies all of them.
    """
    distinct = sorted({value.strip() for value in values})
    if not distinct:
        return NO_BACK_OFF
    times = [float(value) for value in distinct if _is_decimal(value)]
    if not times:
        return BackOffHeader(unreadable=_excerpt(distinct))
    return BackOffHeader(min(max(times), MAX_BACK_OFF_SECONDS))


class LeavingHeader(msgspec.Struct, frozen=True):
    """Whether a server reports in an answer that it is shutting down.

    Attributes:
        is_leaving: The server is shutting down.
        unreadable: Beginning of a value that is neither yes nor no; empty otherwise.
    """

    is_leaving: bool = False
    unreadable: str = ""


NOT_LEAVING = LeavingHeader()


def read_leaving(values: Sequence[bytes]) -> LeavingHeader:
    """Parses whether a server is shutting down.

    Args:
        values: Values of all fields of that name; a single positive value is enough.
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
