"""One HTTP/1.1 connection of a client: reads and checks requests, and writes answers.

Requests of one connection are served one after the other. Limits on size and time come from the
configuration in force and may change while the connection is open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, Protocol, cast

from milletcourse.errors import Failure, InternalError, RequestTimeout
from milletcourse.exchange.attempts.planned_stop import ConnectionState
from milletcourse.exchange.limits.answer_memory import AnswerMemory
from milletcourse.exchange.limits.client_memory import MemoryShare
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.gateway.clients.answer_writer import AnswerWriter
from milletcourse.gateway.clients.lingering_close import LingeringClose
from milletcourse.gateway.clients.request_admission import (
    AdmissionState,
    HeadCheck,
    RequestAdmission,
    accept_any,
)
from milletcourse.gateway.clients.request_intake import RequestIntake
from milletcourse.gateway.clients.request_queue import RequestQueue
from milletcourse.gateway.clients.request_reader import ClientRequest, RequestReader
from milletcourse.gateway.telemetry.unanswered import (
    RequestPhase,
    UnansweredCause,
    UnansweredRequest,
)
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.sockets import unread_bytes
from milletcourse.runtime.turn_scheduler import TurnScheduler

MAX_JOINED_BODY_BYTES = 16 * 1024
"""A small body is written together with its head; a larger one is not copied for that."""


class EdgeState(AdmissionState, Protocol):
    """State of the gateway that a client connection needs."""

    def asks_clients_to_disconnect(self) -> bool:
        """Whether answers ask clients to close their connections."""

    def on_unanswered(self, request: UnansweredRequest) -> None:
        """A request that was read ends without a complete answer."""

    @property
    def parsing_turns(self) -> TurnScheduler:
        """Shares the time for parsing requests among the connections."""

    @property
    def answer_memory(self) -> AnswerMemory:
        """Memory that all connections hold for answers."""


Handler = Callable[[ClientRequest, "ClientConnection"], Coroutine[Any, Any, None]]
RefusalWriter = Callable[["ClientConnection", Failure], None]


class ClientConnection(asyncio.Protocol):
    """Parses requests and hands them to a handler, one at a time.

    Attributes:
        on_disconnected: Called when the client disconnects, None while nobody waits for that.
        is_disconnected: Whether the connection is closed.
        phase: How far the handler has come with the current request.
        memory_share: Memory that the connection holds for requests.
    """

    def __init__(
        self,
        edge: EdgeState,
        handler: Handler,
        refuse: RefusalWriter,
        *registries: set[ClientConnection],
        check_head: HeadCheck = accept_any,
    ) -> None:
        self.on_disconnected: Callable[[], None] | None = None
        self.is_disconnected = False
        self.phase = RequestPhase.DECIDING
        self._edge = edge
        self._handler = handler
        self._refuse = refuse
        self._registries = registries
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self.memory_share = MemoryShare(edge.client_memory, self.on_evicted)
        self._writer = AnswerWriter(edge.answer_memory, self._abort_slow_reader)
        self._admission = RequestAdmission(edge, self.memory_share, check_head)
        self._reader = RequestReader(self._admission, self)
        self._intake = RequestIntake(self, self._reader, edge.parsing_turns, self.memory_share)
        self._queue = RequestQueue(self.memory_share)
        self._task: asyncio.Task[None] | None = None
        self._streaming = False
        self._answered = False
        self._closing = False
        self._discarding = False
        self._lingering = LingeringClose()
        self._idle_since = elapsed_seconds()
        self._idle_limit = 0.0

    # -- state ----------------------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served, and the connection is not lingering."""
        if self._task is not None or self._queue or self._is_receiving():
            return False
        return not self._lingering.has_begun

    def state(self) -> ConnectionState:
        """State that a planned stop needs to decide when to close the connection."""
        return ConnectionState(self._idle_since, self.is_idle, self._count_unread_bytes())

    def _count_unread_bytes(self) -> int:
        if self._transport is None or self._transport.is_closing():
            return 0
        unread = unread_bytes(self._transport.get_extra_info("socket"))
        return unread + self._intake.unparsed_bytes

    def _is_receiving(self) -> bool:
        """Whether a part of a further request has been received."""
        return self._reader.incoming is not None or self._intake.unparsed_bytes > 0

    def _current_phase(self) -> RequestPhase:
        return RequestPhase.ANSWERING if self._answered else self.phase

    def _report_unanswered(
        self, request: ClientRequest, phase: RequestPhase, cause: UnansweredCause, error: str = ""
    ) -> None:
        """Report that a request that was read ends without a complete answer."""
        self._edge.on_unanswered(
            UnansweredRequest(request.fields, phase, cause, request.received_at, error)
        )

    def _drop_queue(self, cause: UnansweredCause) -> None:
        """Drop and report pipelined requests that can no longer be answered."""
        for request in self._queue.drop_waiting():
            self._report_unanswered(request, RequestPhase.QUEUED, cause)

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts; called several times per second."""
        if self._lingering.is_over(now):
            self.close()
        if self._task is not None or self._closing:
            return
        limits = self._edge.limits()
        incoming = self._reader.incoming
        if incoming is not None:
            bound = limits.header_timeout_seconds
            since = incoming.started_at
            if incoming.head_complete:
                bound = max(limits.idle_timeout_seconds, bound)
                since = incoming.last_byte_at
            if now - since > bound and not self._count_unread_bytes():
                self.on_intake_failure(RequestTimeout("the request was not received in time"))
        elif self._has_been_idle_for(max(self._idle_limit, limits.idle_timeout_seconds), now):
            self.close()

    def _has_been_idle_for(self, seconds: float, now: float) -> bool:
        """Whether nothing arrived for that long; unread data in the socket counts as arrived."""
        return now - self._idle_since > seconds and not self._count_unread_bytes()

    # -- answers --------------------------------------------------------------------------------

    def send_whole(
        self, status: int, reason: bytes, fields: list[HeaderField], body: bytes
    ) -> None:
        """Write a complete answer."""
        head = self._head_lines(status, reason, fields)
        if status != HTTPStatus.NO_CONTENT and status != HTTPStatus.NOT_MODIFIED:
            head.append(b"Content-Length: %d\r\n" % len(body))
        head.append(b"\r\n")
        if self._queue.current is not None and self._queue.current.method == b"HEAD":
            body = b""
        self._answered = True
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self._write(b"".join([*head, body]))
        else:
            self._write(b"".join(head), body)

    def begin_stream(self, status: int, reason: bytes, fields: list[HeaderField]) -> None:
        """Write the head of a chunked answer, whose length is unknown."""
        head = self._head_lines(status, reason, fields)
        head.append(b"Transfer-Encoding: chunked\r\n\r\n")
        self._streaming = True
        self._answered = True
        self._write(b"".join(head))

    def send_chunk(self, data: bytes) -> None:
        """Write a chunk of a stream."""
        if data:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Write the last chunk, which marks the stream as complete."""
        self._streaming = False
        self._write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Abort the connection so that an unfinished answer cannot look complete."""
        self._drop_queue(UnansweredCause.ANSWER_TRUNCATED)
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def abort_at_shutdown(self) -> None:
        """Report unfinished requests and abort the connection, since the process shuts down."""
        # The client did not disconnect.
        self.on_disconnected = None
        if self._queue.current is not None and (self._task is not None or self._writer.is_sending):
            self._report_unanswered(
                self._queue.current, self._current_phase(), UnansweredCause.GRACE_EXPIRED
            )
        self._drop_queue(UnansweredCause.GRACE_EXPIRED)
        self.abort()

    def close(self) -> None:
        """Close after all written data has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def _linger(self) -> None:
        """Close the sending direction and wait for the client to close the connection."""
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        self._lingering.begin(elapsed_seconds())
        self.update_reading()
        self._transport.write_eof()

    def _head_lines(self, status: int, reason: bytes, fields: list[HeaderField]) -> list[bytes]:
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason or _reason_of(status))]
        lines.extend(field.name + b": " + field.value + b"\r\n" for field in fields)
        if self._is_last_answer():
            self._closing = True
            lines.append(b"Connection: close\r\n")
        return lines

    def _is_last_answer(self) -> bool:
        """Whether the connection closes after this answer.

        A gateway that asks clients to disconnect still serves requests that were already received.
        """
        if self._queue.current is None or not self._queue.current.keep_alive:
            return True
        if not self._edge.asks_clients_to_disconnect():
            return False
        has_read_more = bool(self._queue) or self._is_receiving()
        return not has_read_more and not self._count_unread_bytes()

    def _write(self, *parts: bytes) -> None:
        if not self.is_disconnected:
            self._writer.write(*parts)

    def _abort_slow_reader(self) -> None:
        if self._queue.current is not None:
            self._report_unanswered(
                self._queue.current, RequestPhase.ANSWERING, UnansweredCause.SLOW_READER
            )
        self.abort()

    # -- asyncio.Protocol -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._writer.attach(self._transport)
        for registry in self._registries:
            registry.add(self)
        self._idle_since = elapsed_seconds()
        self._idle_limit = self._edge.limits().idle_timeout_seconds

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._is_discarding():
            self._lingering.on_received(elapsed_seconds())
        else:
            self._intake.receive(data)

    def eof_received(self) -> bool:
        """See `asyncio.Protocol`."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self.is_disconnected = True
        self._writer.close()
        self._intake.discard()
        self._queue.clear()
        for registry in self._registries:
            registry.discard(self)
        if self.on_disconnected is not None:
            self.on_disconnected()

    def pause_writing(self) -> None:
        """See `asyncio.Protocol`: the client has not read all that was written."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """See `asyncio.Protocol`: the client has read almost all of it."""
        self._writer.resume()

    # -- received data --------------------------------------------------------------------------

    def may_take_requests(self) -> bool:
        """Whether further requests may be parsed now."""
        if self._is_discarding():
            return False
        return self._task is None or not self._queue.is_full(self._reader.incoming)

    def _is_discarding(self) -> bool:
        return self._discarding or self._closing or self.is_disconnected

    def update_reading(self) -> None:
        """Read from the socket, or leave data in it, as the state of the connection requires."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_waiting = self._intake.unparsed_bytes or not self.may_take_requests()
        if self._is_discarding() or not is_waiting:
            if not transport.is_reading():
                transport.resume_reading()
        elif transport.is_reading():
            transport.pause_reading()

    def on_intake_failure(self, failure: Failure) -> None:
        """The received data ends the connection; requests before it are still answered."""
        self._intake.discard()
        if self._is_discarding():
            return
        self._discarding = True
        self._enqueue(ClientRequest.refused(failure, elapsed_seconds()))

    def on_evicted(self) -> None:
        """The memory of the request that is being received is needed for others."""
        self.on_intake_failure(self._admission.out_of_memory())

    def refuse_incomplete(self, detail: str) -> None:
        """Refuse the request that is being received, and close the connection."""
        self.on_intake_failure(self._admission.exhausted(detail))

    def on_expects_continue(self) -> None:
        """The client waits for a sign that it may send the body."""
        if self._task is None:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_request(self, request: ClientRequest) -> None:
        """A request is complete."""
        if not self._is_discarding():
            self._admission.admit(request)
            self._enqueue(request)

    # -- internals ------------------------------------------------------------------------------

    def _enqueue(self, request: ClientRequest) -> None:
        self._queue.add(request)
        if self._task is None:
            self._serve_next()

    def _serve_next(self) -> None:
        request = self._queue.take()
        self._streaming = False
        self._answered = False
        self.phase = RequestPhase.DECIDING
        if request.failure is not None:
            self._refuse(self, request.failure)
            self._linger()
            return
        self._task = self._loop.create_task(self._handler(request, self))
        self._task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self._queue.on_served()
        self._task = None
        self.on_disconnected = None
        failed = task.cancelled() or task.exception() is not None
        if failed:
            self._end_failed(task)
        if self._streaming or not self._answered:
            self.abort()
        if self.is_disconnected:
            return
        if self._closing:
            self._drop_queue(UnansweredCause.CONNECTION_CLOSING)
            self._linger()
            return
        self._idle_since = elapsed_seconds()
        self._idle_limit = self._edge.limits().idle_timeout_seconds
        if self._queue:
            self._serve_next()
        self._intake.resume()

    def _end_failed(self, task: asyncio.Task[None]) -> None:
        """Report a failed handler, to the client too unless a part of an answer was written."""
        assert self._queue.current is not None
        error = "cancelled" if task.cancelled() else repr(task.exception())
        self._report_unanswered(
            self._queue.current, self._current_phase(), UnansweredCause.HANDLER_FAILED, error
        )
        if not self._answered and not self.is_disconnected:
            self._refuse(self, InternalError("internal error; the request may have been executed"))


def _reason_of(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
