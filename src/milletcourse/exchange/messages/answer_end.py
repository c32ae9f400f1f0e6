"""Decides whether the answer of a server ended whole; no input/output."""

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
    OVERSIZED = "oversized"
    """It is larger than an answer may be, or than the memory that answers may take."""


def loss_at_close(framing: Framing) -> LossCause | None:
    """Why an answer is incomplete whose connection was closed before its body had ended.

    Args:
        framing: What marks the end of the body.

    Returns:
        None if the answer is whole. A connection that was reset never completes an answer.
    """
    return None if framing is Framing.CONNECTION else LossCause.CLOSED


def stream_loss(
    framing: Framing, partial_event_bytes: int, has_events: bool, resumes: bool
) -> LossCause | None:
    """Why a stream of events is incomplete that has ended by its framing; None if it is whole.

    A server that is stopped may close its connection, or send its last chunk, within an event or
    before the first one.

    Args:
        framing: What marks the end of the body.
        partial_event_bytes: Bytes received of an event that was not completed.
        has_events: Whether it had a complete event.
        resumes: It continues a stream, and has no events if only the end of that one was lost.
    """
    may_be_empty = framing is Framing.NO_BODY or (resumes and framing is not Framing.CONNECTION)
    if not partial_event_bytes and (has_events or may_be_empty):
        return None
    return LossCause.CLOSED if framing is Framing.CONNECTION else LossCause.MALFORMED


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
