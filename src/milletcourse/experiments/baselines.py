"""Baseline routing policies: established algorithms, and an oracle as a bound."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.backends.engine_messages import CacheEvent, EngineLoad, EngineUsage
from milletcourse.errors import Failure, NoEngineAvailable
from milletcourse.experiments.arrivals import Arrival
from milletcourse.experiments.cluster_model import ClusterModel, InFlightRequest
from milletcourse.prefix.blocks import BLOCK_TOKENS
from milletcourse.prefix.cache_estimate import CacheEstimateIndex
from milletcourse.routing.home_ring import HomeRing
from milletcourse.routing.load import LoadTable
from milletcourse.standins.engine_core import EngineCore

EVENT_INDEX_MAX_QUEUE_FACTOR = 1.5
"""The index skips engines whose queue exceeds the mean by this factor."""

ORACLE_OVERTAKING_WEIGHT = 0.1
"""Equal to the production router's `overtaking_weight`."""


class RoutingPolicy(ABC):
    """Routing decisions of one router."""

    imports_from_store = False

    def __init__(self, cluster: ClusterModel, source: random.Random) -> None:
        self.cluster = cluster
        self.source = source
        self.loads = LoadTable()
        self.unreachable_until: dict[str, float] = {}

    @abstractmethod
    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """Choose an engine, or refuse the request."""

    def usable(self, arrival: Arrival, now: float) -> list[str]:
        """Permitted engines that have not recently refused a connection."""
        return [
            name
            for name in arrival.permission.backend_set.names
            if self.unreachable_until.get(name, 0.0) <= now
        ]

    def queued(self, engine: str, arrival: Arrival, now: float) -> float:
        """Estimated tokens queued ahead of this request; all policies consider priorities."""
        return self.loads.queued_tokens(engine, now, arrival.permission.rules.priority)

    def pick(self, engines: Sequence[str], engine: str | None) -> Result[str, Failure]:
        """The chosen engine, or a refusal if there is none."""
        if not engines or engine is None:
            return Err(NoEngineAvailable("no permitted engine is live", 1.0))
        return Success(engine)

    def on_unreachable(self, engine: str, now: float) -> None:
        """A connection was refused."""
        self.unreachable_until[engine] = now + 1.0

    def on_dispatched(self, arrival: Arrival, engine: str, now: float) -> None:
        """A request was sent."""
        tokens = arrival.blocks.total_tokens
        priority = arrival.permission.rules.priority
        self.loads.on_dispatched(engine, str(arrival.number), tokens, priority, now)

    def on_first_token(self, flight: InFlightRequest, now: float) -> None:
        """The first token reached the router."""
        self.loads.on_first_token(flight.engine, str(flight.arrival.number))

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage, now: float) -> None:
        """The answer completed."""
        self.loads.on_finished(flight.engine, str(flight.arrival.number))

    def on_load(self, engine: str, load: EngineLoad, now: float) -> None:
        """A load report arrived."""
        self.loads.on_report(engine, load, now)

    def on_events(
        self, engine: str, incarnation: str, events: list[CacheEvent], now: float
    ) -> None:
        """Cache events arrived; most policies ignore them."""
        del engine, incarnation, events, now


class RoundRobin(RoutingPolicy):
    """Permitted engines in rotation."""

    def __init__(self, cluster: ClusterModel, source: random.Random) -> None:
        super().__init__(cluster, source)
        self._turn = source.randrange(1000)

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        engines = self.usable(arrival, now)
        self._turn += 1
        return self.pick(engines, engines[self._turn % len(engines)] if engines else None)


class LeastLoaded(RoutingPolicy):
    """The engine with the shortest estimated queue."""

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        engines = self.usable(arrival, now)
        best = min(
            engines,
            key=lambda name: (self.queued(name, arrival, now), self.source.random()),
            default=None,
        )
        return self.pick(engines, best)


class PowerOfTwo(RoutingPolicy):
    """The less loaded of two random engines."""

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        engines = self.usable(arrival, now)
        if not engines:
            return self.pick(engines, None)
        two = [self.source.choice(engines), self.source.choice(engines)]
        return self.pick(engines, min(two, key=lambda name: self.queued(name, arrival, now)))


