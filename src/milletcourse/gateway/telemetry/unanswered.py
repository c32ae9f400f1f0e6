"""Record of a request that was read and ended without a complete answer."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.messages import HeaderField


class RequestPhase(Enum):
    """Phase that a request had reached."""

    QUEUED = "queued"
    """Waits behind another request of its connection (HTTP pipelining)."""
    DECIDING = "deciding"
    CONNECTING = "connecting"
    AT_SERVER = "at-server"
    ANSWERING = "answering"
    """A part of the answer has been sent to the client."""


class UnansweredCause(Enum):
    """Why a request got no complete answer."""

    HANDLER_FAILED = "handler-failed"
    """The request handler raised an exception: a defect of the gateway."""
    GRACE_EXPIRED = "grace-over"
    """The grace period of a planned shutdown expired."""
    CONNECTION_CLOSING = "connection-closing"
    """The previous answer on the connection announced that the connection closes."""
    ANSWER_TRUNCATED = "answer-cut"
    """The previous answer was truncated, which closed the connection."""
    SLOW_READER = "slow-reader"
    """The client read the answer too slowly."""


class UnansweredRequest(msgspec.Struct, frozen=True):
    """A request that ended without a complete answer.

    Attributes:
        fields: Its header fields.
        phase: Phase that it had reached.
        cause: Why it ended.
        received_at: Monotonic time of its first byte.
        error: The exception of a failed handler, otherwise empty.
    """

    fields: list[HeaderField]
    phase: RequestPhase
    cause: UnansweredCause
    received_at: float
    error: str = ""
