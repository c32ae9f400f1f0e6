"""Compares ways to contain requests that end servers, in a small model of a fleet.

Each gateway runs the product's own evidence and messages; servers, callers and the network are made
up. Innocent work runs beside: streams of a caller's own content, and popular requests that many
callers share. It is cut by each end of a server, and half of it comes again.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from enum import Enum
from functools import partial

import msgspec

from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.load.load_exchange import TICK_SECONDS, LoadExchange
from milletcourse.experiments.containment_strategies import Way, rule_of

ZONES = 3
GATEWAYS_A_SERVER = 1.6
"""As in the fleets that run today: 79 gateways before 45 servers."""
SERVER_DOWN_SECONDS = 3.5
CRASH_SECONDS = 0.1
"""From the begin of a request to the end of its server."""
RUNNING_A_SERVER = 6
STREAM_SECONDS = 2.0
"""Mean time of an innocent stream."""
POPULAR_SHARE = 0.2
POPULAR_REQUESTS = 5
COMES_AGAIN_SHARE = 0.5
"""Innocent work that was cut and is sent again."""
COMES_AGAIN_SECONDS = 0.3
TOUCH_SECONDS = 4.0
"""Sends count as late this long after the third end."""
REPEAT_SECONDS = (0.3, 2.0)
"""A caller whose request ended a server comes again after so long."""
AT_ONCE_SECONDS = (0.02, 0.1)
"""Some callers repeat at once."""
WARM_SECONDS = 2.0
RUN_SECONDS = 20.0
EVENT_SECONDS = (5.0, 7.0, 9.0)
"""When crashes that nobody caused, cuts or restarts happen."""
EVENT_CRASH_SHARE = 0.2
CUT_SECONDS = 4.0
RATE_WINDOW_SECONDS = 10.0
"""The rate of all ends is taken over this time."""
MAX_TRIES = 4
"""Servers that an innocent request is sent to, its client's own repeats included."""
FIRST_INNOCENT = 1_000


class Trouble(Enum):
    """What happens beside."""

    CALM = "calm"
    AT_ONCE = "repeated at once"
    CRASHES = "a fifth of the servers crashes, three times"
    CUT = "a third of the gateways cut off"
    LOSS = "a tenth of the messages lost"
    RESTARTS = "half of the gateways restarted, three times"


class ContainmentFigures(msgspec.Struct, frozen=True):
    """What one play gave.

    Attributes:
        way: How requests were judged.
        trouble: What happened beside.
        gateways: How many.
        crashing: Requests that end servers.
        most_ends: Most servers that ended under one of them.
        most_late: Most sends of one of them later than `TOUCH_SECONDS` after its third end.
        innocent_cut: Innocent requests that a server's end cut, in 1,000.
        innocent_refused: Innocent requests that were refused, in 1,000.
        seconds_to_know: Longest time from a third end until all gateways refuse; -1 for never.
    """

    way: Way
    trouble: Trouble
    gateways: int
    crashing: int
    most_ends: int
    most_late: int
    innocent_cut: float
    innocent_refused: float
    seconds_to_know: float


class _Server:
    def __init__(self, number: int) -> None:
        self.number = number
        self.incarnation = 0
        self.down_until = 0.0
        self.running: dict[int, _Work] = {}

    @property
    def key(self) -> int:
        return self.number * 10_000 + self.incarnation


class _Work(msgspec.Struct, eq=False):
    identity: int
    gateway: str
    sent_at: float
    tries: int


class _Caller(msgspec.Struct, eq=False):
    identity: int
    pause_seconds: tuple[float, float]
    ends: int = 0
    third_at: float = float("inf")
    late: int = 0
    known_at: float = -1.0


