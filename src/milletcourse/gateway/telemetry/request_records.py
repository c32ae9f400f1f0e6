"""What log lines say of single attempts, streams and refusals."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from milletcourse.exchange.evidence.request_identity import RequestFeatures
from milletcourse.exchange.messages.answer_end import AnswerEnd
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.gateway.telemetry.connection_records import ConnectionUse


class RequestEnd(StrEnum):
    """How a request ended that this gateway didn't answer with a failure of its own."""

    SERVED = "served"
    CUT = "cut"
    PASSED_FAILURE = "passed-failure"
    CLIENT_LEFT = "client-left"
    UNANSWERED = "unanswered"


class AnsweredAttempt(msgspec.Struct, frozen=True):
    """An attempt at a server that completed the answer.

    Attributes:
        instance: Incarnation of the server.
        software_version: Version of the server's software.
        through: Name of the gateway that relayed the connection; empty for a direct one.
        answer_end: How the answer ended, None when it is unknown.
        cache_salt: Salt under which the server read and kept prompt state; empty for none.
        connection_use: The request on its connection.
    """

    instance: str
    software_version: str | None
    through: str
    answer_end: AnswerEnd | None
    cache_salt: str
    connection_use: ConnectionUse | None


class FailedAttempt(msgspec.Struct, frozen=True):
    """An attempt at a server that returned no answer.

    Attributes:
        instance: Incarnation of the server.
        software_version: Version of the server's software.
        address: `host:port` of the server: shows whether successive incarnations fail alike.
        result: How the attempt ended.
        loss: Why the connection was lost before a complete answer, None when it was not.
        answer_end: How the answer ended, None when none had started.
        abort_cause: Why this gateway aborted the attempt, None when it did not.
        features: Identities of the request's content and shared prompt parts: show whether the same
            request fails at any server, and what requests that fail have in common.
        connect_seconds: Time spent on a connection to the server before the request was sent.
        through: Name of the gateway that relayed the connection; empty for a direct one.
        answers_others: The server has recently answered requests of this or other gateways.
        connection_use: The request on its connection, None when it was not sent.
    """

    instance: str
    software_version: str | None
    address: str
    result: AttemptResult
    loss: str | None
    answer_end: AnswerEnd | None
    abort_cause: str | None
    features: RequestFeatures
    connect_seconds: float
    through: str
    answers_others: bool
    connection_use: ConnectionUse | None


class OverloadState(msgspec.Struct, frozen=True):
    """The best server's load, and the servers left out, when a request was refused for its wait.

    Attributes:
        instance: The best server.
        own_requests: Requests of this gateway there.
        own_tokens: Prompt tokens of this gateway that wait there.
        other_requests: Requests that the other gateways report there.
        other_tokens: Prompt tokens that the other gateways report there.
        servers: Servers that may run the request.
        ejected: Those of them that failed for this gateway.
        suspected: Those of them that failed for several gateways.
    """

    instance: str
    own_requests: int
    own_tokens: int
    other_requests: int
    other_tokens: int
    servers: int
    ejected: int
    suspected: int


class VisitedServer(msgspec.Struct, frozen=True):
    """Outcome of a stream at one of its servers.

    Attributes:
        instance: Incarnation of the server.
        result: How the attempt ended.
        left: Why this gateway aborted the attempt, None when it did not.
        at: Seconds from the request to the attempt's end.
        silent: Seconds of responsive time without data from the server, when this gateway aborted
            the attempt for silence.
        absent: Additional seconds in which this gateway's event loop was stalled.
    """

    instance: str
    result: AttemptResult
    left: str | None
    at: float
    silent: float
    absent: float


class StreamTruncation(msgspec.Struct, frozen=True):
    """Why a stream was truncated after a part of it had been sent to its client.

    Attributes:
        servers: All servers that it was sent to, in the order in which their attempts ended.
        ended_for: Cause that ended the request, None when no server was left for it.
        admitted_under: Version of the configuration under which it was admitted.
        configuration: Version in force at the truncation.
    """

    servers: list[VisitedServer]
    ended_for: str | None
    admitted_under: int
    configuration: int
