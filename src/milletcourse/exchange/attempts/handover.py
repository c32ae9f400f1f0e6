"""Hands a started stream over from a silent server to another one; no input/output.

A server that falls silent in the middle of a stream may have crashed, or may have given its memory
to more urgent work and finish later. The stream is therefore offered to another server while the
first one still has it, and the first attempt is cancelled only when the successor has started to
continue the stream. The first chunk decides: a chunk from either server cancels the other attempt.
Without any chunk the first server keeps the stream.
"""

from __future__ import annotations

from enum import Enum

MAX_OVERLAP_SECONDS = 0.3
"""Time for which both servers may work on the stream: 0.4 s are allowed, minus the time that a
cancellation takes to reach a server."""


class HandoverSide(Enum):
    """One of the two servers of a stream."""

    FIRST = "first"
    SUCCESSOR = "successor"


class HandoverState(Enum):
    """Which servers work on the stream."""

    SINGLE = "alone"
    """One server has the stream."""
    OFFERED = "offered"
    """A successor got the request to continue the stream; no decision has been made yet."""
    HANDED_OVER = "handed-over"
    """The successor continues; the first attempt is being cancelled."""
    FINISHED = "over"
    """No server: the request has ended."""


class HandoverAction(Enum):
    """Action that the caller must take."""

    WAIT = "wait"
    CANCEL_FIRST = "end-first"
    CANCEL_SUCCESSOR = "end-successor"


class Handover:
    """One running answer, and at most one offer to continue it.

    Attributes:
        state: Which servers work on the stream.
    """

    def __init__(self) -> None:
        self.state = HandoverState.SINGLE

    @property
    def may_offer(self) -> bool:
        """Whether the stream may be offered to a successor."""
        return self.state is HandoverState.SINGLE

    def on_offer(self) -> None:
        """Record that the stream is offered to a successor."""
        assert self.may_offer, "only one successor at a time, and only while the request runs"
        self.state = HandoverState.OFFERED

    def on_chunk(self, runner: HandoverSide) -> HandoverAction:
        """Record a complete chunk of the stream; the first one after an offer decides."""
        if self.state is not HandoverState.OFFERED:
            return HandoverAction.WAIT
        if runner is HandoverSide.FIRST:
            self.state = HandoverState.SINGLE
            return HandoverAction.CANCEL_SUCCESSOR
        self.state = HandoverState.HANDED_OVER
        return HandoverAction.CANCEL_FIRST

    def on_overlap_timeout(self) -> HandoverAction:
        """Cancel the successor when the overlap time ends without a chunk from either server."""
        if self.state is not HandoverState.OFFERED:
            return HandoverAction.WAIT
        self.state = HandoverState.SINGLE
        return HandoverAction.CANCEL_SUCCESSOR

    def on_successor_end(self) -> bool:
        """Record the end of the successor's attempt.

        Returns:
            Whether no decision has been made, so that another successor may be tried.
        """
        if self.state is not HandoverState.OFFERED:
            return False
        self.state = HandoverState.SINGLE
        return True

    def on_first_end(self) -> None:
        """Record the end of the first attempt: a successor with the offer is the first one now."""
        if self.state is not HandoverState.FINISHED:
            self.state = HandoverState.SINGLE

    def on_request_end(self) -> None:
        """Record the end of the request, with or without an answer."""
        self.state = HandoverState.FINISHED
