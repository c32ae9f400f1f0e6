"""One client's request on its way through attempts at servers to one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from milletcourse.errors import (
    AnswerLate,
    AnswerLost,
    DeadlineUnreachable,
    Failure,
    GatewayExhausted,
    Overloaded,
)
from milletcourse.exchange.attempts.attempt_plan import AttemptPlan, NextStep
from milletcourse.exchange.evidence.crash_evidence import Containment
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.messages import AttemptResult, ExchangeRequest, LeaveCause
from milletcourse.exchange.messages.records import (
    RouteKind,
    RouteRecord,
    ServiceRecord,
    TenantRecord,
)
from milletcourse.exchange.placement.engine_load import longest_wait
from milletcourse.exchange.placement.reuse_scope import reuse_scope
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.requests.answer_relay import AnswerRelay
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.requests.server_search import Destination, ServerSearch
from milletcourse.gateway.requests.stream_handover import StreamHandover
from milletcourse.gateway.requests.visit import Visit
from milletcourse.gateway.servers.server_connection import LossCause
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.telling.recorder import StreamCut, VisitedServer
from milletcourse.runtime.attended_clock import ABSENCE_SECONDS
from milletcourse.runtime.attended_timer import SECOND_LOOK_SECONDS

CLOSED_BY_SERVER = (LossCause.RESET, LossCause.CLOSED)
"""Losses that may show the end of the server's process."""
MAX_CHECK_SECONDS = 0.05
"""A request that may be sent again waits this long to learn whether its server has ended: nothing
listens there then, which shows within a round trip."""
DEFAULT_DEADLINE_SECONDS = 30.0
"""For clients that don't say how long they wait."""


