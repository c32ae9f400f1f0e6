"""Log lines and metrics of requests, servers and the store: one method per decision."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from milletcourse.errors import Failure, RunState
from milletcourse.exchange.attempts.attempt_plan import NextStep
from milletcourse.exchange.counting.service_tally import Outcome, ServiceTally, served_outcome
from milletcourse.exchange.evidence.containment import EvidenceChange, EvidenceEvent
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.limits.client_memory import MemoryReport
from milletcourse.exchange.limits.tenant_limits import LimitState
from milletcourse.exchange.messages.messages import AttemptResult, ExchangeRequest
from milletcourse.exchange.messages.peer_messages import FeatureKind
from milletcourse.exchange.messages.records import RouteRecord
from milletcourse.exchange.rollout.weight_rollout import OrderReply, WeightOrder
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.log_fields import (
    answer_end_fields,
    connection_fields,
    excluded_servers_field,
    feature_field,
    parts_field,
    salt_field,
    software_field,
    through_field,
)
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.gateway.telemetry.path_recorder import PathRecorder
from milletcourse.gateway.telemetry.request_records import (
    AnsweredAttempt,
    FailedAttempt,
    OverloadState,
    RequestEnd,
    StreamTruncation,
)
from milletcourse.gateway.telemetry.resumption_recorder import ResumptionRecorder
from milletcourse.gateway.telemetry.signal_recorder import SignalRecorder
from milletcourse.gateway.telemetry.store_recorder import StoreRecorder
from milletcourse.gateway.telemetry.unanswered import UnansweredRequest

ReportedState = Callable[[], dict[str, Any]]
"""Returns the state that the gateway acts on now, as fields for the log lines of decisions."""


class Recorder:
    """Writes log lines and counts metrics for the events of requests, servers and the store.

    Attributes:
        now: Monotonic time.
        signals: Recorder of the signals that servers report about themselves.
        store: Recorder of events in the history of the object store.
        paths: Recorder of lost paths to servers and relayed connections.
        resumption: Recorder of streams by software version, and of resumed streams.
        tally: Counts for the periodic `service-tally` line.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: MetricsSink,
        reported_state: ReportedState,
        now: Callable[[], float],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._reported_state = reported_state
        self.now = now
        self._reachable: dict[str, bool] = {}
        self.signals = SignalRecorder(log, metrics)
        self.store = StoreRecorder(log, metrics)
        self.paths = PathRecorder(log, metrics)
        self.resumption = ResumptionRecorder(log, metrics)
        self.tally = ServiceTally()

    # -- requests -------------------------------------------------------------------------------

    def refusal(self, failure: Failure, request_id: str, target: bytes) -> None:
        """A request was refused before it was routed."""
        self._metrics.on_request_finished(failure.code)
        self._log.emit(
            "request-refused",
            request_id=request_id,
            code=failure.code,
            detail=failure.detail,
            target=target.decode("latin-1"),
            **self._reported_state(),
        )

    def limited(self, state: LimitState) -> None:
        """A request was refused over its tenant's limit; logs the usage known to this gateway."""
        self._log.emit("tenant-limited", **msgspec.to_builtins(state))

    def failure(
        self,
        failure: Failure,
        request: ExchangeRequest,
        route: RouteRecord,
        excluded_servers: dict[str, str],
        overload: OverloadState | None = None,
    ) -> None:
        """A routed request ended with a failure that this gateway generated.

        Args:
            failure: The failure.
            request: The request.
            route: Its route.
            excluded_servers: Servers excluded for a signal of their own -> that signal.
            overload: State behind a refusal for the expected wait, None for other failures.
        """
        has_not_run = failure.run_state is RunState.NOT_RUN
        self.tally.on_end(route.name, Outcome.REFUSED if has_not_run else Outcome.FAILED)
        self._metrics.on_request_finished(failure.code)
        self._log.emit(
            "request-failed",
            route=route.name,
            code=failure.code,
            detail=failure.detail,
            **excluded_servers_field(excluded_servers),
            **({"load": msgspec.to_builtins(overload)} if overload is not None else {}),
            **self._request_fields(request),
            **self._reported_state(),
        )

    def attempt(self, route: RouteRecord, result: AttemptResult, step: NextStep) -> None:
        """An attempt ended; `attempt_failed` logs the ones without an answer."""
        self._metrics.on_attempt(result)
        if step is NextStep.RETRY:
            self.tally.on_retry(route.name)

    def attempt_failed(
        self,
        request: ExchangeRequest,
        route: RouteRecord,
        failed: FailedAttempt,
        step: NextStep,
    ) -> None:
        """A server returned no answer; logs the server, the cause and the request's identities."""
        self._log.emit(
            "attempt-failed",
            route=route.name,
            instance=failed.instance,
            **software_field(failed.software_version),
            address=failed.address,
            result=failed.result.value,
            loss=failed.loss,
            **answer_end_fields(failed.answer_end),
            left=failed.abort_cause,
            step=step.value,
            content=identity_text(failed.features.content),
            **parts_field(failed.features.parts),
            connect=round(failed.connect_seconds, 3),
            **through_field(failed.through),
            answers_others=failed.answers_others,
            **connection_fields(failed.connection_use),
            **self._request_fields(request),
        )

    def first_answer(self, seconds: float) -> None:
        """The first byte of an answer was sent to a client, `seconds` after its request."""
        self._metrics.on_first_answer(seconds)

    def served(
        self,
        request: ExchangeRequest,
        route: RouteRecord,
        answered: AnsweredAttempt,
        sends: int,
        first: float,
        gap: float,
        excluded_servers: dict[str, str],
    ) -> None:
        """A complete answer was relayed to the client.

        Args:
            request: The request.
            route: Its route.
            answered: The attempt that completed the answer.
            sends: Number of servers that it was sent to.
            first: Seconds to its first byte.
            gap: Longest pause within the answer in seconds.
            excluded_servers: Servers excluded for a signal of their own -> that signal.
        """
        self.tally.on_end(route.name, served_outcome(route, first, gap))
        self._metrics.on_request_finished(RequestEnd.SERVED)
        self._log.emit(
            "request-served",
            route=route.name,
            instance=answered.instance,
            **software_field(answered.software_version),
            sends=sends,
            first=round(first, 3),
            gap=round(gap, 3),
            **answer_end_fields(answered.answer_end),
            **salt_field(answered.cache_salt),
            **connection_fields(answered.connection_use),
            **through_field(answered.through),
            **excluded_servers_field(excluded_servers),
            **self._request_fields(request),
        )

    def passed_failure(self, route: RouteRecord) -> None:
        """A failure returned by a server was relayed; the line of its attempt describes it."""
        self.tally.on_end(route.name, Outcome.SERVER_FAILURE)
        self._metrics.on_request_finished(RequestEnd.PASSED_FAILURE)

    def stream_truncated(
        self, request: ExchangeRequest, route: RouteRecord, truncation: StreamTruncation
    ) -> None:
        """A stream was truncated after a part of it had been sent to its client."""
        self.tally.on_end(route.name, Outcome.TRUNCATED)
        self._metrics.on_request_finished(RequestEnd.CUT)
        self._log.emit(
            "stream-cut",
            route=route.name,
            **msgspec.to_builtins(truncation),
            **self._request_fields(request),
        )

    def client_left(
        self, request: ExchangeRequest, route: RouteRecord, instance: str, stream_started: bool
    ) -> None:
        """A client closed its connection before the answer was complete."""
        self.tally.on_end(route.name, Outcome.CLIENT_DISCONNECTED)
        self._metrics.on_request_finished(RequestEnd.CLIENT_LEFT)
        self._log.emit(
            "client-left",
            route=route.name,
            instance=instance,
            stream_begun=stream_started,
            **self._request_fields(request),
        )

    def unanswered(self, request: UnansweredRequest, request_id: str, stopping: bool) -> None:
        """A request that was read ended without a complete answer, for a cause of this gateway."""
        self._metrics.on_unanswered(request.cause)
        self._log.emit(
            "request-unanswered",
            request_id=request_id,
            phase=request.phase.value,
            cause=request.cause.value,
            error=request.error[:200],
            stopping=stopping,
            seconds=round(self.now() - request.received_at, 3),
        )

    def listener_closed(self, address: str, waiting: int) -> None:
        """A listener closed; `waiting` connections were reset before they could be accepted."""
        self._log.emit("listener-closed", address=address, waiting=waiting)

    def loop_late(self, seconds: float) -> None:
        """The event loop ran a timer `seconds` later than it was due."""
        self._log.emit("loop-late", seconds=round(seconds, 3))

    def write_tally(self) -> None:
        """Write the counts since the last call, unless nothing was counted."""
        report = self.tally.take()
        if report is not None:
            self._log.emit("service-tally", **msgspec.to_builtins(report))

    # -- servers and the store ------------------------------------------------------------------

    def ejection(self, instance: str, result: AttemptResult) -> None:
        """A server was ejected as an outlier and gets no new requests for some time."""
        self._metrics.on_ejection()
        self._log.emit("instance-ejected", instance=instance, result=result.value)

    def ejection_ended(self, instance: str, result: AttemptResult) -> None:
        """An ejected server gets requests again."""
        self._log.emit("instance-back", instance=instance, result=result.value)

    def instance_replaced(self, instance: str, successor: str) -> None:
        """Another incarnation answers at a server's address.

        Args:
            instance: The terminated incarnation.
            successor: Name of the new incarnation, or `told` when a peer reported the change.
        """
        self._log.emit("instance-ended", instance=instance, successor=successor)

    def instance_restarted(self, instance: str) -> None:
        """A server restarted under the same name; all cached state about it is invalid."""
        self._log.emit("instance-restarted", instance=instance)

    def descriptors_exhausted(self) -> None:
        """A connection to a server could not be opened: no free file descriptor."""
        self._metrics.on_descriptors_exhausted()
        self._log.emit("descriptors-exhausted")

    def clients_waiting(self, clients: int, waiting: int) -> None:
        """Client connections wait in the listen backlog, since the connection limit is reached."""
        self._log.emit("clients-waiting", clients=clients, waiting=waiting)

    def slow_clients_refused(self, count: int) -> None:
        """Incomplete requests were refused, since other clients wait to be accepted."""
        self._log.emit("slow-clients-refused", count=count)

    def client_memory_short(self, report: MemoryReport) -> None:
        """Requests of clients were refused or evicted, since the memory doesn't suffice."""
        self._log.emit("client-memory-short", **msgspec.to_builtins(report))

    def peer_message_refused(self, sender: str) -> None:
        """A datagram was rejected as malformed or for implausible values."""
        self._metrics.on_peer_message_refused()
        self._log.emit("peer-message-refused", sender=sender)

    def containment_released(self, identity: int) -> None:
        """An operator released a contained request or prompt part."""
        self._log.emit("request-released", content=identity_text(identity))

    def resumed_after_suspension(self, suspended_seconds: float) -> None:
        """The machine resumed after a suspension of `suspended_seconds`."""
        self._log.emit("woke", slept=round(suspended_seconds, 3), **self._reported_state())

    def evidence_change(self, change: EvidenceChange) -> None:
        """Requests with a feature are held, tried or sent again, for crashes or an answer."""
        containment = change.containment
        if change.event is EvidenceEvent.CONTAINED:
            self._metrics.on_containment()
        noun = "request" if containment.kind is FeatureKind.CONTENT else "prompt-part"
        self._log.emit(
            f"{noun}-{change.event.value}",
            **feature_field(containment),
            ends=containment.crashes,
            since_last_end=round(self.now() - containment.last_crash_at, 3),
            seconds_left=round(containment.seconds_left, 1),
        )

    def suspicion(self, instance: str, suspected: bool) -> None:
        """Several gateways saw a server fail and it gets no new requests, or this has ended."""
        self._log.emit("instance-suspected" if suspected else "instance-cleared", instance=instance)

    def weight_order(self, order: WeightOrder, reply: OrderReply) -> None:
        """A weight order ended with a server's reply, or without one."""
        self._metrics.on_order(reply.value)
        self._log.emit(
            "weight-order",
            instance=order.instance,
            version=order.version,
            fencing_token=order.fencing_token,
            reply=reply.value,
        )

    def objects_unreadable(self, kind: str, count: int) -> None:
        """Objects of the store were skipped since they have no name or no revision."""
        self._log.emit("objects-unreadable", kind=kind, count=count)

    def store_call(self, kind: str, succeeded: bool) -> None:
        """A call to the store about a kind of objects ended; logs changes of reachability only."""
        if not succeeded:
            self._metrics.on_store_failure()
        if self._reachable.get(kind) == succeeded:
            return
        self._reachable[kind] = succeeded
        self._log.emit(
            "store-reached" if succeeded else "store-lost", kind=kind, **self._reported_state()
        )

    def _request_fields(self, request: ExchangeRequest) -> dict[str, Any]:
        seconds = round(self.now() - request.received_at, 3)
        resumes = {"resumes": request.resumes} if request.resumes else {}
        return {"request_id": request.request_id, **resumes, "seconds": seconds}
