"""A planned stop answers what has reached the machine, also what the process hasn't read yet.

Clients of a gateway that was stopped in a planned way got a reset in place of an answer. Their
connection had come up and their request was written whole, most of them on a connection that was
just opened; no server saw them and the gateway logged nothing. It took each connection without a
request that it had read for idle, and closed it; what stood in the kernel, at the listener or on a
kept connection, was never looked at. The busier the machine, the more of them there were: 3 in 18
stops on a calm machine, 12 in 13 stops on a busy one. These lines settled it, in the millisecond
of a client's reset:

    {"node": "front-1", "unread": 201, "stopping": true, "event": "closed-unread", ...}
    {"id": "p-9-622", "gateway": "front-1", "end": "nothing", "position": 0, "waited": 0.002, ...}
"""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_behaviours import PROMPT, stream_broken_in_an_event
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Client,
    ReceivedRequest,
    StandinServer,
    configuration,
    open_socket,
    serve_whole,
)
from milletcourse.errors import NoEngineAvailable
from milletcourse.exchange.attempts.planned_stop import (
    IDLE_CLOSE_SECONDS,
    MAX_ACCEPT_SECONDS,
    ConnectionState,
    PlannedStop,
    StopPhase,
)
from milletcourse.gateway.requests.exchange import Exchange
from milletcourse.gateway.telling.unanswered import RequestPhase, UnansweredCause, UnansweredRequest

GRACE_MS = 5000
"""The stop refuses new work after two fifths of it."""
WHOLE_ANSWERS = (200, 503)
"""Served, or refused with the promise that it has not run: both are whole answers."""


def request_bytes(request_id: str) -> bytes:
    """A whole request as it goes over the wire."""
    return Client.request_bytes("/safe/", request_id)


async def until_readable(sock: socket.socket) -> None:
    """Wait for bytes without taking them."""
    readable = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(sock.fileno(), readable.set)
    await readable.wait()
    loop.remove_reader(sock.fileno())


async def answer_of(sock: socket.socket) -> int:
    """Status of the next answer; 0 when the connection ends without one."""
    sock.setblocking(False)
    client = Client(*await asyncio.open_connection(sock=sock))
    got = await client.read_answer()
    client.close()
    return got.status if got is not None and got.whole else 0


def hold_loop_until(moment: float) -> None:
    """Keep the event loop from running, as a starved machine does."""
    time.sleep(max(moment - time.monotonic(), 0.0))


class StoppingGateway:
    """A gateway in a planned stop, and the moment at which it begins to refuse."""

    def __init__(self, harness: Harness) -> None:
        assert harness.node is not None
        self.address = harness.node.frontend_address
        began_at = time.monotonic()
        self.task = asyncio.create_task(harness.node.stop())
        self.refuses_at = began_at + 0.4 * GRACE_MS / 1000


async def stopping_gateway(harness: Harness) -> StoppingGateway:
    """A gateway whose stop has begun."""
    gateway = StoppingGateway(harness)
    await harness.until(lambda: harness.node is not None and harness.node.context.stopping)
    return gateway


async def start(harness: Harness) -> None:
    """One gateway before one server."""
    await harness.add_server("app-1", "app", serve_whole)
    await harness.start(GraceS=GRACE_MS / 1000)


def test_requests_that_wait_at_the_listener_are_answered() -> None:
    """Connections come up, and requests are written, while the loop is held past the refusal."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        gateway = await stopping_gateway(harness)
        socks = [open_socket(gateway.address) for _ in range(5)]
        for number, sock in enumerate(socks):
            sock.sendall(request_bytes(f"waiting-{number}"))
        hold_loop_until(gateway.refuses_at + 0.05)
        statuses = [await answer_of(sock) for sock in socks]
        assert all(status in WHOLE_ANSWERS for status in statuses), statuses
        await gateway.task

    run_with_gateway(scenario)


def test_a_kept_connection_with_an_unread_request_is_not_idle() -> None:
    """The next request of a kept connection stands in the kernel when the stop looks at it."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        assert harness.node is not None
        kept = open_socket(harness.node.frontend_address)
        kept.sendall(request_bytes("first"))
        await until_readable(kept)
        assert kept.recv(4096).startswith(b"HTTP/1.1 200")
        gateway = await stopping_gateway(harness)
        # Due just before the stop's own timer, so that the loop runs both before it reads.
        loop = asyncio.get_running_loop()
        moment = gateway.refuses_at - 0.02 - time.monotonic()
        loop.call_later(moment, kept.sendall, request_bytes("second"))
        hold_loop_until(gateway.refuses_at + 0.05)
        assert await answer_of(kept) in WHOLE_ANSWERS
        await gateway.task

    run_with_gateway(scenario)


