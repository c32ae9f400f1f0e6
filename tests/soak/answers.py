"""Judges how each request of a soak ended that has only planned work and sound servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class End(Enum):
    """How a request ended at its client."""

    WHOLE = "whole"
    """A complete answer, of whatever status."""
    PARTIAL = "partial"
    """The connection ended in the middle of an answer."""
    NOTHING = "nothing"
    """The connection ended without a byte of an answer."""
    NO_CONNECTION = "no-connection"
    """No connection came up, so nothing was sent."""
    TOO_LONG = "too-long"
    """The client stopped waiting."""
    LEFT = "left"
    """The client left on purpose."""


class Verdict(Enum):
    """What a request's end says of the gateway."""

    ANSWERED = "answered"
    NEVER_SENT = "never-sent"
    CLIENT_LEFT = "client-left"
    CROSSED_CLOSE = "crossed-close"
    """The gateway had closed a connection on which it had answered, while this was on its way."""
    LOST_FIRST = "lost-first"
    """First request on a connection that the gateway's kernel had accepted."""
    LOST_KEPT = "lost-kept"
    """Written whole on a kept connection, long before that was closed."""
    LOST_AT_SERVER = "lost-at-server"
    """It had been passed on to a server."""
    LOST_SILENT = "lost-silent"
    """Nothing came within the client's deadline."""


LOST = frozenset(
    {Verdict.LOST_FIRST, Verdict.LOST_KEPT, Verdict.LOST_AT_SERVER, Verdict.LOST_SILENT}
)
CROSSING_SECONDS = 0.2
"""A close and a request that meet on the way are apart by no more, in one machine's buffers."""


@dataclass
class Asked:
    """One request as its client saw it.

    Attributes:
        request_id: Its identity.
        gateway: Name of the gateway.
        kind: Route.
        position: Requests that were sent before it on its connection.
        sent_at: Seconds at which its last byte was with the kernel.
        ended_at: Seconds at which its end was seen.
        end: How it ended.
    """

    request_id: str
    gateway: str
    kind: str
    position: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: End = End.NO_CONNECTION


def judge(asked: Asked, runs: int) -> Verdict:
    """What a request's end says of the gateway; `runs` of it began at servers."""
    if asked.end is End.WHOLE:
        return Verdict.ANSWERED
    if asked.end is End.LEFT:
        return Verdict.CLIENT_LEFT
    if asked.end is End.NO_CONNECTION:
        return Verdict.NEVER_SENT
    if asked.end is End.TOO_LONG:
        return Verdict.LOST_SILENT
    if runs or asked.end is End.PARTIAL:
        return Verdict.LOST_AT_SERVER
    if asked.position == 0:
        return Verdict.LOST_FIRST
    if asked.ended_at - asked.sent_at < CROSSING_SECONDS:
        return Verdict.CROSSED_CLOSE
    return Verdict.LOST_KEPT
