"""Model that compares ways to keep servers from rejecting more requests than they bear.

Many gateways share servers with few slots and no queue. A server that rejects more requests in a
second than it announces crashes for a while. Leases are granted by the production code; requests,
delays and disturbances are simulated.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from itertools import count

import msgspec

from milletcourse.exchange.limits.lease_book import LeaseBook
from milletcourse.exchange.limits.quota_owner import OwnerRole
from milletcourse.exchange.limits.slot_owner import REPORT_SECONDS, SlotOwner
from milletcourse.exchange.messages.slot_messages import HeldLeases, LeaseEnd, SlotDemand

SERVERS = 8
SLOTS = 6
WORK_SECONDS = 0.2
"""Mean; single requests take half to one and a half of it."""
MESSAGE_SECONDS = 0.001
"""Delay of a message or a request to another machine."""
CRASHED_SECONDS = 1.0
KEEP_AWAY_SECONDS = 0.15
TOLD_SECONDS = 0.2
RUN_SECONDS = 20.0
MAX_TRIES = 8
RESTART_SECONDS = 5.0
"""Interval in which all owners lose what they know, with `Trouble.OWNERS_RESTART`."""
DIFFERENT_LISTS_SHARE = 0.2


class Strategy(Enum):
    """How gateways treat servers that reject requests."""

    KEEP_AWAY = "each keeps away for a moment"
    TOLD_LOAD = "slots by the load that gateways exchange"
    LEASES = "slots leased from one owner"


class Trouble(Enum):
    """Disturbance of the gateways."""

    NONE = "none"
    OWNERS_RESTART = "all owners restart every 5 s"
    LISTS = "a fifth of the gateways ask another owner"


class BrittleServerFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        strategy: How rejections were avoided.
        trouble: Injected disturbance.
        gateways: Number of gateways.
        demand: Requests, as a share of those that the servers can run.
        borne: Rejections per second that each server bears.
        crashes: Crashes of servers.
        rejections: Rejections per second and server.
        used: Share of the slots that were used.
        messages: Messages between gateways for each request.
    """

    strategy: Strategy
    trouble: Trouble
    gateways: int
    demand: float
    borne: float
    crashes: int
    rejections: float
    used: float
    messages: float


class _Server:
    def __init__(self) -> None:
        self.running = 0
        self.recent: deque[float] = deque()
        self.down_until = 0.0
        self.starts = 0

    def rejects(self, borne: float, now: float) -> bool:
        """Record a rejection; returns whether the server crashes of it."""
        self.recent.append(now)
        while now - self.recent[0] > 1.0:
            self.recent.popleft()
        return len(self.recent) > borne

    def crash(self, now: float) -> None:
        self.running = 0
        self.starts += 1
        self.recent.clear()
        self.down_until = now + CRASHED_SECONDS


