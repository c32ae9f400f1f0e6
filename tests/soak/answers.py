"""Classifies the result of each request of a soak: lost by a gateway, or excused and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestResult(Enum):
    """Result of a request as its client observed it."""

    COMPLETE = "whole"
    """A complete answer with any status."""
    PARTIAL = "partial"
    """The connection closed in the middle of an answer."""
    NO_ANSWER = "nothing"
    """The connection closed before the first byte of an answer."""
    NO_CONNECTION = "no-connection"
    """The connection could not be established, so nothing was sent."""
    CLIENT_TIMEOUT = "too-long"
    """The client's timeout expired."""
    DISCONNECTED = "left"
    """The client disconnected deliberately."""


class Verdict(Enum):
    """Classification of a request: answered, excused, or lost by its gateway."""

    ANSWERED = "answered"
    UNFINISHED = "unfinished"
    """The soak ended before the request did."""
    ABORTED_BY_SERVER = "cut-by-server"
    """A server with injected faults aborted its answer."""
    BEHIND_ABORTED_ANSWER = "behind-cut"
    """Pipelined behind a request whose answer was aborted together with the connection."""
    TIMED_OUT = "timed-out"
    """The route's timeout expired in the middle of the answer."""
    DISTURBED = "disturbed"
    """Its gateway was killed or suspended while the request was running."""
    NEVER_SENT = "never-sent"
    CLIENT_DISCONNECTED = "client-left"
    RACED_WITH_CLOSE = "crossed-close"
    """Sent on a keep-alive connection while the gateway's close of it was in transit."""
    LOST_FIRST = "lost-first"
    """First request on a connection that the gateway host's kernel had accepted."""
    LOST_ON_KEEP_ALIVE = "lost-kept"
    """Written completely on a keep-alive connection, long before the connection was closed."""
    LOST_PIPELINED = "lost-ahead"
    """Pipelined behind a request that was answered."""
    LOST_AT_SERVER = "lost-at-server"
    """The gateway had forwarded the request to a server."""
    LOST_SILENT = "lost-silent"
    """No answer arrived within the client's deadline."""


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
"""Timeout of the routes in the stand-in configuration; a gateway aborts a stream after it."""
SEND_SLACK_SECONDS = 0.2
"""The gateway's timeout starts at the first byte of a request; the rig's clock starts after the
last byte, and later still when its event loop is delayed."""
CLOSE_RACE_SECONDS = 0.2
"""Longest time between a request and a close that cross in the socket buffers of one machine."""


@dataclass
class ClientRequest:
    """One request as its client observed it.

    Attributes:
        request_id: Value of the Request-Id header.
        kind: Name of the route.
        is_pipelined: Sent directly behind another request on the same connection.
        follows_aborted_answer: The answer to that other request was aborted.
        gateway: Name of the gateway.
        position: Number of requests sent earlier on the same connection.
        sent_at: Monotonic seconds when the kernel had its last byte, 0 before that.
        ended_at: Monotonic seconds when its result was observed.
        end: Its result, None while it runs.
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
    """Conditions under which a request ran.

    Attributes:
        runs: How many times servers started to execute it.
        servers_are_healthy: No server aborts or drops answers because of injected faults.
        gateway_disturbed: Its gateway was killed or suspended between its send and its result.
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
    """Classify the result of a request under its conditions."""
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
