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


class _Sum(msgspec.Struct):
    waiting_tokens: int = 0
    running: int = 0


class LoadSums:
    """Load of a set of senders on each server; kept as sums, since each choice reads them all."""

    def __init__(self, stale_seconds: float) -> None:
        self.stale_seconds = stale_seconds
        # In the order of their latest messages, so that stale ones stand in front.
        self._senders: OrderedDict[str, _Told] = OrderedDict()
        self._sums: dict[int, _Sum] = {}

    def on_told(self, sender: str, sequence: int, loads: list[InstanceLoad], now: float) -> bool:
        """Take what a sender tells; False when something later was taken already."""
        self._forget_stale(now)
        known = self._senders.get(sender)
        if known is not None and sequence <= known.sequence:
            return False
        self.forget(sender)
        self._senders[sender] = _Told(sequence, now, loads)
        self._add(loads, 1)
        return True

    def forget(self, sender: str) -> None:
        """Take back what a sender told."""
        told = self._senders.pop(sender, None)
        if told is not None:
            self._add(told.loads, -1)

    def senders(self, now: float) -> list[str]:
        """Those that were heard lately."""
        self._forget_stale(now)
        return list(self._senders)

    def waiting_tokens(self, key: int, now: float) -> int:
        """Prompt tokens waiting at a server."""
        self._forget_stale(now)
        total = self._sums.get(key)
        return total.waiting_tokens if total is not None else 0

    def running(self, key: int, now: float) -> int:
        """Requests that a server works on."""
        self._forget_stale(now)
        total = self._sums.get(key)
        return total.running if total is not None else 0

    def loads(self, now: float) -> list[InstanceLoad]:
        """The sums of all servers with load."""
        self._forget_stale(now)
        return [
            InstanceLoad(key, total.waiting_tokens, total.running)
            for key, total in self._sums.items()
        ]

    def _forget_stale(self, now: float) -> None:
        while self._senders:
            name, oldest = next(iter(self._senders.items()))
            if now - oldest.heard_at < self.stale_seconds:
                return
            self.forget(name)

    def _add(self, loads: Iterable[InstanceLoad], sign: int) -> None:
        for load in loads:
            total = self._sums.setdefault(load.key, _Sum())
            total.waiting_tokens += sign * load.waiting_tokens
            total.running += sign * load.running
            if total.running == 0 and total.waiting_tokens == 0:
                del self._sums[load.key]


def added(*parts: Iterable[InstanceLoad]) -> list[InstanceLoad]:
    """The sum of several lists, in the order of the servers' keys."""
    sums: dict[int, _Sum] = {}
    for part in parts:
        for load in part:
            total = sums.setdefault(load.key, _Sum())
            total.waiting_tokens += load.waiting_tokens
            total.running += load.running
    return [InstanceLoad(key, sums[key].waiting_tokens, sums[key].running) for key in sorted(sums)]
