"""A state machine of a planned stop: clients, the kernel, a late event loop, and the stop's checks.

What a client writes stays in the kernel until the event loop reads it; the stop may check the
connection at any time in between. Whatever the order, it must not close a connection that carries
a request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from milletcourse.exchange.attempts.planned_stop import ConnectionState, PlannedStop, StopPhase

GRACE_SECONDS = 8.0
MAX_CONNECTIONS = 2
SEARCH = settings(max_examples=2000, stateful_step_count=30, report_multiple_bugs=False)
REQUEST_BYTES = 150
MayClose = Callable[[PlannedStop, ConnectionState, float], bool]


@dataclass
class ModelConnection:
    """State of a connection in the kernel and in the process; counts are requests."""

    is_accepted: bool = False
    is_closed: bool = False
    unread: int = 0
    unanswered: int = 0
    idle_since: float = 0.0

    def state(self) -> ConnectionState:
        """State on which the stop decides."""
        return ConnectionState(self.idle_since, self.unanswered == 0, self.unread * REQUEST_BYTES)


class StopMachine(RuleBasedStateMachine):
    """The real decision of a planned stop."""

    may_close: MayClose = staticmethod(PlannedStop.may_close)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.stop: PlannedStop | None = None
        self.connections: list[ModelConnection] = []
        self.lost = 0

    @rule()
    def client_connects(self) -> None:
        """A connection is established; the listener closes only when none waits in its backlog."""
        is_open = self.stop is None or self.stop.phase(self.now) is StopPhase.DRAINING
        if is_open and len(self.connections) < MAX_CONNECTIONS:
            self.connections.append(ModelConnection())

    @rule(number=st.integers(min_value=0, max_value=MAX_CONNECTIONS - 1))
    def client_sends(self, number: int) -> None:
        """A client sends a request on a connection that it hasn't seen closed, at any time."""
        if number < len(self.connections) and not self.connections[number].is_closed:
            self.connections[number].unread += 1

    @rule()
    def loop_reads(self) -> None:
        """The event loop accepts and reads everything that has arrived."""
        for connection in self.connections:
            if not connection.is_accepted:
                connection.is_accepted = True
                connection.idle_since = self.now
            connection.unanswered += connection.unread
            connection.unread = 0

    @rule()
    def servers_answer(self) -> None:
        """Each connection that waits for an answer gets one."""
        for connection in self.connections:
            if connection.unanswered:
                connection.unanswered -= 1
                connection.idle_since = self.now

    @rule(held=st.floats(min_value=0.0, max_value=3.0))
    def signal_is_heard(self, held: float) -> None:
        """The process notices the signal, `held` seconds after the loop last ran."""
        if self.stop is None:
            self.stop = PlannedStop(self.now, self.now - held, GRACE_SECONDS)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 2.7]))
    def time_passes(self, seconds: float) -> None:
        """Time passes while the loop is blocked or idle."""
        self.now += seconds

    @rule()
    def stop_looks(self) -> None:
        """The stop closes the connections that it may close."""
        if self.stop is None or self.stop.phase(self.now) is StopPhase.EXPIRED:
            return
        for connection in self.connections:
            if not connection.is_accepted or connection.is_closed:
                continue
            if self.may_close(self.stop, connection.state(), self.now):
                connection.is_closed = True
                self.lost += connection.unread + connection.unanswered

    @invariant()
    def nothing_is_lost(self) -> None:
        """No request is lost before the grace time is over."""
        assert self.lost == 0


class CarelessMachine(StopMachine):
    """A broken variant that ignores bytes which haven't been read yet."""

    @staticmethod
    def may_close(stop: PlannedStop, connection: ConnectionState, now: float) -> bool:
        """Close connections without a request in the process."""
        return stop.phase(now) is not StopPhase.DRAINING and connection.is_idle


TestStopMachine = StopMachine.TestCase


def test_the_machine_finds_a_stop_that_ignores_unread_requests() -> None:
    """The state machine detects the broken variant."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(CarelessMachine, settings=SEARCH)
