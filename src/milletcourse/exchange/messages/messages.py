"""Typed messages between the edge, the attempts and the servers."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.answer_end import Framing
from milletcourse.exchange.messages.signal_headers import (
    NO_BACK_OFF,
    NO_LIMIT,
    NOT_LEAVING,
    BackOffHeader,
    LeavingHeader,
    LimitHeader,
)

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of answers that have no body."""
MISDIRECTED = 421
"""Status of a server that is not the one a request names, or that has other weights."""


class PromptPart(msgspec.Struct, frozen=True):
    """One declared part of a prompt, in its order; parts are shared between requests.

    Attributes:
        name: Identity of the part's content.
        tokens: Its length.
    """

    name: str
    tokens: int


class HeaderField(msgspec.Struct, frozen=True):
    """One header field as received; the name keeps its case."""

    name: bytes
    value: bytes


class ExchangeRequest(msgspec.Struct):
    """A whole request of a client.

    Attributes:
        method: HTTP method.
        target: Raw path and query.
        host: Value of the Host header.
        fields: Header fields that are passed on unchanged.
        body: Whole body.
        request_id: Id of this attempt of the client; empty for none.
        key: The tenant's API key; empty for none.
        deadline_seconds: How long the client waits, None when it doesn't declare it.
        last_event_id: Event after which the client resumes a stream; empty for none.
        model: Declared model; empty for none.
        prompt_parts: Declared parts of the prompt.
        prompt_tokens: Declared length of the prompt.
        output_tokens: Maximum number of generated tokens.
        received_at: Monotonic time of the first byte.
        declares_tokens: Whether the client declared both token counts.
        resumes: Id of the client's attempt that got the first event of the stream that this one
            resumes; empty for none.
    """

    method: bytes
    target: bytes
    host: str
    fields: list[HeaderField]
    body: bytes
    request_id: str
    key: str
    deadline_seconds: float | None
    last_event_id: str
    model: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    received_at: float
    declares_tokens: bool = True
    resumes: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def shared_parts(self) -> int:
        """Number of parts that other requests may share: all but the last."""
        return max(len(self.prompt_parts) - 1, 0)

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.prompt_parts[: self.shared_parts])


class Dispatch(msgspec.Struct):
    """Header values that a gateway adds to one attempt at a server.

    Attributes:
        instance: Incarnation that must run the request.
        deadline_seconds: Remaining time of the client.
        tenant: Name of the tenant; empty for public routes.
        weight_version: Version of the weights that must run it, None for plain applications.
        cache_salt: Scope of the cached prompt state; empty for none.
        cache_source: `host:port` to fetch cached state from; empty for none.
        cache_target: `host:port` to send cached state to; empty for none.
        last_event_id: Event after which the stream resumes; empty for none.
        priority: Rank in the server's queue, 0 for the most urgent; None for that of new requests.
    """

    instance: str
    deadline_seconds: float
    tenant: str = ""
    weight_version: int | None = None
    cache_salt: str = ""
    cache_source: str = ""
    cache_target: str = ""
    last_event_id: str = ""
    priority: int | None = None


class AnswerHead(msgspec.Struct):
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        fields: Header fields that may be passed on.
        request_id: Id of the request that it answers; empty when missing.
        signed: It carries the server's signature.
        instance: Incarnation that answers; empty when not given.
        not_executed: The server reports that the request has not run and will not run.
        weight_version: Version of the weights that ran the request, None when missing.
        keep_alive_seconds: Idle time after which the server closes the connection, None when not
            given.
        content_length: Length of the body in bytes, None when not given.
        chunked: The body is sent in chunks.
        closing: The server closes the connection after this answer.
        encoded: The body has a content encoding, so the server itself did not produce it.
        event_stream: The body is an event stream.
        limit: Request limit that the server reports.
        rejection_limit: Rejections per second beyond which the server crashes, as it reports.
        leaving: Whether the server reports that it is shutting down.
        back_off: Back-off that a refusing server requests.
        has_conflicts: Its parts contradict each other, so that it answers no request.
    """

    status: int
    reason: bytes
    fields: list[HeaderField]
    request_id: str
    signed: bool
    instance: str
    not_executed: bool
    weight_version: int | None
    keep_alive_seconds: float | None
    content_length: int | None
    chunked: bool
    closing: bool
    encoded: bool
    event_stream: bool
    limit: LimitHeader = NO_LIMIT
    rejection_limit: LimitHeader = NO_LIMIT
    leaving: LeavingHeader = NOT_LEAVING
    back_off: BackOffHeader = NO_BACK_OFF
    has_conflicts: bool = False

    @property
    def framing(self) -> Framing:
        """What marks the end of the body, unless the request was a HEAD."""
        if self.status in BODYLESS_STATUSES:
            return Framing.NO_BODY
        if self.chunked:
            return Framing.CHUNKED
        return Framing.CONNECTION if self.content_length is None else Framing.LENGTH

    @property
    def successful(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class AbortCause(Enum):
    """Why a gateway aborted an attempt."""

    CLIENT_DISCONNECTED = "client-gone"
    DEADLINE_EXCEEDED = "time-up"
    SERVER_SILENT = "silent"
    """The server sent nothing for too long."""
    HANDED_OVER = "handed-over"
    """Another server continues the stream."""
    FIRST_CONTINUED = "first-went-on"
    """This attempt was to take over a stream, but the first server continued it."""
    OVERLAP_TIMEOUT = "overlap-over"
    """This attempt was to take over a stream, but didn't start within the overlap time."""
    SERVER_LIMIT = "server-limit"
    """Before the request was sent, the server reported a limit or the permit expired."""
    SERVER_LEAVING = "server-leaving"
    """Before the request was sent, the server reported that it is shutting down."""
    SERVER_BACKING_OFF = "server-resting"
    """Before the request was sent, the server requested a back-off."""
    SERVER_UNREACHABLE = "unreachable"
    """This gateway reaches no server, and no other gateway helped."""
    REQUEST_UNDELIVERED = "undelivered"
    """The server doesn't acknowledge the request, since the path to it is lost."""
    LOCAL_RESOURCES = "own-means"
    """This gateway has no file descriptor left for a connection."""
    SHUTTING_DOWN = "shutting-down"
    """This gateway's planned stop leaves the request no time."""
    VERSION_BOUND = "version-bound"
    """The server's weights are too old for work that starts now."""


class AttemptResult(Enum):
    """How an attempt at one server ended."""

    NOT_SENT = "not-sent"
    """No connection was established."""
    REJECTED = "turned-away"
    """The server reported that it did not run."""
    WRONG_INSTANCE = "wrong-instance"
    """Another incarnation answered; it did not run."""
    WRONG_VERSION = "wrong-version"
    """The incarnation has another weight version; it did not run."""
    LOST = "lost"
    """The connection was closed, idle too long or garbled after the request was sent; it may have
    run."""
    FAILED = "failed"
    """The server gave a complete answer that reports a failure."""
    ANSWERED = "answered"
    """A complete answer was relayed."""
    TRUNCATED = "cut"
    """A partly relayed stream was interrupted."""
