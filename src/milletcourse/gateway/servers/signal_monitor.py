"""Collects the signals of servers from answers and other gateways, and reports what changed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.load.signal_record import (
    SOURCE_ANSWER,
    SOURCE_ENTRY,
    SOURCE_PEER,
    LimitChange,
    Signal,
)
from milletcourse.exchange.messages.messages import MISDIRECTED, AnswerHead
from milletcourse.exchange.messages.peer_messages import SignalReport
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.telemetry.recorder import Recorder


class SignalMonitor:
    """Keeps the signals of servers current: limits, shutdowns and requested back-off."""

    def __init__(
        self,
        signals: ServerSignals,
        pauses: PermitRetryDelays,
        instances: InstanceTable,
        record: Recorder,
        on_update: Callable[[], None],
        on_leaving: Callable[[Instance], None],
    ) -> None:
        """Start without any signal.

        Args:
            signals: Stores the signals.
            pauses: Servers for which no permits are requested; a changed limit ends the pause.
            instances: The servers.
            record: Reports changes to operators.
            on_update: Called when there is an update that the other gateways need at once.
            on_leaving: Called when a server first signals that it is shutting down.
        """
        self._signals = signals
        self._pauses = pauses
        self._instances = instances
        self._record = record
        self._on_update = on_update
        self._on_leaving = on_leaving
        instances.on_renamed = signals.on_renamed
        instances.on_draining = self._on_draining

    def on_answer(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        """Apply the signals in the head of an answer to a request.

        Args:
            instance: The server that the request was sent to.
            head: Head of the answer.
            sent_at: Monotonic time of the request's send.
        """
        if not _is_from(head, instance):
            return
        self._apply_limit(instance, head, sent_at)
        self._apply_rejection_limit(instance, head, sent_at)
        self._apply_leaving(instance, head)
        self._apply_back_off(instance, head)

    def on_reply(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        """Apply the signals in a server's reply to an order or in its load report.

        A missing limit does not end the limit here: servers must repeat it only in answers to
        requests.

        Args:
            instance: The server that replied.
            head: Head of the reply.
            sent_at: Monotonic time of the call's send.
        """
        if head.limit.per_second is not None or head.limit.unreadable:
            self._apply_limit(instance, head, sent_at)
        if head.rejection_limit.per_second is not None or head.rejection_limit.unreadable:
            self._apply_rejection_limit(instance, head, sent_at)
        self._apply_leaving(instance, head)
        self._apply_back_off(instance, head)

    def on_reports(self, reports: Iterable[SignalReport], is_relayed: bool) -> None:
        """Apply signals that another gateway reports.

        Args:
            reports: The reported signals.
            is_relayed: Whether other gateways depend on this one to receive them.
        """
        changes = self._signals.merge(reports, self._record.now(), is_relayed)
        if not changes:
            return
        by_key = {instance.key: instance for instance in self._instances}
        for item in changes:
            instance = by_key.get(item.key)
            if instance is None:
                continue
            if item.change is not None:
                self._on_limit_change(instance, item.change, item.per_second, SOURCE_PEER)
            if item.rejection_change is not None:
                self._record.signals.rejection_limit(
                    instance.name, item.rejection_change, item.rejections_per_second, SOURCE_PEER
                )
            if item.is_leaving:
                self._report_leaving(instance, SOURCE_PEER)
        if is_relayed:
            self._on_update()

    def on_send(self, instance: Instance) -> None:
        """Count a request that is sent to a server with a signal in force."""
        tally = self._record.tally
        if self._signals.per_second(instance.key) is not None:
            tally.on_limited_send(instance.name)
        if self.is_leaving(instance):
            tally.on_leaving_send(instance.name)
        elif self.is_backing_off(instance):
            tally.on_back_off_send(instance.name)

    def is_leaving(self, instance: Instance) -> bool:
        """Whether any signal of a server reports that it is shutting down."""
        return self._signals.signal(instance.key, self._record.now()) is Signal.LEAVING

    def is_backing_off(self, instance: Instance) -> bool:
        """Whether a back-off that a server requested from this gateway is in force."""
        return self._signals.signal(instance.key, self._record.now()) is Signal.BACKING_OFF

    # -- internals ------------------------------------------------------------------------------

    def _apply_limit(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        if head.limit.unreadable:
            # The previous limit stays in force.
            self._record.signals.unreadable(instance.name, "limit", head.limit.unreadable)
            return
        now = self._record.now()
        per_second = head.limit.per_second
        change = self._signals.on_answer(instance.key, per_second, sent_at, now)
        if change is not None:
            self._on_limit_change(instance, change, per_second, SOURCE_ANSWER)
            self._on_update()

    def _apply_rejection_limit(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        if head.rejection_limit.unreadable:
            # The previous limit stays in force.
            shown = head.rejection_limit.unreadable
            self._record.signals.unreadable(instance.name, "rejection-limit", shown)
            return
        per_second = head.rejection_limit.per_second
        now = self._record.now()
        change = self._signals.on_answer_rejection_limit(instance.key, per_second, sent_at, now)
        if change is not None:
            self._record.signals.rejection_limit(instance.name, change, per_second, SOURCE_ANSWER)
            self._on_update()

    def _apply_leaving(self, instance: Instance, head: AnswerHead) -> None:
        if head.leaving.unreadable:
            self._record.signals.unreadable(instance.name, "leaving", head.leaving.unreadable)
        if head.leaving.is_leaving and self._signals.on_leaving(instance.key, self._record.now()):
            self._report_leaving(instance, SOURCE_ANSWER)
            self._on_update()

    def _on_draining(self, instance: Instance) -> None:
        """Apply the draining state of a server's entry, which every gateway reads for itself."""
        if self._signals.on_entry_leaving(instance.key, self._record.now()):
            self._report_leaving(instance, SOURCE_ENTRY)

    def _report_leaving(self, instance: Instance, source: str) -> None:
        self._record.signals.leaving(instance.name, source)
        self._on_leaving(instance)

    def _apply_back_off(self, instance: Instance, head: AnswerHead) -> None:
        if head.back_off.unreadable:
            self._record.signals.unreadable(instance.name, "rest", head.back_off.unreadable)
        if not head.back_off.seconds:
            return
        if self._signals.on_back_off(instance.key, head.back_off.seconds, self._record.now()):
            self._record.signals.backing_off(instance.name, head.back_off.seconds)

    def _on_limit_change(
        self, instance: Instance, change: LimitChange, per_second: float | None, source: str
    ) -> None:
        self._pauses.clear(instance.key)
        self._record.signals.limit(instance.name, change, per_second, source)


def _is_from(head: AnswerHead, instance: Instance) -> bool:
    """Whether an answer comes from the given server and not from a new one at its address.

    A server runs a request only if the request names it. A 421 answer without an instance id may
    come from any server.
    """
    if not head.instance:
        return head.status != MISDIRECTED
    return head.instance == instance.name
