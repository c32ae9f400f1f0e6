"""Which of two servers goes on with a stream that has begun; no input/output.

A server that falls silent in the middle of a stream may be dead, or may have given its memory to
more urgent work and finish later. So the stream is offered to another server while the first one
still has it, and the first one is ended only when the other has begun to go on. What comes first
decides: a piece from either ends the other. Without one the first server keeps the stream.
"""

from __future__ import annotations

from enum import Enum

MAX_OVERLAP_SECONDS = 0.3
"""Both may work on the stream for so long: 0.4 s are allowed, less the way of a close."""


class HandoverSide(Enum):
    """One of the two servers of a stream."""

    FIRST = "first"
    SUCCESSOR = "successor"


class HandoverState(Enum):
    """Who has the stream."""

    SINGLE = "alone"
    """One server."""
    OFFERED = "offered"
    """Another one has been asked to go on, and nothing is decided."""
    HANDED_OVER = "handed-over"
    """The other one goes on; the end of the first is about to be seen."""
    FINISHED = "over"
    """Nobody: the request has ended."""


class HandoverAction(Enum):
    """What is to be done."""

    WAIT = "wait"
    CANCEL_FIRST = "end-first"
    CANCEL_SUCCESSOR = "end-successor"


class Handover:
    """One running answer, and at most one offer to go on with it.

    Attributes:
        state: Who has the stream.
    """

    def __init__(self) -> None:
        self.state = HandoverState.SINGLE

    @property
    def may_offer(self) -> bool:
        """Whether another server may be asked."""
        return self.state is HandoverState.SINGLE

    def on_offer(self) -> None:
        """Another server is asked."""
        assert self.may_offer, "one successor at a time, and only while the request lasts"
        self.state = HandoverState.OFFERED

    def on_chunk(self, runner: HandoverSide) -> HandoverAction:
        """A whole piece of the stream has come."""
        if self.state is not HandoverState.OFFERED:
            return HandoverAction.WAIT
        if runner is HandoverSide.FIRST:
            self.state = HandoverState.SINGLE
            return HandoverAction.CANCEL_SUCCESSOR
        self.state = HandoverState.HANDED_OVER
        return HandoverAction.CANCEL_FIRST

    def on_overlap_timeout(self) -> HandoverAction:
        """Both have had the stream for as long as they may, and neither has said anything."""
        if self.state is not HandoverState.OFFERED:
            return HandoverAction.WAIT
        self.state = HandoverState.SINGLE
        return HandoverAction.CANCEL_SUCCESSOR

    def on_successor_end(self) -> bool:
        """The other server's attempt ended.

        Returns:
            Whether nothing had been decided, so that the next server may be asked.
        """
        if self.state is not HandoverState.OFFERED:
            return False
        self.state = HandoverState.SINGLE
        return True

    def on_first_end(self) -> None:
        """The attempt at the first server ended: whoever was asked is the first one now."""
        if self.state is not HandoverState.FINISHED:
            self.state = HandoverState.SINGLE

    def on_request_end(self) -> None:
        """The request has its answer, or none."""
        self.state = HandoverState.FINISHED
