"""Model that compares strategies of gateways while servers request a back-off.

Requests arrive at random gateways, which choose a server at random among the eligible ones. The
production code tracks the back-offs at each gateway; only requests and servers are simulated. A
refused client retries once, at the time that it was given, unless that is too late.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from enum import Enum
from itertools import count

import msgspec

from milletcourse.exchange.limits.back_off_retry import back_off_retry_seconds
from milletcourse.exchange.load.server_signals import ServerSignals

SERVERS = 8
USUAL_REQUESTS_PER_SECOND = 12.0
"""Usual requests per second to one server."""
BACKOFF_SECONDS = 3.0
OVERLOAD_START_SECONDS = 10.0
OVERLOAD_SECONDS = 8.0
RUN_SECONDS = 40.0
MAX_WAIT_SECONDS = 5.0
"""Longest retry delay that clients accept: a third of a deadline of 15 s."""
SHED_FACTOR = 2.0
"""A server that sheds load rejects requests above this multiple of its usual rate."""
USUAL_RETRY_SECONDS = (0.2, 0.6)
MAX_SERVERS_PER_TRY = 2
"""Servers to which one request is sent per try of its client."""
QUORUM_GATEWAYS = 3
"""A back-off requested from this many gateways applies to all of them."""
REPORT_DELAY_SECONDS = 0.2
"""Delay until a report reaches the other gateways."""
PRIORITY_RANKS = (0, 3, 6)
MAX_PROBES = 2


class BackoffStrategy(Enum):
    """Reaction of gateways to a back-off requested by a server."""

    IGNORE_WHEN_ALL = "others first, then all the same"
    """A server that backs off is used only if no other is left."""
    HONOUR = "heed"
    """The server is not used; clients retry as after any refusal."""
    PROBE = "heed, two probes"
    """The server gets two probes per back-off; an answer ends the back-off at this gateway."""
    SHARED_AS_LOAD = "heed, told as a sign of load"
    """Other gateways use the server last during its back-off."""
    SPREAD_RETRIES = "heed, returns spread"
    """The server is not used; retries are spread over one back-off time, urgent clients first."""
    SHARED_BAN = "told as a ban, returns spread"
    """A back-off requested from one gateway applies to all gateways."""
    QUORUM_BAN = "told by several as a ban, returns spread"
    """A back-off requested from several gateways applies to all gateways."""
    STAGGERED = "told by several, gateways return by turns"
    """As `QUORUM_BAN`, but each gateway resumes after a delay of its own."""


_REPORTS_REQUIRED = {
    BackoffStrategy.SHARED_AS_LOAD: 1,
    BackoffStrategy.SHARED_BAN: 1,
    BackoffStrategy.QUORUM_BAN: QUORUM_GATEWAYS,
    BackoffStrategy.STAGGERED: QUORUM_GATEWAYS,
}
"""Number of gateways that must report a back-off, for strategies that share reports."""


class Overload(Enum):
    """Which servers reject requests, and for how long."""

    ONE = "one server for 8 s"
    ALL = "all servers for 8 s"
    BY_LOAD = "all for 8 s, then above twice the usual rate"
    ONE_GATEWAY = "all servers, of one gateway, for 8 s"


class BackoffFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        way: Strategy of the gateways.
        need: Which servers were overloaded.
        gateways: Number of gateways.
        served: Share of clients that were served at their first or second try.
        urgent_served: The same share among the most urgent clients.
        at_first: Share of clients that were served at their first try.
        turned_away: Requests rejected by servers, per client.
        sent_in_a_rest: Most requests that one gateway sent during one back-off.
        worst_second: Peak rate at a server after the overload, relative to the usual rate.
        second_rests: Back-offs requested after the overload had ended.
    """

    way: BackoffStrategy
    need: Overload
    gateways: int
    served: float
    urgent_served: float
    at_first: float
    turned_away: float
    sent_in_a_rest: int
    worst_second: float
    second_rests: int


class _Caller(msgspec.Struct):
    rank: int
    tries: int = 0
    served_at_try: int = 0


