"""A server that stops within the head of its answer never looks as if it had answered."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from answer_feed import PENDING_ID, deliver
from callee import pool_and_callee
from cut_fleet import PROMPT
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandinServer,
    chunk,
    event,
    serve_whole,
    stream_head,
)
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.gateway.fleet.answer_head_reader import AnswerHeadReader
from milletcourse.gateway.servers.call_client import Call, CallClient
from milletcourse.platform.names import HEADER_NAMES
from relay_pair import RelayPair, run_pair

BODY = b'{"items":[],"More":false,"At":12}'
SIGNED = b"Request-Id: %b\r\nServer-Signature: s-1\r\n" % PENDING_ID.encode()
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
HEADS = {
    "length last": b"HTTP/1.1 200 OK\r\n" + SIGNED + LENGTH + b"\r\n",
    "length first": b"HTTP/1.1 200 OK\r\n" + LENGTH + SIGNED + b"\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Connection: close\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + SIGNED + LENGTH + b"\r\n",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + SIGNED + LENGTH + b"\r\n",
    "line feeds": (b"HTTP/1.1 200 OK\r\n" + SIGNED + LENGTH + b"\r\n").replace(b"\r\n", b"\n"),
    "no body": b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n",
}
ENDS = {"closed": None, "reset": ConnectionResetError()}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("head", HEADS)
def test_a_truncated_head_is_no_answer(head: str, end: str) -> None:
    """Guards against a 200 with an empty body; in pieces of one byte and at once, HEAD and GET."""

    async def scenario() -> None:
        for length in range(len(HEADS[head])):
            for piece_bytes in (1, 4096):
                for bodyless in (False, True):
                    for is_used in (False, True):
                        delivered = await deliver(
                            HEADS[head][:length], piece_bytes, bodyless, is_used, ENDS[end]
                        )
                        assert delivered.head is None and not delivered.is_complete, length

    asyncio.run(scenario())


@pytest.mark.parametrize("head", HEADS)
def test_the_reader_of_relayed_heads_reports_no_truncated_head(head: str) -> None:
    """Guards against signals of a server that were cut short."""
    heads: list[AnswerHead] = []
    for length in range(len(HEADS[head])):
        for piece_bytes in (1, 4096):
            reader = AnswerHeadReader(HeaderDialect(HEADER_NAMES), heads.append)
            data = HEADS[head][:length]
            for start in range(0, length, piece_bytes):
                reader.feed(data[start : start + piece_bytes])
    assert not heads


async def _call(head: bytes, end: str) -> bool:
    """Whether a call gets a reply from a peer that sends this and ends the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        if end == "closed":
            writer.close()
        else:
            await asyncio.sleep(0.001)
            writer.transport.abort()

    async with pool_and_callee(serve) as (pool, address):
        reply = await CallClient(pool).call(address, Call("GET", "/objects"), 2.0)
    return reply is not None


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("head", HEADS)
def test_a_call_with_a_truncated_head_has_no_reply(head: str, end: str) -> None:
    """Guards against a list, an order or a lease being read from a part of its head."""

    async def scenario() -> None:
        for length in range(0, len(HEADS[head]), 3):
            assert not await _call(HEADS[head][:length], end), length

    asyncio.run(scenario())


def _truncating(shares: list[float], is_reset: bool) -> Behaviour:
    """Serves every other request whole; ends each of the others within its head."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.request_id.endswith("cut"):
            if request.target.startswith("/single/"):
                writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))
            else:
                await serve_whole(server, request, writer)
            return
        head = stream_head(request)
        if not request.target.startswith("/single/"):
            head = head.replace(b"Transfer-Encoding: chunked", b"Content-Length: 4")
        writer.write(head[: int(shares.pop() * len(head))])
        if is_reset:
            await asyncio.sleep(0.005)
            writer.transport.abort()
        else:
            writer.close()

    return behave


async def _ask_truncated(
    connect: Callable[[], Awaitable[Client]], path: str, runs: Callable[[], int]
) -> None:
    """Requests with a whole answer, then one with a cut head, which is sent once."""
    prompt = PROMPT if path == "/single/" else {}
    for number in range(4):
        client = await connect()
        whole = await client.ask(path, f"id-{number}-whole", **prompt)
        assert (whole.status, whole.whole) == (200, True)
        before = runs()
        cut = await client.ask(path, f"id-{number}-cut", **prompt)
        assert (cut.status, runs() - before) == (502, 1)
        client.close()


SHARES = [0.1, 0.4, 0.7, 0.95]


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("path", ["/unsafe/", "/single/"])
def test_clients_get_a_failure_for_a_truncated_head(path: str, is_reset: bool) -> None:
    """Guards against a 200 with an empty body, and against a second send."""

    async def scenario(harness: Harness) -> None:
        behaviour = _truncating(list(SHARES), is_reset)
        await harness.add_server("s-1", "app", behaviour)
        await harness.add_server("s-2", "engine", behaviour, 1)
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        await harness.start()
        servers = harness.servers.values()
        await _ask_truncated(
            harness.client, path, lambda: sum(len(server.received) for server in servers)
        )

    run_with_gateway(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("path", ["/unsafe/", "/single/"])
def test_clients_get_a_failure_for_a_truncated_head_that_is_relayed(
    path: str, is_reset: bool
) -> None:
    """Guards against a relaying gateway that turns a cut head into the end of an answer."""

    async def scenario(pair: RelayPair) -> None:
        await _ask_truncated(pair.client, path, pair.runs)

    run_pair(scenario, _truncating(list(SHARES), is_reset))
