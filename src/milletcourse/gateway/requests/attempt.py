"""One send of a request to one server, up to its end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from milletcourse.exchange.attempts.answer_rules import judge_answer
from milletcourse.exchange.attempts.patience import (
    MIN_SILENCE_SECONDS,
    first_event_seconds,
    gap_seconds,
    patience_left,
)
from milletcourse.exchange.messages.event_stream import EventSplitter
from milletcourse.exchange.messages.messages import AnswerHead, AttemptResult, LeaveCause
from milletcourse.exchange.placement.engine_load import memory_tokens
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.answer_relay import AnswerRelay, ServerFailure
from milletcourse.gateway.requests.dispatch_builder import DispatchBuilder
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.servers.descriptors import OwnMeansError
from milletcourse.gateway.servers.server_connection import LossCause, ServerConnection
from milletcourse.gateway.servers.server_permits import Permit
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.telling.unanswered import RequestPhase
from milletcourse.runtime.attended_timer import AttendedTimer

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that isn't a stream."""


@dataclass(frozen=True)
class Silence:
    """How long a server said nothing.

    Attributes:
        seconds: Since the request was sent, or the latest piece was handled, while this gateway
            listened.
        absent_seconds: How long this gateway's own event loop stood still beside.
    """

    seconds: float = 0.0
    absent_seconds: float = 0.0


class AttemptListener(Protocol):
    """What an attempt tells of its stream, which another server may go on with."""

    def on_sent(self, attempt: Attempt) -> None:
        """The server has got the request."""

    def on_piece(self, attempt: Attempt) -> None:
        """A whole piece of the stream is about to be passed on."""

    def on_silent(self) -> None:
        """The server of a stream that has begun is silent."""