class BrittleServerModel:
    """One run: gateways and servers under steady demand."""

    def __init__(
        self,
        strategy: Strategy,
        trouble: Trouble,
        gateways: int,
        demand: float,
        borne: float,
        seed: int,
    ) -> None:
        """Initialise a run; arguments as in `BrittleServerFigures`, and the seed of all draws."""
        self._strategy = strategy
        self._trouble = trouble
        self._gateways = gateways
        self._demand = demand
        self._borne = borne
        self._random = random.Random(seed)
        self._servers = [_Server() for _ in range(SERVERS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = count()
        self._now = 0.0
        self._away_until: dict[tuple[int, int], float] = {}
        self._told = [0] * SERVERS
        self._sent_since_told: dict[tuple[int, int], int] = {}
        self._books = [LeaseBook(1) for _ in range(gateways)]
        self._owners = [self._new_owner(), self._new_owner()]
        self._crashes = self._rejections = self._requests = self._messages = 0
        self._busy_seconds = 0.0

    def _new_owner(self) -> SlotOwner:
        return SlotOwner(self._random, lambda key: 0 if self._now == 0.0 else None)

    # -- events ---------------------------------------------------------------------------------

    def run(self) -> BrittleServerFigures:
        """Play the run."""
        self._at(0.0, self._arrive)
        self._at(TOLD_SECONDS, self._tell)
        self._at(REPORT_SECONDS, self._report)
        if self._trouble is Trouble.OWNERS_RESTART:
            self._at(RESTART_SECONDS, self._restart_owners)
        while self._events and self._events[0][0] < RUN_SECONDS:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return BrittleServerFigures(
            self._strategy,
            self._trouble,
            self._gateways,
            self._demand,
            self._borne,
            self._crashes,
            round(self._rejections / SERVERS / RUN_SECONDS, 2),
            round(self._busy_seconds / (SERVERS * SLOTS * RUN_SECONDS), 3),
            round(self._messages / max(self._requests, 1), 2),
        )

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), event))

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        self._at(self._now + seconds, event)

    def _arrive(self) -> None:
        rate = self._demand * SERVERS * SLOTS / WORK_SECONDS
        self._after(self._random.expovariate(rate), self._arrive)
        self._requests += 1
        self._try_next(self._random.randrange(self._gateways), [])

    def _try_next(self, gateway: int, tried: list[int]) -> None:
        """Send a request to the best server that its gateway may use."""
        candidates = [
            server
            for server in range(SERVERS)
            if server not in tried and self._now >= self._away_until.get((gateway, server), 0.0)
        ]
        if not candidates or len(tried) >= MAX_TRIES:
            return
        server = min(
            candidates, key=lambda item: (self._known_load(gateway, item), self._random.random())
        )
        tried.append(server)
        if self._strategy is Strategy.LEASES:
            self._lease(gateway, server, tried)
            return
        if self._strategy is Strategy.TOLD_LOAD and self._known_load(gateway, server) >= SLOTS:
            return
        self._send(gateway, server, tried, 0)

    def _known_load(self, gateway: int, server: int) -> int:
        return self._told[server] + self._sent_since_told.get((gateway, server), 0)

    def _send(self, gateway: int, server: int, tried: list[int], number: int) -> None:
        key = (gateway, server)
        self._sent_since_told[key] = self._sent_since_told.get(key, 0) + 1
        self._after(MESSAGE_SECONDS, lambda: self._reach(gateway, server, tried, number))

    def _reach(self, gateway: int, server: int, tried: list[int], number: int) -> None:
        state = self._servers[server]
        if self._now < state.down_until:
            self._end(gateway, server, number, LeaseEnd.ENDED)
            self._away_until[gateway, server] = self._now + KEEP_AWAY_SECONDS
        elif state.running < SLOTS:
            state.running += 1
            seconds = self._random.uniform(0.5, 1.5) * WORK_SECONDS
            starts = state.starts
            self._after(seconds, lambda: self._finish(gateway, server, number, seconds, starts))
        else:
            self._reject(gateway, server, tried, number)

    def _finish(self, gateway: int, server: int, number: int, seconds: float, starts: int) -> None:
        if self._servers[server].starts == starts:
            self._servers[server].running -= 1
            self._busy_seconds += seconds
        self._end(gateway, server, number, LeaseEnd.ENDED)

    def _reject(self, gateway: int, server: int, tried: list[int], number: int) -> None:
        self._rejections += 1
        if self._servers[server].rejects(self._borne, self._now):
            self._crashes += 1
            self._servers[server].crash(self._now)
        self._away_until[gateway, server] = self._now + KEEP_AWAY_SECONDS
        self._end(gateway, server, number, LeaseEnd.REJECTED)
        self._try_next(gateway, tried)

    def _tell(self) -> None:
        self._after(TOLD_SECONDS, self._tell)
        self._told = [server.running for server in self._servers]
        self._sent_since_told.clear()
        self._messages += self._gateways

    # -- leases ---------------------------------------------------------------------------------

    def _owner_of(self, gateway: int) -> SlotOwner:
        is_other = gateway < DIFFERENT_LISTS_SHARE * self._gateways
        return self._owners[1 if is_other and self._trouble is Trouble.LISTS else 0]

    def _lease(self, gateway: int, server: int, tried: list[int]) -> None:
        book = self._books[gateway]
        number = book.next_number()
        book.open(server, number)
        self._messages += 1
        self._after(MESSAGE_SECONDS, lambda: self._grant(gateway, server, tried, number))

    def _grant(self, gateway: int, server: int, tried: list[int], number: int) -> None:
        self._messages += 1
        reply = self._owner_of(gateway).request_slot(
            server,
            SlotDemand(SLOTS, self._borne),
            OwnerRole.HOME,
            self._gateways,
            str(gateway),
            number,
            0,
            self._now,
        )
        if reply is not None and reply.granted:
            self._after(MESSAGE_SECONDS, lambda: self._send(gateway, server, tried, number))
            return
        self._books[gateway].end(server, number)
        if reply is not None:
            self._away_until[gateway, server] = self._now + reply.retry_seconds
        self._after(MESSAGE_SECONDS, lambda: self._try_next(gateway, tried))

    def _end(self, gateway: int, server: int, number: int, end: LeaseEnd) -> None:
        if number and self._books[gateway].end(server, number):
            self._messages += 1
            self._after(MESSAGE_SECONDS, lambda: self._return(gateway, server, number, end))

    def _return(self, gateway: int, server: int, number: int, end: LeaseEnd) -> None:
        self._owner_of(gateway).on_end(server, str(gateway), number, end, self._now)

    def _report(self) -> None:
        self._after(REPORT_SECONDS, self._report)
        for gateway, book in enumerate(self._books):
            held: list[HeldLeases] = book.due_reports({})
            self._messages += len(held)
            latest = book.latest_number
            self._owner_of(gateway).on_report(str(gateway), latest, held, self._now)

    def _restart_owners(self) -> None:
        self._after(RESTART_SECONDS, self._restart_owners)
        self._owners = [self._new_owner(), self._new_owner()]


def compare_brittle_servers(
    sizes: list[int], demands: list[float], borne: list[float], seed: int
) -> list[BrittleServerFigures]:
    """Results of all strategies, and of leases under all troubles.

    Args:
        sizes: Numbers of gateways.
        demands: Requests, as shares of those that the servers can run.
        borne: Rejections per second that each server bears.
        seed: Seed of all random draws.
    """
    plans = [(strategy, Trouble.NONE) for strategy in Strategy]
    plans += [(Strategy.LEASES, trouble) for trouble in Trouble if trouble is not Trouble.NONE]
    return [
        BrittleServerModel(strategy, trouble, size, demand, limit, seed).run()
        for size in sizes
        for demand in demands
        for limit in borne
        for strategy, trouble in plans
    ]
