"""Model that compares strategies with which many gateways enforce one tenant's limit.

The model runs the production accounting and load messages for each gateway on a virtual clock; only
the requests and the network are simulated. Requests are spread unevenly over the gateways, like
clients that are distributed by hashing.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from enum import Enum

import msgspec

from milletcourse.exchange.limits.tenant_limits import TenantLimits
from milletcourse.exchange.load.load_exchange import TICK_SECONDS, LoadExchange
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.peer_messages import encode_message
from milletcourse.exchange.messages.records import (
    LimitTolerance,
    LimitUnit,
    TenantLimit,
    TenantRecord,
)
from milletcourse.experiments.limit_strategies import USAGE_SOURCES, Strategy
from milletcourse.experiments.sliding_window import window_sums

TENANT = "tenant-1"
ZONES = 3
LIMIT_PER_SECOND = 300_000.0
"""Tokens per second, and an equal burst: a large tenant of a fleet of eighty gateways."""
USUAL_SHARE = 1 / 1.8
"""Usual rate of the tenant, as a share of its limit."""
HOT_FACTOR = 5.0
"""Rate of a hot tenant, relative to the usual rate."""
MEAN_TOKENS = 9_000
TOKENS_SIGMA = 0.8
"""Standard deviation of the logarithm of the request size."""
WINDOW_SECONDS = 8.0
"""Admitted tokens are evaluated in each window of this length."""
TOLERANCE = LimitTolerance(WINDOW_SECONDS, 0.1, LIMIT_PER_SECOND / 3)
"""Permitted excess over the limit: 1.137 of a window in total."""
CLIENTS_PER_GATEWAY = 3
"""Clients are distributed by hashing, so their number per gateway varies."""
START_UP_SECONDS = 2.0
"""The gateways have discovered each other before the first requests arrive."""
WARM_UP_SECONDS = 4.0
"""A hot tenant is hot from this time on."""
RUN_SECONDS = 24.0
EVENT_SECONDS = 8.0
"""Time of partitions, restarts and limit changes."""
PARTITION_SECONDS = 8.0
DOWN_SECONDS = 0.6
"""Time for which a killed gateway is down."""


class Trouble(Enum):
    """Disturbance of the gateways or of the limit."""

    USUAL = "usual load"
    HOT = "hot"
    HOT_AND_CUT = "hot, a third cut off"
    HOT_AND_RESTARTED = "hot, all restarted"
    LOWERED = "limit lowered to a third"


class LimitFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        way: Strategy that shared the limit.
        trouble: Injected disturbance.
        gateways: Number of gateways.
        over: Most tokens admitted in a window, as a share of rate x window + burst.
        admitted: Tokens admitted, as a share of those that one global bucket would admit.
        bytes_a_second: Mean bytes per second sent by a gateway.
    """

    way: Strategy
    trouble: Trouble
    gateways: int
    over: float
    admitted: float
    bytes_a_second: int


class _IdealBucket:
    """One global bucket for all gateways, updated without delay."""

    def __init__(self, limit: TenantLimit, now: float) -> None:
        self.limit = limit
        self._level = limit.burst
        self._at = now

    def admits(self, units: float, now: float) -> bool:
        self._level = min(self._level + (now - self._at) * self.limit.per_second, self.limit.burst)
        self._at = now
        if self._level < 0.0:
            return False
        self._level -= units
        return True


