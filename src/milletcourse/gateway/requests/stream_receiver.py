"""Receives the stream of one server and relays its whole events."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.messages.answer_end import AnswerEnd, LossCause, stream_loss
from milletcourse.exchange.messages.event_stream import EventSplitter
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.gateway.requests.answer_relay import AnswerRelay
from milletcourse.gateway.servers.server_connection import ServerConnection


class StreamReceiver:
    """Relays events until the stream ends, and decides whether it ended whole."""

    def __init__(
        self,
        connection: ServerConnection,
        head: AnswerHead,
        relay: AnswerRelay,
        on_events: Callable[[], None],
        is_ended: Callable[[], bool],
    ) -> None:
        """Start behind the head of the answer.

        Args:
            connection: Delivers the body.
            head: The head.
            relay: Passes events on to the client.
            on_events: Called before whole events, or the end of a whole stream, are relayed.
            is_ended: Whether the attempt was ended, so that nothing more may be relayed.
        """
        self._connection = connection
        self._head = head
        self._relay = relay
        self._on_events = on_events
        self._is_ended = is_ended
        self._splitter = EventSplitter()
        self._resumes = bool(relay.last_event_id)

    @property
    def answer_end(self) -> AnswerEnd:
        """How the stream has ended, or would if it ended now."""
        return AnswerEnd(self._connection.framing, self._splitter.partial_bytes)

    async def receive(self) -> LossCause | None:
        """Relay the stream; returns why it is incomplete, None when it is whole."""
        while True:
            event = await self._connection.next_event()
            if event.lost is not None or self._is_ended():
                # Another server may have sent these events since the attempt was aborted.
                return event.lost or LossCause.ABORTED
            self._relay_events(event.body)
            self._connection.collect(self._splitter.partial_bytes)
            if self._splitter.is_oversized:
                return LossCause.OVERSIZED
            if event.complete:
                return self._end()

    def _relay_events(self, data: bytes) -> None:
        whole = self._splitter.feed(data) if data else b""
        if whole:
            self._on_events()
            self._relay.pass_events(self._head, whole, self._splitter.last_event_id)

    def _end(self) -> LossCause | None:
        splitter = self._splitter
        framing = self._connection.framing
        loss = stream_loss(framing, splitter.partial_bytes, splitter.has_events, self._resumes)
        if loss is None:
            self._on_events()
            self._relay.end_stream(self._head)
        return loss
