"""Judges how each request of a soak ended: whether a gateway lost it, or why it did not."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestResult(Enum):
    """How a request ended at its client."""

    COMPLETE = "whole"
    """A complete answer, of whatever status."""
    PARTIAL = "partial"
    """The connection ended in the middle of an answer."""
    NO_ANSWER = "nothing"
    """The connection ended without a byte of an answer."""
    NO_CONNECTION = "no-connection"
    """No connection came up, so nothing was sent."""
    CLIENT_TIMEOUT = "too-long"
    """The client stopped waiting."""
    DISCONNECTED = "left"
    """The client left on purpose."""


class Verdict(Enum):
    """What a request's end says of the gateway."""

    ANSWERED = "answered"
    UNFINISHED = "unfinished"
    """The soak ended before it."""
    ABORTED_BY_SERVER = "cut-by-server"
    """The answer of a server that misbehaves broke off."""
    BEHIND_ABORTED_ANSWER = "behind-cut"
    """Sent at once behind a request whose answer broke off, and the connection with it."""
    TIMED_OUT = "timed-out"
    """The time of its route was over in the middle of the answer."""
    DISTURBED = "disturbed"
    """Its gateway was killed or frozen meanwhile."""
    NEVER_SENT = "never-sent"
    CLIENT_DISCONNECTED = "client-left"
    RACED_WITH_CLOSE = "crossed-close"
    """The gateway had closed a connection on which it had answered, while this was on its way."""
    LOST_FIRST = "lost-first"
    """First request on a connection that the gateway's kernel had accepted."""
    LOST_ON_KEEP_ALIVE = "lost-kept"
    """Written whole on a kept connection, long before that was closed."""
    LOST_PIPELINED = "lost-ahead"
    """Sent at once behind a request that was answered."""
    LOST_AT_SERVER = "lost-at-server"
    """It had been passed on to a server."""
    LOST_SILENT = "lost-silent"
    """Nothing came within the client's deadline."""


LOST = frozenset(
    {
        Verdict.LOST_FIRST,
        Verdict.LOST_ON_KEEP_ALIVE,
        Verdict.LOST_PIPELINED,
        Verdict.LOST_AT_SERVER,
        Verdict.LOST_SILENT,
    }
)
ROUTE_TIMEOUT_SECONDS = 3.0
"""Time that the routes of the stand-in's configuration allow; a gateway cuts a stream then."""
SEND_SLACK_SECONDS = 0.2
"""A gateway's time runs from the first byte, the ledger's from the last one on a late loop."""
CLOSE_RACE_SECONDS = 0.2
"""A close and a request that meet on the way are apart by no more, in one machine's buffers."""


@dataclass
class ClientRequest:
    """One request as its client saw it.

    Attributes:
        request_id: Its identity.
        kind: Route.
        was_sent_ahead: Sent at once behind another one.
        is_behind_cut: The answer of that one broke off.
        gateway: Name of the gateway.
        position: Requests that were sent before it on its connection.
        sent_at: Seconds at which its last byte was with the kernel, 0 before.
        ended_at: Seconds at which its end was seen.
        end: How it ended, None before.
    """

    request_id: str
    kind: str
    is_pipelined: bool = False
    follows_aborted_answer: bool = False
    gateway: str = ""
    position: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: RequestResult | None = None


@dataclass(frozen=True)
class RequestContext:
    """What was true beside a request.

    Attributes:
        runs: How often it began at servers.
        servers_are_sound: No server broke off or lost an answer by itself.
        gateway_disturbed: Its gateway was killed or frozen between its send and its end.
    """

    runs: int = 0
    servers_are_healthy: bool = True
    gateway_disturbed: bool = False


_BY_END = {
    None: Verdict.UNFINISHED,
    RequestResult.COMPLETE: Verdict.ANSWERED,
    RequestResult.DISCONNECTED: Verdict.CLIENT_DISCONNECTED,
    RequestResult.NO_CONNECTION: Verdict.NEVER_SENT,
}


def classify(request: ClientRequest, context: RequestContext) -> Verdict:
    """What a request's end says of its gateway."""
    if request.end in _BY_END:
        return _BY_END[request.end]
    if context.gateway_disturbed:
        return Verdict.DISTURBED
    if request.end is RequestResult.CLIENT_TIMEOUT:
        return Verdict.LOST_SILENT
    if request.follows_aborted_answer:
        return Verdict.BEHIND_ABORTED_ANSWER
    seconds = request.ended_at - request.sent_at
    if (
        request.end is RequestResult.PARTIAL
        and seconds >= ROUTE_TIMEOUT_SECONDS - SEND_SLACK_SECONDS
    ):
        return Verdict.TIMED_OUT
    if request.end is RequestResult.PARTIAL and not context.servers_are_healthy:
        return Verdict.ABORTED_BY_SERVER
    if context.runs or request.end is RequestResult.PARTIAL:
        return Verdict.LOST_AT_SERVER
    if request.is_pipelined:
        return Verdict.LOST_PIPELINED
    if request.position == 0:
        return Verdict.LOST_FIRST
    if seconds < CLOSE_RACE_SECONDS:
        return Verdict.RACED_WITH_CLOSE
    return Verdict.LOST_ON_KEEP_ALIVE