class Exchange:
    """One request on its way."""

    def __init__(
        self,
        context: GatewayContext,
        table: RouteTable,
        request: ExchangeRequest,
        route: RouteRecord,
        tenant: TenantRecord | None,
        client: ClientConnection,
    ) -> None:
        service_name = context.weights.choose(route)
        self._context = context
        self._job = ExchangeJob(
            request=request,
            route=route,
            tenant=tenant,
            service=table.service(service_name) or ServiceRecord(service_name),
            scope=reuse_scope(request.model, tenant),
            table=table,
            end_at=request.received_at + _allowed_seconds(request, route),
        )
        self._client = client
        self._relay = AnswerRelay(request, client, context.record)
        self._plan = AttemptPlan(route.repeatable, route.max_attempts)
        self._search = ServerSearch(context, self._job)
        self._handover = StreamHandover(context, self._open_successor, self._on_failed_offer)
        self._told_waits: list[float] = []
        """For how long the servers that turned it away want no more."""
        self._lacks_means = False
        self._end_cause: LeaveCause | None = None
        self._servers: list[VisitedServer] = []
        self._end_timer: asyncio.TimerHandle | None = None
        self._has_looked_late = False

    # -- attempts -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Send to servers until there is one final answer."""
        self._set_end_timer()
        self._context.wake_listeners.add(self._set_end_timer)
        self._client.on_gone = self._on_gone
        if self._client.gone:
            # It left between its request and this moment.
            self._on_gone()
        self._context.budget(self._job.service.name).on_request()
        try:
            await self._run_attempts()
        finally:
            self._context.wake_listeners.discard(self._set_end_timer)
            self._cancel_end_timer()
            self._client.on_gone = None
            self._handover.close()
            self._settle_limit()

    def _set_end_timer(self) -> None:
        """End when the request's time is up; set anew after a suspension, in which timers stand."""
        self._cancel_end_timer()
        seconds = max(self._seconds_left(), 0.0)
        self._end_timer = self._context.loop.call_later(seconds, self._on_time_up)

    def _on_time_up(self) -> None:
        """Its time is over; what came while this gateway stood still is delivered first."""
        if -self._seconds_left() > ABSENCE_SECONDS and not self._has_looked_late:
            self._has_looked_late = True
            loop = self._context.loop
            self._end_timer = loop.call_later(SECOND_LOOK_SECONDS, self._on_time_up)
            return
        self._end(LeaveCause.TIME_UP)

    def _cancel_end_timer(self) -> None:
        if self._end_timer is not None:
            self._end_timer.cancel()

    def _settle_limit(self) -> None:
        tenant = self._job.tenant
        if tenant is not None:
            self._context.tenant_limits.settle(
                tenant, self._job.request, self._plan.runs, self._context.now()
            )

    async def _run_attempts(self) -> None:
        first = await self._first_destination()
        if first is None:
            return
        record = self._context.record
        request = self._job.request
        visit = self._open(first)
        while True:
            self._handover.current = visit
            result = await visit.result()
            successor = None if result is AttemptResult.ANSWERED else self._handover.take_over()
            self._note_end(visit, result)
            await self._learn_of_ends(visit, result)
            if self._end_cause is LeaveCause.CLIENT_GONE:
                record.client_left(request, self._job.route, visit.instance.name, self._relay.begun)
                self._client.cut()
                return
            following, step = await self._next_visit(result, successor)
            self._record_end(visit, result, step)
            if following is None:
                self._finish(step, visit.instance)
                return
            visit = following

    def _open(self, destination: Destination) -> Visit:
        """An attempt at a server, which has not begun."""
        attempt = Attempt(
            self._context,
            self._job,
            self._relay,
            destination.instance,
            destination.permit,
            self._handover,
        )
        if self._end_cause is not None:
            attempt.end(self._end_cause)
        return Visit(destination.instance, attempt)

    def _open_successor(self, first: Instance) -> Visit | None:
        """Another server that may go on with the stream; takes a retry from the budget."""
        if not self._may_go_on(self._plan.may_hand_over):
            return None
        destination = self._search.best_beside(first)
        if destination is None or not self._try_retry():
            return None
        self._context.record.tally.on_sent_again(self._job.route.name)
        return self._open(destination)

    def _on_failed_offer(self, visit: Visit, result: AttemptResult) -> None:
        """Another server didn't go on with the stream; the first one still has it."""
        self._note_end(visit, result)
        if visit.attempt.loss in CLOSED_BY_SERVER:
            watch = self._context.crash_watch
            watch.on_loss(self._job.identity, visit.instance, visit.attempt.sent_at)
        self._record_end(visit, result, NextStep.FIRST_GOES_ON)

    def _note_end(self, visit: Visit, result: AttemptResult) -> None:
        """What the end of an attempt means for the next ones."""
        if visit.attempt.was_sent:
            self._plan.on_send()
        if result not in (AttemptResult.ANSWERED, AttemptResult.WRONG_VERSION):
            self._search.on_tried(visit.instance)
        if visit.attempt.left is LeaveCause.OWN_MEANS:
            self._lacks_means = True
        if visit.attempt.told_wait_seconds is not None:
            self._told_waits.append(visit.attempt.told_wait_seconds)
        self._plan.on_result(result)

    def _record_end(self, visit: Visit, result: AttemptResult, step: NextStep) -> None:
        record = self._context.record
        record.attempt(self._job.route, result, step)
        seconds = self._context.now() - self._job.request.received_at
        self._servers.append(visit.for_stream(result, seconds))
        if result is not AttemptResult.ANSWERED:
            failed = visit.failed(result, self._job.identity)
            record.attempt_failed(self._job.request, self._job.route, failed, step)

    async def _learn_of_ends(self, visit: Visit, result: AttemptResult) -> None:
        """Whether the request ends servers: an answer speaks against it, an ended server for it."""
        watch = self._context.crash_watch
        if result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            watch.on_answer(self._job.identity)
            return
        if visit.attempt.loss not in CLOSED_BY_SERVER:
            return
        check = watch.on_loss(self._job.identity, visit.instance, visit.attempt.sent_at)
        if self._plan.may_send_again(self._seconds_left()):
            # Without knowing the latest end, the request might go to one server too many.
            await asyncio.wait((check,), timeout=MAX_CHECK_SECONDS)

    def _stream_cut(self) -> StreamCut:
        table = self._context.route_table
        return StreamCut(
            self._servers,
            self._end_cause.value if self._end_cause is not None else None,
            self._job.table.version,
            table.version if table is not None else self._job.table.version,
        )

    def _identity(self) -> int:
        return self._job.identity

    def _containment(self) -> Containment | None:
        return self._context.crash_watch.containment(self._identity)

    def _seconds_left(self) -> float:
        return self._job.end_at - self._context.now()

    async def _first_destination(self) -> Destination | None:
        """The server to send to first; without a good one the request is refused at once."""
        containment = self._containment()
        if containment is not None:
            self._refuse(containment.failure())
            return None
        has_bound = Mechanism.WAIT_BOUND in self._context.mechanisms
        bound = longest_wait(self._job.route, self._job.tenant) if has_bound else float("inf")
        found = await self._search.reserve(self._search.best(), bound)
        if isinstance(found, Destination):
            return found
        self._refuse(found)
        return None

    def _may_go_on(self, plan_allows: Callable[[float], bool]) -> bool:
        """Whether the request may still be sent on, as far as its plan allows it."""
        if self._end_cause is not None or not plan_allows(self._seconds_left()):
            return False
        return self._context.may_use_keys(self._job.tenant) and self._containment() is None

    def _try_retry(self) -> bool:
        budget = self._context.budget(self._job.service.name)
        return budget.try_retry(self._context.now())

    async def _next_visit(
        self, result: AttemptResult, successor: Visit | None
    ) -> tuple[Visit | None, NextStep]:
        """Where the request is next, and what its latest attempt led to."""
        if result is AttemptResult.ANSWERED:
            return None, NextStep.FINISHED
        if successor is not None:
            return successor, NextStep.HANDED_OVER
        destination = await self._next_destination()
        if destination is not None:
            return self._open(destination), NextStep.SEND_AGAIN
        return None, self._plan.final_step(result)

    async def _next_destination(self) -> Destination | None:
        """Another server for the request, within the shared retry budget."""
        # Without means of its own this gateway reaches no other server either.
        if self._lacks_means or not self._may_go_on(self._plan.may_send_again):
            return None
        choice = self._search.best()
        # What no server has got yet costs nothing of the budget.
        if choice is None or (self._plan.sends and not self._try_retry()):
            return None
        found = await self._search.reserve(choice)
        return found if isinstance(found, Destination) else None

    # -- ends -----------------------------------------------------------------------------------

    def _finish(self, step: NextStep, instance: Instance) -> None:
        record = self._context.record
        if step is NextStep.FINISHED:
            relay = self._relay
            record.served(
                self._job.request,
                self._job.route,
                instance.name,
                self._plan.sends,
                relay.first_seconds,
                relay.longest_gap_seconds,
                self._search.kept_from,
            )
        elif self._relay.begun:
            record.cut(self._job.request, self._job.route, self._stream_cut())
            self._client.cut()
        elif step is NextStep.PASS_FAILURE and self._relay.failure is not None:
            record.passed_failure(self._job.route)
            self._relay.pass_failure(self._relay.failure)
        else:
            self._refuse(self._own_failure(step))

    def _own_failure(self, step: NextStep) -> Failure:
        late = self._end_cause is LeaveCause.TIME_UP
        if step is not NextStep.REFUSE:
            if late:
                return AnswerLate("the server's answer did not come in time")
            return AnswerLost("the server's answer was lost")
        containment = self._containment()
        if containment is not None:
            return containment.failure()
        retry_after = self._context.retry_after()
        if late:
            return DeadlineUnreachable("no server took it in time", retry_after)
        if self._lacks_means:
            return GatewayExhausted("this gateway has no descriptor left", retry_after)
        if self._search.met_limit or self._search.is_kept_away:
            return self._search.failure()
        soonest = min(self._told_waits, default=0.0)
        return Overloaded("servers turned it away", max(retry_after, soonest))

    def _refuse(self, failure: Failure) -> None:
        self._context.record.failure(
            failure, self._job.request, self._job.route, self._search.kept_from
        )
        refuse(self._client, failure)

    def _on_gone(self) -> None:
        visit = self._handover.current
        at_server = visit is not None and visit.attempt.is_at_server
        if self._job.route.kind is RouteKind.UNSAFE and at_server:
            # It can't be undone: let it end, so that the connection stays usable.
            return
        self._end(LeaveCause.CLIENT_GONE)

    def _end(self, cause: LeaveCause) -> None:
        if self._end_cause is None:
            self._end_cause = cause
        self._handover.end(cause)


def _allowed_seconds(request: ExchangeRequest, route: RouteRecord) -> float:
    deadline = request.deadline_seconds
    if deadline is None:
        deadline = DEFAULT_DEADLINE_SECONDS
    return min(deadline, route.timeout_seconds)
