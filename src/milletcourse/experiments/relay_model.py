"""Model that compares how gateways without a path to the servers find one that has one.

Requests arrive at all gateways at the same rate. A cut gateway asks others for a connection, one
after the other, as `RelayClient` does; the production selector ranks them. Only time and the
network are simulated.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from enum import Enum

import msgspec

from milletcourse.exchange.servers.relay_selector import RelayPeer, RelaySelector

ZONES = 3
REQUESTS_PER_SECOND = 8.0
"""Requests per second that arrive at each gateway."""
CONNECTION_SECONDS = 1.5
"""Mean duration of a relayed request."""
ROUND_TRIP_SECONDS = 0.003
MAX_ASKS = 12
"""Gateways that are asked for one request before it is refused."""
WARM_UP_SECONDS = 0.5
RUN_SECONDS = 12.0


class RelayStrategy(Enum):
    """How a cut gateway serves its requests."""

    REFUSE = "refuse at once"
    RANDOM = "any gateway, nothing remembered"
    SELECTOR = "fewest own connections, failures remembered"


class RelayFigures(msgspec.Struct, frozen=True):
    """Result of one run, after the warm-up.

    Attributes:
        strategy: What cut gateways did.
        gateways: Number of gateways.
        cut: Number of those without a path.
        served: Share of the requests at cut gateways that got a connection.
        asks: Mean number of gateways asked for a request.
        seconds_p99: 99th percentile of the time until the connection.
        busiest: Open connections of the busiest relaying gateway, relative to the mean.
    """

    strategy: str
    gateways: int
    cut: int
    served: float
    asks: float
    seconds_p99: float
    busiest: float


class RelayModel:
    """Cut gateways, the others, and the relayed connections."""

    def __init__(self, strategy: RelayStrategy, gateways: int, cut_share: float, seed: int) -> None:
        self._strategy = strategy
        self._random = random.Random(seed)
        names = [f"front-{number}" for number in range(gateways)]
        self._cut = set(self._random.sample(names, round(cut_share * gateways)))
        self._zones = {name: f"z-{number % ZONES}" for number, name in enumerate(names)}
        self._selectors = {name: self._new_selector(name) for name in names if name in self._cut}
        self._open: Counter[str] = Counter()
        self._closings: list[tuple[float, str, RelayPeer]] = []
        self._loads: list[float] = []

    def _new_selector(self, own_name: str) -> RelaySelector:
        selector = RelaySelector(self._zones[own_name], self._random)
        selector.set_peers(
            RelayPeer(name, f"{name}:1", zone)
            for name, zone in self._zones.items()
            if name != own_name
        )
        return selector

    def run(self) -> RelayFigures:
        """Play the run."""
        asks: list[int] = []
        seconds: list[float] = []
        rate = REQUESTS_PER_SECOND * len(self._cut)
        now = 0.0
        while (now := now + self._random.expovariate(rate)) < RUN_SECONDS:
            self._close_until(now)
            name = self._random.choice(sorted(self._cut))
            asked, is_served = self._serve(name, now)
            if now < WARM_UP_SECONDS:
                continue
            asks.append(asked)
            if is_served:
                seconds.append(asked * ROUND_TRIP_SECONDS)
            self._note_load()
        seconds.sort()
        return RelayFigures(
            strategy=self._strategy.value,
            gateways=len(self._zones),
            cut=len(self._cut),
            served=round(len(seconds) / len(asks), 4),
            asks=round(sum(asks) / len(asks), 2),
            seconds_p99=seconds[int(0.99 * len(seconds))] if seconds else 0.0,
            busiest=round(sum(self._loads) / len(self._loads), 2) if self._loads else 0.0,
        )

    def _serve(self, name: str, now: float) -> tuple[int, bool]:
        """Ask for a connection; the number of gateways asked, and whether one helped."""
        if self._strategy is RelayStrategy.REFUSE:
            return 0, False
        selector = self._selectors[name]
        zone = self._random.choice(list(self._zones.values()))
        peers = selector.candidates(zone, MAX_ASKS, now)
        if self._strategy is RelayStrategy.RANDOM:
            everyone = selector.candidates(zone, len(self._zones), now, True)
            peers = self._random.sample(everyone, min(MAX_ASKS, len(everyone)))
        for asked, peer in enumerate(peers, start=1):
            if peer.name not in self._cut:
                self._connect(name, peer, now)
                return asked, True
            selector.on_failed(peer, now)
        return len(peers), False

    def _connect(self, name: str, peer: RelayPeer, now: float) -> None:
        self._selectors[name].on_opened(peer)
        self._open[peer.name] += 1
        ends_at = now + self._random.expovariate(1 / CONNECTION_SECONDS)
        heapq.heappush(self._closings, (ends_at, name, peer))

    def _close_until(self, now: float) -> None:
        while self._closings and self._closings[0][0] <= now:
            _, name, peer = heapq.heappop(self._closings)
            self._selectors[name].on_closed(peer)
            self._open[peer.name] -= 1

    def _note_load(self) -> None:
        sound = len(self._zones) - len(self._cut)
        mean = sum(self._open.values()) / sound
        if mean:
            self._loads.append(max(self._open.values()) / mean)


def compare_relays(sizes: list[int], seed: int) -> list[RelayFigures]:
    """Results of each strategy with a tenth, a third and nine tenths of the gateways cut off.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws.
    """
    return [
        RelayModel(strategy, size, share, seed).run()
        for size in sizes
        for share in (0.1, 1 / 3, 0.9)
        if 0 < round(share * size) < size
        for strategy in RelayStrategy
    ]
