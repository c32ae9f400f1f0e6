"""Reads the requests of one client connection, within the size limits in force."""

from __future__ import annotations

from io import BytesIO
from typing import Protocol

import httptools
import msgspec

from milletcourse.errors import BodyTooLarge, Failure, HeadersTooLarge, MalformedRequest
from milletcourse.exchange.limits.client_memory import LARGE_BODY_BYTES, request_bytes
from milletcourse.exchange.messages.message_bounds import REQUEST_PIECE_BYTES, MessageBounds
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.exchange.messages.records import EdgeLimits
from milletcourse.runtime.clock import elapsed_seconds

FIELD_OVERHEAD_BYTES = 4
"""Colon, space and line end of a header field."""


class ClientRequest(msgspec.Struct):
    """A complete request as received.

    Attributes:
        method: HTTP method.
        target: Raw path and query.
        fields: All header fields.
        body: Complete body.
        memory_bytes: Memory that it takes.
        received_at: Monotonic time of its first byte.
        keep_alive: Whether the client wants to keep the connection open.
        failure: Why the request cannot be served, None for a valid request.
    """

    method: bytes
    target: bytes
    fields: list[HeaderField]
    body: bytes
    memory_bytes: int
    received_at: float
    keep_alive: bool
    failure: Failure | None = None

    @classmethod
    def refused(cls, failure: Failure, now: float) -> ClientRequest:
        """Stands for data that forms no request that could be served."""
        return cls(
            method=b"",
            target=b"",
            fields=[],
            body=b"",
            memory_bytes=0,
            received_at=now,
            keep_alive=False,
            failure=failure,
        )


class IncomingRequest(msgspec.Struct):
    """A request that is being received.

    Attributes:
        bounds: Bounds on its head, and on the framing and the trailers of its body.
        head_bytes: Size of the request target and the header fields.
        body: Its body so far; one buffer, since a chunk may carry a single byte.
        trailer_bytes: Size of the trailer fields.
        max_body_bytes: Bound on the size of the body.
        declared_bytes: Size of the body by Content-Length, 0 for a chunked one.
        work: Number of parser callbacks for it.
        is_large: Its body is large and may be received.
    """

    bounds: MessageBounds
    started_at: float = 0.0
    last_byte_at: float = 0.0
    target: bytes = b""
    fields: list[HeaderField] = []
    body: BytesIO = msgspec.field(default_factory=BytesIO)
    head_bytes: int = 0
    trailer_bytes: int = 0
    body_bytes: int = 0
    max_body_bytes: int = 0
    declared_bytes: int = 0
    work: int = 0
    head_complete: bool = False
    expects_continue: bool = False
    is_large: bool = False
    failure: Failure | None = None

    @property
    def memory_bytes(self) -> int:
        """Memory that it takes so far."""
        head_bytes = self.head_bytes + self.trailer_bytes
        return request_bytes(head_bytes, len(self.fields), self.body_bytes)


class Admission(Protocol):
    """Decides what is taken before a request is complete."""

    def limits(self) -> EdgeLimits:
        """Limits in force."""

    def max_body_bytes(self) -> int:
        """Size of the largest body that can be taken."""

    def check_large_body(self, head: ClientRequest, size: int) -> Failure | None:
        """Why a request with a large body cannot be served, None if it may be."""


class RequestListener(Protocol):
    """The connection whose requests are read."""

    def on_expects_continue(self) -> None:
        """The client waits for a sign that it may send the body."""

    def on_request(self, request: ClientRequest) -> None:
        """A request is complete."""


