"""A started stream is handed over to another server or awaited, and never dropped.

Guards against two faults. First, a gateway that aborts a running answer after a second of silence
before another server has accepted the stream truncates streams under overload: servers pause while
their memory serves more urgent requests, and the other servers are full (13 of 10,870 requests).
Second, a gateway that takes a stall of its own event loop for silence of the server abandons and
ejects healthy servers, since due timers run before the data that arrived meanwhile is read. Stalls
of 1.4 s cause this; stalls of 0.05 s do not.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable

from gateway_behaviours import (
    PROMPT,
    WHOLE_STREAM,
    failing,
    first_then,
    garbled,
    pausing_stream,
    reset,
    shedding,
    stream_of_four,
)
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    event,
    serve_whole,
    stream_head,
)
from milletcourse.gateway.servers.call_client import Call, CallClient
from milletcourse.gateway.servers.server_links import ServerLink

SILENT_SECONDS = 1.7
"""Longer than the timeout after which a silent server's stream is offered to another one."""
STALL_SECONDS = 1.6


async def silent_server(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
    """Accepts the request and sends nothing."""
    await asyncio.Event().wait()


async def misdirected(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answers 421 as another incarnation."""
    fields = {"Request-Id": request.request_id, "Instance-Id": "other"}
    writer.write(answer(421, b"", fields))


async def turned_away_late(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Rejects the request after it waited in the server's queue."""
    await asyncio.sleep(0.2)
    await shedding(server, request, writer)


async def head_then_reset(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Sends the head of a stream and resets the connection before any event."""
    writer.write(stream_head(request))
    await writer.drain()
    writer.transport.abort()


OTHERS: dict[str, Behaviour] = {
    "full": shedding,
    "full after a while": turned_away_late,
    "resetting": reset,
    "failing": failing,
    "garbling": garbled,
    "misdirected": misdirected,
    "mute": silent_server,
    "resetting before an event": head_then_reset,
}
"""Ways in which a successor fails to continue the stream."""


async def ask_while_first_server_pauses(harness: Harness, other: Behaviour) -> bytes | None:
    """The body of a stream whose first server pauses; None when the stream was truncated."""
    behaviour = first_then(pausing_stream(SILENT_SECONDS), other)
    for number in range(2):
        await harness.add_server(f"e-{number}", "engine", behaviour, 1)
    await harness.start()
    got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
    return got.body if got.whole else None


def test_started_stream_is_kept_when_the_successor_does_not_continue_it() -> None:
    """However the other server fails, the first one completes the stream."""
    bodies: dict[str, bytes | None] = {}

    def scenario(name: str) -> Callable[[Harness], object]:
        async def run(harness: Harness) -> None:
            bodies[name] = await ask_while_first_server_pauses(harness, OTHERS[name])

        return run

    for name in OTHERS:
        run_with_gateway(scenario(name))  # type: ignore[arg-type]
    assert {name for name, body in bodies.items() if body != WHOLE_STREAM} == set()


def write_directly(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write to the socket at once instead of in the next iteration of the event loop."""
    os.write(writer.get_extra_info("socket").fileno(), data)


async def stall(meanwhile: Callable[[], None]) -> None:
    """Block the event loop in a read callback, as a suspension of the process does.

    Timers are then due before the loop polls its sockets again.
    """
    loop = asyncio.get_running_loop()
    readable, writable = os.pipe()
    done = asyncio.Event()

    def block_loop() -> None:
        loop.remove_reader(readable)
        meanwhile()
        time.sleep(STALL_SECONDS)
        done.set()

    loop.add_reader(readable, block_loop)
    os.write(writable, b"1")
    await done.wait()
    os.close(readable)
    os.close(writable)


def stalled_after(data: Callable[[ReceivedRequest], bytes], remainder: bytes) -> Behaviour:
    """Starts to answer; the remainder arrives while the gateway's event loop is blocked."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if len(server.received) > 1:
            await stream_of_four(server, request, writer)
            return
        write_directly(writer, data(request))
        # The gateway reads the first part; the remainder arrives while its loop is blocked.
        await asyncio.sleep(0.05)
        await stall(lambda: write_directly(writer, remainder))

    return behave


def beginning(request: ReceivedRequest) -> bytes:
    """The head and two events of a stream."""
    return stream_head(request) + chunk(event(1)) + chunk(event(2))


def nothing(_: ReceivedRequest) -> bytes:
    """No data before the stall."""
    return b""


def whole(request_id: str) -> bytes:
    """A complete answer that is not a stream."""
    return answer(200, b"whole", {"Request-Id": request_id, "Server-Signature": "s-1"})


async def count_sends_in_stall(
    harness: Harness, target: str, service: str, behaviour: Behaviour
) -> int:
    """How many sends it took when the answer arrived while the gateway was stalled."""
    version = 1 if service == "engine" else None
    servers = [await harness.add_server(f"s-{n}", service, behaviour, version) for n in (1, 2)]
    await harness.start()
    prompt = PROMPT if service == "engine" else {}
    await (await harness.client()).ask(target, "id-1", Deadline_Ms="9000", **prompt)
    return sum(len(server.received) for server in servers)


async def _is_ejected_after_stalled_connect(harness: Harness) -> bool:
    """Whether a server is ejected after the gateway stalled while connecting to it."""
    await harness.add_server("s-1", "app", serve_whole)
    await harness.start()
    assert harness.node is not None
    context = harness.node.context
    open_link = context.server_links.open

    async def stalled_open(
        address: str, zone: str, timeout_seconds: float, request_id: str = ""
    ) -> ServerLink:
        context.loop.call_soon(time.sleep, STALL_SECONDS)
        return await open_link(address, zone, timeout_seconds, request_id)

    context.server_links.open = stalled_open  # type: ignore[method-assign]
    await (await harness.client()).ask("/unsafe/", Deadline_Ms="9000")
    instance = context.instances.get("s-1")
    assert instance is not None
    return instance.health.is_ejected(context.now())


async def _is_call_lost_in_stall(harness: Harness) -> bool:
    """Whether a call is reported unanswered when its reply arrived while the gateway stalled."""
    server = await harness.add_server("s-1", "app", stalled_after(nothing, whole("")))
    await harness.start()
    assert harness.node is not None
    calls = CallClient(harness.node.context.pool)
    reply = await calls.call(server.address, Call("GET", "/health"), STALL_SECONDS / 2)
    return reply is None


def test_event_loop_stall_of_the_gateway_does_not_count_against_a_server() -> None:
    """Data that has arrived is read before a server counts as silent."""
    found: dict[str, object] = {}

    async def stream(harness: Harness) -> None:
        behaviour = stalled_after(beginning, chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n")
        found["servers of a stream"] = await count_sends_in_stall(
            harness, "/stream/", "engine", behaviour
        )

    async def answered(harness: Harness) -> None:
        behaviour = stalled_after(nothing, whole("id-1"))
        found["servers of an answer"] = await count_sends_in_stall(
            harness, "/safe/", "app", behaviour
        )

    async def connect(harness: Harness) -> None:
        found["ejected"] = await _is_ejected_after_stalled_connect(harness)

    async def call(harness: Harness) -> None:
        found["call lost"] = await _is_call_lost_in_stall(harness)

    for scenario in (stream, answered, connect, call):
        run_with_gateway(scenario)
    assert found == {
        "servers of a stream": 1,
        "servers of an answer": 1,
        "ejected": False,
        "call lost": False,
    }


def test_answer_received_during_a_stall_is_delivered_after_the_deadline() -> None:
    """The answer is available, and its client may still be connected."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("s-1", "app", stalled_after(nothing, whole("id-1")))
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/", "id-1", Deadline_Ms="1000")
        assert (got.status, got.body) == (200, b"whole")

    run_with_gateway(scenario)