class PrefixHash(RoutingPolicy):
    """Consistent hashing of the first blocks, without a load bound."""

    HASHED_BLOCKS = 4

    def __init__(self, cluster: ClusterModel, source: random.Random) -> None:
        super().__init__(cluster, source)
        self._rings: dict[tuple[str, ...], HomeRing] = {}

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        names = arrival.permission.backend_set.names
        ring = self._rings.setdefault(names, HomeRing(names))
        engines = set(self.usable(arrival, now))
        chain = arrival.blocks.hashes
        key = chain[min(self.HASHED_BLOCKS, len(chain)) - 1]
        home = next((name for name in ring.walk(key) if name in engines), None)
        return self.pick(sorted(engines), home)


class EventIndex(RoutingPolicy):
    """Complete index fed by cache events: longest match first, then least loaded."""

    def __init__(self, cluster: ClusterModel, source: random.Random) -> None:
        super().__init__(cluster, source)
        self._index = CacheEstimateIndex(1_000_000)

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        engines = self.usable(arrival, now)
        chain = arrival.blocks.hashes
        queued = {name: self.queued(name, arrival, now) for name in engines}
        mean = sum(queued.values()) / max(len(queued), 1)
        bound = EVENT_INDEX_MAX_QUEUE_FACTOR * mean + arrival.blocks.total_tokens
        fitting = [name for name in engines if queued[name] <= bound] or engines
        best = min(
            fitting,
            key=lambda name: (-self._index.held_blocks(name, chain), queued[name]),
            default=None,
        )
        return self.pick(engines, best)

    def on_events(
        self, engine: str, incarnation: str, events: list[CacheEvent], now: float
    ) -> None:
        """Update the index."""
        self._index.observe_incarnation(engine, incarnation)
        for event in events:
            stored = [bytes.fromhex(block) for block in event.stored]
            evicted = [bytes.fromhex(block) for block in event.evicted]
            self._index.note_held(engine, incarnation, stored)
            self._index.note_evicted(engine, incarnation, evicted)


class Oracle(RoutingPolicy):
    """Bound for comparison: sees the true caches, queues and store contents."""

    imports_from_store = True

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        engines = [
            name
            for name in arrival.permission.backend_set.names
            if self.cluster.engines[name].up and self.cluster.engines[name].reachable
        ]
        best = min(engines, key=lambda name: self._cost(name, arrival), default=None)
        return self.pick(engines, best)

    def _cost(self, name: str, arrival: Arrival) -> tuple[float, str]:
        """Time to first token, plus the time spent on recomputing blocks that exist elsewhere."""
        core = self.cluster.engines[name].core
        chain = arrival.blocks.hashes
        held = core.pool.cached_prefix(chain)
        kept = self.cluster.store.held_prefix(chain)
        rate = core.profile.prefill_tokens_per_second
        reached = max(held, kept)
        seconds = arrival.blocks.missing_tokens(reached) / rate
        seconds += max(kept - held, 0) * core.profile.import_seconds_per_block
        seconds += (self.cluster.best_copy(arrival) - reached) * BLOCK_TOKENS / rate
        before, overtaken = self._queued(core, arrival.permission.rules.priority)
        return seconds + (before + ORACLE_OVERTAKING_WEIGHT * overtaken) / rate, name

    def _queued(self, core: EngineCore, priority: int) -> tuple[int, int]:
        """Tokens computed before a new request, and tokens that it overtakes."""
        before = overtaken = 0
        for request in core.requests.values():
            chain = request.blocks.hashes
            cached = request.computed_tokens or core.pool.cached_prefix(chain) * BLOCK_TOKENS
            tokens = max(request.blocks.total_tokens - cached, 0)
            if request.priority <= priority:
                before += tokens
            else:
                overtaken += tokens
        return before, overtaken

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage, now: float) -> None:
        """Export all blocks to the store immediately."""
        super().on_finished(flight, usage, now)
        self.cluster.engines[flight.engine].export(flight.arrival.blocks.hashes)
