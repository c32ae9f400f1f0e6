"""Takes what answers and other gateways tell of what servers say, and tells what changed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from milletcourse.exchange.attempts.answer_rules import MISDIRECTED
from milletcourse.exchange.limits.ask_pauses import AskPauses
from milletcourse.exchange.load.known_server import ANSWER, ENTRY, PEER, LimitChange, Signal
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.messages.messages import AnswerHead
from milletcourse.exchange.messages.peer_messages import SignalReport
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.telling.recorder import Recorder


class SignalMonitor:
    """Keeps what servers say of themselves as it is now."""

    def __init__(
        self,
        signals: ServerSignals,
        pauses: AskPauses,
        instances: InstanceTable,
        record: Recorder,
        on_update: Callable[[], None],
        on_leaving: Callable[[Instance], None],
    ) -> None:
        """Nothing heard yet.

        Args:
            signals: Where it is kept.
            pauses: Servers that aren't asked for room now: a changed limit ends that.
            instances: The servers.
            record: Where changes are told to operators.
            on_news: Called when there is news that the other gateways need at once.
            on_leaving: Called when a server is first heard to leave.
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
        """The head of an answer says something of its server.

        Args:
            instance: The server that was asked.
            head: Head of the answer.
            sent_at: Monotonic time of the request's send.
        """
        if not _is_from(head, instance):
            return
        self._apply_limit(instance, head, sent_at)
        self._apply_leaving(instance, head)
        self._apply_backoff(instance, head)

    def on_reply(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        """A server's reply to an order, or its report, says something of it.

        Not that a limit has ended: only answers to requests are said to name it each time.

        Args:
            instance: The server that replied.
            head: Head of the reply.
            sent_at: Monotonic time of the call's send.
        """
        if head.limit.per_second is not None or head.limit.unreadable:
            self._apply_limit(instance, head, sent_at)
        self._apply_leaving(instance, head)
        self._apply_backoff(instance, head)

    def on_reports(self, reports: Iterable[SignalReport], is_relayed: bool) -> None:
        """Another gateway tells what servers said.

        Args:
            reports: What they said.
            passes_on: Others depend on this gateway to hear of it.
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
                self._on_limit_change(instance, item.change, item.per_second, PEER)
            if item.leaves:
                self._report_leaving(instance, PEER)
        if is_relayed:
            self._on_update()

    def on_send(self, instance: Instance) -> None:
        """A request goes to a server: count it when the server said something that bounds that."""
        tally = self._record.tally
        if self._signals.per_second(instance.key) is not None:
            tally.on_limited_send(instance.name)
        if self.is_leaving(instance):
            tally.on_leaving_send(instance.name)
        elif self.is_backing_off(instance):
            tally.on_resting_send(instance.name)

    def is_leaving(self, instance: Instance) -> bool:
        """Whether a server said, in any way, that it is about to end."""
        return self._signals.signal(instance.key, self._record.now()) is Signal.LEAVING

    def is_backing_off(self, instance: Instance) -> bool:
        """Whether a server asked this gateway for rest, and still has it."""
        return self._signals.signal(instance.key, self._record.now()) is Signal.RESTING

    # -- inside ---------------------------------------------------------------------------------

    def _apply_limit(self, instance: Instance, head: AnswerHead, sent_at: float) -> None:
        if head.limit.unreadable:
            # What it said before holds on.
            self._record.signals.unreadable(instance.name, "limit", head.limit.unreadable)
            return
        now = self._record.now()
        per_second = head.limit.per_second
        change = self._signals.on_answer(instance.key, per_second, sent_at, now)
        if change is not None:
            self._on_limit_change(instance, change, per_second, ANSWER)
            self._on_update()

    def _apply_leaving(self, instance: Instance, head: AnswerHead) -> None:
        if head.leaving.unreadable:
            self._record.signals.unreadable(instance.name, "leaving", head.leaving.unreadable)
        if head.leaving.leaves and self._signals.on_leaving(instance.key, self._record.now()):
            self._report_leaving(instance, ANSWER)
            self._on_update()

    def _on_draining(self, instance: Instance) -> None:
        """Its entry says so: all gateways see it there, so that nobody needs to be told."""
        if self._signals.on_entry_leaving(instance.key, self._record.now()):
            self._report_leaving(instance, ENTRY)

    def _report_leaving(self, instance: Instance, source: str) -> None:
        self._record.signals.leaving(instance.name, source)
        self._on_leaving(instance)

    def _apply_backoff(self, instance: Instance, head: AnswerHead) -> None:
        if head.rest.unreadable:
            self._record.signals.unreadable(instance.name, "rest", head.rest.unreadable)
        if not head.rest.seconds:
            return
        if self._signals.on_rest(instance.key, head.rest.seconds, self._record.now()):
            self._record.signals.resting(instance.name, head.rest.seconds)

    def _on_limit_change(
        self, instance: Instance, change: LimitChange, per_second: float | None, source: str
    ) -> None:
        self._pauses.end(instance.key)
        self._record.signals.limit(instance.name, change, per_second, source)


def _is_from(head: AnswerHead, instance: Instance) -> bool:
    """Whether an answer is of the server that was asked, and not of one that has its address now.

    Servers that run a request are the one that it names; whoever answers that it is misdirected may
    be any.
    """
    if not head.instance:
        return head.status != MISDIRECTED
    return head.instance == instance.name
