"""Gateways that exchange crash evidence on a simulated clock, for models of a fleet."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.load.load_exchange import TICK_SECONDS, LoadExchange, Outgoing

ZONES = 3
FIRST_SECOND = 100.0
Work = TypeVar("Work")
"""What a server of a model runs."""


class ModelServer(Generic[Work]):
    """A server that runs work, and comes back as another incarnation after a crash.

    Attributes:
        number: Its number.
        incarnation: Number of its crashes so far.
        down_until: Simulated time until which it is down.
        running: Work that it runs, by key.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.incarnation = 0
        self.down_until = 0.0
        self.running: dict[int, Work] = {}

    @property
    def key(self) -> int:
        """Key of its incarnation."""
        return self.number * 10_000 + self.incarnation


class EvidenceFleet:
    """Gateways in zones, the messages between them, and a queue of later actions.

    Attributes:
        now: Simulated monotonic time.
        names: Names of the gateways.
        exchanges: Part of each gateway in the exchange of messages.
        partitioned: Gateways that no message reaches or leaves.
        loss: Share of the messages that are lost.
        evidence_bytes: Bytes of crash reports that were sent, over all receivers.
    """

    def __init__(self, gateways: int, source: random.Random) -> None:
        """Create gateways that have not started.

        Args:
            gateways: Number of gateways.
            source: Source of the random draws of lost messages.
        """
        self.now = FIRST_SECOND
        self.names = [f"gateway-{number:03}" for number in range(gateways)]
        self.exchanges: dict[str, LoadExchange] = {}
        self.partitioned: frozenset[str] = frozenset()
        self.loss = 0.0
        self.evidence_bytes = 0
        self._random = source
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def start(self, name: str, evidence: CrashEvidence) -> None:
        """Start a gateway, or restart it without its state."""
        exchange = self.exchanges[name] = LoadExchange(name, evidence)
        others = [other for other in self.names if other != name]
        exchange.set_gateways(others, [other for other in self.names[:ZONES] if other != name])

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def advance(self) -> None:
        """Run the actions due before the next tick, then tick all gateways."""
        until = self.now + TICK_SECONDS
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until
        for name in self.names:
            self._tick(name)

    def _tick(self, name: str) -> None:
        reader = self.names[self.names.index(name) % ZONES]
        for outgoing in self.exchanges[name].tick(self.now, [], "" if reader == name else reader):
            self._deliver(name, outgoing)

    def _deliver(self, sender: str, outgoing: Outgoing) -> None:
        crashes = outgoing.message.crashes
        if crashes:
            self.evidence_bytes += len(msgspec.msgpack.encode(crashes)) * len(outgoing.receivers)
        for receiver in outgoing.receivers:
            is_lost = bool(self.loss) and self._random.random() < self.loss
            if not is_lost and not {sender, receiver} & self.partitioned:
                self.exchanges[receiver].on_message(outgoing.message, self.now)
