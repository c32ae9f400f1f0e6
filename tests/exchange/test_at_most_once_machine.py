"""Requests that run at most once, over connections on which answers may come again and late."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from answer_heads import bodyless_head
from milletcourse.exchange.attempts.answer_rules import classify_answer
from milletcourse.exchange.attempts.attempt_plan import AttemptPlan, NextStep
from milletcourse.exchange.messages.connection_requests import ConnectionRequests
from milletcourse.exchange.messages.messages import AnswerHead, AttemptResult

SERVERS = ("s-1", "s-2")
WEIGHT_VERSION = 1
SECONDS_LEFT = 5.0
MAX_REQUESTS = 4
INDEX = st.integers(0, 3)
RUNS = settings(max_examples=600, stateful_step_count=30, deadline=None, derandomize=True)
SEARCH = settings(
    RUNS,
    max_examples=2000,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
    database=None,
)


class CarriesAnything(ConnectionRequests):
    """Known bad: sends a request again on a connection that has carried it."""

    def may_carry(self, request_id: str) -> bool:
        return True


class TakesUnidentifiedRefusals(ConnectionRequests):
    """Known bad: takes a refusal without an id for the answer to the pending request."""

    def is_answered_by(self, head: AnswerHead) -> bool:
        is_refusal = head.not_executed or head.status == 421
        return super().is_answered_by(head) or (not head.request_id and is_refusal)


class TakesAnyAnswer(ConnectionRequests):
    """Known bad: takes the next answer for the answer to the pending request."""

    def is_answered_by(self, head: AnswerHead) -> bool:
        return True


@dataclass
class Connection:
    """A connection to a server, with the data that is under way in both directions."""

    server: str
    requests: ConnectionRequests
    pending: Request | None = None
    is_reusable: bool = True
    unread: deque[str] = field(default_factory=deque)
    """Ids of requests that the server has not read."""
    answers: deque[AnswerHead] = field(default_factory=deque)
    """Answers that the gateway has not read."""
    sent_answers: list[AnswerHead] = field(default_factory=list)


@dataclass
class Request:
    """A request that may run once, with what its client was told."""

    id: str
    plan: AttemptPlan = field(default_factory=lambda: AttemptPlan(False, 1))
    connection: Connection | None = None
    final_step: NextStep | None = None


class AtMostOnce(RuleBasedStateMachine):
    """A gateway, two servers, and connections that carry one request after the other."""

    history: type[ConnectionRequests] = ConnectionRequests

    def __init__(self) -> None:
        super().__init__()
        self.runs: Counter[str] = Counter()
        self.requests: list[Request] = []
        self.connections: list[Connection] = []

    # -- gateway --------------------------------------------------------------------------------

    @precondition(lambda self: len(self.requests) < MAX_REQUESTS)
    @rule(server=st.sampled_from(SERVERS), prefers_new=st.booleans())
    def begin(self, server: str, prefers_new: bool) -> None:
        """A client's request is sent for the first time."""
        request = Request(f"r-{len(self.requests)}")
        self.requests.append(request)
        self._send(request, server, prefers_new)

    @precondition(lambda self: self._undecided())
    @rule(index=INDEX, server=st.sampled_from(SERVERS), prefers_new=st.booleans())
    def next_attempt(self, index: int, server: str, prefers_new: bool) -> None:
        """A request whose attempt has ended is sent again, or its client gets a final answer."""
        waiting = self._undecided()
        request = waiting[index % len(waiting)]
        if request.plan.may_retry(SECONDS_LEFT):
            self._send(request, server, prefers_new)
        else:
            request.final_step = request.plan.final_step(AttemptResult.LOST)

    @precondition(lambda self: self._undecided())
    @rule(index=INDEX)
    def give_up(self, index: int) -> None:
        """No server is left for a request whose attempt has ended."""
        waiting = self._undecided()
        request = waiting[index % len(waiting)]
        request.final_step = request.plan.final_step(AttemptResult.REJECTED)

    def _undecided(self) -> list[Request]:
        """Requests without a running attempt and without a final answer."""
        return [item for item in self.requests if not item.connection and not item.final_step]

    def _send(self, request: Request, server: str, prefers_new: bool) -> None:
        idle = [
            item
            for item in self.connections
            if item.server == server
            and item.is_reusable
            and item.pending is None
            and item.requests.may_carry(request.id)
        ]
        if prefers_new or not idle:
            idle = [Connection(server, self.history())]
            self.connections += idle
        connection = idle[-1]
        connection.requests.on_send(request.id)
        connection.pending = request
        connection.unread.append(request.id)
        request.connection = connection
        request.plan.on_send()

    @precondition(lambda self: any(item.answers for item in self.connections))
    @rule(index=INDEX)
    def receive(self, index: int) -> None:
        """The gateway reads the next answer on a connection."""
        open_connections = [item for item in self.connections if item.answers]
        connection = open_connections[index % len(open_connections)]
        answer = connection.answers.popleft()
        if connection.pending is None:
            self._close(connection)
        elif connection.requests.is_answered_by(answer):
            self._end(connection, classify_answer(answer, connection.server, WEIGHT_VERSION))
        else:
            connection.is_reusable = False

    def _end(self, connection: Connection, result: AttemptResult) -> None:
        request = connection.pending
        if request is None:
            return
        connection.pending = None
        request.connection = None
        request.plan.on_result(result)
        if result is AttemptResult.ANSWERED:
            request.final_step = NextStep.FINISHED

    def _close(self, connection: Connection) -> None:
        connection.is_reusable = False
        connection.answers.clear()
        self._end(connection, AttemptResult.LOST)

    # -- servers and the network ----------------------------------------------------------------

    @precondition(lambda self: any(item.unread for item in self.connections))
    @rule(index=INDEX, outcome=st.sampled_from(["run", "fail", "421", "503", "429"]))
    def handle(self, index: int, outcome: str) -> None:
        """A server reads the next request of a connection, and runs or refuses it."""
        unread = [item for item in self.connections if item.unread]
        connection = unread[index % len(unread)]
        request_id = connection.unread.popleft()
        if outcome in ("run", "fail"):
            self.runs[request_id] += 1
            answer = bodyless_head(200 if outcome == "run" else 500, request_id, connection.server)
        else:
            answer = bodyless_head(int(outcome), request_id, connection.server, outcome != "421")
        connection.sent_answers.append(answer)
        connection.answers.append(answer)

    @precondition(lambda self: self._used())
    @rule(index=INDEX, chosen=INDEX)
    def repeat_answer(self, index: int, chosen: int) -> None:
        """A server sends an earlier answer once more."""
        used = self._used()
        connection = used[index % len(used)]
        repeated = connection.sent_answers[chosen % len(connection.sent_answers)]
        connection.answers.append(repeated)

    @precondition(lambda self: self._used())
    @rule(index=INDEX, status=st.sampled_from([421, 429, 503]))
    def send_unidentified_refusal(self, index: int, status: int) -> None:
        """A server that has answered a request sends a refusal that names none."""
        used = self._used()
        connection = used[index % len(used)]
        connection.answers.append(bodyless_head(status, "", connection.server, status != 421))

    def _used(self) -> list[Connection]:
        """Connections on which a server has answered."""
        return [item for item in self.connections if item.sent_answers]

    @precondition(lambda self: self.connections)
    @rule(index=INDEX, is_read=st.booleans())
    def reset(self, index: int, is_read: bool) -> None:
        """A connection ends; the server may still read the request on it."""
        connection = self.connections[index % len(self.connections)]
        if not is_read:
            connection.unread.clear()
        self._close(connection)

    # -- guarantees -----------------------------------------------------------------------------

    @invariant()
    def requests_run_at_most_once(self) -> None:
        """No request is executed twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def refused_requests_have_not_run(self) -> None:
        """A client is told `not executed` only if that is true and stays true."""
        for request in self.requests:
            if request.final_step is NextStep.REFUSE:
                assert not self.runs[request.id], request.id


KNOWN_BAD = (CarriesAnything, TakesUnidentifiedRefusals, TakesAnyAnswer)


def machine_with(history: type[ConnectionRequests]) -> type[AtMostOnce]:
    """The state machine with another way to match answers."""
    return type(history.__name__, (AtMostOnce,), {"history": history})


def test_requests_run_at_most_once_and_refused_ones_never() -> None:
    """Holds for every order of sends, answers, copies and resets."""
    run_state_machine_as_test(AtMostOnce, settings=RUNS)


@pytest.mark.parametrize("history", KNOWN_BAD)
def test_the_machine_finds_known_bad_histories(history: type[ConnectionRequests]) -> None:
    """Guards against a model in which a late answer can't do harm."""

    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_with(history), settings=SEARCH)