class RequestReader:
    """Parses bytes into complete requests.

    Attributes:
        incoming: The request that is being received, None between two requests.
        work: Number of parser callbacks so far, to which the time for parsing is in proportion.
    """

    def __init__(self, admission: Admission, listener: RequestListener) -> None:
        self.incoming: IncomingRequest | None = None
        self.work = 0
        self._admission = admission
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._piece_bytes = 0
        self._begins_with_piece = True

    def feed(self, data: memoryview) -> Failure | None:
        """Parse a piece of received data, at most `REQUEST_PIECE_BYTES` long.

        Returns:
            The failure that ends the connection, None otherwise.
        """
        now = elapsed_seconds()
        self._begins_with_piece = self.incoming is None
        if self.incoming is None:
            # The timeouts also apply to bytes that never form a request.
            self.incoming = self._new_request(now)
        self.incoming.last_byte_at = now
        self.incoming.bounds.on_received(len(data))
        self._piece_bytes = len(data)
        malformed = self._parse(data)
        incoming = self.incoming
        if incoming is None:
            return malformed
        if incoming.failure is not None:
            return incoming.failure
        if malformed is None and not incoming.bounds.is_within():
            return HeadersTooLarge("the head, the trailers or the chunk framing are too large")
        return malformed

    def _new_request(self, now: float) -> IncomingRequest:
        max_stretch_bytes = self._admission.limits().max_header_bytes
        if not self._begins_with_piece:
            # The piece is counted from its start, which belongs to the request before.
            max_stretch_bytes += REQUEST_PIECE_BYTES
        return IncomingRequest(MessageBounds(max_stretch_bytes), now, now)

    def _parse(self, data: memoryview) -> Failure | None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            return self._decline_upgrade(bytes(data[int(offer.args[0]) :]))
        except httptools.HttpParserError as error:
            return MalformedRequest(f"not a valid HTTP/1.1 request: {type(error).__name__}")
        return None

    def _decline_upgrade(self, rest: bytes) -> Failure | None:
        """Continue in HTTP/1.1 when a client offers another protocol (RFC 9110, section 7.8).

        The parser then treats the end of the head as the end of the request and would drop the
        body. A new parser therefore reads the request from the start, without the Upgrade field.
        """
        incoming = self.incoming
        method = self._parser.get_method()
        if incoming is None or method == b"CONNECT":
            return MalformedRequest("CONNECT is not supported")
        if incoming.failure is not None:
            return incoming.failure
        fields = [field for field in incoming.fields if field.name.lower() != b"upgrade"]
        lines = [b"%b %b HTTP/1.1\r\n" % (method, incoming.target)]
        lines.extend(field.name + b": " + field.value + b"\r\n" for field in fields)
        self._parser = httptools.HttpRequestParser(self)
        return self._parse(memoryview(b"".join(lines) + b"\r\n" + rest))

    # -- httptools callbacks --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of a request."""
        self.incoming = self._new_request(elapsed_seconds())
        self.incoming.bounds.on_received(self._piece_bytes)
        self._begins_with_piece = False

    def _count_work(self) -> IncomingRequest:
        incoming = self.incoming
        assert incoming is not None
        self.work += 1
        incoming.work += 1
        return incoming

    def on_url(self, target: bytes) -> None:
        """Raw path and query."""
        incoming = self._count_work()
        incoming.target += target
        incoming.head_bytes += len(target)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header or trailer field."""
        incoming = self._count_work()
        value = value or b""
        size = len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if incoming.head_complete:
            self._on_trailer(incoming, HeaderField(name, value), size)
            return
        incoming.head_bytes += size
        incoming.fields.append(HeaderField(name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            incoming.expects_continue = True
        if name.lower() == b"content-length":
            # The parser has checked that it is a number.
            incoming.declared_bytes = int(value)

    def _on_trailer(self, incoming: IncomingRequest, field: HeaderField, size: int) -> None:
        incoming.trailer_bytes += size
        if incoming.trailer_bytes > self._admission.limits().max_header_bytes:
            incoming.failure = HeadersTooLarge("the trailers of the request are too large")
            return
        incoming.fields.append(field)

    def on_headers_complete(self) -> None:
        """End of the head."""
        incoming = self.incoming
        assert incoming is not None
        incoming.head_complete = True
        incoming.bounds.on_head_complete()
        incoming.max_body_bytes = self._admission.max_body_bytes()
        if incoming.head_bytes > self._admission.limits().max_header_bytes:
            incoming.failure = HeadersTooLarge("the head of the request is too large")
            return
        self._check_body_size(incoming, incoming.declared_bytes)
        if incoming.failure is not None:
            return
        if incoming.expects_continue and not self._parser.should_upgrade():
            self._listener.on_expects_continue()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        incoming = self._count_work()
        if incoming.failure is not None:
            return
        incoming.bounds.on_body(len(body))
        incoming.body_bytes += len(body)
        self._check_body_size(incoming, incoming.body_bytes)
        if incoming.failure is None:
            incoming.body.write(body)

    def _check_body_size(self, incoming: IncomingRequest, size: int) -> None:
        """Decide as early as possible whether the body can be taken."""
        if size > incoming.max_body_bytes:
            incoming.failure = BodyTooLarge("the body of the request is too large")
        elif size > LARGE_BODY_BYTES and not incoming.is_large:
            incoming.is_large = True
            incoming.failure = self._admission.check_large_body(self._request(incoming, b""), size)

    def on_message_complete(self) -> None:
        """End of the request: hand it to the connection."""
        incoming = self.incoming
        assert incoming is not None
        if incoming.failure is not None or self._parser.should_upgrade():
            return
        self.incoming = None
        self._listener.on_request(self._request(incoming, incoming.body.getvalue()))

    def _request(self, incoming: IncomingRequest, body: bytes) -> ClientRequest:
        return ClientRequest(
            method=self._parser.get_method(),
            target=incoming.target,
            fields=incoming.fields,
            body=body,
            memory_bytes=incoming.memory_bytes,
            received_at=incoming.started_at,
            keep_alive=self._parser.should_keep_alive(),
        )
