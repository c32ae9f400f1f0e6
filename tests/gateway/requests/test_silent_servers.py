"""A stream that has begun is handed on to another server or waited for, and never dropped.

A gateway took silence of a second for a reason to leave a server in the middle of a stream, ended
the running answer, and only then found out whether another server would go on with it. Under
overload servers pause (their memory goes to more urgent work) and others are full, so the stream
was cut although its first server would have finished it: `stream-cut servers=[{engine-2, cut,
left=silent, silent=1.401, absent=0.0}, {engine-4, turned-away}]`, 13 of 10,870 requests on real
processes. A gateway whose own event loop had stood still took that for the server's silence too
(`silent=2.262 absent=1.157`), since timers ring before what has arrived meanwhile is read: in ten
holds of 1.4 s nine sound servers were left and two ejected, in 23 holds of 0.05 s none.
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

SILENT_SECONDS = 1.7
"""Longer than a silent server is waited for while another one might go on."""
HELD_SECONDS = 1.6


async def mute(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
    """Takes the request and says nothing."""
    await asyncio.Event().wait()


async def misdirected(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Another incarnation."""
    fields = {"Request-Id": request.request_id, "Instance-Id": "other"}
    writer.write(answer(421, b"", fields))


async def turned_away_late(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """It waits in the server's queue first."""
    await asyncio.sleep(0.2)
    await shedding(server, request, writer)


async def head_then_reset(
    _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """It begins to answer, and ends before it has said anything."""
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
    "mute": mute,
    "resetting before an event": head_then_reset,
}
"""Ways in which the server that might go on doesn't."""


async def ask_beside(harness: Harness, other: Behaviour) -> bytes | None:
    """The body of a stream whose first server pauses; None when it wasn't whole."""
    behaviour = first_then(pausing_stream(SILENT_SECONDS), other)
    for number in range(2):
        await harness.add_server(f"e-{number}", "engine", behaviour, 1)
    await harness.start()
    got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
    return got.body if got.whole else None


def test_a_begun_stream_is_not_given_up_for_a_server_that_does_not_go_on_with_it() -> None:
    """Whatever becomes of the other server, the first one finishes."""
    bodies: dict[str, bytes | None] = {}

    def scenario(name: str) -> Callable[[Harness], object]:
        async def run(harness: Harness) -> None:
            bodies[name] = await ask_beside(harness, OTHERS[name])

        return run

    for name in OTHERS:
        run_with_gateway(scenario(name))  # type: ignore[arg-type]
    assert {name for name, body in bodies.items() if body != WHOLE_STREAM} == set()


def write_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Into the kernel at once, not when the loop turns."""
    os.write(writer.get_extra_info("socket").fileno(), data)


async def hold(meanwhile: Callable[[], None]) -> None:
    """Hold the loop while it handles what a socket brought, as a process that is stopped does.

    Its timers are due then before it looks at its sockets again.
    """
    loop = asyncio.get_running_loop()
    readable, writable = os.pipe()
    done = asyncio.Event()

    def stand_still() -> None:
        loop.remove_reader(readable)
        meanwhile()
        time.sleep(HELD_SECONDS)
        done.set()

    loop.add_reader(readable, stand_still)
    os.write(writable, b"1")
    await done.wait()
    os.close(readable)
    os.close(writable)


def held_after(data: Callable[[ReceivedRequest], bytes], rest: bytes) -> Behaviour:
    """Begins to answer, and the rest arrives while the gateway's loop is held."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if len(server.received) > 1:
            await stream_of_four(server, request, writer)
            return
        write_now(writer, data(request))
        # The gateway reads the beginning; the rest arrives while it is held.
        await asyncio.sleep(0.05)
        await hold(lambda: write_now(writer, rest))

    return behave


def beginning(request: ReceivedRequest) -> bytes:
    """Two events of a stream."""
    return stream_head(request) + chunk(event(1)) + chunk(event(2))


def nothing(_: ReceivedRequest) -> bytes:
    """No beginning."""
    return b""


def whole(request_id: str) -> bytes:
    """A whole answer that isn't a stream."""
    return answer(200, b"whole", {"Request-Id": request_id, "Server-Signature": "s-1"})


async def sends_when_held(harness: Harness, target: str, service: str, held: Behaviour) -> int:
    """How many servers got a request whose answer arrived while the gateway was held."""
    version = 1 if service == "engine" else None
    servers = [await harness.add_server(f"s-{n}", service, held, version) for n in (1, 2)]
    await harness.start()
    prompt = PROMPT if service == "engine" else {}
    await (await harness.client()).ask(target, "id-1", Deadline_Ms="9000", **prompt)
    return sum(len(server.received) for server in servers)


async def _ejected_by_a_held_connect(harness: Harness) -> bool:
    """Whether a server is ejected since the gateway was held while the connection came up."""
    await harness.add_server("s-1", "app", serve_whole)
    await harness.start()
    assert harness.node is not None
    context = harness.node.context
    acquire = context.pool.acquire

    async def held_acquire(address: str, timeout_seconds: float) -> object:
        context.loop.call_soon(time.sleep, HELD_SECONDS)
        return await acquire(address, timeout_seconds)

    context.pool.acquire = held_acquire  # type: ignore[method-assign,assignment]
    await (await harness.client()).ask("/unsafe/", Deadline_Ms="9000")
    instance = context.instances.get("s-1")
    assert instance is not None
    return instance.health.is_ejected(context.now())


async def _call_lost_when_held(harness: Harness) -> bool:
    """Whether a call counts as unanswered whose reply arrived while the gateway was held."""
    server = await harness.add_server("s-1", "app", held_after(nothing, whole("")))
    await harness.start()
    assert harness.node is not None
    calls = CallClient(harness.node.context.pool)
    reply = await calls.call(server.address, Call("GET", "/health"), HELD_SECONDS / 2)
    return reply is None


def test_a_server_is_not_blamed_for_the_gateways_own_pause() -> None:
    """What has arrived is read before anybody counts as silent."""
    found: dict[str, object] = {}

    async def stream(harness: Harness) -> None:
        held = held_after(beginning, chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n")
        found["servers of a stream"] = await sends_when_held(harness, "/stream/", "engine", held)

    async def answered(harness: Harness) -> None:
        held = held_after(nothing, whole("id-1"))
        found["servers of an answer"] = await sends_when_held(harness, "/safe/", "app", held)

    async def connect(harness: Harness) -> None:
        found["ejected"] = await _ejected_by_a_held_connect(harness)

    async def call(harness: Harness) -> None:
        found["call lost"] = await _call_lost_when_held(harness)

    for scenario in (stream, answered, connect, call):
        run_with_gateway(scenario)
    assert found == {
        "servers of a stream": 1,
        "servers of an answer": 1,
        "ejected": False,
        "call lost": False,
    }


def test_an_answer_that_came_in_a_pause_is_delivered_after_its_time() -> None:
    """It is ready, and its client may still be there."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("s-1", "app", held_after(nothing, whole("id-1")))
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/", "id-1", Deadline_Ms="1000")
        assert (got.status, got.body) == (200, b"whole")

    run_with_gateway(scenario)
