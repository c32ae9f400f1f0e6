"""Relays one answer to a client and tracks what was sent, across all attempts of its request."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import AnswerHead, ExchangeRequest
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.telemetry.recorder import Recorder
from milletcourse.gateway.telemetry.unanswered import RequestPhase


class ServerFailure(msgspec.Struct):
    """A server's complete answer with a failure status."""

    head: AnswerHead
    body: bytes


class AnswerRelay:
    """Relays answers to a client.

    Attributes:
        has_started: Whether the head of a stream has been sent to the client.
        last_event_id: Id of the event after which a stream resumes.
        failure: The latest failure returned by a server. It is relayed when no attempt succeeds.
        first_byte_seconds: Seconds from the request to the first byte of its answer, else 0.
        longest_gap_seconds: Longest pause in seconds between two chunks of the answer.
    """

    def __init__(
        self, request: ExchangeRequest, client: ClientConnection, recorder: Recorder
    ) -> None:
        self.has_started = False
        self.last_event_id = request.last_event_id
        self.failure: ServerFailure | None = None
        self.first_byte_seconds = 0.0
        self.longest_gap_seconds = 0.0
        self._last_chunk_at = 0.0
        self._request = request
        self._client = client
        self._recorder = recorder

    def note_phase(self, phase: RequestPhase) -> None:
        """Record the phase of the request; once a stream has started, the phase stays."""
        if not self.has_started:
            self._client.phase = phase

    def pass_whole(self, head: AnswerHead, body: bytes) -> None:
        """Relay a complete successful answer."""
        self._begin()
        self._client.send_whole(head.status, head.reason, head.fields, body)

    def pass_failure(self, failure: ServerFailure) -> None:
        """Relay a server's failure unchanged."""
        head = failure.head
        self._client.send_whole(head.status, head.reason, head.fields, failure.body)

    def pass_events(self, head: AnswerHead, data: bytes, last_event_id: str) -> None:
        """Relay events of a stream. The client gets only the head of the first server."""
        self._begin_stream(head)
        now = self._recorder.now()
        self.longest_gap_seconds = max(self.longest_gap_seconds, now - self._last_chunk_at)
        self._last_chunk_at = now
        self._client.send_chunk(data)
        self.last_event_id = last_event_id or self.last_event_id

    def _begin(self) -> None:
        self._last_chunk_at = self._recorder.now()
        self.first_byte_seconds = self._last_chunk_at - self._request.received_at
        self._recorder.first_answer(self.first_byte_seconds)

    def _begin_stream(self, head: AnswerHead) -> None:
        if self.has_started:
            return
        self.has_started = True
        self._begin()
        self._client.begin_stream(head.status, head.reason, head.fields)

    def end_stream(self, head: AnswerHead) -> None:
        """Mark the stream as complete; one that is resumed after its last event has no events."""
        self._begin_stream(head)
        self._client.end_stream()
