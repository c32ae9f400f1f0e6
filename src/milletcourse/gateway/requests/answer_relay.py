"""What one client has got of its answer, over all attempts of its request."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.messages import AnswerHead, ExchangeRequest
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.telling.recorder import Recorder
from milletcourse.gateway.telling.unanswered import RequestPhase


class ServerFailure(msgspec.Struct):
    """A server's whole answer with a failure status."""

    head: AnswerHead
    body: bytes


class AnswerRelay:
    """Passes answers on to a client.

    Attributes:
        begun: The head of a stream has gone to the client.
        last_event_id: Event after which a stream goes on.
        failure: The latest server's own failure, passed on when nothing better comes.
        first_seconds: Time from the request to the first byte of its answer, 0 before.
        longest_gap_seconds: Longest pause between two pieces of the answer.
    """

    def __init__(
        self, request: ExchangeRequest, client: ClientConnection, recorder: Recorder
    ) -> None:
        self.has_started = False
        self.last_event_id = request.last_event_id
        self.failure: ServerFailure | None = None
        self.first_seconds = 0.0
        self.longest_gap_seconds = 0.0
        self._last_chunk_at = 0.0
        self._request = request
        self._client = client
        self._recorder = recorder

    def note_phase(self, phase: RequestPhase) -> None:
        """How far the request has come; a stream that has begun doesn't go back."""
        if not self.has_started:
            self._client.phase = phase

    def pass_whole(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a successful answer."""
        self._begin()
        self._client.send_whole(head.status, head.reason, head.fields, body)

    def pass_failure(self, failure: ServerFailure) -> None:
        """Pass on a server's own failure, unchanged."""
        head = failure.head
        self._client.send_whole(head.status, head.reason, head.fields, failure.body)

    def pass_events(self, head: AnswerHead, data: bytes, last_event_id: str) -> None:
        """Pass on events of a stream; its head is the first server's."""
        if not self.has_started:
            self.has_started = True
            self._begin()
            self._client.begin_stream(head.status, head.reason, head.fields)
        now = self._recorder.now()
        self.longest_gap_seconds = max(self.longest_gap_seconds, now - self._last_chunk_at)
        self._last_chunk_at = now
        self._client.send_chunk(data)
        self.last_event_id = last_event_id or self.last_event_id

    def _begin(self) -> None:
        self._last_chunk_at = self._recorder.now()
        self.first_seconds = self._last_chunk_at - self._request.received_at
        self._recorder.first_answer(self.first_seconds)

    def end_stream(self) -> None:
        """The stream is complete."""
        self._client.end_stream()
