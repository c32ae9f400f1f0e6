"""Attempts at two servers in any order of events: one is relayed, and none outlives its request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from milletcourse.exchange.messages.messages import AbortCause, AttemptResult
from milletcourse.gateway.requests.server_attempt import ServerAttempt
from milletcourse.gateway.requests.stream_handover import StreamHandover


class FakeAttempt:
    """An attempt that is controlled by the test."""

    def __init__(self) -> None:
        self.result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
        self.abort_cause: AbortCause | None = None
        self.loss = None
        self.was_sent = False
        self.ended = False

    async def run(self) -> AttemptResult:
        """Wait until the test sets a result."""
        return await self.result

    def end(self, cause: AbortCause) -> None:
        """Abort the attempt; its result follows later, and it has a cause only if it was sent."""
        self.ended = True
        if self.was_sent and self.abort_cause is None:
            self.abort_cause = cause

    @property
    def speaks(self) -> bool:
        """Whether an event of this attempt would be relayed."""
        return self.was_sent and not self.ended and not self.result.done()


class OneStream(RuleBasedStateMachine):
    """A request with a first server, and the servers to which its stream is offered."""

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
        """Cancel all tasks."""
        for server_attempt in self.offers:
            if server_attempt.task is not None:
                server_attempt.task.cancel()
        self.settle()
        self.loop.close()

    def do(self, step: Callable[[], None]) -> None:
        """Run a step on the event loop and let its consequences take effect."""

        async def body() -> None:
            step()

        self.loop.run_until_complete(body())
        self.settle()

    def settle(self) -> None:
        """Run some iterations of the event loop."""
        for _ in range(4):
            self.loop.run_until_complete(asyncio.sleep(0))

    def begin(self) -> None:
        """Start with the stream at the first server."""
        attempt: Any = FakeAttempt()
        attempt.was_sent = True
        instance: Any = SimpleNamespace(name="first")
        self.handover.current = ServerAttempt(instance, attempt)

    def open(self) -> ServerAttempt:
        """Create an attempt at another server."""
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
        """The attempt at the server to which the stream was offered last."""
        return self.offers[-1].attempt if self.offers else None

    def pending(self) -> bool:
        """Whether the attempt that was offered last has no result yet."""
        return bool(self.offers) and not self.offered.result.done()

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def silent(self) -> None:
        """The server that runs the stream is silent."""
        self.do(self.handover.on_silent)

    @precondition(lambda self: self.pending() and not self.offered.ended)
    @rule()
    def send(self) -> None:
        """The connection to the successor is established and the request sent."""
        self.offered.was_sent = True
        self.do(lambda: self.handover.on_sent(self.offered))

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def piece_of_the_first(self) -> None:
        """The current server sends an event."""
        self.do(lambda: self.handover.on_events(self.current))

    @precondition(lambda self: not self.is_over and self.pending() and self.offered.speaks)
    @rule()
    def piece_of_the_other(self) -> None:
        """The successor sends an event."""
        attempt = self.offered
        self.do(lambda: self.handover.on_events(attempt))

    @precondition(lambda self: not self.is_over)
    @rule()
    def overlap_over(self) -> None:
        """The time for which both servers may run the stream is over."""
        self.do(self.handover._on_overlap_over)

    @precondition(lambda self: self.pending() and self.offered is not self.current)
    @rule()
    def other_ends(self) -> None:
        """The successor rejects the stream, or its abort completes."""
        self.do(lambda: self.offered.result.set_result(AttemptResult.REJECTED))

    @precondition(lambda self: not self.is_over and not self.current.result.done())
    @rule()
    def first_ends(self) -> None:
        """The current attempt fails or was aborted: the successor takes over if there is one."""

        def step() -> None:
            self.current.result.set_result(AttemptResult.TRUNCATED)
            following = self.handover.take_over()
            if following is None:
                self.is_over = True
                self.handover.close()

        self.do(step)

    @precondition(lambda self: not self.is_over and self.current.speaks)
    @rule()
    def first_finishes(self) -> None:
        """The current server sends its last event."""

        def step() -> None:
            self.handover.on_events(self.current)
            self.current.result.set_result(AttemptResult.ANSWERED)
            self.is_over = True
            self.handover.close()

        self.do(step)

    @precondition(lambda self: not self.is_over)
    @rule()
    def client_leaves(self) -> None:
        """The client disconnects, and both attempts are aborted."""

        def step() -> None:
            self.handover.end(AbortCause.CLIENT_DISCONNECTED)
            self.is_over = True
            self.handover.close()

        self.do(step)

    @rule()
    def later(self) -> None:
        """Time passes."""
        self.settle()

    def alive(self) -> list[Any]:
        """Attempts that a server runs or will run."""
        attempts = {id(self.current): self.current}
        attempts |= {
            id(server_attempt.attempt): server_attempt.attempt for server_attempt in self.offers
        }
        return [item for item in attempts.values() if not item.result.done() and not item.ended]

    @invariant()
    def at_most_two_have_the_stream(self) -> None:
        """The current server, and one to which the stream is offered."""
        assert len(self.alive()) <= 2

    @invariant()
    def a_finished_request_is_offered_to_nobody(self) -> None:
        """The client may have sent its next request."""
        assert not self.was_offered_late

    @invariant()
    def none_outlives_its_request(self) -> None:
        """No successor continues after the request is over."""
        if self.is_over:
            assert not [item for item in self.alive() if item is not self.current]


OneStream.TestCase.settings = settings(max_examples=150, stateful_step_count=25)
TestOneStream = OneStream.TestCase
