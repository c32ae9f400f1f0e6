"""Bodies in very small chunks don't stop the event loop of a gateway."""

from __future__ import annotations

import asyncio
import socket

from gateway_harness import Harness, run_with_gateway
from gateway_standin import configuration, serve_whole
from milletcourse.exchange.messages.message_bounds import REQUEST_PIECE_BYTES
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.runtime.turn_scheduler import IMMEDIATE_PARSER_WORK, PARSER_WORK_PER_ITERATION

CONNECTIONS = 20
READ_BYTES = 256 * 1024
"""Data that a transport delivers at once."""
HEAD = b"POST /safe/ HTTP/1.1\r\nHost: site.example\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"2\r\nab\r\n"
CHUNKS = READ_BYTES // len(CHUNK)
LIMITS = {**configuration()["Limits"], "MaxBodyBytes": 4_000_000, "HeaderTimeoutMs": 60_000}


class ParsedConnection:
    """A client connection without a peer, with the number of chunks that it has parsed."""

    def __init__(self, harness: Harness) -> None:
        assert harness.node is not None
        self.bodies: list[bytes] = []
        self.connection = ClientConnection(harness.node.context, self._serve, refuse, set())
        self.transport = IdleTransport()
        self.connection.connection_made(self.transport)

    async def _serve(self, request: ClientRequest, client: ClientConnection) -> None:
        self.bodies.append(request.body)
        client.send_whole(200, b"", [], b"")

    @property
    def chunks(self) -> int:
        """Chunks parsed so far."""
        if self.bodies:
            return len(self.bodies[0]) // 2
        incoming = self.connection._reader.incoming
        return incoming.body_bytes // 2 if incoming is not None else 0


class IdleTransport(asyncio.Transport):
    """Accepts what is written, and can be paused."""

    def __init__(self) -> None:
        super().__init__({"socket": socket.socket()})
        self._is_reading = True

    def is_reading(self) -> bool:
        return self._is_reading

    def pause_reading(self) -> None:
        self._is_reading = False

    def resume_reading(self) -> None:
        self._is_reading = True

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Nothing reads it."""

    def get_write_buffer_size(self) -> int:
        return 0


def test_small_chunks_are_parsed_in_turns() -> None:
    """All connections deliver a read full of chunks in one iteration of the event loop."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        harness.configuration = configuration(Limits=LIMITS)
        await harness.start()
        connections = [ParsedConnection(harness) for _ in range(CONNECTIONS)]
        per_piece = REQUEST_PIECE_BYTES // len(CHUNK) + 1
        for parsed in connections:
            parsed.connection.data_received(HEAD + CHUNK * CHUNKS)
            assert parsed.chunks <= IMMEDIATE_PARSER_WORK + per_piece
            assert not parsed.transport.is_reading()
        done = sum(parsed.chunks for parsed in connections)
        while done < CONNECTIONS * CHUNKS:
            await asyncio.sleep(0)
            before, done = done, sum(parsed.chunks for parsed in connections)
            assert done - before <= PARSER_WORK_PER_ITERATION + per_piece
        for parsed in connections:
            assert parsed.transport.is_reading()
            parsed.connection.data_received(b"0\r\n\r\n")
        await harness.until(lambda: all(parsed.bodies for parsed in connections))
        assert all(parsed.bodies[0] == b"ab" * CHUNKS for parsed in connections)

    run_with_gateway(scenario)
