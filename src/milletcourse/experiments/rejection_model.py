"""Model of gateways before servers that fail when they reject too many requests a second.

The production code decides which servers a gateway may send to; requests, servers and the exchange
of loads are simulated. Servers have no queue.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from enum import Enum

import msgspec

from milletcourse.exchange.load.rejection_limits import RejectionLimits
from milletcourse.exchange.messages.records import InstanceRecord, ServiceRecord
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.experiments.sliding_window import most_in_window

SERVERS = 8
SLOTS = 6
WORK_SECONDS = 0.045
LOAD_FACTOR = 1.5
"""Arriving requests, relative to what the servers can work on."""
EXCHANGE_SECONDS = {5: 0.1, 79: 0.3, 420: 0.4}
"""Interval at which gateways learn the others' load, by the number of gateways."""
DEFAULT_EXCHANGE_SECONDS = 0.2
BUSY_PAUSE_SECONDS = 0.15
RUN_SECONDS = 20.0
SERVICE = ServiceRecord("app", slots=SLOTS)
ANNOUNCED_PER_SECOND = 5.0


class RejectionStrategy(Enum):
    """How gateways treat servers that reject requests."""

    PAUSE = "each keeps away for a moment"
    KNOWN_LOAD = "slots by the known load"
    SHARES = "a quarter of the slots by the known load, shares of the rest"


class RejectionFigures(msgspec.Struct, frozen=True):
    """Result of one run.

    Attributes:
        strategy: How rejections were handled.
        gateways: Number of gateways.
        used: Share of the servers' work that was done.
        rejected: Rejections a second and server.
        worst_second: Most rejections of one server in a second.
    """

    strategy: str
    gateways: int
    used: float
    rejected: float
    worst_second: int


class RejectionModel:
    """Gateways and servers under steady overload."""

    def __init__(self, strategy: RejectionStrategy, gateways: int, seed: int) -> None:
        self._strategy = strategy
        self._random = random.Random(seed)
        self._gateways = gateways
        records = [
            InstanceRecord(f"s-{number}", "app", f"127.0.0.1:{number + 1}", slots=SLOTS)
            for number in range(SERVERS)
        ]
        self._views = [[Instance(record) for record in records] for _ in range(gateways)]
        self._limits = [RejectionLimits() for _ in range(gateways)]
        for limits in self._limits:
            limits.on_answer(SERVICE.name, ANNOUNCED_PER_SECOND, 0.0)
        self._paused_until: defaultdict[tuple[int, int], float] = defaultdict(float)
        self._running = [0] * SERVERS
        self._told = [0] * SERVERS
        self._told_own: list[list[int]] = [[0] * SERVERS for _ in range(gateways)]
        self._ends: list[tuple[float, int, int]] = []
        self._rejections: list[list[float]] = [[] for _ in range(SERVERS)]
        self._done = 0

    def run(self) -> RejectionFigures:
        """Play the run."""
        interval = EXCHANGE_SECONDS.get(self._gateways, DEFAULT_EXCHANGE_SECONDS)
        rate = LOAD_FACTOR * SERVERS * SLOTS / WORK_SECONDS
        now = exchanged_at = 0.0
        while (now := now + self._random.expovariate(rate)) < RUN_SECONDS:
            self._end_until(now)
            if now - exchanged_at >= interval:
                exchanged_at = now
                self._exchange(now)
            self._arrive(self._random.randrange(self._gateways), now)
        rejected = sum(map(len, self._rejections))
        return RejectionFigures(
            strategy=self._strategy.value,
            gateways=self._gateways,
            used=round(self._done * WORK_SECONDS / (SERVERS * SLOTS * RUN_SECONDS), 3),
            rejected=round(rejected / SERVERS / RUN_SECONDS, 2),
            worst_second=max(most_in_window(times, 1.0) for times in self._rejections),
        )

    def _arrive(self, gateway: int, now: float) -> None:
        admitted = [server for server in range(SERVERS) if self._admits(gateway, server, now)]
        if not admitted:
            return
        server = min(admitted, key=lambda item: (self._known(gateway, item), self._random.random()))
        instance = self._views[gateway][server]
        if self._running[server] >= SLOTS:
            self._rejections[server].append(now)
            self._paused_until[gateway, server] = now + BUSY_PAUSE_SECONDS
            self._limits[gateway].on_rejected(SERVICE, instance, now)
            return
        self._running[server] += 1
        instance.in_flight += 1
        heapq.heappush(self._ends, (now + WORK_SECONDS, gateway, server))

    def _known(self, gateway: int, server: int) -> int:
        return self._views[gateway][server].in_flight + self._others(gateway, server)

    def _others(self, gateway: int, server: int) -> int:
        return max(self._told[server] - self._told_own[gateway][server], 0)

    def _admits(self, gateway: int, server: int, now: float) -> bool:
        if self._strategy is RejectionStrategy.PAUSE:
            return now >= self._paused_until[gateway, server]
        others = self._others(gateway, server)
        # With one gateway to share with, all slots are given out by the known load.
        shares = self._gateways if self._strategy is RejectionStrategy.SHARES else 1
        instance = self._views[gateway][server]
        return self._limits[gateway].admits(SERVICE, instance, others, shares, now)

    def _exchange(self, now: float) -> None:
        self._told = [0] * SERVERS
        for gateway, instances in enumerate(self._views):
            limits = self._limits[gateway]
            for server, instance in enumerate(instances):
                reported = instance.in_flight + limits.reported_requests(instance.key, now)
                self._told_own[gateway][server] = reported
                self._told[server] += reported

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, gateway, server = heapq.heappop(self._ends)
            self._running[server] -= 1
            self._views[gateway][server].in_flight -= 1
            self._done += 1


def compare_rejections(sizes: list[int], seed: int) -> list[RejectionFigures]:
    """Results of each strategy.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws.
    """
    return [
        RejectionModel(strategy, size, seed).run()
        for size in sizes
        for strategy in RejectionStrategy
    ]
