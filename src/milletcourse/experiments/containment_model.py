"""Model of a fleet that compares strategies for containing requests that crash servers.

Each gateway runs the production evidence and messages; servers, clients and the network are
simulated. Unrelated requests run at the same time: streams with content of their own, and popular
requests that many clients share. Each crash of a server interrupts them, and half of them are
retried.
"""

from __future__ import annotations

import itertools
import random
from enum import Enum
from functools import partial

import msgspec

from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.request_identity import RequestFeatures
from milletcourse.experiments.containment_strategies import Strategy, containment_rule
from milletcourse.experiments.evidence_fleet import ZONES, EvidenceFleet, ModelServer

GATEWAYS_PER_SERVER = 1.6
"""As in production fleets: 79 gateways for 45 servers."""
SERVER_DOWN_SECONDS = 3.5
CRASH_DELAY_SECONDS = 0.1
"""From the start of a request to the crash of its server."""
RUNNING_PER_SERVER = 6
STREAM_SECONDS = 2.0
"""Mean duration of an unrelated stream."""
POPULAR_SHARE = 0.2
POPULAR_REQUESTS = 5
RETRY_SHARE = 0.5
"""Share of interrupted unrelated requests that are retried."""
RETRY_DELAY_SECONDS = 0.3
LATE_SEND_SECONDS = 4.0
"""A send counts as late this long after the third crash."""
REPEAT_DELAY_SECONDS = (0.3, 2.0)
"""Range of the delay after which a client repeats a request that crashed a server."""
IMMEDIATE_REPEAT_DELAY_SECONDS = (0.02, 0.1)
"""Range of the delay for clients that repeat immediately."""
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 20.0
EVENT_TIMES_SECONDS = (5.0, 7.0, 9.0)
"""Times of spontaneous crashes, partitions and restarts."""
EVENT_CRASH_SHARE = 0.2
PARTITION_SECONDS = 4.0
MESSAGE_LOSS = 0.1
RATE_WINDOW_SECONDS = 10.0
"""The rate of all crashes is measured over this time."""
MAX_ATTEMPTS = 4
"""Attempts of an unrelated request, including the retries of its client."""
FIRST_UNRELATED_IDENTITY = 1_000


class Trouble(Enum):
    """Disturbance during the run."""

    CALM = "calm"
    AT_ONCE = "repeated at once"
    CRASHES = "a fifth of the servers crashes, three times"
    CUT = "a third of the gateways cut off"
    LOSS = "a tenth of the messages lost"
    RESTARTS = "half of the gateways restarted, three times"


class ContainmentFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        way: Strategy that judged the requests.
        trouble: Injected disturbance.
        gateways: Number of gateways.
        crashing: Number of requests that crash servers.
        most_ends: Most servers crashed by one of them.
        most_late: Most sends of one of them later than `LATE_SEND_SECONDS` after its third crash.
        innocent_cut: Unrelated requests interrupted by a crash, per 1,000.
        innocent_refused: Unrelated requests that were refused, per 1,000.
        seconds_to_know: Longest time from a third crash until all gateways refuse; -1 for never.
    """

    way: Strategy
    trouble: Trouble
    gateways: int
    crashing: int
    most_ends: int
    most_late: int
    innocent_cut: float
    innocent_refused: float
    seconds_to_know: float


class _Work(msgspec.Struct, eq=False):
    identity: int
    gateway: str
    sent_at: float
    attempts: int


_Server = ModelServer[_Work]


class _Caller(msgspec.Struct, eq=False):
    identity: int
    repeat_delay_seconds: tuple[float, float]
    crashes: int = 0
    third_crash_at: float = float("inf")
    late_sends: int = 0
    contained_at: float = -1.0


class ContainmentModel:
    """One run of one strategy."""

    def __init__(
        self, strategy: Strategy, trouble: Trouble, gateways: int, crashing: int, seed: int
    ) -> None:
        """Initialise a run.

        Args:
            strategy: Strategy that judges the requests.
            trouble: Injected disturbance.
            gateways: Number of gateways.
            crashing: Number of requests that crash servers, each sent by one client.
            seed: Seed of all random draws.
        """
        self._strategy = strategy
        self._trouble = trouble
        self._random = random.Random(seed)
        self._fleet = EvidenceFleet(gateways, self._random)
        self._fleet.loss = MESSAGE_LOSS if trouble is Trouble.LOSS else 0.0
        servers = max(round(gateways / GATEWAYS_PER_SERVER), 5)
        self._servers = [_Server(number) for number in range(servers)]
        self._crash_times: list[float] = []
        self._identities = itertools.count(FIRST_UNRELATED_IDENTITY)
        self._unrelated = self._unrelated_interrupted = self._unrelated_refused = 0
        at_once = trouble is Trouble.AT_ONCE
        repeat_delay = IMMEDIATE_REPEAT_DELAY_SECONDS if at_once else REPEAT_DELAY_SECONDS
        self._callers = [_Caller(number, repeat_delay) for number in range(crashing)]

    def run(self) -> ContainmentFigures:
        """Run the simulation."""
        started_at = self._fleet.now
        for name in self._fleet.names:
            self._start(name)
        for caller in self._callers:
            self._fleet.schedule(
                WARM_UP_SECONDS + self._random.random(),
                partial(self._send_crashing_request, caller),
            )
        for _ in range(RUNNING_PER_SERVER * len(self._servers)):
            self._fleet.schedule(self._random.uniform(0.0, STREAM_SECONDS), self._send_new_request)
        for seconds in EVENT_TIMES_SECONDS:
            self._fleet.schedule(seconds, self._apply_trouble)
        while self._fleet.now < started_at + RUN_SECONDS:
            self._fleet.advance()
            self._record_containment()
        return self._figures()

    # -- gateways -------------------------------------------------------------------------------

    def _start(self, name: str) -> None:
        rule = containment_rule(self._strategy, self._crashes_per_second)
        self._fleet.start(name, CrashEvidence(rule))

    def _crashes_per_second(self) -> float:
        """Recent crash rate of one server."""
        recent = [at for at in self._crash_times if self._fleet.now - at < RATE_WINDOW_SECONDS]
        return len(recent) / RATE_WINDOW_SECONDS / len(self._servers)

    def _record_containment(self) -> None:
        for caller in self._callers:
            if caller.contained_at >= 0.0 or caller.third_crash_at > self._fleet.now:
                continue
            if all(self._is_contained(name, caller.identity) for name in self._fleet.names):
                caller.contained_at = self._fleet.now

    # -- disturbances ---------------------------------------------------------------------------

    def _apply_trouble(self) -> None:
        if self._trouble is Trouble.CRASHES:
            share = max(round(EVENT_CRASH_SHARE * len(self._servers)), 1)
            for server in self._random.sample(self._servers, share):
                self._crash(server)
        elif self._trouble is Trouble.CUT and not self._fleet.partitioned:
            self._fleet.partitioned = frozenset(self._fleet.names[:: ZONES + 1]) | frozenset(
                self._fleet.names[1::12]
            )
            self._fleet.schedule(PARTITION_SECONDS, self._heal)
        elif self._trouble is Trouble.RESTARTS:
            for name in self._random.sample(self._fleet.names, len(self._fleet.names) // 2):
                self._start(name)

    def _heal(self) -> None:
        self._fleet.partitioned = frozenset()

    # -- requests -------------------------------------------------------------------------------

    def _is_contained(self, gateway: str, identity: int) -> bool:
        return (
            self._fleet.exchanges[gateway].evidence.containment(
                RequestFeatures(identity), self._fleet.now
            )
            is not None
        )

    def _choose(self, gateway: str, identity: int) -> _Server | None:
        """Choose a server for a request; None if no server may run it."""
        servers = self._servers
        if self._strategy is Strategy.ISOLATION:
            suspected = self._fleet.exchanges[gateway].evidence.crash_count(identity) > 0
            servers = servers[:1] if suspected else servers[1:]
        live = [server for server in servers if server.down_until <= self._fleet.now]
        if self._strategy is Strategy.ISOLATION and len(servers) == 1:
            live = [server for server in live if len(server.running) < 2 * RUNNING_PER_SERVER]
        return self._random.choice(live) if live else None

    def _send_crashing_request(self, caller: _Caller) -> None:
        """Send a client's request that crashes servers."""
        gateway = self._random.choice(self._fleet.names)
        repeat_after = self._random.uniform(*caller.repeat_delay_seconds)
        server = None
        if not self._is_contained(gateway, caller.identity):
            server = self._choose(gateway, caller.identity)
        if server is None:
            self._fleet.schedule(repeat_after, lambda: self._send_crashing_request(caller))
            return
        caller.late_sends += self._fleet.now > caller.third_crash_at + LATE_SEND_SECONDS
        work = _Work(caller.identity, gateway, self._fleet.now, 1)
        server.running[id(work)] = work
        self._fleet.schedule(CRASH_DELAY_SECONDS, lambda: self._crash_under(caller, server, work))
        self._fleet.schedule(
            CRASH_DELAY_SECONDS + repeat_after, lambda: self._send_crashing_request(caller)
        )

    def _crash_under(self, caller: _Caller, server: _Server, work: _Work) -> None:
        if id(work) not in server.running:
            return
        caller.crashes += 1
        if caller.crashes == 3:
            caller.third_crash_at = self._fleet.now
        self._crash(server)

    def _crash(self, server: _Server) -> None:
        """Crash a server with all of its requests."""
        if server.down_until > self._fleet.now:
            return
        self._crash_times.append(self._fleet.now)
        running, server.running = list(server.running.values()), {}
        key = server.key
        server.incarnation += 1
        server.down_until = self._fleet.now + SERVER_DOWN_SECONDS
        for work in running:
            exchange = self._fleet.exchanges[work.gateway]
            features = RequestFeatures(work.identity)
            exchange.evidence.on_crash(features, key, work.sent_at, self._fleet.now)
            exchange.on_update()
            if work.identity >= FIRST_UNRELATED_IDENTITY or work.identity < 0:
                self._interrupt_unrelated(work)

    def _interrupt_unrelated(self, work: _Work) -> None:
        self._unrelated_interrupted += 1
        is_retried = work.attempts < MAX_ATTEMPTS and self._random.random() < RETRY_SHARE
        if not is_retried:
            self._fleet.schedule(RETRY_DELAY_SECONDS, self._send_new_request)
            return
        self._fleet.schedule(
            RETRY_DELAY_SECONDS, lambda: self._send(work.identity, work.attempts + 1)
        )

    def _send_new_request(self) -> None:
        """Send a new unrelated request."""
        self._unrelated += 1
        identity = next(self._identities)
        if self._random.random() < POPULAR_SHARE:
            identity = -1 - self._random.randrange(POPULAR_REQUESTS)
        self._send(identity, 1)

    def _send(self, identity: int, attempts: int) -> None:
        gateway = self._random.choice(self._fleet.names)
        server = None
        if not self._is_contained(gateway, identity):
            server = self._choose(gateway, identity)
        if server is None:
            self._unrelated_refused += 1
            self._fleet.schedule(RETRY_DELAY_SECONDS, self._send_new_request)
            return
        work = _Work(identity, gateway, self._fleet.now, attempts)
        server.running[id(work)] = work
        seconds = self._random.expovariate(1 / STREAM_SECONDS)
        self._fleet.schedule(seconds, lambda: self._complete(server, work))

    def _complete(self, server: _Server, work: _Work) -> None:
        if server.running.pop(id(work), None) is None:
            return
        if self._strategy is not Strategy.COUNT:
            exchange = self._fleet.exchanges[work.gateway]
            if exchange.evidence.on_answer(RequestFeatures(work.identity), self._fleet.now):
                exchange.on_update()
        self._send_new_request()

    # -- figures --------------------------------------------------------------------------------

    def _figures(self) -> ContainmentFigures:
        containment_delays = [
            caller.contained_at - caller.third_crash_at
            for caller in self._callers
            if caller.crashes >= 3
        ]
        is_contained = bool(containment_delays) and min(containment_delays) >= 0.0
        thousands = self._unrelated / 1000
        return ContainmentFigures(
            way=self._strategy,
            trouble=self._trouble,
            gateways=len(self._fleet.names),
            crashing=len(self._callers),
            most_ends=max((caller.crashes for caller in self._callers), default=0),
            most_late=max((caller.late_sends for caller in self._callers), default=0),
            innocent_cut=round(self._unrelated_interrupted / thousands, 1),
            innocent_refused=round(self._unrelated_refused / thousands, 1),
            seconds_to_know=round(max(containment_delays), 2) if is_contained else -1.0,
        )


def compare_containment(
    sizes: list[int], crashing: list[int], seed: int
) -> list[ContainmentFigures]:
    """Results of each strategy under each disturbance, with the same seeds.

    Args:
        sizes: Numbers of gateways.
        crashing: Numbers of requests that crash servers.
        seed: Seed of all random draws.
    """
    return [
        ContainmentModel(strategy, trouble, size, count, seed).run()
        for size in sizes
        for count in crashing
        for trouble in Trouble
        for strategy in Strategy
    ]
