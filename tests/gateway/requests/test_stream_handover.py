"""Handover of streams: two servers may run one for a while, and the first to send continues it."""

from __future__ import annotations

import asyncio
import time

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gateway_behaviours import (
    PROMPT,
    WHOLE_STREAM,
    first_then,
    pausing_stream,
    stream_of_four,
    stream_waiting_for,
)
from gateway_harness import Harness, run_with_gateway
from gateway_standin import (
    Behaviour,
    ReceivedRequest,
    StandinServer,
)
from milletcourse.exchange.attempts.handover import (
    MAX_OVERLAP_SECONDS,
    Handover,
    HandoverAction,
    HandoverSide,
    HandoverState,
)
from milletcourse.gateway.servers.server_links import ServerLink

ALLOWED_OVERLAP_SECONDS = 0.4
SILENT_SECONDS = 1.0
"""Silence after which a stream is offered to another server."""


class TwoRunners(RuleBasedStateMachine):
    """Events, terminations and the end of the overlap in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.core = Handover()
        self.first_runs = True
        self.successor_runs = False
        self.passed: list[HandoverSide] = []

    @precondition(lambda self: self.first_runs and not self.successor_runs)
    @rule()
    def offer(self) -> None:
        """The first server is silent, and the stream is offered to another one."""
        self.core.on_offer()
        self.successor_runs = True

    @rule(runner=st.sampled_from(list(HandoverSide)))
    def piece(self, runner: HandoverSide) -> None:
        """One of the servers sends an event, if it still runs."""
        if not (self.first_runs if runner is HandoverSide.FIRST else self.successor_runs):
            return
        self.carry_out(self.core.on_chunk(runner))
        self.passed.append(runner)
        assert self.first_runs != self.successor_runs

    @rule()
    def overlap_over(self) -> None:
        """The overlap ends without an event; a late timer may fire after the decision."""
        both = self.first_runs and self.successor_runs
        step = self.core.on_overlap_timeout()
        assert step is (HandoverAction.CANCEL_SUCCESSOR if both else HandoverAction.WAIT)
        self.carry_out(step)

    @precondition(lambda self: self.first_runs and self.successor_runs)
    @rule()
    def successor_ends(self) -> None:
        """The successor rejects the stream, or its connection is lost."""
        self.successor_runs = False
        assert self.core.on_successor_end()

    @precondition(lambda self: self.successor_runs)
    @rule()
    def first_ends(self) -> None:
        """The first server is lost or was aborted: the successor takes its role."""
        self.first_runs, self.successor_runs = True, False
        self.core.on_first_end()

    def carry_out(self, step: HandoverAction) -> None:
        """Apply a decision as the gateway does."""
        if step is HandoverAction.CANCEL_FIRST:
            self.first_runs = False
        elif step is HandoverAction.CANCEL_SUCCESSOR:
            self.successor_runs = False

    @invariant()
    def somebody_has_the_stream(self) -> None:
        """The last remaining server is never aborted."""
        assert self.first_runs or self.successor_runs

    @invariant()
    def an_offer_has_two_runners(self) -> None:
        """An offer is open only while both servers run."""
        if self.core.state is HandoverState.OFFERED:
            assert self.first_runs and self.successor_runs


TwoRunners.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestTwoRunners = TwoRunners.TestCase


def delayed_stream(seconds: float) -> Behaviour:
    """Sends the remaining stream after a delay."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        if not writer.is_closing():
            await stream_of_four(server, request, writer)

    return behave


async def start_servers(harness: Harness, behaviour: Behaviour, count: int = 2) -> None:
    """Start servers that share a behaviour, and a gateway with a large retry budget."""
    for number in range(count):
        await harness.add_server(f"e-{number}", "engine", behaviour, 1)
    await harness.start(RetrySlack=1000)


def pausing_then(first_seconds: float, other: Behaviour) -> Behaviour:
    """The first run pauses after two events; later runs follow another behaviour."""
    return first_then(pausing_stream(first_seconds), other)


def runs(harness: Harness) -> int:
    """Number of requests that servers have received."""
    return sum(len(server.received) for server in harness.servers.values())


def test_first_server_to_send_events_continues_the_stream() -> None:
    """The first server continues if it sends an event before the successor does."""

    async def scenario(harness: Harness) -> None:
        first = stream_waiting_for(lambda: runs(harness) == 2)
        await start_servers(harness, first_then(first, delayed_stream(60.0)))
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2
        # The successor's connection is closed, and no third connection was opened.
        await harness.until(lambda: sum(len(s.closed) for s in harness.servers.values()) == 1)

    run_with_gateway(scenario)