class LimitModel:
    """One run: requests of one tenant at many gateways."""

    def __init__(self, strategy: Strategy, trouble: Trouble, gateways: int, seed: int) -> None:
        """Initialise a run.

        Args:
            strategy: Strategy that shares the limit.
            trouble: Injected disturbance.
            gateways: Number of gateways.
            seed: Seed of all random draws.
        """
        self._strategy = strategy
        self._trouble = trouble
        self._random = random.Random(seed)
        self._names = [f"gateway-{number:03}" for number in range(gateways)]
        self._readers = self._names[:ZONES]
        self._limit = TenantLimit(LIMIT_PER_SECOND, LIMIT_PER_SECOND, LimitUnit.TOKENS)
        self._loads: dict[str, LoadExchange] = {}
        self._limits: dict[str, TenantLimits] = {}
        self._weights = self._client_weights()
        self._partitioned: set[str] = set()
        self._down: set[str] = set()
        self._bytes = 0
        self._admitted: list[tuple[float, float]] = []
        self._ideal = _IdealBucket(self._limit, 0.0)
        self._ideally_admitted = 0.0
        for name in self._names:
            self._start(name, 0.0)

    def _client_weights(self) -> list[float]:
        counts = [0.01] * len(self._names)
        for _ in range(CLIENTS_PER_GATEWAY * len(self._names)):
            counts[self._random.randrange(len(counts))] += 1.0
        return counts

    def _start(self, name: str, now: float) -> None:
        loads = LoadExchange(name)
        others = [other for other in self._names if other != name]
        loads.set_gateways(others, [reader for reader in self._readers if reader != name])
        self._loads[name] = loads
        usage_source = USAGE_SOURCES[self._strategy](loads, len(self._names))
        self._limits[name] = TenantLimits(usage_source, TOLERANCE)
        self._limits[name].configure([self._tenant()], now)

    def _tenant(self) -> TenantRecord:
        return TenantRecord(TENANT, limit=self._limit)

    def run(self) -> LimitFigures:
        """Run the simulation and evaluate the tokens that were admitted."""
        now = 0.0
        while now < RUN_SECONDS:
            now += TICK_SECONDS
            self._apply_trouble(now)
            if now >= START_UP_SECONDS:
                self._generate_arrivals(now)
            self._exchange_loads(now)
        admitted = sum(tokens for _, tokens in self._admitted)
        usual_bound = LIMIT_PER_SECOND * (WINDOW_SECONDS + 1.0)
        return LimitFigures(
            way=self._strategy,
            trouble=self._trouble,
            gateways=len(self._names),
            over=round(self._max_tokens_in_window() / usual_bound, 3),
            admitted=round(admitted / self._ideally_admitted, 3),
            bytes_a_second=round(self._bytes / len(self._names) / RUN_SECONDS),
        )

    def _apply_trouble(self, now: float) -> None:
        is_starting = EVENT_SECONDS <= now < EVENT_SECONDS + TICK_SECONDS
        if self._trouble is Trouble.HOT_AND_CUT:
            is_partitioned = EVENT_SECONDS <= now < EVENT_SECONDS + PARTITION_SECONDS
            self._partitioned = set(self._names[2::3]) if is_partitioned else set()
        elif self._trouble is Trouble.HOT_AND_RESTARTED:
            if is_starting:
                self._down = set(self._names)
            elif self._down and now >= EVENT_SECONDS + DOWN_SECONDS:
                for name in self._names:
                    self._start(name, now)
                self._down = set()
        elif self._trouble is Trouble.LOWERED and is_starting:
            self._limit = TenantLimit(LIMIT_PER_SECOND / 3, LIMIT_PER_SECOND / 3, LimitUnit.TOKENS)
            self._ideal.limit = self._limit
            for name in self._names:
                self._limits[name].configure([self._tenant()], now)

    def _generate_arrivals(self, now: float) -> None:
        factor = 1.0 if self._trouble is Trouble.USUAL else HOT_FACTOR
        hot = factor if now >= WARM_UP_SECONDS else 1.0
        per_second = LIMIT_PER_SECOND * USUAL_SHARE * hot / MEAN_TOKENS
        for _ in range(self._poisson(per_second * TICK_SECONDS)):
            name = self._random.choices(self._names, self._weights)[0]
            if name not in self._down:
                self._on_request(name, now)

    def _poisson(self, mean: float) -> int:
        count = 0
        waited = self._random.expovariate(1.0)
        while waited < mean:
            count += 1
            waited += self._random.expovariate(1.0)
        return count

    def _on_request(self, name: str, now: float) -> None:
        log_mean_shift = TOKENS_SIGMA**2 / 2
        tokens = int(MEAN_TOKENS * self._random.lognormvariate(-log_mean_shift, TOKENS_SIGMA)) + 1
        request = _request(tokens)
        if self._ideal.admits(tokens, now):
            self._ideally_admitted += tokens
        wait = self._limits[name].try_spend(self._tenant(), request, now)
        if wait is None or self._strategy is Strategy.NONE:
            self._admitted.append((now, tokens))

    def _exchange_loads(self, now: float) -> None:
        for index, name in enumerate(self._names):
            if name in self._down:
                continue
            reader = self._readers[index % ZONES]
            follows = "" if reader == name else reader
            uses = self._limits[name].tick(now)
            for outgoing in self._loads[name].tick(now, [], follows, uses):
                size = len(encode_message(outgoing.message))
                for receiver in outgoing.receivers:
                    self._bytes += size
                    if not {name, receiver} & (self._partitioned | self._down):
                        self._loads[receiver].on_message(outgoing.message, now)

    def _max_tokens_in_window(self) -> float:
        """Most tokens in a window; once the limit is lowered, scaled to the original limit."""
        times = [at for at, _ in self._admitted]
        lowered = self._trouble is Trouble.LOWERED
        # A lowered limit is enforced one window after the change.
        first = bisect_left(times, EVENT_SECONDS + WINDOW_SECONDS) if lowered else 0
        maximum = max(window_sums(self._admitted[first:], WINDOW_SECONDS), default=0.0)
        return maximum * (3.0 if lowered else 1.0)


def _request(tokens: int) -> ExchangeRequest:
    return ExchangeRequest(b"POST", b"/", "", [], b"", "id", "", None, "", "m", (), tokens, 0, 0.0)


def compare_limit_strategies(sizes: list[int], seed: int) -> list[LimitFigures]:
    """Results of each strategy under each disturbance.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws; requests are the same for each strategy.
    """
    return [
        LimitModel(strategy, trouble, size, seed).run()
        for size in sizes
        for trouble in Trouble
        for strategy in Strategy
    ]
