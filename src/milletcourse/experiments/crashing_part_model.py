"""Model of a fleet that compares strategies that find a prompt part that crashes servers.

Each gateway runs the production evidence and messages; servers, clients and the network are
simulated. No two requests have the same content. Harmless requests share the first part and other
parts of the requests that crash servers; parts of sessions are new now and then.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable

import msgspec

from milletcourse.exchange.evidence.containment import Containment
from milletcourse.exchange.evidence.containment_rules import ContainmentRule
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.request_identity import RequestFeatures
from milletcourse.experiments.containment_strategies import Strategy, containment_rule
from milletcourse.experiments.crashing_part_cases import (
    CONTACT_SECONDS,
    FREE_CRASHES,
    Disturbance,
    PartCase,
    PartFigures,
    PartStrategy,
    cases_of_size,
)
from milletcourse.experiments.evidence_fleet import ZONES, EvidenceFleet, ModelServer

GATEWAYS_PER_SERVER = 1.6
MIN_SERVERS = 4
MAX_SERVERS = 49
SERVER_DOWN_SECONDS = 2.0
RUNNING_PER_SERVER = 6
STREAM_SECONDS = 1.0
"""Mean duration of a harmless stream."""
RETRY_DELAY_SECONDS = 0.3
WARM_UP_SECONDS = 3.0
RUN_SECONDS = 20.0
EVENT_SECONDS = 8.0
"""Time of partitions, restarts and crashes of a zone."""
PARTITION_SECONDS = 4.0
MESSAGE_LOSS = 0.1
OWN_CRASHES_PER_SECOND = 2.0
POPULAR_PARTS = 3
MIDDLE_PARTS = 30
SESSION_REQUESTS = 4
"""Requests of a session, which share a part that no other request has."""
COMPANION_SHARE = 0.002
"""Share of the harmless requests with the part that otherwise comes with the crashing one only."""
FIRST_BAD = 1
COMPANION = 90
FIRST_POPULAR = 100
FIRST_MIDDLE = 200
FIRST_CONTENT = 1_000_000


class _Work(msgspec.Struct, eq=False):
    features: RequestFeatures
    gateway: str
    sent_at: float
    is_bad: bool


_Server = ModelServer[_Work]


class _Counts(msgspec.Struct):
    harmless: int = 0
    held: int = 0
    cut: int = 0
    companions: int = 0
    companions_held: int = 0


class CrashingPartModel:
    """One run of one strategy."""

    def __init__(self, strategy: PartStrategy, case: PartCase, seed: int) -> None:
        """Initialise a run.

        Args:
            strategy: How gateways find the part.
            case: What is played.
            seed: Seed of all random draws.
        """
        self._strategy = strategy
        self._case = case
        self._random = random.Random(seed)
        self._fleet = EvidenceFleet(case.gateways, self._random)
        self._fleet.loss = MESSAGE_LOSS if case.disturbance is Disturbance.LOSS else 0.0
        servers = round(case.gateways / GATEWAYS_PER_SERVER)
        self._servers = [_Server(n) for n in range(min(max(servers, MIN_SERVERS), MAX_SERVERS))]
        self._answered: dict[str, set[int]] = {}
        self._crash_times: list[float] = []
        self._bad = {FIRST_BAD + number: list[float]() for number in range(case.parts)}
        self._late = dict.fromkeys(self._bad, 0)
        self._known_at: dict[int, float] = {}
        self._counts = _Counts()
        self._popular_held = False
        self._contents = itertools.count(FIRST_CONTENT)
        self._session = (0, 0)

    def run(self) -> PartFigures:
        """Run the simulation."""
        started_at = self._fleet.now
        for name in self._fleet.names:
            self._start(name)
        for _ in range(RUNNING_PER_SERVER * len(self._servers)):
            self._fleet.schedule(self._random.uniform(0.0, STREAM_SECONDS), self._send_harmless)
        if self._case.parts:
            self._fleet.schedule(WARM_UP_SECONDS, self._send_bad)
        self._fleet.schedule(EVENT_SECONDS, self._apply_disturbance)
        if self._case.disturbance is Disturbance.OWN_CRASHES:
            self._fleet.schedule(WARM_UP_SECONDS, self._crash_any)
        while self._fleet.now < started_at + RUN_SECONDS:
            self._fleet.advance()
            self._observe()
        return self._figures()

    def _start(self, name: str) -> None:
        self._answered[name] = set()
        self._fleet.start(name, CrashEvidence(self._rule()))

    def _rule(self) -> ContainmentRule | None:
        if self._strategy is PartStrategy.TURNS:
            return None
        strategies = {
            PartStrategy.COUNT: Strategy.COUNT,
            PartStrategy.LIKELIHOOD: Strategy.LIKELIHOOD,
        }
        strategy = strategies.get(self._strategy, Strategy.CONSECUTIVE)
        return containment_rule(strategy, self._crashes_per_second)

    def _crashes_per_second(self) -> float:
        recent = [at for at in self._crash_times if self._fleet.now - at < RUN_SECONDS / 2]
        return len(recent) / (RUN_SECONDS / 2) / len(self._servers)

    # -- disturbances ---------------------------------------------------------------------------

    def _apply_disturbance(self) -> None:
        disturbance = self._case.disturbance
        names = self._fleet.names
        if disturbance is Disturbance.ZONE:
            for server in self._servers[::ZONES]:
                self._crash(server)
        elif disturbance is Disturbance.CUT:
            self._fleet.partitioned = frozenset(names[:: ZONES + 1]) | frozenset(names[1::12])
            self._fleet.schedule(PARTITION_SECONDS, self._heal)
        elif disturbance is Disturbance.RESTART:
            for name in names:
                self._start(name)

    def _heal(self) -> None:
        self._fleet.partitioned = frozenset()

    def _crash_any(self) -> None:
        self._crash(self._random.choice(self._servers))
        self._fleet.schedule(self._random.expovariate(OWN_CRASHES_PER_SECOND), self._crash_any)

    # -- requests -------------------------------------------------------------------------------

    def _features(self, gateway: str, parts: tuple[int, ...]) -> RequestFeatures:
        """Features of a new request, as far as the strategy uses them."""
        content = next(self._contents)
        if self._strategy is PartStrategy.CONTENT:
            return RequestFeatures(content)
        if self._strategy is PartStrategy.PREFIX:
            answered = self._answered[gateway]
            return RequestFeatures(content, tuple(p for p in parts if p not in answered)[:1])
        return RequestFeatures(content, parts)

    def _held(self, gateway: str, features: RequestFeatures) -> Containment | None:
        held = self._fleet.exchanges[gateway].evidence.containment(features, self._fleet.now)
        return (
            held if held is None or held.is_proven or self._strategy is PartStrategy.TURNS else None
        )

    def _harmless_parts(self) -> tuple[int, ...]:
        popular = FIRST_POPULAR + self._random.randrange(POPULAR_PARTS)
        if self._random.random() < COMPANION_SHARE and self._case.has_companion:
            return (popular, COMPANION)
        session, left = self._session
        if not left:
            session, left = next(self._contents), SESSION_REQUESTS
        self._session = (session, left - 1)
        return (popular, FIRST_MIDDLE + self._random.randrange(MIDDLE_PARTS), session)

    def _bad_parts(self, part: int) -> tuple[int, ...]:
        popular = FIRST_POPULAR + self._random.randrange(POPULAR_PARTS)
        middle = FIRST_MIDDLE + self._random.randrange(MIDDLE_PARTS)
        return (popular, COMPANION if self._case.has_companion else middle, part)

    def _live(self) -> list[_Server]:
        return [server for server in self._servers if server.down_until <= self._fleet.now]

    def _send_bad(self) -> None:
        part = self._random.choice(list(self._bad))
        self._fleet.schedule(self._random.expovariate(self._case.rate), self._send_bad)
        work = self._dispatch(self._bad_parts(part), is_bad=True)
        if work is None:
            return
        crashes = self._bad[part]
        known_by = crashes[FREE_CRASHES - 1] if len(crashes) >= FREE_CRASHES else math.inf
        is_in_touch = work[1].gateway not in self._fleet.partitioned
        self._late[part] += is_in_touch and self._fleet.now > known_by + CONTACT_SECONDS
        self._fleet.schedule(self._case.crash_seconds, self._crash_under(part, *work))

    def _crash_under(self, part: int, server: _Server, work: _Work) -> Callable[[], None]:
        def crash() -> None:
            if id(work) in server.running:
                self._bad[part].append(self._fleet.now)
                self._crash(server)

        return crash

    def _send_harmless(self) -> None:
        parts = self._harmless_parts()
        has_companion = COMPANION in parts
        self._counts.harmless += 1
        self._counts.companions += has_companion
        held_before = self._counts.held
        work = self._dispatch(parts, is_bad=False)
        if work is None:
            self._counts.companions_held += has_companion and self._counts.held > held_before
            self._fleet.schedule(RETRY_DELAY_SECONDS, self._send_harmless)
            return
        seconds = self._random.expovariate(1 / STREAM_SECONDS)
        self._fleet.schedule(seconds, lambda: self._complete(*work, parts))

    def _dispatch(self, parts: tuple[int, ...], is_bad: bool) -> tuple[_Server, _Work] | None:
        """Send a request to a server, unless its gateway holds it or all servers are down."""
        gateway = self._random.choice(self._fleet.names)
        features = self._features(gateway, parts)
        if self._held(gateway, features) is not None:
            self._counts.held += not is_bad
            return None
        live = self._live()
        if not live:
            return None
        server = self._random.choice(live)
        work = _Work(features, gateway, self._fleet.now, is_bad)
        self._fleet.exchanges[gateway].evidence.on_sent(features, self._fleet.now)
        server.running[id(work)] = work
        return server, work

    def _complete(self, server: _Server, work: _Work, parts: tuple[int, ...]) -> None:
        self._send_harmless()
        if server.running.pop(id(work), None) is None:
            return
        self._answered[work.gateway].update(parts)
        if self._strategy is PartStrategy.COUNT:
            return
        exchange = self._fleet.exchanges[work.gateway]
        if exchange.evidence.on_answer(work.features, self._fleet.now):
            exchange.on_update()

    def _crash(self, server: _Server) -> None:
        if server.down_until > self._fleet.now:
            return
        now = self._fleet.now
        self._crash_times.append(now)
        running, server.running = list(server.running.values()), {}
        key = server.key
        server.incarnation += 1
        server.down_until = now + SERVER_DOWN_SECONDS
        for work in running:
            exchange = self._fleet.exchanges[work.gateway]
            exchange.evidence.on_crash(work.features, key, work.sent_at, now)
            exchange.on_update()
            self._counts.cut += not work.is_bad

    # -- figures --------------------------------------------------------------------------------

    def _observe(self) -> None:
        """Record whether popular parts are held, and since when all gateways hold a bad one."""
        popular = RequestFeatures(0, (FIRST_POPULAR,))
        names = self._fleet.names
        if self._crash_times and not self._popular_held:
            self._popular_held = any(self._held(name, popular) is not None for name in names)
        for part, crashes in self._bad.items():
            if part in self._known_at or len(crashes) < 3:
                continue
            bad = RequestFeatures(0, (FIRST_POPULAR, part))
            if all(self._held(name, bad) is not None for name in names):
                self._known_at[part] = self._fleet.now

    def _figures(self) -> PartFigures:
        counts = self._counts
        delays = [
            self._known_at[part] - crashes[2] if part in self._known_at else -1.0
            for part, crashes in self._bad.items()
            if len(crashes) >= 3
        ]
        return PartFigures(
            strategy=self._strategy,
            case=self._case,
            crashes=max(map(len, self._bad.values()), default=0),
            late=max(self._late.values(), default=0),
            refused=round(1000 * counts.held / counts.harmless, 1),
            cut=round(1000 * counts.cut / counts.harmless, 1),
            companions_refused=round(counts.companions_held / max(counts.companions, 1), 3),
            popular_held=self._popular_held,
            seconds_to_know=-1.0 if -1.0 in delays else round(max(delays, default=0.0), 2),
            bytes_per_gateway=round(self._fleet.evidence_bytes / len(self._fleet.names)),
        )


def compare_crashing_parts(sizes: list[int], seed: int) -> list[PartFigures]:
    """Results of each strategy in a set of cases, with the same seeds.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws.
    """
    found = []
    for size in sizes:
        found += [
            CrashingPartModel(strategy, case, seed).run()
            for case in cases_of_size(size)
            for strategy in PartStrategy
        ]
    return found
