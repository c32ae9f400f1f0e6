"""Sums of the loads that several senders report, each by its latest message; no input/output."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from milletcourse.exchange.counting.keyed_sums import KeyedSums
from milletcourse.exchange.messages.peer_messages import InstanceLoad, TenantUse


class _SenderReport(msgspec.Struct):
    sequence: int
    received_at: float
    loads: Sequence[InstanceLoad]
    uses: Sequence[TenantUse]
    gateways: int


class LoadSums:
    """Total load of a set of senders on each server, and their total usage for each tenant."""

    def __init__(self, stale_seconds: float) -> None:
        self.stale_seconds = stale_seconds
        # Ordered by their latest messages, so that stale senders come first.
        self._senders: OrderedDict[str, _SenderReport] = OrderedDict()
        self._loads: KeyedSums[InstanceLoad] = KeyedSums()
        self._uses: KeyedSums[TenantUse] = KeyedSums()
        self._gateways = 0

    def on_report(
        self,
        sender: str,
        sequence: int,
        loads: Sequence[InstanceLoad],
        now: float,
        uses: Sequence[TenantUse] = (),
        gateways: int = 1,
    ) -> bool:
        """Replaces a sender's report; returns False when a later one was taken already.

        Args:
            sender: Name of the sender.
            sequence: Sequence number of its message.
            loads: Load on servers.
            now: Monotonic time.
            uses: Usage of tenants.
            gateways: Number of gateways that the report includes.
        """
        self._forget_stale(now)
        known = self._senders.get(sender)
        if known is not None and sequence <= known.sequence:
            return False
        self.forget(sender)
        self._senders[sender] = _SenderReport(sequence, now, loads, uses, gateways)
        self._loads.add(loads)
        self._uses.add(uses)
        self._gateways += gateways
        return True

    def forget(self, sender: str) -> None:
        """Removes a sender's report from the sums."""
        report = self._senders.pop(sender, None)
        if report is None:
            return
        self._loads.subtract(report.loads)
        self._uses.subtract(report.uses)
        self._gateways -= report.gateways

    def senders(self, now: float) -> list[str]:
        """Senders whose latest report isn't stale."""
        self._forget_stale(now)
        return list(self._senders)

    def gateways(self, now: float) -> int:
        """Number of gateways that the senders' reports include."""
        self._forget_stale(now)
        return self._gateways

    def load(self, key: int, now: float) -> InstanceLoad | None:
        """The sum for one server, None when no sender has load there."""
        self._forget_stale(now)
        return self._loads.get(key)

    def loads(self, now: float) -> list[InstanceLoad]:
        """The sums of all servers with load."""
        self._forget_stale(now)
        return self._loads.all()

    def use(self, key: int, now: float) -> int:
        """Usage of one tenant in units per second."""
        self._forget_stale(now)
        use = self._uses.get(key)
        return use.per_second if use is not None else 0

    def uses(self, now: float) -> list[TenantUse]:
        """Usage of all tenants."""
        self._forget_stale(now)
        return self._uses.all()

    def _forget_stale(self, now: float) -> None:
        while self._senders:
            name, oldest = next(iter(self._senders.items()))
            if now - oldest.received_at < self.stale_seconds:
                return
            self.forget(name)
