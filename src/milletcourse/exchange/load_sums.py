"""Sums of the loads that several senders tell, each by its latest message; no input/output."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from milletcourse.exchange.peer_messages import InstanceLoad


class _Told(msgspec.Struct):
    sequence: int
    heard_at: float
    loads: list[InstanceLoad]


class LoadSums:
    """Load of a set of senders on each server; kept as sums, since each choice reads them all."""

    def __init__(self, stale_seconds: float) -> None:
        self.stale_seconds = stale_seconds
        # In the order of their latest messages, so that stale ones stand in front.
        self._senders: OrderedDict[str, _Told] = OrderedDict()
        self._sums: dict[int, InstanceLoad] = {}

    def on_told(self, sender: str, sequence: int, loads: list[InstanceLoad], now: float) -> bool:
        """Take what a sender tells; False when something later was taken already."""
        self._forget_stale(now)
        known = self._senders.get(sender)
        if known is not None and sequence <= known.sequence:
            return False
        self.forget(sender)
        self._senders[sender] = _Told(sequence, now, loads)
        for load in loads:
            known_sum = self._sums.get(load.key)
            self._sums[load.key] = load if known_sum is None else known_sum.plus(load)
        return True

    def forget(self, sender: str) -> None:
        """Take back what a sender told."""
        told = self._senders.pop(sender, None)
        for load in told.loads if told is not None else ():
            left = self._sums[load.key].minus(load)
            if left.is_nothing:
                del self._sums[load.key]
            else:
                self._sums[load.key] = left

    def senders(self, now: float) -> list[str]:
        """Those that were heard lately."""
        self._forget_stale(now)
        return list(self._senders)

    def load(self, key: int, now: float) -> InstanceLoad | None:
        """The sum for one server, None when nobody has load there."""
        self._forget_stale(now)
        return self._sums.get(key)

    def loads(self, now: float) -> list[InstanceLoad]:
        """The sums of all servers with load."""
        self._forget_stale(now)
        return list(self._sums.values())

    def _forget_stale(self, now: float) -> None:
        while self._senders:
            name, oldest = next(iter(self._senders.items()))
            if now - oldest.heard_at < self.stale_seconds:
                return
            self.forget(name)


def added(*parts: Iterable[InstanceLoad]) -> list[InstanceLoad]:
    """The sum of several lists, in the order of the servers' keys."""
    sums: dict[int, InstanceLoad] = {}
    for part in parts:
        for load in part:
            known = sums.get(load.key)
            sums[load.key] = load if known is None else known.plus(load)
    return [sums[key] for key in sorted(sums)]
