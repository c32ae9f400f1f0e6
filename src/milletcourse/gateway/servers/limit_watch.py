"""Takes what answers and other gateways tell of servers' limits, and says what changed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from milletcourse.exchange.limits.ask_pauses import AskPauses
from milletcourse.exchange.load.server_limits import LimitChange, ServerLimits
from milletcourse.exchange.messages.peer_messages import LimitReport
from milletcourse.exchange.messages.server_limit import LimitReading
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.telling.recorder import Recorder


class LimitWatch:
    """Keeps the limits of servers as they are now."""

    def __init__(
        self,
        limits: ServerLimits,
        pauses: AskPauses,
        instances: InstanceTable,
        record: Recorder,
        on_news: Callable[[], None],
    ) -> None:
        """Nothing heard yet.

        Args:
            limits: Where they are kept.
            pauses: Servers that aren't asked for room now: a changed limit ends that.
            instances: The servers.
            record: Where changes are told to operators.
            on_news: Called when there is news that the other gateways need at once.
        """
        self._limits = limits
        self._pauses = pauses
        self._instances = instances
        self._record = record
        self._on_news = on_news

    def on_answer(self, instance: Instance, reading: LimitReading, sent_at: float) -> None:
        """The head of an answer says how many requests its server takes.

        Args:
            instance: The server.
            reading: What it says.
            sent_at: Monotonic time of the request's send.
        """
        if reading.unreadable:
            # What it said before holds on.
            self._record.limit_unreadable(instance.name, reading.unreadable)
            return
        now = self._record.now()
        change = self._limits.on_answer(instance.key, reading.per_second, sent_at, now)
        if change is not None:
            self._on_change(instance, change, reading.per_second, "answer")
            self._on_news()

    def on_reports(self, reports: Iterable[LimitReport], passes_on: bool) -> None:
        """Another gateway tells what servers said.

        Args:
            reports: What they said.
            passes_on: Others depend on this gateway to hear of it.
        """
        changes = self._limits.merge(reports, self._record.now(), passes_on)
        if not changes:
            return
        by_key = {instance.key: instance for instance in self._instances}
        for item in changes:
            instance = by_key.get(item.key)
            if instance is not None:
                self._on_change(instance, item.change, item.per_second, "peer")
        if passes_on:
            self._on_news()

    def _on_change(
        self, instance: Instance, change: LimitChange, per_second: float | None, told_by: str
    ) -> None:
        self._pauses.end(instance.key)
        self._record.server_limit(instance.name, change, per_second, told_by)
