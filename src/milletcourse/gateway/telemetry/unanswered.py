"""What is said of a request that was read and ends without a whole answer."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.messages import HeaderField


class RequestPhase(Enum):
    """How far a request had come."""

    QUEUED = "queued"
    """Behind another one on its connection."""
    DECIDING = "deciding"
    CONNECTING = "connecting"
    AT_SERVER = "at-server"
    ANSWERING = "answering"
    """Its client has got a part of the answer."""


class UnansweredCause(Enum):
    """Why a request got no whole answer."""

    HANDLER_FAILED = "handler-failed"
    """A defect of the gateway."""
    GRACE_EXPIRED = "grace-over"
    """The grace time of a planned stop was over."""
    CONNECTION_CLOSING = "connection-closing"
    """The answer before it had said that the connection closes."""
    ANSWER_TRUNCATED = "answer-cut"
    """The answer before it broke off, and its connection with it."""
    SLOW_READER = "slow-reader"
    """Its client was too far behind in reading."""


class UnansweredRequest(msgspec.Struct, frozen=True):
    """A request that ends without a whole answer.

    Attributes:
        fields: Its header fields.
        phase: How far it had come.
        cause: Why it ended.
        received_at: Monotonic time of its first byte.
        error: The defect, empty without one.
    """

    fields: list[HeaderField]
    phase: RequestPhase
    cause: UnansweredCause
    received_at: float
    error: str = ""