def test_a_connection_that_has_just_come_up_gets_its_first_request_answered() -> None:
    """Its request follows 0.15 s after the stop has begun to refuse."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        gateway = await stopping_gateway(harness)
        hold_loop_until(gateway.refuses_at - 0.02)
        sock = open_socket(gateway.address)
        hold_loop_until(gateway.refuses_at + 0.05)
        await asyncio.sleep(0.15)
        sock.sendall(request_bytes("late"))
        assert await answer_of(sock) in WHOLE_ANSWERS
        await gateway.task

    run_with_gateway(scenario)


def test_requests_that_were_sent_ahead_are_answered_before_the_last_answer() -> None:
    """Two requests at once to a stopping gateway: only the second answer closes the connection."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        client = await harness.client()
        assert harness.node is not None
        stop = asyncio.create_task(harness.node.stop())
        await harness.until(lambda: harness.node is not None and harness.node.context.stopping)
        client.writer.write(request_bytes("one") + request_bytes("two"))
        first = await client.read_answer()
        second = await client.read_answer()
        assert first is not None and second is not None
        assert (first.status, second.status) == (200, 200)
        assert "connection" not in first.headers
        assert second.headers["connection"] == "close"
        await stop

    run_with_gateway(scenario)


def test_a_request_that_stands_unread_is_answered_before_the_last_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The second of two requests reaches the machine while the first is being answered."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        assert harness.node is not None
        sock = open_socket(harness.node.frontend_address)
        answered = Exchange.run

        async def send_ahead_and_refuse(exchange: Exchange) -> None:
            monkeypatch.setattr(Exchange, "run", answered)
            sock.sendall(request_bytes("second"))
            exchange._refuse(NoEngineAvailable("refused at once"))

        monkeypatch.setattr(Exchange, "run", send_ahead_and_refuse)
        stop = asyncio.create_task(harness.node.stop())
        await harness.until(lambda: harness.node is not None and harness.node.context.stopping)
        sock.sendall(request_bytes("first"))
        client = Client(*await asyncio.open_connection(sock=sock))
        answers = [await client.read_answer(), await client.read_answer()]
        assert [got.status if got else 0 for got in answers] == [503, 200]
        await stop

    run_with_gateway(scenario)


def test_an_answer_is_not_reset_by_bytes_that_come_behind_it() -> None:
    """A client sends on past `Connection: close`; its answer arrives whole, then the end."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        client = await harness.client()
        last = request_bytes("last").replace(b"Api-Key", b"Connection: close\r\nApi-Key")
        client.writer.write(last + b"more bytes than anybody reads" * 1000)
        got = await client.read_answer()
        assert got is not None and got.whole and got.headers["connection"] == "close"
        assert await client.reader.read() == b""

    run_with_gateway(scenario)


def test_a_late_loop_does_not_take_a_request_for_missing() -> None:
    """The idle time of a connection runs out while its next request stands unread."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", serve_whole)
        limits = {**configuration()["Limits"], "IdleTimeoutMs": 1500}
        harness.store.put("config", "main", configuration(Limits=limits))
        await harness.start_gateway()
        await harness.until(harness.is_ready)
        assert harness.node is not None
        kept = open_socket(harness.node.frontend_address)
        kept.sendall(request_bytes("first"))
        await until_readable(kept)
        assert kept.recv(4096).startswith(b"HTTP/1.1 200")
        # Due just before a sweep of connections, so that the loop runs both before it reads.
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, kept.sendall, request_bytes("second"))
        hold_loop_until(time.monotonic() + 2.0)
        assert await answer_of(kept) == 200

    run_with_gateway(scenario)


