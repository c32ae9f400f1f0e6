"""Compares what gateways may do while servers ask for rest, in a small model.

Requests come at random to gateways, which choose a server at random among those that they may ask.
What a gateway knows of rests is kept by the product's own core; only requests and servers are made
up. Callers that are refused come back once, when they were told to, if that isn't too late.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from enum import Enum
from itertools import count

import msgspec

from milletcourse.exchange.limits.backoff_retry import backoff_retry_seconds
from milletcourse.exchange.load.server_signals import ServerSignals

SERVERS = 8
USUAL_PER_SERVER = 12.0
"""Requests a second to a server on a calm day."""
REST_SECONDS = 3.0
NEED_BEGINS = 10.0
NEED_SECONDS = 8.0
RUN_SECONDS = 40.0
LONGEST_WAIT_SECONDS = 5.0
"""Callers heed no longer time: a third of a deadline of 15 s."""
SHED_ABOVE = 2.0
"""A server that sheds by load turns requests away above this many times its usual rate."""
USUAL_RETRY = (0.2, 0.6)
MAX_ASKED = 2
"""Servers that one request is sent to."""
SEVERAL_GATEWAYS = 3
"""A server that asked so many gateways for rest means all of them."""
TOLD_AFTER_SECONDS = 0.2
"""Gateways hear of each other after this time."""
RANKS = (0, 3, 6)
PROBES = 2


class RestWay(Enum):
    """What gateways do with a rest that a server asked for."""

    ASK_ANYWAY = "others first, then all the same"
    """As before: a resting server is asked when no other is left."""
    HEED = "heed"
    """It isn't asked; callers come back as after any refusal."""
    PROBE = "heed, two probes"
    """It is, twice in its rest; an answer ends the rest here."""
    TOLD = "heed, told as a sign of load"
    """Other gateways ask it last while its rest lasts."""
    SPREAD = "heed, returns spread"
    """It isn't asked; callers come back over as long as the rest took, the urgent first."""
    BAN = "told as a ban, returns spread"
    """What one gateway was asked for holds for all."""
    SEVERAL = "told by several as a ban, returns spread"
    """What several gateways were asked for holds for all."""
    STAGGERED = "told by several, gateways return by turns"
    """The same, and each gateway asks again at a moment of its own after the rest."""


_TOLD_WAYS = {
    RestWay.TOLD: 1,
    RestWay.BAN: 1,
    RestWay.SEVERAL: SEVERAL_GATEWAYS,
    RestWay.STAGGERED: SEVERAL_GATEWAYS,
}
"""Ways in which gateways tell each other, and how many have to."""


class Need(Enum):
    """Which servers turn requests away, and until when."""

    ONE = "one server for 8 s"
    ALL = "all servers for 8 s"
    BY_LOAD = "all for 8 s, then above twice the usual rate"
    ONE_GATEWAY = "all servers, of one gateway, for 8 s"


class RestFigures(msgspec.Struct, frozen=True):
    """What one play gave.

    Attributes:
        way: What gateways did.
        need: Which servers were in need.
        gateways: How many.
        served: Share of callers that were served, at their first or second try.
        urgent_served: The same of the most urgent ones.
        at_first: Share that was served at its first try.
        turned_away: Requests that servers turned away, for each caller.
        sent_in_a_rest: Most requests of one gateway in one rest.
        worst_second: Most requests to a server in a second after the need, against the usual rate.
        second_rests: Rests that servers asked for after the need had ended.
    """

    way: RestWay
    need: Need
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
        self.worst = 0

    def takes(self, now: float, need: Need, is_needy: bool) -> bool:
        """Whether it serves a request that reaches it."""
        self.arrivals.append(now)
        while self.arrivals[0] <= now - 1.0:
            self.arrivals.popleft()
        if NEED_BEGINS <= now < NEED_BEGINS + NEED_SECONDS:
            return not is_needy
        if now >= NEED_BEGINS + NEED_SECONDS:
            self.worst = max(self.worst, len(self.arrivals))
            return need is not Need.BY_LOAD or len(self.arrivals) <= SHED_ABOVE * USUAL_PER_SERVER
        return True


