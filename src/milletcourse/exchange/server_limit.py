"""What servers in need say of themselves: how many requests a second they take; no input/output."""

from __future__ import annotations

import re
from collections.abc import Sequence
from enum import Enum

import msgspec

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
    words = {value.strip() for value in values}
    if not words:
        return NO_LIMIT
    if len(words) == 1:
        word = words.pop()
        if len(word) <= MAX_LIMIT_CHARACTERS and _DECIMAL.fullmatch(word):
            return LimitReading(float(word))
        words = {word}
    shown = b", ".join(sorted(words))[:MAX_SHOWN_BYTES]
    return LimitReading(unreadable=shown.decode("latin-1") or "(empty)")


class LimitChange(Enum):
    """What a word of a server, or of another gateway about it, changes here."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class KnownLimit(msgspec.Struct):
    """The newest word of one server.

    Attributes:
        per_second: Its limit, None once it names none any more.
        said_at: Monotonic time of the answer that said so.
    """

    per_second: float | None
    said_at: float


class ServerLimits:
    """The limits of all servers that name one, or named one lately."""

    def __init__(self) -> None:
        self._known: dict[int, KnownLimit] = {}

    def per_second(self, key: int) -> float | None:
        """Limit of a server, None when it names none.

        Args:
            key: Identity of the incarnation in messages.
        """
        known = self._known.get(key)
        return known.per_second if known is not None else None

    def on_answer(
        self, key: int, per_second: float | None, sent_at: float, now: float
    ) -> LimitChange | None:
        """An answer said what the server takes; what that changes.

        Args:
            key: Identity of the incarnation.
            per_second: Its limit, None when the answer named none.
            sent_at: Monotonic time of the request's send.
            now: Monotonic time.
        """
        known = self._known.get(key)
        if known is None and per_second is None:
            return None
        if known is not None and per_second is None and sent_at <= known.said_at:
            # The answer may have been on its way before the limit was named.
            return None
        return self._take(key, per_second, now)

    def _take(self, key: int, per_second: float | None, said_at: float) -> LimitChange | None:
        before = self.per_second(key)
        self._known[key] = KnownLimit(per_second, said_at)
        if before == per_second:
            return None
        if before is None:
            return LimitChange.NAMED
        return LimitChange.ENDED if per_second is None else LimitChange.CHANGED