class _Server:
    def __init__(self) -> None:
        self.arrivals: deque[float] = deque()
        self.max_in_second = 0

    def accepts(self, now: float, overload: Overload, is_overloaded: bool) -> bool:
        """Record a request and return whether the server accepts it."""
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1.0:
            self.arrivals.popleft()
        if OVERLOAD_START_SECONDS <= now < OVERLOAD_START_SECONDS + OVERLOAD_SECONDS:
            return not is_overloaded
        if now >= OVERLOAD_START_SECONDS + OVERLOAD_SECONDS:
            self.max_in_second = max(self.max_in_second, len(self.arrivals))
            return (
                overload is not Overload.BY_LOAD
                or len(self.arrivals) <= SHED_FACTOR * USUAL_REQUESTS_PER_SECOND
            )
        return True


class BackoffModel:
    """One run: gateways in front of servers, of which some or all request a back-off."""

    def __init__(
        self, strategy: BackoffStrategy, overload: Overload, gateways: int, seed: int
    ) -> None:
        """Initialise a run.

        Args:
            strategy: Strategy of the gateways.
            overload: Which servers are overloaded.
            gateways: Number of gateways.
            seed: Seed of all random draws; clients are the same for each strategy.
        """
        self._strategy = strategy
        self._overload = overload
        self._callers_random = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._signals = [ServerSignals() for _ in range(gateways)]
        self._servers = [_Server() for _ in range(SERVERS)]
        self._gateway_delays = [self._random.random() * BACKOFF_SECONDS for _ in range(gateways)]
        self._reported: list[dict[int, tuple[float, float]]] = [{} for _ in range(SERVERS)]
        self._probes: Counter[tuple[int, int, float]] = Counter()
        self._sent_in_back_off: Counter[tuple[int, int, float]] = Counter()
        self._events: list[tuple[float, int, _Caller]] = []
        self._order = count()
        self._callers: list[_Caller] = []
        self._rejected = 0
        self._repeated_back_offs = 0

    def run(self) -> BackoffFigures:
        """Run the simulation."""
        self._draw_callers()
        while self._events:
            now, _, caller = heapq.heappop(self._events)
            self._handle_request(caller, now)
        return self._figures()

    def _draw_callers(self) -> None:
        now = 0.0
        while now < RUN_SECONDS:
            now += self._callers_random.expovariate(SERVERS * USUAL_REQUESTS_PER_SECOND)
            caller = _Caller(self._callers_random.choice(PRIORITY_RANKS))
            self._callers.append(caller)
            heapq.heappush(self._events, (now, next(self._order), caller))

    def _handle_request(self, caller: _Caller, now: float) -> None:
        caller.tries += 1
        gateway = self._random.randrange(len(self._signals))
        asked: list[int] = []
        for _ in range(MAX_SERVERS_PER_TRY):
            server = self._choose(gateway, asked, now)
            if server is None:
                break
            asked.append(server)
            if self._send(gateway, server, now):
                caller.served_at_try = caller.tries
                return
        self._refuse(caller, gateway, now)

    def _choose(self, gateway: int, asked: list[int], now: float) -> int | None:
        signals = self._signals[gateway]
        left = [server for server in range(SERVERS) if server not in asked]
        free = [server for server in left if signals.signal(server, now) is None]
        unaffected = [server for server in free if not self._is_reported(gateway, server, now)]
        if self._strategy in (
            BackoffStrategy.SHARED_BAN,
            BackoffStrategy.QUORUM_BAN,
            BackoffStrategy.STAGGERED,
        ):
            return self._random.choice(unaffected) if unaffected else None
        if unaffected or free:
            return self._random.choice(unaffected or free)
        if self._strategy is BackoffStrategy.IGNORE_WHEN_ALL and left:
            return self._random.choice(left)
        if self._strategy is BackoffStrategy.PROBE:
            return next((server for server in left if self._may_probe(gateway, server, now)), None)
        return None

    def _is_reported(self, gateway: int, server: int, now: float) -> bool:
        if self._strategy not in _REPORTS_REQUIRED:
            return False
        delay_seconds = (
            self._gateway_delays[gateway] if self._strategy is BackoffStrategy.STAGGERED else 0.0
        )
        back_offs = self._reported[server].values()
        reporting = sum(begin <= now < end + delay_seconds for begin, end in back_offs)
        return reporting >= _REPORTS_REQUIRED[self._strategy]

    def _back_off_end(self, gateway: int, server: int, now: float) -> float:
        own = self._own_back_off_end(gateway, server)
        if own > now or not self._is_reported(gateway, server, now):
            return own
        delay_seconds = (
            self._gateway_delays[gateway] if self._strategy is BackoffStrategy.STAGGERED else 0.0
        )
        return delay_seconds + max(
            end for begin, end in self._reported[server].values() if begin <= now
        )

    def _own_back_off_end(self, gateway: int, server: int) -> float:
        """End of the latest back-off that a server requested; minus infinity if none."""
        known = self._signals[gateway].record(server)
        return known.back_off_until if known is not None else float("-inf")

    def _end_back_off(self, gateway: int, server: int, now: float) -> None:
        """End a back-off early, because a probe was answered."""
        known = self._signals[gateway].record(server)
        assert known is not None
        known.back_off_until = now

    def _may_probe(self, gateway: int, server: int, now: float) -> bool:
        end = self._own_back_off_end(gateway, server)
        done = self._probes[gateway, server, end]
        return done < MAX_PROBES and now >= end - BACKOFF_SECONDS * (MAX_PROBES - done) / (
            MAX_PROBES + 1
        )

    def _send(self, gateway: int, server: int, now: float) -> bool:
        signals = self._signals[gateway]
        end = self._own_back_off_end(gateway, server)
        if now < end:
            self._sent_in_back_off[gateway, server, end] += 1
            self._probes[gateway, server, end] += 1
        is_overloaded = self._overload is not Overload.ONE or server == 0
        if self._overload is Overload.ONE_GATEWAY:
            is_overloaded = gateway == 0
        if self._servers[server].accepts(now, self._overload, is_overloaded):
            if now < end:
                self._end_back_off(gateway, server, now)
            return True
        self._rejected += 1
        self._repeated_back_offs += now >= OVERLOAD_START_SECONDS + OVERLOAD_SECONDS
        signals.on_back_off(server, BACKOFF_SECONDS, now)
        self._reported[server][gateway] = (now + REPORT_DELAY_SECONDS, now + BACKOFF_SECONDS)
        return False

    def _refuse(self, caller: _Caller, gateway: int, now: float) -> None:
        if caller.tries > 1:
            return
        ends = [self._back_off_end(gateway, server, now) for server in range(SERVERS)]
        left = max(min(ends) - now, 0.0)
        if self._strategy in (
            BackoffStrategy.SPREAD_RETRIES,
            BackoffStrategy.SHARED_BAN,
            BackoffStrategy.QUORUM_BAN,
            BackoffStrategy.STAGGERED,
        ):
            seconds = back_off_retry_seconds(
                left, BACKOFF_SECONDS, caller.rank, self._random.random()
            )
        else:
            seconds = left + self._random.uniform(*USUAL_RETRY_SECONDS)
        seconds = min(seconds, MAX_WAIT_SECONDS)
        heapq.heappush(self._events, (now + seconds, next(self._order), caller))

    def _figures(self) -> BackoffFigures:
        callers = self._callers
        urgent = [caller for caller in callers if caller.rank == PRIORITY_RANKS[0]]
        return BackoffFigures(
            way=self._strategy,
            need=self._overload,
            gateways=len(self._signals),
            served=_share(sum(bool(caller.served_at_try) for caller in callers), len(callers)),
            urgent_served=_share(sum(bool(item.served_at_try) for item in urgent), len(urgent)),
            at_first=_share(sum(item.served_at_try == 1 for item in callers), len(callers)),
            turned_away=_share(self._rejected, len(callers)),
            sent_in_a_rest=max(self._sent_in_back_off.values(), default=0),
            worst_second=round(
                max(server.max_in_second for server in self._servers) / USUAL_REQUESTS_PER_SECOND, 2
            ),
            second_rests=self._repeated_back_offs,
        )


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4)


def compare_backoffs(sizes: list[int], seed: int) -> list[BackoffFigures]:
    """Results of each strategy under each overload.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws.
    """
    return [
        BackoffModel(strategy, overload, size, seed).run()
        for size in sizes
        for overload in Overload
        for strategy in BackoffStrategy
    ]