class ContainmentModel:
    """One play of one way."""

    def __init__(self, way: Way, trouble: Trouble, gateways: int, crashing: int, seed: int) -> None:
        """A play.

        Args:
            way: How requests are judged.
            trouble: What happens beside.
            gateways: How many gateways.
            crashing: How many requests end servers, each with one caller.
            seed: Of all that is random.
        """
        self._way = way
        self._trouble = trouble
        self._random = random.Random(seed)
        self._names = [f"gateway-{number:03}" for number in range(gateways)]
        self._servers = [_Server(n) for n in range(max(round(gateways / GATEWAYS_A_SERVER), 5))]
        self._exchanges: dict[str, LoadExchange] = {}
        self._cut: frozenset[str] = frozenset()
        self._now = 100.0
        self._ends: list[float] = []
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._identities = itertools.count(FIRST_INNOCENT)
        self._innocent = self._innocent_cut = self._innocent_refused = 0
        at_once = trouble is Trouble.AT_ONCE
        pause = AT_ONCE_SECONDS if at_once else REPEAT_SECONDS
        self._callers = [_Caller(number, pause) for number in range(crashing)]

    def run(self) -> ContainmentFigures:
        """Play it."""
        started_at = self._now
        for name in self._names:
            self._start(name)
        for caller in self._callers:
            self._at(WARM_SECONDS + self._random.random(), partial(self._call, caller))
        for _ in range(RUNNING_A_SERVER * len(self._servers)):
            self._at(self._random.uniform(0.0, STREAM_SECONDS), self._ask)
        for seconds in EVENT_SECONDS:
            self._at(seconds, self._trouble_comes)
        while self._now < started_at + RUN_SECONDS:
            self._advance()
        return self._figures()

    # -- time and messages ----------------------------------------------------------------------

    def _at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (self._now + seconds, next(self._order), action))

    def _advance(self) -> None:
        """One tick of all gateways, and what comes due before it."""
        until = self._now + TICK_SECONDS
        while self._agenda and self._agenda[0][0] <= until:
            self._now, _, action = heapq.heappop(self._agenda)
            action()
        self._now = until
        for name in self._names:
            self._tick(name)
        self._note_known()

    def _tick(self, name: str) -> None:
        index = self._names.index(name)
        reader = self._names[index % ZONES]
        sent = self._exchanges[name].tick(self._now, [], "" if reader == name else reader)
        for outgoing in sent:
            for receiver in outgoing.receivers:
                lost = self._trouble is Trouble.LOSS and self._random.random() < 0.1
                if not lost and not {name, receiver} & self._cut:
                    self._exchanges[receiver].on_message(outgoing.message, self._now)

    def _start(self, name: str) -> None:
        evidence = CrashEvidence(rule_of(self._way, self._ends_a_second))
        exchange = self._exchanges[name] = LoadExchange(name, evidence)
        others = [other for other in self._names if other != name]
        exchange.set_gateways(others, [other for other in self._names[:ZONES] if other != name])

    def _ends_a_second(self) -> float:
        """Ends of one server in a second, of late."""
        recent = [at for at in self._ends if self._now - at < RATE_WINDOW_SECONDS]
        return len(recent) / RATE_WINDOW_SECONDS / len(self._servers)

    def _note_known(self) -> None:
        for caller in self._callers:
            if caller.known_at >= 0.0 or caller.third_at > self._now:
                continue
            if all(self._contains(name, caller.identity) for name in self._names):
                caller.known_at = self._now

    # -- what happens beside --------------------------------------------------------------------

    def _trouble_comes(self) -> None:
        if self._trouble is Trouble.CRASHES:
            share = max(round(EVENT_CRASH_SHARE * len(self._servers)), 1)
            for server in self._random.sample(self._servers, share):
                self._crash(server)
        elif self._trouble is Trouble.CUT and not self._cut:
            self._cut = frozenset(self._names[:: ZONES + 1]) | frozenset(self._names[1::12])
            self._at(CUT_SECONDS, self._heal)
        elif self._trouble is Trouble.RESTARTS:
            for name in self._random.sample(self._names, len(self._names) // 2):
                self._start(name)

    def _heal(self) -> None:
        self._cut = frozenset()

    # -- requests -------------------------------------------------------------------------------

    def _contains(self, gateway: str, identity: int) -> bool:
        return self._exchanges[gateway].evidence.containment(identity, self._now) is not None

    def _choose(self, gateway: str, identity: int) -> _Server | None:
        """A server for a request; None when there is none that it may go to."""
        servers = self._servers
        if self._way is Way.ISOLATION:
            suspected = self._exchanges[gateway].evidence.crash_count(identity) > 0
            servers = servers[:1] if suspected else servers[1:]
        live = [server for server in servers if server.down_until <= self._now]
        if self._way is Way.ISOLATION and len(servers) == 1:
            live = [server for server in live if len(server.running) < 2 * RUNNING_A_SERVER]
        return self._random.choice(live) if live else None

    def _call(self, caller: _Caller) -> None:
        """A caller's request that ends servers."""
        gateway = self._random.choice(self._names)
        again = self._random.uniform(*caller.pause_seconds)
        server = None
        if not self._contains(gateway, caller.identity):
            server = self._choose(gateway, caller.identity)
        if server is None:
            self._at(again, lambda: self._call(caller))
            return
        caller.late += self._now > caller.third_at + TOUCH_SECONDS
        work = _Work(caller.identity, gateway, self._now, 1)
        server.running[id(work)] = work
        self._at(CRASH_SECONDS, lambda: self._end_under(caller, server, work))
        self._at(CRASH_SECONDS + again, lambda: self._call(caller))

    def _end_under(self, caller: _Caller, server: _Server, work: _Work) -> None:
        if id(work) not in server.running:
            return
        caller.ends += 1
        if caller.ends == 3:
            caller.third_at = self._now
        self._crash(server)

    def _crash(self, server: _Server) -> None:
        """A server ends with all that it has."""
        if server.down_until > self._now:
            return
        self._ends.append(self._now)
        running, server.running = list(server.running.values()), {}
        key = server.key
        server.incarnation += 1
        server.down_until = self._now + SERVER_DOWN_SECONDS
        for work in running:
            exchange = self._exchanges[work.gateway]
            exchange.evidence.on_crash(work.identity, key, work.sent_at, self._now)
            exchange.on_update()
            if work.identity >= FIRST_INNOCENT or work.identity < 0:
                self._cut_innocent(work)

    def _cut_innocent(self, work: _Work) -> None:
        self._innocent_cut += 1
        comes_again = work.tries < MAX_TRIES and self._random.random() < COMES_AGAIN_SHARE
        if not comes_again:
            self._at(COMES_AGAIN_SECONDS, self._ask)
            return
        self._at(COMES_AGAIN_SECONDS, lambda: self._send(work.identity, work.tries + 1))

    def _ask(self) -> None:
        """A new innocent request."""
        self._innocent += 1
        identity = next(self._identities)
        if self._random.random() < POPULAR_SHARE:
            identity = -1 - self._random.randrange(POPULAR_REQUESTS)
        self._send(identity, 1)

    def _send(self, identity: int, tries: int) -> None:
        gateway = self._random.choice(self._names)
        server = None
        if not self._contains(gateway, identity):
            server = self._choose(gateway, identity)
        if server is None:
            self._innocent_refused += 1
            self._at(COMES_AGAIN_SECONDS, self._ask)
            return
        work = _Work(identity, gateway, self._now, tries)
        server.running[id(work)] = work
        seconds = self._random.expovariate(1 / STREAM_SECONDS)
        self._at(seconds, lambda: self._answer(server, work))

    def _answer(self, server: _Server, work: _Work) -> None:
        if server.running.pop(id(work), None) is None:
            return
        if self._way is not Way.COUNT:
            exchange = self._exchanges[work.gateway]
            if exchange.evidence.on_answer(work.identity, self._now):
                exchange.on_update()
        self._ask()

    # -- figures --------------------------------------------------------------------------------

    def _figures(self) -> ContainmentFigures:
        known = [caller.known_at - caller.third_at for caller in self._callers if caller.ends >= 3]
        is_known = bool(known) and min(known) >= 0.0
        thousands = self._innocent / 1000
        return ContainmentFigures(
            way=self._way,
            trouble=self._trouble,
            gateways=len(self._names),
            crashing=len(self._callers),
            most_ends=max((caller.ends for caller in self._callers), default=0),
            most_late=max((caller.late for caller in self._callers), default=0),
            innocent_cut=round(self._innocent_cut / thousands, 1),
            innocent_refused=round(self._innocent_refused / thousands, 1),
            seconds_to_know=round(max(known), 2) if is_known else -1.0,
        )


def compare_containment(
    sizes: list[int], crashing: list[int], seed: int
) -> list[ContainmentFigures]:
    """Each way under each trouble, on the same seeds.

    Args:
        sizes: Numbers of gateways.
        crashing: Numbers of requests that end servers.
        seed: Of all that is random.
    """
    return [
        ContainmentModel(way, trouble, size, count, seed).run()
        for size in sizes
        for count in crashing
        for trouble in Trouble
        for way in Way
    ]
