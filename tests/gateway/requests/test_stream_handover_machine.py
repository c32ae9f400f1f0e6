"""Attempts at two servers in any order of events: one speaks, and none outlives its request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from milletcourse.exchange.messages.messages import AttemptResult, LeaveCause
from milletcourse.gateway.requests.server_attempt import ServerAttempt
from milletcourse.gateway.requests.stream_handover import StreamHandover


class FakeAttempt:
    """An attempt that does what the test says."""

    def __init__(self) -> None:
        self.result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
        self.abort_cause: LeaveCause | None = None
        self.loss = None
        self.was_sent = False
        self.ended = False

    async def run(self) -> AttemptResult:
        """Until it has a result."""
        return await self.result

    def end(self, cause: LeaveCause) -> None:
        """It is given up; its end shows later, and only what was sent tells why."""
        self.ended = True
        if self.was_sent and self.abort_cause is None:
            self.abort_cause = cause

    @property
    def speaks(self) -> bool:
        """Whether a piece of it would be passed on."""
        return self.was_sent and not self.ended and not self.result.done()


class OneStream(RuleBasedStateMachine):
    """A request with a first server, and those that are asked to go on."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.offers: list[ServerAttempt] = []
        self.failed: list[ServerAttempt] = []
        self.is_over = False
        self.was_offered_late = False
        context: Any = SimpleNamespace(
            loop=SimpleNamespace(call_later=lambda *_: SimpleNamespace(cancel=lambda: None)),
            log=SimpleNamespace(emit=lambda *_, **__: None),
        )
        self.handover = StreamHandover(
            context,
            lambda _: self.open(),
            lambda server_attempt, _: self.failed.append(server_attempt),
        )
        self.do(self.begin)

    def teardown(self) -> None:
        """Nothing runs on."""
        for server_attempt in self.offers:
            if server_attempt.task is not None:
                server_attempt.task.cancel()
        self.settle()
        self.loop.close()

    def do(self, step: Callable[[], None]) -> None:
        """Carry a step out on the loop, and let what it causes happen."""

        async def body() -> None:
            step()

        self.loop.run_until_complete(body())
        self.settle()

    def settle(self) -> None:
        """Some turns of the loop."""
        for _ in range(4):
            self.loop.run_until_complete(asyncio.sleep(0))

    def begin(self) -> None:
        """The first server has the stream."""
        attempt: Any = FakeAttempt()
        attempt.was_sent = True
        instance: Any = SimpleNamespace(name="first")
        self.handover.current = ServerAttempt(instance, attempt)

    def open(self) -> ServerAttempt:
        """Another server may go on."""
        self.was_offered_late = self.was_offered_late or self.is_over
        attempt: Any = FakeAttempt()
        instance: Any = SimpleNamespace(name=f"other-{len(self.offers)}")
        self.offers.append(ServerAttempt(instance, attempt))
        return self.offers[-1]

    @property
    def current(self) -> Any:
        """The attempt that answers the client."""
        assert self.handover.current is not None
        return self.handover.current.attempt

    @property
    def offered(self) -> Any:
        """The attempt at the server that was asked last."""
        return self.offers[-1].attempt if self.offers else None

    def pending(self) -> bool:
        """Whether the server that was asked last has no result yet."""
        return bool(self.offers) and not self.offered.result.done()

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def silent(self) -> None:
        """The server that has the stream says nothing."""
        self.do(self.handover.on_silent)

    @precondition(lambda self: self.pending() and not self.offered.ended)
    @rule()
    def send(self) -> None:
        """The connection to the other one came up."""
        self.offered.was_sent = True
        self.do(lambda: self.handover.on_sent(self.offered))

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def piece_of_the_first(self) -> None:
        """It goes on."""
        self.do(lambda: self.handover.on_events(self.current))

    @precondition(lambda self: not self.is_over and self.pending() and self.offered.speaks)
    @rule()
    def piece_of_the_other(self) -> None:
        """The other one begins."""
        attempt = self.offered
        self.do(lambda: self.handover.on_events(attempt))

    @precondition(lambda self: not self.is_over)
    @rule()
    def overlap_over(self) -> None:
        """Both had the stream for as long as they may."""
        self.do(self.handover._on_overlap_over)

    @precondition(lambda self: self.pending() and self.offered is not self.current)
    @rule()
    def other_ends(self) -> None:
        """It turned the stream away, or its end shows."""
        self.do(lambda: self.offered.result.set_result(AttemptResult.TURNED_AWAY))

    @precondition(lambda self: not self.is_over and not self.current.result.done())
    @rule()
    def first_ends(self) -> None:
        """It broke off, or was ended: whoever was asked takes over, or the request is over."""

        def step() -> None:
            self.current.result.set_result(AttemptResult.CUT)
            following = self.handover.take_over()
            if following is None:
                self.is_over = True
                self.handover.close()

        self.do(step)

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def first_finishes(self) -> None:
        """Its last piece has come."""

        def step() -> None:
            self.handover.on_events(self.current)
            self.current.result.set_result(AttemptResult.ANSWERED)
            self.is_over = True
            self.handover.close()

        self.do(step)

    @precondition(lambda self: not self.is_over)
    @rule()
    def client_leaves(self) -> None:
        """Both are ended."""

        def step() -> None:
            self.handover.end(LeaveCause.CLIENT_GONE)
            self.is_over = True
            self.handover.close()

        self.do(step)

    @rule()
    def later(self) -> None:
        """Time passes."""
        self.settle()

    def alive(self) -> list[Any]:
        """Attempts that a server works on, or will."""
        attempts = {id(self.current): self.current}
        attempts |= {
            id(server_attempt.attempt): server_attempt.attempt for server_attempt in self.offers
        }
        return [item for item in attempts.values() if not item.result.done() and not item.ended]

    @invariant()
    def at_most_two_have_the_stream(self) -> None:
        """One, and one that is asked."""
        assert len(self.alive()) <= 2

    @invariant()
    def a_finished_request_is_offered_to_nobody(self) -> None:
        """Its client may have sent the next one."""
        assert not self.was_offered_late

    @invariant()
    def none_outlives_its_request(self) -> None:
        """What is over is worked on by nobody."""
        if self.is_over:
            assert not [item for item in self.alive() if item is not self.current]


OneStream.TestCase.settings = settings(max_examples=150, stateful_step_count=25)
TestOneStream = OneStream.TestCase
