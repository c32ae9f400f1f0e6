"""Serves one client request by attempts at servers until there is one final answer."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.errors import (
    AnswerLate,
    AnswerLost,
    DeadlineUnreachable,
    Draining,
    Failure,
    GatewayExhausted,
    Overloaded,
    ServersUnreachable,
)
from milletcourse.exchange.attempts.attempt_plan import AttemptPlan, NextStep
from milletcourse.exchange.evidence.containment import Containment
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.messages import AbortCause, AttemptResult, ExchangeRequest
from milletcourse.exchange.messages.records import (
    RouteKind,
    RouteRecord,
    ServiceRecord,
    TenantRecord,
)
from milletcourse.exchange.placement.engine_load import max_resume_wait_seconds, max_wait_seconds
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.requests.answer_relay import AnswerRelay
from milletcourse.gateway.requests.attempt import Attempt
from milletcourse.gateway.requests.crash_check import CrashCheck
from milletcourse.gateway.requests.end_watch import EndWatch
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.requests.server_attempt import ServerAttempt
from milletcourse.gateway.requests.server_search import Destination, ServerSearch
from milletcourse.gateway.requests.stream_continuity import StreamContinuity
from milletcourse.gateway.requests.stream_handover import StreamHandover
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.state.stream_resumption import ResumePoint
from milletcourse.gateway.telemetry.request_records import (
    RequestEnd,
    StreamTruncation,
    VisitedServer,
)

DEFAULT_DEADLINE_SECONDS = 30.0
"""Used for requests without a deadline of the client."""


class Exchange:
    """One request from its admission to its final answer."""

    def __init__(
        self,
        context: GatewayContext,
        table: RouteTable,
        request: ExchangeRequest,
        route: RouteRecord,
        tenant: TenantRecord | None,
        client: ClientConnection,
        resume_point: ResumePoint | None = None,
    ) -> None:
        """Create an exchange that has not sent anything yet.

        Args:
            context: Shared state of the gateway.
            table: The configuration under which the request was admitted.
            request: The request.
            route: Its route.
            tenant: Its tenant, None on public routes.
            client: Connection of its client.
            resume_point: Where a stream goes on that the client resumes, None for a new one.
        """
        service_name = resume_point.service if resume_point else context.weights.choose(route)
        client_deadline_at = request.received_at + _client_seconds(request)
        self._context = context
        self._job = ExchangeJob(
            request=request,
            route=route,
            tenant=tenant,
            service=table.service(service_name) or ServiceRecord(service_name),
            table=table,
            newest_table=lambda: context.route_table or table,
            deadline_at=min(client_deadline_at, request.received_at + route.timeout_seconds),
            client_deadline_at=client_deadline_at,
        )
        self._client = client
        self._relay = AnswerRelay(request, client, context.record)
        self._plan = AttemptPlan(route.repeatable, route.max_attempts)
        self._continuity = StreamContinuity(context, self._job, resume_point)
        self._search = ServerSearch(context, self._job, self._continuity)
        self._crash_check = CrashCheck(context.crash_detector, self._job)
        self._handover = StreamHandover(context, self._open_successor, self._on_offer_failed)
        self._server_retry_afters: list[float] = []
        """Retry-After seconds of the servers that rejected the request."""
        self._lacks_local_resources = False
        self._is_unreachable = False
        """The latest server was reached neither from here nor through another gateway."""
        self._end_cause: AbortCause | None = None
        self._outcome: str = RequestEnd.UNANSWERED
        """A `RequestEnd`, or the code of a failure."""
        self._servers: list[VisitedServer] = []
        self._end_watch = EndWatch(context, self._job.deadline_at, self._end, self._may_wait)

    # -- attempts -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run attempts until there is one final answer."""
        self._end_watch.start()
        self._client.on_disconnected = self._on_client_disconnected
        if self._client.is_disconnected:
            # The client disconnected after sending its request and before this point.
            self._on_client_disconnected()
        self._context.retry_budgets.budget(self._job.service.name).on_request()
        try:
            await self._run_attempts()
        finally:
            self._end_watch.close()
            self._client.on_disconnected = None
            self._handover.close()
            # A reference cycle with the last attempt would keep the request with its body.
            self._handover.current = None
            self._settle_limit()
            self._continuity.on_end(self._outcome, self._relay.has_started)

    def _may_wait(self) -> bool:
        """Whether a planned stop leaves it time: it is at a server, or may still be sent to one."""
        current = self._handover.current
        return (current is not None and current.attempt.is_at_server) or self._may_send()

    def _may_send(self) -> bool:
        """Whether a planned stop, if any, leaves time for another attempt."""
        job = self._job
        return self._context.stop.may_send(self._relay.has_started, job.route, job.deadline_at)

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
        server_attempt = self._open(first)
        while True:
            self._handover.current = server_attempt
            result = await server_attempt.result()
            successor = None if result is AttemptResult.ANSWERED else self._handover.take_over()
            self._note_attempt_end(server_attempt, result)
            may_retry = self._plan.may_retry(self._seconds_left())
            await self._crash_check.on_attempt_end(server_attempt, result, may_retry)
            if self._end_cause is AbortCause.CLIENT_DISCONNECTED:
                self._outcome = RequestEnd.CLIENT_LEFT
                record.client_left(
                    request, self._job.route, server_attempt.instance.name, self._relay.has_started
                )
                self._client.abort()
                return
            following, step = await self._next_attempt(result, successor)
            self._record_end(server_attempt, result, step)
            if following is None:
                self._finish(step, server_attempt)
                return
            server_attempt = following

    def _open(self, destination: Destination) -> ServerAttempt:
        """Create an attempt at a server without starting it."""
        attempt = Attempt(
            self._context,
            self._job,
            self._relay,
            destination.instance,
            destination.permit,
            self._handover,
            self._continuity,
        )
        if self._end_cause is not None:
            attempt.end(self._end_cause)
        return ServerAttempt(destination.instance, attempt)

    def _open_successor(self, first: Instance) -> ServerAttempt | None:
        """An attempt at another server that may continue the stream; spends a retry."""
        if not self._may_continue(self._plan.may_hand_over):
            return None
        destination = self._search.best_for_second_run(first)
        if destination is None or not self._try_retry():
            return None
        self._context.record.tally.on_retry(self._job.route.name)
        return self._open(destination)

    def _on_offer_failed(self, server_attempt: ServerAttempt, result: AttemptResult) -> None:
        """Another server did not continue the stream; the first one still serves it."""
        self._note_attempt_end(server_attempt, result)
        self._crash_check.on_attempt_lost(server_attempt, result)
        self._record_end(server_attempt, result, NextStep.FIRST_CONTINUES)

    def _note_attempt_end(self, server_attempt: ServerAttempt, result: AttemptResult) -> None:
        """Apply the result of an attempt to the plan and the search for the next server."""
        if server_attempt.attempt.was_sent:
            self._plan.on_send()
        cause = server_attempt.attempt.abort_cause
        may_try_again = (
            result in (AttemptResult.ANSWERED, AttemptResult.WRONG_VERSION)
            # Another gateway may reach the same server.
            or cause is AbortCause.REQUEST_UNDELIVERED
        )
        if not may_try_again:
            self._search.on_tried(server_attempt.instance)
        if cause is AbortCause.LOCAL_RESOURCES:
            self._lacks_local_resources = True
        self._is_unreachable = cause is AbortCause.SERVER_UNREACHABLE
        if server_attempt.attempt.server_retry_after_seconds is not None:
            self._server_retry_afters.append(server_attempt.attempt.server_retry_after_seconds)
        self._plan.on_result(result)

    def _record_end(
        self, server_attempt: ServerAttempt, result: AttemptResult, step: NextStep
    ) -> None:
        record = self._context.record
        record.attempt(self._job.route, result, step)
        seconds = self._context.now() - self._job.request.received_at
        self._servers.append(server_attempt.stream_record(result, seconds))
        if result is not AttemptResult.ANSWERED:
            answers_others = self._context.server_answer_rates.answered_recently(
                server_attempt.instance
            )
            failed = server_attempt.failure_record(result, self._job, answers_others)
            record.attempt_failed(self._job.request, self._job.route, failed, step)

    def _truncated_stream(self) -> StreamTruncation:
        table = self._context.route_table
        return StreamTruncation(
            self._servers,
            self._end_cause.value if self._end_cause is not None else None,
            self._job.table.version,
            table.version if table is not None else self._job.table.version,
        )

    def _containment(self) -> Containment | None:
        return self._context.crash_detector.containment(lambda: self._job.features)

    def _seconds_left(self) -> float:
        return self._job.deadline_at - self._context.now()

    async def _first_destination(self) -> Destination | None:
        """The server for the first attempt; the request is refused at once when there is none."""
        containment = self._containment()
        if containment is not None:
            self._refuse(containment.failure())
            return None
        found = await self._search.reserve(self._search.best(), self._max_wait_seconds())
        if isinstance(found, Destination):
            return found
        self._refuse(found)
        return None

    def _max_wait_seconds(self) -> float:
        """Longest expected wait at a server at which the request isn't refused."""
        if Mechanism.WAIT_BOUND not in self._context.mechanisms:
            return float("inf")
        if self._continuity.has_begun:
            return max_resume_wait_seconds(self._job.route, self._seconds_left())
        return max_wait_seconds(self._job.route, self._job.tenant)

    def _may_continue(self, plan_allows: Callable[[float], bool]) -> bool:
        """Whether the request may be sent again: its plan allows it and nothing has ended it."""
        if self._end_cause is not None or not plan_allows(self._seconds_left()):
            return False
        if not self._may_send():
            return False
        return self._context.may_use_keys(self._job.tenant) and self._containment() is None

    def _try_retry(self) -> bool:
        budget = self._context.retry_budgets.budget(self._job.service.name)
        return budget.try_retry(self._context.now())

    async def _next_attempt(
        self, result: AttemptResult, successor: ServerAttempt | None
    ) -> tuple[ServerAttempt | None, NextStep]:
        """The next attempt, None when there is none, and the step that the latest one led to."""
        if result is AttemptResult.ANSWERED:
            return None, NextStep.FINISHED
        if successor is not None:
            return successor, NextStep.HANDED_OVER
        destination = await self._next_destination()
        if destination is not None:
            return self._open(destination), NextStep.RETRY
        return None, self._plan.final_step(result)

    async def _next_destination(self) -> Destination | None:
        """Another server for the request, within the shared retry budget."""
        # Without local resources this gateway cannot connect to any other server either.
        if self._lacks_local_resources or not self._may_continue(self._plan.may_retry):
            return None
        if self._is_unreachable and self._context.paths.is_isolated:
            # Other servers are not reached either, and other gateways have been asked.
            return None
        choice = self._search.best()
        # A request that has not been sent to any server spends no retry.
        if choice is None or (self._plan.sends and not self._try_retry()):
            return None
        found = await self._search.reserve(choice)
        return found if isinstance(found, Destination) else None

    # -- ends -----------------------------------------------------------------------------------

    def _finish(self, step: NextStep, last: ServerAttempt) -> None:
        record = self._context.record
        if step is NextStep.FINISHED:
            self._outcome = RequestEnd.SERVED
            relay = self._relay
            record.served(
                self._job.request,
                self._job.route,
                last.answer_record(),
                self._plan.sends,
                relay.first_byte_seconds,
                relay.longest_gap_seconds,
                self._search.signals_by_server,
            )
        elif self._relay.has_started:
            self._outcome = RequestEnd.CUT
            record.stream_truncated(self._job.request, self._job.route, self._truncated_stream())
            self._client.abort()
        elif step is NextStep.FORWARD_FAILURE and self._relay.failure is not None:
            self._outcome = RequestEnd.PASSED_FAILURE
            record.passed_failure(self._job.route)
            self._relay.pass_failure(self._relay.failure)
        else:
            self._refuse(self._own_failure(step))

    def _own_failure(self, step: NextStep) -> Failure:
        late = self._end_cause is AbortCause.DEADLINE_EXCEEDED
        if step is not NextStep.REFUSE:
            if late:
                return AnswerLate("the server did not answer before the deadline")
            if self._end_cause is AbortCause.SHUTTING_DOWN:
                return AnswerLate("the server did not answer before this gateway shut down")
            return AnswerLost("the server's answer was lost or incomplete")
        containment = self._containment()
        if containment is not None:
            return containment.failure()
        retry_after = self._context.retry_after()
        if not self._may_send():
            return Draining("this gateway is shutting down", retry_after)
        if late:
            return DeadlineUnreachable("no server accepted the request in time", retry_after)
        if self._lacks_local_resources:
            return GatewayExhausted("this gateway cannot open a connection", retry_after)
        if self._is_unreachable:
            detail = "no gateway that was asked reaches a server of the service"
            return ServersUnreachable(detail, retry_after)
        if self._search.met_limit or self._search.is_blocked_by_signals:
            return self._search.failure()
        soonest = min(self._server_retry_afters, default=0.0)
        return Overloaded("servers rejected the request", max(retry_after, soonest))

    def _refuse(self, failure: Failure) -> None:
        self._outcome = failure.code
        self._context.record.failure(
            failure,
            self._job.request,
            self._job.route,
            self._search.signals_by_server,
            self._search.overload,
        )
        refuse(self._client, failure)

    def _on_client_disconnected(self) -> None:
        server_attempt = self._handover.current
        at_server = server_attempt is not None and server_attempt.attempt.is_at_server
        if self._job.route.kind is RouteKind.UNSAFE and at_server:
            # The request cannot be undone. Letting it finish keeps the connection reusable.
            return
        self._end(AbortCause.CLIENT_DISCONNECTED)

    def _end(self, cause: AbortCause) -> None:
        if self._end_cause is None:
            self._end_cause = cause
        self._handover.end(cause)


def _client_seconds(request: ExchangeRequest) -> float:
    declared = request.deadline_seconds
    return DEFAULT_DEADLINE_SECONDS if declared is None else declared
