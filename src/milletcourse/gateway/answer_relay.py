"""What one client has got of its answer, over all attempts of its request."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages import AnswerHead, ExchangeRequest
from milletcourse.gateway.client_connection import ClientConnection
from milletcourse.gateway.recorder import Recorder


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
    """

    def __init__(
        self, request: ExchangeRequest, client: ClientConnection, recorder: Recorder
    ) -> None:
        self.begun = False
        self.last_event_id = request.last_event_id
        self.failure: ServerFailure | None = None
        self._request = request
        self._client = client
        self._recorder = recorder

    def pass_whole(self, head: AnswerHead, body: bytes) -> None:
        """Pass on a successful answer."""
        self._recorder.first_answer(self._request)
        self._client.send_whole(head.status, head.reason, head.fields, body)

    def pass_failure(self, failure: ServerFailure) -> None:
        """Pass on a server's own failure, unchanged."""
        self._recorder.passed_failure()
        head = failure.head
        self._client.send_whole(head.status, head.reason, head.fields, failure.body)

    def pass_events(self, head: AnswerHead, data: bytes, last_event_id: str) -> None:
        """Pass on events of a stream; its head is the first server's."""
        if not self.begun:
            self.begun = True
            self._recorder.first_answer(self._request)
            self._client.begin_stream(head.status, head.reason, head.fields)
        self._client.send_piece(data)
        self.last_event_id = last_event_id or self.last_event_id

    def end_stream(self) -> None:
        """The stream is complete."""
        self._client.end_stream()
