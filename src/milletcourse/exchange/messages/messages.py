"""Typed messages between the edge, the attempts and the servers."""

from __future__ import annotations

from enum import Enum

import msgspec

from milletcourse.exchange.messages.signal_headers import (
    NO_BACK_OFF,
    NO_LIMIT,
    NOT_LEAVING,
    BackOffHeader,
    LeavingHeader,
    LimitHeader,
)


class PromptPart(msgspec.Struct, frozen=True):
    """One declared part of a prompt, in its order; parts are shared between requests.

    Attributes:
        name: Identity of the part's content.
        tokens: Its length.
    """

    name: str
    tokens: int


class HeaderField(msgspec.Struct, frozen=True):
    """One header field as it was received; the name keeps its case."""

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
        request_id: Identity of this client attempt; empty when it has none.
        key: The tenant's key; empty when there is none.
        deadline_seconds: How long the client waits, None when it does not say.
        last_event_id: Event after which the client resumes a stream; empty for none.
        model: Declared model; empty for none.
        prompt_parts: Declared parts of the prompt.
        prompt_tokens: Declared length of the prompt.
        output_tokens: Most tokens that are generated.
        received_at: Monotonic time of the first byte.
        declares_tokens: Whether both numbers of tokens are the client's.
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
    """What a gateway itself says to a server about one attempt.

    Attributes:
        instance: Incarnation that must run it.
        deadline_seconds: What is left of the client's time.
        tenant: Name of the tenant; empty for public routes.
        weight_version: Version of the weights that must run it, None for plain applications.
        cache_salt: Scope of the kept prompt state; empty for none.
        cache_source: `host:port` to take kept state from; empty for none.
        cache_target: `host:port` to send kept state to; empty for none.
        last_event_id: Event after which the stream goes on; empty for none.
    """

    instance: str
    deadline_seconds: float
    tenant: str = ""
    weight_version: int | None = None
    cache_salt: str = ""
    cache_source: str = ""
    cache_target: str = ""
    last_event_id: str = ""


class AnswerHead(msgspec.Struct):
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        fields: Header fields that may be passed on.
        request_id: Identity of the request that it answers; empty when missing.
        signed: It carries the server's signature.
        instance: Incarnation that answers; empty when it isn't told.
        not_executed: The server says that the request has not run and will not.
        weight_version: Version of the weights that it tells, None when missing.
        keep_alive_seconds: Idle time after which the server closes, None when not told.
        content_length: Length of the body, None when not told.
        chunked: The body is sent in chunks.
        closing: The server closes the connection after it.
        encoded: The body has a content encoding, so it isn't the server's own.
        event_stream: The body is a series of events.
        limit: Requests a second that the server takes, as it says now.
        leaving: Whether the server leaves, as it says.
        back_off: Time for which a server that refuses wants no more.
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
    leaving: LeavingHeader = NOT_LEAVING
    back_off: BackOffHeader = NO_BACK_OFF

    @property
    def framed(self) -> bool:
        """Whether the end of the body shows without the end of the connection."""
        return self.chunked or self.content_length is not None or self.status in (204, 304)

    @property
    def successful(self) -> bool:
        """Whether it is a 2xx."""
        return 200 <= self.status < 300


class AbortCause(Enum):
    """Why a gateway itself gave up an attempt."""

    CLIENT_DISCONNECTED = "client-gone"
    DEADLINE_EXCEEDED = "time-up"
    SERVER_SILENT = "silent"
    """Nothing came from the server for too long."""
    HANDED_OVER = "handed-over"
    """Another server goes on with its stream."""
    FIRST_CONTINUED = "first-went-on"
    """It was asked to go on with a stream, and the server that had it did."""
    OVERLAP_TIMEOUT = "overlap-over"
    """It was asked to go on with a stream, and didn't begin soon enough."""
    SERVER_LIMIT = "server-limit"
    """The server named a limit, or the permit became old, before the request went out."""
    SERVER_LEAVING = "server-leaving"
    """The server said that it leaves before the request went out."""
    SERVER_BACKING_OFF = "server-resting"
    """The server asked for rest before the request went out."""
    LOCAL_RESOURCES = "own-means"
    """This gateway has no descriptor for a connection."""
    VERSION_BOUND = "version-bound"
    """The server's weights are too old for work that begins now."""


class AttemptResult(Enum):
    """How an attempt at one server ended."""

    NOT_SENT = "not-sent"
    """No connection came up."""
    REJECTED = "turned-away"
    """The server said that it did not run."""
    WRONG_INSTANCE = "wrong-instance"
    """Another incarnation answered; it did not run."""
    WRONG_VERSION = "wrong-version"
    """The incarnation has another weight version; it did not run."""
    LOST = "lost"
    """The connection ended, was silent or garbled after the request was sent; it may have run."""
    FAILED = "failed"
    """A whole answer with a failure."""
    ANSWERED = "answered"
    """A whole answer was passed on."""
    TRUNCATED = "cut"
    """A stream that was partly passed on broke off."""
