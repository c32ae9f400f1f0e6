"""How answers of servers end; no input/output."""

from __future__ import annotations

from enum import Enum

import msgspec


class Framing(Enum):
    """What marks the end of an answer's body."""

    NO_BODY = "no-body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """The answer ends with its connection."""


class LossCause(Enum):
    """Why a server did not deliver a complete answer."""

    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "garbled"
    ABORTED = "aborted"


class AnswerEnd(msgspec.Struct, frozen=True):
    """How the answer of one server ended, for log lines.

    Attributes:
        framing: What marks the end of its body.
        partial_event_bytes: Bytes received of an event of a stream that was not completed.
    """

    framing: Framing
    partial_event_bytes: int = 0

    @property
    def is_usual(self) -> bool:
        """Whether the answer ended by its own framing, and a stream after a whole event."""
        return self.framing is not Framing.CONNECTION and not self.partial_event_bytes
