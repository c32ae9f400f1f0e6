"""The router's HTTP server: its planned shutdown, and clients that follow no limit."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from gateway_standin import Client
from milletcourse.exchange.messages.message_bounds import MAX_HEAD_BYTES, REQUEST_PIECE_BYTES
from milletcourse.runtime.bounded_http import BoundedHttpProtocol
from milletcourse.runtime.server import HttpServer, Receive, Scope, Send
from milletcourse.runtime.turn_scheduler import PARSER_WORK_PER_ITERATION, TurnScheduler

CONNECTIONS = 5
REQUEST = b"GET / HTTP/1.1\r\nHost: router.example\r\n\r\n"
BODY = bytes(range(256)) * 400
CHUNKED = b"POST / HTTP/1.1\r\nHost: router.example\r\nTransfer-Encoding: chunked\r\n\r\n"


async def application(_: Scope, __: Receive, send: Send) -> None:
    """Answer every request with 204."""
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def test_requests_in_the_listen_backlog_are_answered() -> None:
    """Connections and requests arrive while the loop is busy, just before the shutdown starts.

    Closing the listener would reset connections that still wait in its backlog.
    """

    async def scenario() -> None:
        server = HttpServer(application, "127.0.0.1", 0)
        await server.start()
        host, _, port = server.address.rpartition(":")
        socks = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
        for sock in socks:
            sock.sendall(REQUEST)
        stop = asyncio.create_task(server.stop())
        clients = [Client(*await asyncio.open_connection(sock=sock)) for sock in socks]
        answers = [await client.read_answer() for client in clients]
        assert [got.status if got else 0 for got in answers] == [204] * CONNECTIONS
        await stop

    uvloop.run(scenario())


async def echo(_: Scope, receive: Receive, send: Send) -> None:
    """Answer with the body of the request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    await send({"type": "http.response.body", "body": body})


def test_body_in_small_chunks_is_parsed_in_turns() -> None:
    """No iteration of the event loop parses more than its share, and the body is unchanged."""

    async def scenario() -> None:
        server = HttpServer(echo, "127.0.0.1", 0)
        await server.start()
        clients = [await Client.connect(server.address) for _ in range(CONNECTIONS)]
        parts = [BODY[start : start + 2] for start in range(0, len(BODY), 2)]
        chunks = b"".join(b"2\r\n" + part + b"\r\n" for part in parts)
        with pytest.MonkeyPatch.context() as patch:
            work = count_work(patch)
            for client in clients:
                client.writer.write(CHUNKED + chunks + b"0\r\n\r\n")
            answers = [await client.read_answer() for client in clients]
        assert [got.body if got else b"" for got in answers] == [BODY] * CONNECTIONS
        assert sum(work) > CONNECTIONS * len(parts) / 2
        assert max(work) <= PARSER_WORK_PER_ITERATION + REQUEST_PIECE_BYTES
        for client in clients:
            client.close()
        await server.stop()

    uvloop.run(scenario())


def count_work(patch: pytest.MonkeyPatch) -> list[int]:
    """Parser work of each iteration of the event loop in which connections had turns."""
    found: list[int] = []
    take_turn = BoundedHttpProtocol.take_turn
    give_turns = TurnScheduler._give_turns

    def counted_turn(protocol: BoundedHttpProtocol) -> int:
        work = take_turn(protocol)
        if found:
            found[-1] += work
        return work

    def counted_iteration(turns: TurnScheduler) -> None:
        found.append(0)
        give_turns(turns)
        found.append(0)

    patch.setattr(BoundedHttpProtocol, "take_turn", counted_turn)
    patch.setattr(TurnScheduler, "_give_turns", counted_iteration)
    return found


@pytest.mark.parametrize(
    "start", [CHUNKED + b"2\r\nab\r\n0\r\nx-trailer: ", REQUEST[:-2] + b"x-header: "]
)
def test_field_without_end_is_refused(start: bytes) -> None:
    """The parser would keep it until it is complete."""

    async def scenario() -> None:
        server = HttpServer(echo, "127.0.0.1", 0)
        await server.start()
        client = await Client.connect(server.address)
        client.writer.write(start + b"v" * (MAX_HEAD_BYTES + REQUEST_PIECE_BYTES))
        answer = await client.read_answer()
        assert answer is not None and answer.status == 431
        client.close()
        await server.stop()

    uvloop.run(scenario())
