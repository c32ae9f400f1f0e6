"""One attempt of a request at one server, from connecting to its result."""

from __future__ import annotations

from typing import Protocol

from milletcourse.exchange.attempts.answer_rules import classify_answer
from milletcourse.exchange.attempts.silence_timeouts import MIN_SILENCE_SECONDS
from milletcourse.exchange.messages.answer_end import AnswerEnd, LossCause
from milletcourse.exchange.messages.messages import AbortCause, AnswerHead, AttemptResult
from milletcourse.exchange.placement.engine_load import memory_tokens
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.exchange.servers.request_load import RequestLoad
from milletcourse.gateway.requests.answer_relay import AnswerRelay, ServerFailure
from milletcourse.gateway.requests.attempt_health import AttemptHealth
from milletcourse.gateway.requests.delivery_check import DeliveryCheck
from milletcourse.gateway.requests.dispatch_builder import DispatchBuilder
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.requests.silence_watch import Silence, SilenceWatch
from milletcourse.gateway.requests.stream_continuity import StreamContinuity
from milletcourse.gateway.requests.stream_receiver import StreamReceiver
from milletcourse.gateway.servers.answer_body import AnswerBody
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.path_monitor import LinkFailure
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.servers.server_links import ServerLink
from milletcourse.gateway.servers.server_permits import Permit
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.telemetry.connection_records import ConnectionUse
from milletcourse.gateway.telemetry.unanswered import RequestPhase

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that is not a stream."""


class AttemptListener(Protocol):
    """Receives the progress of a stream that another server may continue."""

    def on_sent(self, attempt: Attempt) -> None:
        """The request has been sent to the server."""

    def on_events(self, attempt: Attempt) -> None:
        """Complete events of the stream are about to be relayed."""

    def on_silent(self) -> None:
        """The server of a repeatable request is silent after its answer has started."""


class Attempt:
    """Sends a request to a server and receives its answer.

    Attributes:
        was_sent: Whether the request, or a part of it, was sent to the server.
        loss: Why the connection did not deliver a complete answer, None while it still may.
        answer_end: How its answer ended, None before it has started.
        abort_cause: Why this gateway aborted the attempt, None when it did not.
        silence: How long the server had been silent when the attempt was aborted.
        sent_at: Monotonic time of the send.
        server_retry_after_seconds: Retry-After of a server that rejected the request, None when it
            gave none.
        connect_seconds: Time spent on a connection to the server.
        connection_use: The request on its connection, None when it was not sent.
        health: Counts its result for or against the server.
    """

    def __init__(
        self,
        context: GatewayContext,
        job: ExchangeJob,
        relay: AnswerRelay,
        instance: Instance,
        permit: Permit,
        listener: AttemptListener,
        continuity: StreamContinuity,
    ) -> None:
        self.was_sent = False
        self.loss: LossCause | None = None
        self.answer_end: AnswerEnd | None = None
        self.abort_cause: AbortCause | None = None
        self.silence = Silence()
        self.server_retry_after_seconds: float | None = None
        self.connect_seconds = 0.0
        self.connection_use: ConnectionUse | None = None
        self.health = AttemptHealth(context, instance)
        self._delivery_check: DeliveryCheck | None = None
        self._listener = listener
        self._continuity = continuity
        self._context = context
        self._job = job
        self._relay = relay
        self._instance = instance
        self._permit = permit
        self._ended = False
        self._connection: ServerConnection | None = None
        self._silence_watch = SilenceWatch(context, job.route, instance, self._on_silent)
        self._load: RequestLoad | None = None
        self._dispatch = DispatchBuilder(context, job, instance)
        self.sent_at = float("inf")
        self._answer_started = False

    @property
    def through(self) -> str:
        """Name of the gateway that relays the connection; empty for a direct one."""
        return self.health.through

    @property
    def cache_salt(self) -> str:
        """Salt of the prompt state that the request was sent with; empty for none."""
        return self._dispatch.cache_salt

    @property
    def is_at_server(self) -> bool:
        """Whether the server may be processing the request now."""
        return self._connection is not None

    def end(self, cause: AbortCause) -> None:
        """Abort the attempt at once, even while its connection is being established."""
        self._ended = True
        self._abort(cause)

    def _abort(self, cause: AbortCause) -> None:
        self.abort_cause = self.abort_cause or cause
        if self._connection is None:
            return
        self.silence = self._silence_watch.silence()
        self._connection.abort()

    async def run(self) -> AttemptResult:
        """Run the attempt, and account for the load and health of the server."""
        instance = self._instance
        job = self._job
        tokens = self._context.selector.work_tokens(
            instance, job.request, job.scope, self._context.now()
        )
        load = self._load = RequestLoad(instance, tokens, memory_tokens(job.request))
        instance.health.on_dispatch(self._context.now())
        result = AttemptResult.NOT_SENT
        try:
            result = await self._connect_and_send()
        finally:
            load.close()
            # A reference cycle would keep the request with its body until a garbage collection.
            self._silence_watch.close()
            was_aborted = self.was_sent and self.abort_cause is not None
            self._context.permits.on_attempt_end(self._permit, result, was_aborted)
            self.health.on_end(result, self.loss, self._reflects_server_health())
        return result

    def _reflects_server_health(self) -> bool:
        """Whether an attempt that ended without an answer counts against the server's health."""
        if self.abort_cause is AbortCause.HANDED_OVER:
            # The silence of the server has already been recorded in its health.
            return False
        if not self._ended:
            return True
        return not self._answer_started and self.silence.seconds >= MIN_SILENCE_SECONDS

    # -- sending --------------------------------------------------------------------------------

    async def _connect_and_send(self) -> AttemptResult:
        pool = self._context.pool
        record = self._instance.record
        self._relay.note_phase(RequestPhase.CONNECTING)
        started_at = self._context.now()
        try:
            link = await self._context.server_links.open(
                record.address, record.zone, self._seconds_left(), self._job.request.request_id
            )
        except LocalResourceError:
            # Marked as ended, since the server must not be ejected for a lack of local resources.
            self._ended = True
            self.abort_cause = AbortCause.LOCAL_RESOURCES
            self._context.record.descriptors_exhausted()
            return AttemptResult.NOT_SENT
        finally:
            self.connect_seconds = self._context.now() - started_at
        connection = link.connection
        if connection is None:
            self._on_no_connection(link)
            return AttemptResult.NOT_SENT
        self.health.through = link.through
        if not self._may_still_be_sent():
            # Marked as ended, since the server must not be ejected for a request it never got.
            self._ended = True
            pool.release(connection)
            return AttemptResult.NOT_SENT
        self.was_sent = True
        self._relay.note_phase(RequestPhase.AT_SERVER)
        self._connection = connection
        self.sent_at = self._context.now()
        self._silence_watch.on_received()
        self._context.signal_monitor.on_send(self._instance)
        self._context.crash_detector.on_sent(lambda: self._job.features)
        self._send(connection)
        self._listener.on_sent(self)
        try:
            result = await self._receive(connection)
        except BaseException:
            connection.abort()
            raise
        finally:
            self.connection_use = connection.last_use()
            self._connection = None
            self._stop_delivery_check()
        if result is AttemptResult.ANSWERED and not self._relay.has_started:
            self._instance.on_answer_time(self._context.now() - self.sent_at)
        return result

    def _on_no_connection(self, link: ServerLink) -> None:
        if link.failure is not None and link.failure.is_servers_fault:
            return
        # Marked as ended, since nothing is known of the server.
        self._ended = True
        if link.failure is LinkFailure.UNREACHABLE:
            self.abort_cause = AbortCause.SERVER_UNREACHABLE

    def _on_delivery_change(self, is_delivered: bool) -> None:
        if self._load is None:
            return
        if is_delivered:
            self._load.on_delivered()
        else:
            self._load.on_undelivered()

    def _on_undeliverable(self) -> None:
        """The request doesn't arrive: send it elsewhere if it may run twice.

        It may have arrived without the acknowledgement coming back, so that another request waits
        for the path to work again.
        """
        if self._job.route.repeatable and not self._relay.has_started:
            self._abort(AbortCause.REQUEST_UNDELIVERED)

    def _stop_delivery_check(self) -> None:
        if self._delivery_check is not None:
            self._delivery_check.stop()
            self._delivery_check = None

    def _may_still_be_sent(self) -> bool:
        """Check again, after the connection is established, that the request may be sent."""
        if self._ended or not self._context.may_use_keys(self._job.tenant):
            return False
        job = self._job
        if not self._context.stop.may_send(self._relay.has_started, job.route, job.deadline_at):
            self.abort_cause = AbortCause.SHUTTING_DOWN
            return False
        if not self._continuity.still_permits(self._instance):
            return False
        self.abort_cause = self._context.permits.blocking_cause(self._permit, self._instance)
        if self.abort_cause is not None:
            return False
        return self._context.crash_detector.containment(lambda: self._job.features) is None

    def _send(self, connection: ServerConnection) -> None:
        request = self._job.request
        dispatch = self._dispatch.build(self._relay.last_event_id, self._continuity.has_begun)
        head = self._context.dialect.request_head(request, dispatch)
        self._context.selector.note_sent(
            self._instance, request, self._job.scope, self._context.now()
        )
        connection.send(head, request.request_id, request.method == b"HEAD", request.body)
        self._on_delivery_change(True)
        if not connection.is_relayed:
            self._delivery_check = DeliveryCheck(
                self._context,
                self._instance,
                connection,
                len(head) + len(request.body),
                self._on_delivery_change,
                self._on_undeliverable,
            )

    def _seconds_left(self) -> float:
        return self._job.deadline_at - self._context.now()

    # -- answers --------------------------------------------------------------------------------

    async def _receive(self, connection: ServerConnection) -> AttemptResult:
        self._silence_watch.expect_first_event(self._seconds_until_start_bound())
        event = await connection.next_event()
        if event.head is None:
            return self._lost(connection, event.lost)
        head = event.head
        self._answer_started = True
        self.answer_end = AnswerEnd(connection.framing)
        self._stop_delivery_check()
        self._note_heard(connection)
        self._context.signal_monitor.on_answer(self._instance, head, self.sent_at)
        if head.weight_version is not None and self._job.request.model:
            self._instance.note_version(self._job.request.model, head.weight_version)
        if head.successful and head.event_stream and self._job.route.streaming:
            return await self._receive_stream(connection, head)
        return await self._receive_whole(connection, head)

    def _note_heard(self, connection: ServerConnection) -> None:
        if not connection.is_relayed:
            self._context.paths.on_heard(self._job.service.name, self._context.now())

    def _lost(self, connection: ServerConnection, loss: LossCause | None) -> AttemptResult:
        self.loss = loss or LossCause.MALFORMED
        connection.abort()
        return AttemptResult.TRUNCATED if self._relay.has_started else AttemptResult.LOST

    async def _receive_whole(self, connection: ServerConnection, head: AnswerHead) -> AttemptResult:
        body = AnswerBody(connection, MAX_ANSWER_BYTES)
        loss = body.begin(head)
        is_complete = False
        while loss is None and not is_complete:
            event = await connection.next_event()
            loss = body.take(event)
            is_complete = event.complete
        if loss is not None:
            return self._lost(connection, loss)
        self._context.pool.release(connection)
        return self._evaluate_whole(head, body.value())

    def _evaluate_whole(self, head: AnswerHead, body: bytes) -> AttemptResult:
        result = classify_answer(head, self._instance.name, self._dispatch.weight_version)
        if result is AttemptResult.REJECTED:
            self._context.record.tally.on_rejection(self._instance.name)
            self.server_retry_after_seconds = head.back_off.seconds
        if result in (AttemptResult.WRONG_INSTANCE, AttemptResult.WRONG_VERSION):
            model = self._job.request.model
            self.health.on_misdirected(result, head.instance, model, self._dispatch.weight_version)
        elif self._relay.has_started and result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            # A complete answer cannot continue the stream that the client is already reading.
            return AttemptResult.TRUNCATED
        elif result is AttemptResult.FAILED:
            self._relay.failure = ServerFailure(head, body)
        elif result is AttemptResult.ANSWERED:
            self._relay.pass_whole(head, body)
        return result

    async def _receive_stream(
        self, connection: ServerConnection, head: AnswerHead
    ) -> AttemptResult:
        if not head.signed or head.encoded:
            return self._lost(connection, LossCause.MALFORMED)
        receiver = StreamReceiver(
            connection, head, self._relay, self._on_events, lambda: self._ended
        )
        loss = await receiver.receive()
        self.answer_end = receiver.answer_end
        if loss is not None:
            return self._lost(connection, loss)
        self._dispatch.on_whole_answer()
        self._context.pool.release(connection)
        return AttemptResult.ANSWERED

    def _on_events(self) -> None:
        """Whole events of the stream, or its end, are about to be relayed."""
        if self._connection is not None:
            self._note_heard(self._connection)
        if self._load is not None:
            self._load.on_prompt_read()
        self._silence_watch.on_received()
        self._silence_watch.expect_next_event()
        self._continuity.on_events(self._instance.record.software_version)
        self._listener.on_events(self)

    # -- silence --------------------------------------------------------------------------------

    def _seconds_until_start_bound(self) -> float:
        """Seconds until work on the server's weight version may no longer start."""
        if self._dispatch.weight_version is None:
            return float("inf")
        start_by = self._context.gate.start_by(
            self._job.request.model, self._dispatch.weight_version
        )
        return max(start_by - self._context.now(), 0.0)

    def _on_silent(self) -> None:
        """Handle a server that was silent for too long, and keep other requests away from it.

        An answer that has started is not aborted for silence. The stream is offered to another
        server while the first one runs on. An answer that has not started can be requested again,
        by this gateway or by the client.
        """
        if self._connection is None:
            return
        seconds_to_start = (
            float("inf") if self._relay.has_started else self._seconds_until_start_bound()
        )
        remaining = self._silence_watch.remaining_seconds(self._relay.has_started)
        if seconds_to_start > 0.0 and remaining > 0.0:
            self._silence_watch.expect_within(min(seconds_to_start, remaining))
            return
        if seconds_to_start <= 0.0:
            self._abort(AbortCause.VERSION_BOUND)
            return
        if self._job.route.repeatable and not self._relay.has_started:
            self._abort(AbortCause.SERVER_SILENT)
            return
        self.health.on_silence()
        repeat_seconds = MIN_SILENCE_SECONDS if self._relay.has_started else float("inf")
        self._silence_watch.expect_within(min(seconds_to_start, repeat_seconds))
        if self._job.route.repeatable:
            self._listener.on_silent()
