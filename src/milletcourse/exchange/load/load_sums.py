"""Sums of the loads that several senders tell, each by its latest message; no input/output."""

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
    """Load of a set of senders on each server, and what they spend for each tenant."""

    def __init__(self, stale_seconds: float) -> None:
        self.stale_seconds = stale_seconds
        # In the order of their latest messages, so that stale ones stand in front.
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
        """Take what a sender tells; False when something later was taken already.

        Args:
            sender: Its name.
            sequence: Number of its message.
            loads: Load on servers.
            now: Monotonic time.
            uses: What is spent for tenants.
            gateways: How many gateways it tells of.
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
        """Take back what a sender told."""
        report = self._senders.pop(sender, None)
        if report is None:
            return
        self._loads.subtract(report.loads)
        self._uses.subtract(report.uses)
        self._gateways -= report.gateways

    def senders(self, now: float) -> list[str]:
        """Those that were heard lately."""
        self._forget_stale(now)
        return list(self._senders)

    def gateways(self, now: float) -> int:
        """How many gateways the senders tell of."""
        self._forget_stale(now)
        return self._gateways

    def load(self, key: int, now: float) -> InstanceLoad | None:
        """The sum for one server, None when nobody has load there."""
        self._forget_stale(now)
        return self._loads.get(key)

    def loads(self, now: float) -> list[InstanceLoad]:
        """The sums of all servers with load."""
        self._forget_stale(now)
        return self._loads.all()

    def use(self, key: int, now: float) -> int:
        """What is spent for one tenant in a second."""
        self._forget_stale(now)
        use = self._uses.get(key)
        return use.per_second if use is not None else 0

    def uses(self, now: float) -> list[TenantUse]:
        """What is spent for all tenants."""
        self._forget_stale(now)
        return self._uses.all()

    def _forget_stale(self, now: float) -> None:
        while self._senders:
            name, oldest = next(iter(self._senders.items()))
            if now - oldest.received_at < self.stale_seconds:
                return
            self.forget(name)
