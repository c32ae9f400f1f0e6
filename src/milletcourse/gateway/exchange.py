"""One client's request on its way through attempts at servers to one final answer."""

from __future__ import annotations

import asyncio
from enum import Enum

import msgspec

from milletcourse.errors import (
    AnswerLate,
    AnswerLost,
    DeadlineUnreachable,
    Failure,
    NoEngineAvailable,
    Overloaded,
)
from milletcourse.exchange.answer_rules import judge_answer
from milletcourse.exchange.attempt_plan import AttemptPlan, NextStep
from milletcourse.exchange.event_stream import EventSplitter
from milletcourse.exchange.instance_table import Instance
from milletcourse.exchange.messages import AnswerHead, AttemptResult, Dispatch, ExchangeRequest
from milletcourse.exchange.records import RouteKind, RouteRecord, ServiceRecord, TenantRecord
from milletcourse.exchange.reuse_scope import cache_salt, reuse_scope, server_rank
from milletcourse.exchange.route_table import RouteTable
from milletcourse.gateway.client_connection import ClientConnection
from milletcourse.gateway.context import GatewayContext
from milletcourse.gateway.refusals import refuse
from milletcourse.gateway.server_connection import ServerConnection
from milletcourse.gateway.silence_timer import SilenceTimer

DEFAULT_DEADLINE_SECONDS = 30.0
"""For clients that don't say how long they wait."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that isn't a stream."""
CACHE_STORE_MIN_TOKENS = 1024
"""Shorter prompts are read again rather than moved."""
FIRST_EVENT_TARGETS = 2.5
"""A repeatable request leaves a server that is silent for this many target latencies."""
MIN_SILENCE_SECONDS = 1.0
EVENT_GAPS = 2.0
"""A resumable stream leaves a server that is silent for this many allowed gaps."""


class EndCause(Enum):
    """Why an exchange was ended before an answer."""

    CLIENT_GONE = "client-gone"
    TIME_UP = "time-up"


