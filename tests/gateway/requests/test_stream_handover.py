"""Who goes on with a stream: two servers may have it for a while, and what comes first decides."""

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

ALLOWED_OVERLAP_SECONDS = 0.4
SILENT_SECONDS = 1.0
"""After so long a stream is offered to another server."""


class TwoRunners(RuleBasedStateMachine):
    """Pieces, ends and the bound on the overlap in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.core = Handover()
        self.first_runs = True
        self.successor_runs = False
        self.passed: list[HandoverSide] = []

    @precondition(lambda self: self.first_runs and not self.successor_runs)
    @rule()
    def offer(self) -> None:
        """The first server is silent, and another one is asked."""
        self.core.on_offer()
        self.successor_runs = True

    @rule(runner=st.sampled_from(list(HandoverSide)))
    def piece(self, runner: HandoverSide) -> None:
        """One of them says something, if it still runs."""
        if not (self.first_runs if runner is HandoverSide.FIRST else self.successor_runs):
            return
        self.carry_out(self.core.on_chunk(runner))
        self.passed.append(runner)
        assert self.first_runs != self.successor_runs

    @rule()
    def overlap_over(self) -> None:
        """Neither has said anything; a late timer may tell it when all is decided."""
        both = self.first_runs and self.successor_runs
        step = self.core.on_overlap_timeout()
        assert step is (HandoverAction.CANCEL_SUCCESSOR if both else HandoverAction.WAIT)
        self.carry_out(step)

    @precondition(lambda self: self.first_runs and self.successor_runs)
    @rule()
    def successor_ends(self) -> None:
        """It turns the stream away, or is lost."""
        self.successor_runs = False
        assert self.core.on_successor_end()

    @precondition(lambda self: self.successor_runs)
    @rule()
    def first_ends(self) -> None:
        """It is lost or was ended: the successor is the first one now."""
        self.first_runs, self.successor_runs = True, False
        self.core.on_first_end()

    def carry_out(self, step: HandoverAction) -> None:
        """What the gateway does."""
        if step is HandoverAction.CANCEL_FIRST:
            self.first_runs = False
        elif step is HandoverAction.CANCEL_SUCCESSOR:
            self.successor_runs = False

    @invariant()
    def somebody_has_the_stream(self) -> None:
        """Never is the last server ended."""
        assert self.first_runs or self.successor_runs

    @invariant()
    def an_offer_has_two_runners(self) -> None:
        """And is over with one of them."""
        if self.core.state is HandoverState.OFFERED:
            assert self.first_runs and self.successor_runs


TwoRunners.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestTwoRunners = TwoRunners.TestCase


def after(seconds: float) -> Behaviour:
    """The rest of the stream, a while later."""

    async def behave(
        server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        if not writer.is_closing():
            await stream_of_four(server, request, writer)

    return behave


async def some_servers(harness: Harness, behaviour: Behaviour, count: int = 2) -> None:
    """Servers that share a behaviour, and a gateway that may spend many retries."""
    for number in range(count):
        await harness.add_server(f"e-{number}", "engine", behaviour, 1)
    await harness.start(RetrySlack=1000)


def pausing_then(first_seconds: float, other: Behaviour) -> Behaviour:
    """The first run pauses for a while after two events; the others go another way."""
    return first_then(pausing_stream(first_seconds), other)


def runs(harness: Harness) -> int:
    """Requests that servers have got."""
    return sum(len(server.received) for server in harness.servers.values())


def test_the_server_that_speaks_first_goes_on() -> None:
    """The one that had the stream, if it speaks before the other has begun."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, pausing_then(SILENT_SECONDS + 0.1, after(0.25)))
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2
        # The other one's work is ended: its connection is closed, and no third one was opened.
        await harness.until(lambda: sum(len(s.closed) for s in harness.servers.values()) == 1)

    run_with_gateway(scenario)