class Attempt:
    """Sends a request to a server and takes its answer.

    Attributes:
        was_sent: The request, or a part of it, went to the server.
        loss: Why the connection gave no whole answer, None as long as it may.
        left: Why this gateway gave it up, None when it didn't.
        silence: How long the server had been silent when it was given up.
        sent_at: Monotonic time of the send.
        told_wait_seconds: Time for which the server that turned it away wants no more, None when it
            didn't say.
    """

    def __init__(
        self,
        context: GatewayContext,
        job: ExchangeJob,
        relay: AnswerRelay,
        instance: Instance,
        permit: Permit,
        listener: AttemptListener,
    ) -> None:
        self.was_sent = False
        self.loss: LossCause | None = None
        self.left: LeaveCause | None = None
        self.silence = Silence()
        self.told_wait_seconds: float | None = None
        self._listener = listener
        self._context = context
        self._job = job
        self._relay = relay
        self._instance = instance
        self._permit = permit
        self._ended = False
        self._connection: ServerConnection | None = None
        self._silence_timer = AttendedTimer(context.responsive_clock, self._on_silent)
        self._waiting_tokens = 0
        self._dispatch = DispatchBuilder(context, job, instance)
        self.sent_at = float("inf")
        self._heard_at = float("inf")
        """Attended time at which the server was heard last."""
        self._absent_before = 0.0
        self._answer_begun = False

    @property
    def is_at_server(self) -> bool:
        """Whether the server works on it now, as far as is known."""
        return self._connection is not None

    def end(self, cause: LeaveCause) -> None:
        """Give the attempt up at once, also one whose connection is still coming up."""
        self._ended = True
        self._leave(cause)

    def _leave(self, cause: LeaveCause) -> None:
        self.left = self.left or cause
        if self._connection is None:
            return
        self.silence = Silence(
            self._silent_seconds(),
            self._context.responsive_clock.absent_seconds - self._absent_before,
        )
        self._connection.abort()

    async def run(self) -> AttemptResult:
        """Carry it out; load and health of the server are kept."""
        instance = self._instance
        job = self._job
        tokens = self._context.selector.work_tokens(
            instance, job.request, job.scope, self._context.now()
        )
        instance.in_flight += 1
        instance.in_flight_tokens += tokens
        memory = memory_tokens(job.request)
        instance.memory_tokens += memory
        instance.health.on_dispatch(self._context.now())
        self._waiting_tokens = tokens
        result = AttemptResult.NOT_SENT
        try:
            result = await self._connect_and_send()
        finally:
            instance.in_flight -= 1
            instance.memory_tokens -= memory
            self._release_tokens()
            self._note_health(result)
        return result

    def _release_tokens(self) -> None:
        """The server has read the prompt, or the attempt is over."""
        self._instance.in_flight_tokens -= self._waiting_tokens
        self._waiting_tokens = 0

    def _note_health(self, result: AttemptResult) -> None:
        if self.left is LeaveCause.HANDED_OVER:
            # Its silence has been noted.
            self._instance.health.on_aborted()
        elif result is AttemptResult.ANSWERED or self._tells_of_server():
            self._context.note_result(self._instance, result)
        else:
            self._instance.health.on_aborted()

    def _tells_of_server(self) -> bool:
        """Whether an end without an answer is a sign of the server's health."""
        if not self._ended:
            return True
        return not self._answer_begun and self.silence.seconds >= MIN_SILENCE_SECONDS

    # -- sending --------------------------------------------------------------------------------

    async def _connect_and_send(self) -> AttemptResult:
        pool = self._context.pool
        address = self._instance.record.address
        self._relay.note_phase(RequestPhase.CONNECTING)
        try:
            connection = await pool.acquire(address, self._seconds_left())
        except OwnMeansError:
            # It says nothing of the server, which would be ejected for it.
            self._ended = True
            self.left = LeaveCause.OWN_MEANS
            self._context.record.without_means()
            return AttemptResult.NOT_SENT
        if connection is None:
            return AttemptResult.NOT_SENT
        if not self._may_still_be_sent():
            # It says nothing of the server, which would be ejected for it.
            self._ended = True
            pool.release(connection)
            return AttemptResult.NOT_SENT
        self.was_sent = True
        self._relay.note_phase(RequestPhase.AT_SERVER)
        self._connection = connection
        self.sent_at = self._context.now()
        self._note_heard()
        self._context.signal_watch.on_send(self._instance)
        self._send(connection)
        self._listener.on_sent(self)
        try:
            result = await self._receive(connection)
        except BaseException:
            connection.abort()
            raise
        finally:
            self._connection = None
            self._silence_timer.stop()
        if result is AttemptResult.ANSWERED and not self._relay.begun:
            self._instance.on_answer_time(self._context.now() - self.sent_at)
        return result

    def _note_heard(self) -> None:
        self._heard_at = self._context.responsive_clock.seconds()
        self._absent_before = self._context.responsive_clock.absent_seconds

    def _silent_seconds(self) -> float:
        return self._context.responsive_clock.seconds() - self._heard_at

    def _may_still_be_sent(self) -> bool:
        """Whether nothing has come up against it while the connection did."""
        if self._ended or not self._context.may_use_keys(self._job.tenant):
            return False
        self.left = self._context.permits.obstacle(self._permit, self._instance)
        if self.left is not None:
            return False
        return self._context.crash_watch.containment(lambda: self._job.identity) is None

    def _send(self, connection: ServerConnection) -> None:
        request = self._job.request
        head = self._context.dialect.request_head(
            request, self._dispatch.build(self._relay.last_event_id)
        )
        self._context.selector.note_sent(
            self._instance, request, self._job.scope, self._context.now()
        )
        connection.send(head + request.body, request.request_id, request.method == b"HEAD")

    def _seconds_left(self) -> float:
        return self._job.end_at - self._context.now()

    # -- answers --------------------------------------------------------------------------------

    async def _receive(self, connection: ServerConnection) -> AttemptResult:
        self._silence_timer.expect_within(
            min(first_event_seconds(self._job.route), self._seconds_to_start())
        )
        event = await connection.next_event()
        if event.head is None:
            return self._lost(connection, event.lost)
        head = event.head
        self._answer_begun = True
        self._context.signal_watch.on_answer(self._instance, head, self.sent_at)
        if head.weight_version is not None and self._job.request.model:
            self._instance.note_version(self._job.request.model, head.weight_version)
        if head.successful and head.event_stream and self._job.route.streaming:
            return await self._take_stream(connection, head)
        return await self._take_whole(connection, head)

    def _lost(self, connection: ServerConnection, loss: LossCause | None) -> AttemptResult:
        self.loss = loss or LossCause.GARBLED
        connection.abort()
        return AttemptResult.CUT if self._relay.begun else AttemptResult.LOST

    async def _take_whole(self, connection: ServerConnection, head: AnswerHead) -> AttemptResult:
        pieces: list[bytes] = []
        size = 0
        while True:
            event = await connection.next_event()
            if event.lost is not None or size > MAX_ANSWER_BYTES:
                return self._lost(connection, event.lost)
            if event.body:
                pieces.append(event.body)
                size += len(event.body)
            if event.complete:
                break
        self._context.pool.release(connection)
        return self._judge_whole(head, b"".join(pieces))

    def _judge_whole(self, head: AnswerHead, body: bytes) -> AttemptResult:
        result = judge_answer(head, self._instance.name, self._dispatch.weight_version)
        if result is AttemptResult.TURNED_AWAY and head.rest.seconds is not None:
            self.told_wait_seconds = head.rest.seconds
        if result is AttemptResult.WRONG_INSTANCE and head.instance not in (
            "",
            self._instance.name,
        ):
            self._context.note_successor(self._instance, head.instance)
        elif result is AttemptResult.WRONG_VERSION and self._dispatch.weight_version is not None:
            model = self._job.request.model
            newest = self._context.gate.newest(model)
            now = self._context.now()
            self._instance.on_version_refused(model, self._dispatch.weight_version, newest, now)
        elif self._relay.begun and result in (AttemptResult.ANSWERED, AttemptResult.FAILED):
            # Not the rest of the stream that the client has begun to read.
            return AttemptResult.CUT
        elif result is AttemptResult.FAILED:
            self._relay.failure = ServerFailure(head, body)
        elif result is AttemptResult.ANSWERED:
            self._relay.pass_whole(head, body)
        return result

    async def _take_stream(self, connection: ServerConnection, head: AnswerHead) -> AttemptResult:
        if not head.signed or head.encoded:
            return self._lost(connection, LossCause.GARBLED)
        splitter = EventSplitter()
        while True:
            event = await connection.next_event()
            if event.lost is not None or self._ended:
                # What it said before it was given up may have come from another server since.
                return self._lost(connection, event.lost or LossCause.ABORTED)
            whole = splitter.feed(event.body) if event.body else b""
            if whole:
                self._release_tokens()
                self._note_heard()
                self._listener.on_piece(self)
                self._relay.pass_events(head, whole, splitter.last_event_id)
                self._silence_timer.expect_within(gap_seconds(self._job.route))
            if event.complete:
                self._listener.on_piece(self)
                self._relay.pass_events(head, splitter.take_rest(), splitter.last_event_id)
                self._relay.end_stream()
                self._dispatch.on_whole_answer()
                self._context.pool.release(connection)
                return AttemptResult.ANSWERED

    # -- silence --------------------------------------------------------------------------------

    def _seconds_to_start(self) -> float:
        """Time until work on the server's weight version may not start any more."""
        if self._dispatch.weight_version is None:
            return float("inf")
        start_by = self._context.gate.start_by(
            self._job.request.model, self._dispatch.weight_version
        )
        return max(start_by - self._context.now(), 0.0)

    def _on_silent(self) -> None:
        """Nothing has come for too long: let other requests avoid the server.

        Silence is no reason to end an answer that has begun: another server is asked to go on with
        it meanwhile. One that hasn't begun may be asked for again, by the client at the latest.
        """
        if self._connection is None:
            return
        seconds_to_start = float("inf") if self._relay.begun else self._seconds_to_start()
        patience = self._seconds_of_patience()
        if seconds_to_start > 0.0 and patience > 0.0:
            self._silence_timer.expect_within(min(seconds_to_start, patience))
            return
        if seconds_to_start <= 0.0:
            self._leave(LeaveCause.VERSION_BOUND)
            return
        if self._job.route.repeatable and not self._relay.begun:
            self._leave(LeaveCause.SILENT)
            return
        self._context.note_result(self._instance, AttemptResult.LOST)
        again = MIN_SILENCE_SECONDS if self._relay.begun else float("inf")
        self._silence_timer.expect_within(min(seconds_to_start, again))
        if self._job.route.repeatable:
            self._listener.on_silent()

    def _seconds_of_patience(self) -> float:
        """How much longer a silent server that answers others is waited for."""
        route = self._job.route
        usual = gap_seconds(route) if self._relay.begun else first_event_seconds(route)
        silent = self._silent_seconds()
        return patience_left(
            usual, silent, self._context.server_answer_rates.answered_recently(self._instance)
        )
