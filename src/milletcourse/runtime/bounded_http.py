"""uvicorn's HTTP protocol with a bound on the parts of a request that carry no body."""

from __future__ import annotations

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from milletcourse.exchange.messages.message_bounds import PARSED_BYTES, MessageBounds

REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses requests whose head, trailers or chunk framing never end.

    The parser keeps a field until it is complete, and the application sees the head of a request
    only then, so that it can't bound these parts itself.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """See `asyncio.Protocol`."""
        self._bounds = MessageBounds()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        for start in range(0, len(data), PARSED_BYTES):
            if self.transport.is_closing():
                return
            piece = data[start : start + PARSED_BYTES]
            self._bounds.on_received(len(piece))
            super().data_received(piece)
            if not self._bounds.is_within():
                self._refuse()
                return

    def _refuse(self) -> None:
        cycle = self.cycle
        is_answering = cycle is not None and cycle.response_started and not cycle.response_complete
        if is_answering or self.pipeline:
            self.transport.abort()
            return
        self.transport.write(REFUSAL)
        self.transport.close()

    # -- httptools callbacks --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of a request."""
        self._bounds = MessageBounds()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """End of the head."""
        self._bounds.on_head_complete()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._bounds.on_body(len(body))
        super().on_body(body)
