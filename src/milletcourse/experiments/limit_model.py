"""Compares ways in which many gateways keep one tenant within its limit, in a small model.

The model runs the product's own accounts and load messages for each gateway, on a clock of its own;
only the requests and the network are made up. Requests reach gateways unevenly, as clients that are
spread by hashing do.
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
"""Tokens a second, with as much again as burst: a large tenant of a fleet of eighty gateways."""
USUAL_SHARE = 1 / 1.8
"""What the tenant usually sends, as a share of its limit."""
HOT_FACTOR = 5.0
"""What it sends when it is hot, against the usual."""
MEAN_TOKENS = 9_000
TOKENS_SIGMA = 0.8
"""Spread of the requests' sizes: the standard deviation of their logarithm."""
WINDOW_SECONDS = 8.0
"""What is admitted is judged in each window of this length."""
TOLERANCE = LimitTolerance(WINDOW_SECONDS, 0.1, LIMIT_PER_SECOND / 3)
"""What may be admitted beyond the limit: 1.137 of a window in all."""
CLIENTS_PER_GATEWAY = 3
"""Clients are spread by hashing, so gateways have uneven numbers of them."""
START_UP_SECONDS = 2.0
"""Gateways are up and know each other when the first requests come."""
WARM_UP_SECONDS = 4.0
"""A hot tenant is hot from here on."""
RUN_SECONDS = 24.0
EVENT_SECONDS = 8.0
"""When cuts, restarts and changes of the limit happen."""
PARTITION_SECONDS = 8.0
DOWN_SECONDS = 0.6
"""A killed gateway is back after this time."""


class Trouble(Enum):
    """What happens to the gateways."""

    USUAL = "usual load"
    HOT = "hot"
    HOT_AND_CUT = "hot, a third cut off"
    HOT_AND_RESTARTED = "hot, all restarted"
    LOWERED = "limit lowered to a third"


class LimitFigures(msgspec.Struct, frozen=True):
    """What one play gave.

    Attributes:
        way: How the limit was shared.
        trouble: What happened.
        gateways: How many.
        over: Most tokens admitted in a window, as a share of rate x window + burst.
        admitted: Tokens admitted, as a share of what one bucket for all would have admitted.
        bytes_a_second: Sent by a gateway on the mean.
    """

    way: Strategy
    trouble: Trouble
    gateways: int
    over: float
    admitted: float
    bytes_a_second: int


class _IdealBucket:
    """One bucket for all gateways, which knows everything at once."""

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
    """One tenant's requests at many gateways."""

    def __init__(self, strategy: Strategy, trouble: Trouble, gateways: int, seed: int) -> None:
        """A play.

        Args:
            way: How the limit is shared.
            trouble: What happens.
            gateways: How many gateways.
            seed: Of all that is random.
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
        """Play it, and judge what was admitted."""
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
        """Most tokens in a window; after a lower limit, as a share that counts against it."""
        times = [at for at, _ in self._admitted]
        lowered = self._trouble is Trouble.LOWERED
        # A lower limit binds one window later.
        first = bisect_left(times, EVENT_SECONDS + WINDOW_SECONDS) if lowered else 0
        maximum = max(window_sums(self._admitted[first:], WINDOW_SECONDS), default=0.0)
        return maximum * (3.0 if lowered else 1.0)


def _request(tokens: int) -> ExchangeRequest:
    return ExchangeRequest(b"POST", b"/", "", [], b"", "id", "", None, "", "m", (), tokens, 0, 0.0)


def compare_limit_strategies(sizes: list[int], seed: int) -> list[LimitFigures]:
    """Figures of each way under each trouble.

    Args:
        sizes: Numbers of gateways.
        seed: Of all that is random; the same requests for each way.
    """
    return [
        LimitModel(strategy, trouble, size, seed).run()
        for size in sizes
        for trouble in Trouble
        for strategy in Strategy
    ]