def test_a_defect_is_told_to_the_client_and_to_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """A handler that fails: 500, which promises nothing, and the connection goes on."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        assert harness.node is not None
        told: list[UnansweredRequest] = []
        monkeypatch.setattr(harness.node.context, "on_unanswered", told.append)
        monkeypatch.setattr(Exchange, "run", fail)
        client = await harness.client()
        got = await client.ask("/safe/", "broken")
        assert (got.status, got.whole) == (500, True)
        assert [item.cause for item in told] == [UnansweredCause.HANDLER_FAILED]
        assert "defect" in told[0].error
        monkeypatch.undo()
        assert (await client.ask("/safe/", "next")).status == 200

    run_with_gateway(scenario)


async def fail(_: Exchange) -> None:
    """A defect."""
    raise KeyError("defect")


def test_what_is_unfinished_at_the_end_is_told() -> None:
    """A request outlasts the grace time: one line with its phase and cause."""

    async def mute(_: StandinServer, __: ReceivedRequest, ___: asyncio.StreamWriter) -> None:
        return

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", mute)
        await harness.start(GraceS=1.0)
        assert harness.node is not None
        told: list[UnansweredRequest] = []
        harness.node.context.on_unanswered = told.append  # type: ignore[method-assign]
        client = await harness.client()
        client.send("/unsafe/", "held")
        await harness.until(lambda: bool(harness.servers["app-1"].received))
        await harness.node.stop()
        assert [(item.phase, item.cause) for item in told] == [
            (RequestPhase.AT_SERVER, UnansweredCause.GRACE_OVER)
        ]

    run_with_gateway(scenario)


def test_what_stands_behind_an_answer_that_broke_off_is_told() -> None:
    """Two requests at once; the stream of the first breaks off, and the connection with it."""

    async def scenario(harness: Harness) -> None:
        await harness.add_server("engine-1", "engine", stream_broken_in_an_event, version=1)
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        assert harness.node is not None
        told: list[UnansweredRequest] = []
        harness.node.context.on_unanswered = told.append  # type: ignore[method-assign]
        client = await harness.client()
        client.send("/single/", "first", **PROMPT)
        client.send("/safe/", "second")
        got = await client.read_answer()
        assert got is not None and not got.whole
        assert [(item.phase, item.cause) for item in told] == [
            (RequestPhase.QUEUED, UnansweredCause.ANSWER_CUT)
        ]

    run_with_gateway(scenario)


def test_a_failed_duty_ends_the_gateway_in_a_planned_way() -> None:
    """What it serves isn't cut: the process is told to stop, and goes on until it has."""

    async def scenario(harness: Harness) -> None:
        await start(harness)
        assert harness.node is not None
        client = await harness.client()
        harness.node._spawn(broken_duty())
        async with asyncio.timeout(2.0):
            await harness.node.task_failed.wait()
        assert (await client.ask("/safe/", "served")).status == 200

    run_with_gateway(scenario)


async def broken_duty() -> None:
    """Background work that fails."""
    raise ValueError("defect")


# -- the core -----------------------------------------------------------------------------------

times = st.floats(min_value=0.0, max_value=10.0)
connections = st.builds(
    ConnectionState,
    idle_since=times,
    is_idle=st.booleans(),
    unread_bytes=st.sampled_from([0, 0, 1, 500]),
)


@given(connection=connections, heard=times, held=times, now=times)
def test_a_stop_never_closes_what_may_hold_a_request(
    connection: ConnectionState, heard: float, held: float, now: float
) -> None:
    """Whatever the signal's way and the loop's lateness."""
    stop = PlannedStop(heard, heard - held, 8.0)
    if not stop.may_close(connection, now):
        return
    assert connection.is_idle and not connection.unread_bytes
    assert stop.phase(now) is not StopPhase.DRAINING
    assert now - connection.idle_since >= IDLE_CLOSE_SECONDS


@given(heard=times, held=times, grace=st.floats(min_value=1.0, max_value=30.0))
def test_the_steps_of_a_stop_keep_their_order_and_its_end(
    heard: float, held: float, grace: float
) -> None:
    """It ends before the kill, which is counted from the signal, however late that was heard."""
    sent_after = heard - held
    stop = PlannedStop(heard, sent_after, grace)
    assert stop.ends_at < sent_after + grace
    assert stop.refuses_at <= sent_after + MAX_ACCEPT_SECONDS
    phases = [stop.phase(heard + step / 10) for step in range(300)]
    order = list(StopPhase)
    assert phases == sorted(phases, key=order.index)