class RestModel:
    """Gateways before servers of which some, or all, ask for rest."""

    def __init__(self, way: RestWay, need: Need, gateways: int, seed: int) -> None:
        """A play.

        Args:
            way: What gateways do.
            need: Which servers are in need.
            gateways: How many gateways.
            seed: Of all that is random; the same callers for each way.
        """
        self._way = way
        self._need = need
        self._callers_random = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._signals = [ServerSignals() for _ in range(gateways)]
        self._servers = [_Server() for _ in range(SERVERS)]
        self._turns = [self._random.random() * REST_SECONDS for _ in range(gateways)]
        self._told: list[dict[int, tuple[float, float]]] = [{} for _ in range(SERVERS)]
        self._probes: Counter[tuple[int, int, float]] = Counter()
        self._in_rest: Counter[tuple[int, int, float]] = Counter()
        self._events: list[tuple[float, int, _Caller]] = []
        self._order = count()
        self._callers: list[_Caller] = []
        self._turned_away = 0
        self._second_rests = 0

    def run(self) -> RestFigures:
        """Play it."""
        self._draw_callers()
        while self._events:
            now, _, caller = heapq.heappop(self._events)
            self._ask(caller, now)
        return self._figures()

    def _draw_callers(self) -> None:
        now = 0.0
        while now < RUN_SECONDS:
            now += self._callers_random.expovariate(SERVERS * USUAL_PER_SERVER)
            caller = _Caller(self._callers_random.choice(RANKS))
            self._callers.append(caller)
            heapq.heappush(self._events, (now, next(self._order), caller))

    def _ask(self, caller: _Caller, now: float) -> None:
        caller.tries += 1
        gateway = self._random.randrange(len(self._signals))
        asked: list[int] = []
        for _ in range(MAX_ASKED):
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
        calm = [server for server in free if not self._is_told(gateway, server, now)]
        if self._way in (RestWay.BAN, RestWay.SEVERAL, RestWay.STAGGERED):
            return self._random.choice(calm) if calm else None
        if calm or free:
            return self._random.choice(calm or free)
        if self._way is RestWay.ASK_ANYWAY and left:
            return self._random.choice(left)
        if self._way is RestWay.PROBE:
            return next((server for server in left if self._may_probe(gateway, server, now)), None)
        return None

    def _is_told(self, gateway: int, server: int, now: float) -> bool:
        if self._way not in _TOLD_WAYS:
            return False
        late = self._turns[gateway] if self._way is RestWay.STAGGERED else 0.0
        rests = self._told[server].values()
        telling = sum(begin <= now < end + late for begin, end in rests)
        return telling >= _TOLD_WAYS[self._way]

    def _rest_end(self, gateway: int, server: int, now: float) -> float:
        own = self._own_rest_end(gateway, server)
        if own > now or not self._is_told(gateway, server, now):
            return own
        late = self._turns[gateway] if self._way is RestWay.STAGGERED else 0.0
        return late + max(end for begin, end in self._told[server].values() if begin <= now)

    def _own_rest_end(self, gateway: int, server: int) -> float:
        """End of the latest rest that a server asked a gateway for; minus infinity for none."""
        known = self._signals[gateway].record(server)
        return known.back_off_until if known is not None else float("-inf")

    def _end_rest(self, gateway: int, server: int, now: float) -> None:
        """A probe was answered."""
        known = self._signals[gateway].record(server)
        assert known is not None
        known.back_off_until = now

    def _may_probe(self, gateway: int, server: int, now: float) -> bool:
        end = self._own_rest_end(gateway, server)
        done = self._probes[gateway, server, end]
        return done < PROBES and now >= end - REST_SECONDS * (PROBES - done) / (PROBES + 1)

    def _send(self, gateway: int, server: int, now: float) -> bool:
        signals = self._signals[gateway]
        end = self._own_rest_end(gateway, server)
        if now < end:
            self._in_rest[gateway, server, end] += 1
            self._probes[gateway, server, end] += 1
        is_needy = self._need is not Need.ONE or server == 0
        if self._need is Need.ONE_GATEWAY:
            is_needy = gateway == 0
        if self._servers[server].takes(now, self._need, is_needy):
            if now < end:
                self._end_rest(gateway, server, now)
            return True
        self._turned_away += 1
        self._second_rests += now >= NEED_BEGINS + NEED_SECONDS
        signals.on_back_off(server, REST_SECONDS, now)
        self._told[server][gateway] = (now + TOLD_AFTER_SECONDS, now + REST_SECONDS)
        return False

    def _refuse(self, caller: _Caller, gateway: int, now: float) -> None:
        if caller.tries > 1:
            return
        ends = [self._rest_end(gateway, server, now) for server in range(SERVERS)]
        left = max(min(ends) - now, 0.0)
        if self._way in (RestWay.SPREAD, RestWay.BAN, RestWay.SEVERAL, RestWay.STAGGERED):
            seconds = backoff_retry_seconds(left, REST_SECONDS, caller.rank, self._random.random())
        else:
            seconds = left + self._random.uniform(*USUAL_RETRY)
        seconds = min(seconds, LONGEST_WAIT_SECONDS)
        heapq.heappush(self._events, (now + seconds, next(self._order), caller))

    def _figures(self) -> RestFigures:
        callers = self._callers
        urgent = [caller for caller in callers if caller.rank == RANKS[0]]
        return RestFigures(
            way=self._way,
            need=self._need,
            gateways=len(self._signals),
            served=_share(sum(bool(caller.served_at_try) for caller in callers), len(callers)),
            urgent_served=_share(sum(bool(item.served_at_try) for item in urgent), len(urgent)),
            at_first=_share(sum(item.served_at_try == 1 for item in callers), len(callers)),
            turned_away=_share(self._turned_away, len(callers)),
            sent_in_a_rest=max(self._in_rest.values(), default=0),
            worst_second=round(max(server.worst for server in self._servers) / USUAL_PER_SERVER, 2),
            second_rests=self._second_rests,
        )


def _share(part: int, whole: int) -> float:
    return round(part / whole, 4)


def compare_rests(sizes: list[int], seed: int) -> list[RestFigures]:
    """Figures of each way at each need.

    Args:
        sizes: Numbers of gateways.
        seed: Of all that is random.
    """
    return [
        RestModel(way, need, size, seed).run() for size in sizes for need in Need for way in RestWay
    ]