class ServerFailure(msgspec.Struct):
    """A server's whole answer with a failure status."""

    head: AnswerHead
    body: bytes


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
        self._context = context
        self._table = table
        self._request = request
        self._route = route
        self._tenant = tenant
        self._client = client
        self._service = self._choose_service()
        self._scope = reuse_scope(request.model, tenant)
        self._plan = AttemptPlan(route.repeatable, route.max_attempts)
        self._end_at = request.received_at + self._allowed_seconds()
        self._tried: set[str] = set()
        self._connection: ServerConnection | None = None
        self._end_cause: EndCause | None = None
        self._waiting_tokens = 0
        self._sent_version: int | None = None
        self._sent_at = 0.0
        self._answer_begun = False
        self._instance: Instance | None = None
        self._silence = SilenceTimer(self._on_silent)
        self._failure: ServerFailure | None = None
        self._stream_begun = False
        self._last_event_id = request.last_event_id
        self._loop = asyncio.get_running_loop()

    def _choose_service(self) -> ServiceRecord:
        name = self._context.weights.choose(self._route)
        return self._table.service(name) or ServiceRecord(name)

    def _allowed_seconds(self) -> float:
        deadline = self._request.deadline_seconds
        if deadline is None:
            deadline = DEFAULT_DEADLINE_SECONDS
        return min(deadline, self._route.timeout_seconds)

    # -- attempts -------------------------------------------------------------------------------

    async def run(self) -> None:
        """Send to servers until there is one final answer."""
        timer = self._loop.call_at(self._end_at, self._on_time_up)
        self._client.on_gone = self._on_gone
        if self._client.gone:
            # It left between its request and this moment.
            self._on_gone()
        self._context.budget(self._service.name).on_request()
        try:
            await self._run_attempts()
        finally:
            timer.cancel()
            self._client.on_gone = None
            self._silence.stop()

    async def _run_attempts(self) -> None:
        instance = self._select()
        if instance is None:
            self._refuse(NoEngineAvailable("no server may take it", self._context.retry_after()))
            return
        while True:
            result = await self._attempt(instance)
            if self._end_cause is EndCause.CLIENT_GONE:
                self._context.record_client_left(self._request, instance, self._stream_begun)
                self._client.cut()
                return
            self._plan.on_result(result)
            following = self._next_instance(result)
            step = NextStep.SEND_AGAIN if following else self._plan.final_step(result)
            self._context.record_attempt(self._request, instance, result, step)
            if following is None:
                self._finish(step, instance)
                return
            instance = following

    def _select(self) -> Instance | None:
        return self._context.selector.choose(
            self._service, self._request, self._scope, self._tried, self._context.now()
        )

    def _next_instance(self, result: AttemptResult) -> Instance | None:
        """Another server for the request, within the shared retry budget."""
        if result is AttemptResult.ANSWERED or self._end_cause is not None:
            return None
        if not self._plan.may_send_again(self._seconds_left()) or not self._may_use_keys():
            return None
        instance = self._select()
        if instance is None:
            return None
        if result is AttemptResult.NOT_SENT and self._plan.sends == 0:
            return instance
        if not self._context.budget(self._service.name).try_retry(self._context.now()):
            return None
        return instance

    def _may_use_keys(self) -> bool:
        return self._tenant is None or self._context.freshness.allows_keys(self._context.now())

    async def _attempt(self, instance: Instance) -> AttemptResult:
        selector = self._context.selector
        tokens = selector.work_tokens(instance, self._request, self._scope)
        instance.in_flight += 1
        instance.in_flight_tokens += tokens
        instance.health.on_dispatch(self._context.now())
        self._waiting_tokens = tokens
        result = AttemptResult.NOT_SENT
        try:
            result = await self._exchange_with(instance)
        finally:
            instance.in_flight -= 1
            self._release_tokens(instance)
            self._note_result(instance, result)
        return result

    def _release_tokens(self, instance: Instance) -> None:
        instance.in_flight_tokens -= self._waiting_tokens
        self._waiting_tokens = 0

    def _note_result(self, instance: Instance, result: AttemptResult) -> None:
        if result is AttemptResult.ANSWERED:
            self._context.record_result(instance, result)
            return
        if result is not AttemptResult.WRONG_VERSION:
            self._tried.add(instance.name)
        if self._tells_of_server():
            self._context.record_result(instance, result)
        else:
            instance.health.on_aborted()

    def _tells_of_server(self) -> bool:
        """Whether the end of an attempt without an answer is a sign of the server's health."""
        if self._end_cause is None:
            return True
        silent_seconds = self._context.now() - self._sent_at
        return not self._answer_begun and silent_seconds >= MIN_SILENCE_SECONDS

    async def _exchange_with(self, instance: Instance) -> AttemptResult:
        pool = self._context.pool
        address = instance.record.address
        connection = await pool.acquire(address, self._seconds_left())
        if connection is None:
            return AttemptResult.NOT_SENT
        if self._end_cause is not None or not self._may_use_keys():
            pool.release(connection)
            return AttemptResult.NOT_SENT
        self._plan.on_send()
        self._instance = instance
        self._answer_begun = False
        self._connection = connection
        self._sent_at = self._context.now()
        dispatch = self._dispatch(instance)
        head = self._context.dialect.request_head(self._request, dispatch)
        self._context.selector.note_sent(instance, self._request, self._scope)
        connection.send(
            head + self._request.body, self._request.request_id, self._request.method == b"HEAD"
        )
        try:
            result = await self._receive(connection, instance)
        except BaseException:
            connection.abort()
            raise
        finally:
            self._connection = None
            self._silence.stop()
        if result is AttemptResult.ANSWERED and not self._stream_begun:
            instance.on_answer_time(self._context.now() - self._sent_at)
        return result

    def _dispatch(self, instance: Instance) -> Dispatch:
        version = instance.version(self._request.model) if self._service.models else None
        self._sent_version = version
        dispatch = Dispatch(
            instance=instance.name,
            deadline_seconds=self._seconds_left(),
            tenant=self._tenant.name if self._tenant else "",
            last_event_id=self._last_event_id,
        )
        if not self._service.models:
            return dispatch
        dispatch.priority = server_rank(self._route, self._tenant)
        if version is not None:
            dispatch.weight_version = version
            dispatch.cache_salt = cache_salt(self._scope, version)
            self._add_cache_store(dispatch, instance)
        return dispatch

    def _add_cache_store(self, dispatch: Dispatch, instance: Instance) -> None:
        if self._request.prompt_tokens < CACHE_STORE_MIN_TOKENS:
            return
        store = self._table.cache_store(instance.record.zone)
        if store is None or store.store_address == self._context.unreachable_store:
            return
        dispatch.cache_source = store.store_address
        dispatch.cache_target = store.store_address

    # -- answers --------------------------------------------------------------------------------

    async def _receive(self, connection: ServerConnection, instance: Instance) -> AttemptResult:
        self._silence.expect_within(min(self._first_event_seconds(), self._seconds_to_start()))
        event = await connection.next_event()
        if event.head is None:
            return self._lost(connection)
        head = event.head
        self._answer_begun = True
        if head.weight_version is not None and self._request.model:
            instance.note_version(self._request.model, head.weight_version)
        if head.successful and head.event_stream and self._route.streaming:
            return await self._relay_stream(connection, instance, head)
        return await self._take_whole(connection, instance, head)

    def _lost(self, connection: ServerConnection) -> AttemptResult:
        connection.abort()
        return AttemptResult.CUT if self._stream_begun else AttemptResult.LOST

    async def _take_whole(
        self, connection: ServerConnection, instance: Instance, head: AnswerHead
    ) -> AttemptResult:
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await connection.next_event()
            if event.lost is not None or size > MAX_ANSWER_BYTES:
                return self._lost(connection)
            if event.body:
                pieces.append(event.body)
                size += len(event.body)
            if event.complete:
                break
        self._context.pool.release(connection)
        return self._judge_whole(instance, head, b"".join(pieces))

    def _judge_whole(self, instance: Instance, head: AnswerHead, body: bytes) -> AttemptResult:
        result = judge_answer(head, instance.name, self._sent_version)
        if result is AttemptResult.WRONG_VERSION and self._sent_version is not None:
            model = self._request.model
            newest = self._context.gate.newest(model)
            instance.on_version_refused(model, self._sent_version, newest, self._context.now())
        elif self._stream_begun and result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            # Not the rest of the stream that the client has begun to read.
            return AttemptResult.CUT
        elif result is AttemptResult.FAILED:
            self._failure = ServerFailure(head, body)
        elif result is AttemptResult.ANSWERED:
            self._note_first_answer()
            self._client.send_whole(head.status, head.reason, head.fields, body)
        return result

    async def _relay_stream(
        self, connection: ServerConnection, instance: Instance, head: AnswerHead
    ) -> AttemptResult:
        if not head.signed or head.encoded:
            return self._lost(connection)
        splitter = EventSplitter()
        gap = max(self._route.gap_seconds * EVENT_GAPS, MIN_SILENCE_SECONDS)
        while True:
            event = await connection.next_event()
            if event.lost is not None:
                return self._lost(connection)
            if event.body:
                whole = splitter.feed(event.body)
                if whole:
                    self._release_tokens(instance)
                    self._pass_events(head, whole)
                    self._last_event_id = splitter.last_event_id or self._last_event_id
                    self._silence.expect_within(gap if self._route.repeatable else float("inf"))
            if event.complete:
                self._pass_events(head, splitter.take_rest())
                self._client.end_stream()
                self._context.pool.release(connection)
                return AttemptResult.ANSWERED

    def _note_first_answer(self) -> None:
        self._context.figures.on_first_answer(self._context.now() - self._request.received_at)

    def _pass_events(self, head: AnswerHead, data: bytes) -> None:
        if not self._stream_begun:
            self._stream_begun = True
            self._note_first_answer()
            self._client.begin_stream(head.status, head.reason, head.fields)
        self._client.send_piece(data)

    # -- ends -----------------------------------------------------------------------------------

    def _finish(self, step: NextStep, instance: Instance) -> None:
        if step is NextStep.FINISHED:
            self._context.record_served(self._request, instance, self._plan.sends)
            return
        if self._stream_begun:
            self._context.record_cut(self._request, instance)
            self._client.cut()
            return
        if step is NextStep.PASS_FAILURE and self._failure is not None:
            head = self._failure.head
            self._context.figures.on_end("passed-failure")
            self._client.send_whole(head.status, head.reason, head.fields, self._failure.body)
            return
        retry_after = self._context.retry_after()
        if step is NextStep.REFUSE:
            if self._end_cause is EndCause.TIME_UP:
                self._refuse(DeadlineUnreachable("no server took it in time", retry_after))
            else:
                self._refuse(Overloaded("servers turned it away", retry_after))
            return
        if self._end_cause is EndCause.TIME_UP:
            self._refuse(AnswerLate("the server's answer did not come in time"))
        else:
            self._refuse(AnswerLost("the server's answer was lost"))

    def _refuse(self, failure: Failure) -> None:
        self._context.record_failure(failure, self._request, self._route)
        refuse(self._client, failure)

    def _seconds_left(self) -> float:
        return self._end_at - self._context.now()

    def _first_event_seconds(self) -> float:
        return max(self._route.target_latency_seconds * FIRST_EVENT_TARGETS, MIN_SILENCE_SECONDS)

    def _seconds_to_start(self) -> float:
        """Time until work on the server's weight version may not start any more."""
        if self._sent_version is None:
            return float("inf")
        start_by = self._context.gate.start_by(self._request.model, self._sent_version)
        return max(start_by - self._context.now(), 0.0)

    def _on_silent(self) -> None:
        """Nothing has come for too long: leave the server, or let other requests avoid it."""
        if self._connection is None:
            return
        seconds_to_start = 0.0 if self._stream_begun else self._seconds_to_start()
        if self._route.repeatable or seconds_to_start <= 0.0:
            self._connection.abort()
            return
        self._suspect()
        self._silence.expect_within(seconds_to_start)

    def _suspect(self) -> None:
        if self._instance is not None:
            self._context.record_result(self._instance, AttemptResult.LOST)

    def _on_time_up(self) -> None:
        if self._end_cause is None:
            self._end_cause = EndCause.TIME_UP
        if self._connection is not None:
            self._connection.abort()

    def _on_gone(self) -> None:
        if self._end_cause is not None:
            return
        if self._route.kind is RouteKind.UNSAFE and self._connection is not None:
            # It can't be undone: let it end, so that the connection stays usable.
            return
        self._end_cause = EndCause.CLIENT_GONE
        if self._connection is not None:
            self._connection.abort()