def test_successor_continues_and_the_silent_server_is_aborted_soon() -> None:
    """No event is lost or repeated, and the overlap stays within its bound."""

    async def scenario(harness: Harness) -> None:
        await start_servers(harness, pausing_then(60.0, stream_of_four))
        client = await harness.client()
        asking = asyncio.ensure_future(client.ask("/stream/", Deadline_Ms="6000", **PROMPT))
        await harness.until(lambda: runs(harness) == 2)
        offered_at = harness.clock.seconds()
        await harness.until(lambda: any(s.closed for s in harness.servers.values()))
        assert harness.clock.seconds() - offered_at < ALLOWED_OVERLAP_SECONDS
        got = await asking
        assert (got.whole, got.body) == (True, WHOLE_STREAM)

    run_with_gateway(scenario)


def test_successor_that_does_not_start_in_time_is_aborted() -> None:
    """Both servers may run a stream only for a bounded time, and no third one is asked."""

    async def scenario(harness: Harness) -> None:
        def is_any_closed() -> bool:
            return any(server.closed for server in harness.servers.values())

        await start_servers(
            harness, first_then(stream_waiting_for(is_any_closed), delayed_stream(60.0))
        )
        client = await harness.client()
        asking = asyncio.ensure_future(client.ask("/stream/", Deadline_Ms="6000", **PROMPT))
        await harness.until(lambda: runs(harness) == 2)
        offered_at, offered_at_responsive = time.monotonic(), harness.clock.seconds()
        await harness.until(is_any_closed)
        assert time.monotonic() - offered_at > MAX_OVERLAP_SECONDS - 0.05
        assert harness.clock.seconds() - offered_at_responsive < ALLOWED_OVERLAP_SECONDS
        got = await asking
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2

    run_with_gateway(scenario)


def test_client_disconnect_aborts_the_request_at_both_servers() -> None:
    """Neither server continues to work on the request."""

    async def scenario(harness: Harness) -> None:
        await start_servers(harness, pausing_then(60.0, delayed_stream(60.0)))
        client = await harness.client()
        client.send("/stream/", "id-1", Deadline_Ms="6000", **PROMPT)
        await harness.until(lambda: runs(harness) == 2)
        client.close()
        await harness.until(lambda: all(s.closed for s in harness.servers.values()))
        assert runs(harness) == 2

    run_with_gateway(scenario)


def test_successor_continues_when_the_first_server_fails() -> None:
    """The successor that runs alongside continues, and no third server is asked."""

    async def scenario(harness: Harness) -> None:
        first = stream_waiting_for(lambda: runs(harness) == 2, goes_on=False)

        async def then(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await harness.until(lambda: any(other.closed for other in harness.servers.values()))
            await stream_of_four(server, request, writer)

        await start_servers(harness, first_then(first, then), count=3)
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2

    run_with_gateway(scenario)


def test_client_disconnect_during_handover_aborts_the_request() -> None:
    """The first server's connection has closed, and the crash check is still running."""

    async def scenario(harness: Harness) -> None:
        first = pausing_stream(SILENT_SECONDS + 0.1, goes_on=False)
        await start_servers(harness, first_then(first, delayed_stream(60.0)))
        assert harness.node is not None
        detector = harness.node.context.crash_detector
        asked = asyncio.Event()

        async def never() -> None:
            asked.set()
            await asyncio.Event().wait()

        detector.on_loss = lambda *_: asyncio.ensure_future(never())  # type: ignore[method-assign]
        client = await harness.client()
        client.send("/stream/", "id-1", Deadline_Ms="6000", **PROMPT)
        await asked.wait()
        client.close()
        await harness.until(lambda: all(server.closed for server in harness.servers.values()))

    run_with_gateway(scenario)


def test_superseded_offer_is_not_repeated() -> None:
    """The first server finishes while the connection to the successor is still being established.

    Guards against a repeated offer after that: the events of the successor would be written to a
    client that already has its complete answer, in the place of the next answer.
    """

    async def scenario(harness: Harness) -> None:
        acquired: list[str] = []
        first = stream_waiting_for(lambda: len(acquired) == 2)
        await start_servers(harness, first_then(first, stream_of_four), count=3)
        assert harness.node is not None
        links = harness.node.context.server_links
        open_link = links.open

        async def slow_open(
            address: str, zone: str, timeout_seconds: float, request_id: str = ""
        ) -> ServerLink:
            acquired.append(address)
            await asyncio.sleep(0.4 * (len(acquired) > 1))
            return await open_link(address, zone, timeout_seconds, request_id)

        links.open = slow_open  # type: ignore[method-assign]
        client = await harness.client()
        got = await client.ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        await asyncio.sleep(1.0)
        assert (runs(harness), len(acquired)) == (1, 2)
        following = await client.ask("/stream/", "id-2", Deadline_Ms="6000", **PROMPT)
        assert (following.whole, following.body) == (True, WHOLE_STREAM)

    run_with_gateway(scenario)