def test_another_server_goes_on_and_the_silent_one_is_ended_soon() -> None:
    """With no piece missing or twice, and within the time for which both may work."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, pausing_then(60.0, after(0.1)))
        client = await harness.client()
        asking = asyncio.ensure_future(client.ask("/stream/", Deadline_Ms="6000", **PROMPT))
        await harness.until(lambda: runs(harness) == 2)
        offered_at = time.monotonic()
        await harness.until(lambda: any(s.closed for s in harness.servers.values()))
        assert time.monotonic() - offered_at < ALLOWED_OVERLAP_SECONDS
        got = await asking
        assert (got.whole, got.body) == (True, WHOLE_STREAM)

    run_with_gateway(scenario)


def test_a_server_that_does_not_begin_soon_is_ended() -> None:
    """Both may work on a stream for a while only, and attempts are counted."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, pausing_then(SILENT_SECONDS + 1.0, after(60.0)))
        client = await harness.client()
        asking = asyncio.ensure_future(client.ask("/stream/", Deadline_Ms="6000", **PROMPT))
        await harness.until(lambda: runs(harness) == 2)
        offered_at = time.monotonic()
        await harness.until(lambda: any(s.closed for s in harness.servers.values()))
        assert MAX_OVERLAP_SECONDS - 0.05 < time.monotonic() - offered_at < ALLOWED_OVERLAP_SECONDS
        got = await asking
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2

    run_with_gateway(scenario)


def test_a_client_that_leaves_ends_the_work_at_both_servers() -> None:
    """Neither works on for nobody."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, pausing_then(60.0, after(60.0)))
        client = await harness.client()
        client.send("/stream/", "id-1", Deadline_Ms="6000", **PROMPT)
        await harness.until(lambda: runs(harness) == 2)
        client.close()
        await harness.until(lambda: all(s.closed for s in harness.servers.values()))
        assert runs(harness) == 2

    run_with_gateway(scenario)


def breaking_off_then(other: Behaviour) -> Behaviour:
    """The first run breaks off soon after it has become silent; the others go another way."""
    return first_then(pausing_stream(SILENT_SECONDS + 0.1, goes_on=False), other)


def test_a_first_server_that_ends_leaves_the_stream_to_the_other() -> None:
    """What was asked beside it goes on, and no third server is asked."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, breaking_off_then(after(0.25)), count=3)
        got = await (await harness.client()).ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        assert runs(harness) == 2

    run_with_gateway(scenario)


def test_a_client_that_leaves_while_the_stream_changes_hands_ends_the_work() -> None:
    """Its first server has just ended, and whether its process has is being asked."""

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, breaking_off_then(after(60.0)))
        assert harness.node is not None
        watch = harness.node.context.crash_watch
        asked = asyncio.Event()

        async def never() -> None:
            asked.set()
            await asyncio.Event().wait()

        watch.on_loss = lambda *_: asyncio.ensure_future(never())  # type: ignore[method-assign]
        client = await harness.client()
        client.send("/stream/", "id-1", Deadline_Ms="6000", **PROMPT)
        await asked.wait()
        client.close()
        await harness.until(lambda: all(server.closed for server in harness.servers.values()))

    run_with_gateway(scenario)


def test_an_offer_that_was_overtaken_is_not_made_again() -> None:
    """The first server finishes while the connection to the other one is still coming up.

    The connection came up, and as the other server had never been left, it was asked once more:
    its pieces went to a client that had its whole answer, into the place of the next one.
    """

    async def scenario(harness: Harness) -> None:
        await some_servers(harness, pausing_then(SILENT_SECONDS + 0.1, stream_of_four), count=3)
        assert harness.node is not None
        pool = harness.node.context.pool
        acquire = pool.acquire
        acquired: list[str] = []

        async def slow_acquire(address: str, timeout_seconds: float) -> object:
            if address in {server.address for server in harness.servers.values()}:
                acquired.append(address)
                await asyncio.sleep(0.4 * (len(acquired) > 1))
            return await acquire(address, timeout_seconds)

        pool.acquire = slow_acquire  # type: ignore[method-assign,assignment]
        client = await harness.client()
        got = await client.ask("/stream/", Deadline_Ms="6000", **PROMPT)
        assert (got.whole, got.body) == (True, WHOLE_STREAM)
        await asyncio.sleep(1.0)
        assert (runs(harness), len(acquired)) == (1, 2)
        following = await client.ask("/stream/", "id-2", Deadline_Ms="6000", **PROMPT)
        assert (following.whole, following.body) == (True, WHOLE_STREAM)

    run_with_gateway(scenario)
