"""Discrete-event model of engines and a KV store, using the stand-ins' engine core."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from milletcourse.backends.engine_messages import CacheEvent, EngineLoad, EngineUsage
from milletcourse.experiments.arrivals import Arrival
from milletcourse.prefix.blocks import BLOCK_TOKENS, BlockHash
from milletcourse.standins.block_pool import Provenance
from milletcourse.standins.engine_core import EngineCore, EngineProfile, EngineRequest

EVENT_PUBLISH_SECONDS = 0.5
LOAD_LAG_SECONDS = 0.25
IMPORT_LOOKUP_SECONDS = 0.002
NETWORK_SECONDS = 0.001


class FarImports(StrEnum):
    """How an engine imports blocks that only a store in another place holds.

    AWAITED: the request waits for the blocks.
    CHEAPER: the request waits when that is faster than computing them.
    UNLIMITED: the request computes immediately; the blocks are fetched for later requests.
    ONE_IN_FLIGHT: the same, with at most one such fetch an engine at a time, after cluster-aware
        random stealing (van Nieuwpoort, Kielmann and Bal, PPoPP 2001).
    NONE: nothing is fetched from another place.
    """

    AWAITED = "awaited"
    CHEAPER = "cheaper"
    UNLIMITED = "unlimited"
    ONE_IN_FLIGHT = "one-in-flight"
    NONE = "none"


class Timeline:
    """Event queue with virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._queue, (seconds, next(self._counter), action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()


@dataclass(slots=True)
class InFlightRequest:
    """One request in flight.

    Attributes:
        arrival: The request.
        engine: Name of the engine.
        live_copy_tokens: Ground truth: computed although a permitted, live copy existed.
        recomputed_tokens: Ground truth: computed although the same block was computed before.
        first_token_at: Time of the first token; None until then.
        cached_tokens: Tokens found cached.
    """

    arrival: Arrival
    engine: str
    live_copy_tokens: int = 0
    recomputed_tokens: int = 0
    started: bool = False
    first_token_at: float | None = None
    cached_tokens: int = 0


@dataclass(slots=True)
class StoreModel:
    """Contents of the KV store."""

    blocks: dict[BlockHash, None] = field(default_factory=dict)
    down: bool = False
    capacity_blocks: int = 20_000

    def held_prefix(self, chain: Sequence[BlockHash]) -> int:
        """Number of leading blocks of a chain that the store holds."""
        if self.down:
            return 0
        for index, block in enumerate(chain):
            if block not in self.blocks:
                return index
        return len(chain)

    def put(self, blocks: Sequence[BlockHash]) -> None:
        """Store blocks, evicting the oldest."""
        if self.down:
            return
        for block in blocks:
            self.blocks.pop(block, None)
            self.blocks[block] = None
        while len(self.blocks) > self.capacity_blocks:
            del self.blocks[next(iter(self.blocks))]


class EngineModel:
    """One engine on the timeline."""

    def __init__(
        self, name: str, profile: EngineProfile, models: dict[str, str], cluster: ClusterModel
    ) -> None:
        self.name = name
        self.incarnation = 1
        self.up = True
        self.reachable = True
        self.core = EngineCore(profile, f"{name}/1")
        self.core.loaded = dict(models)
        self.flights: dict[str, InFlightRequest] = {}
        self._cluster = cluster
        self._stepping = False
        self._link_free_at = 0.0
        self._fetches = 0
        self.store_latency_seconds = 0.0
        self._published = 1

    def submit(self, flight: InFlightRequest, import_from_store: bool) -> None:
        """Submit a request to the engine."""
        arrival = flight.arrival
        request = EngineRequest(
            request_id=str(arrival.number),
            blocks=arrival.blocks,
            output_tokens=arrival.request_class.output_tokens,
            first_offset=0,
            priority=arrival.permission.rules.priority,
            tenant=arrival.tenant,
            weight_version="1",
        )
        self.flights[request.request_id] = flight
        missing = self._missing_in_store(arrival) if import_from_store else 0
        awaited = missing > 0 and self._awaits_import()
        self.core.submit(request, importing=awaited)
        if missing > 0 and (awaited or self._fetches_in_background()):
            self._fetch(request, missing)
        self._start_step()

    def _missing_in_store(self, arrival: Arrival) -> int:
        """Number of blocks that the store holds and the engine lacks."""
        chain = arrival.blocks.hashes
        return self._cluster.store.held_prefix(chain) - self.core.pool.cached_prefix(chain)

    def _seconds_per_block(self) -> float:
        """Time to import one block; from another place, each block takes a separate round trip."""
        return self.core.profile.import_seconds_per_block + self.store_latency_seconds

    def _awaits_import(self) -> bool:
        if not self.store_latency_seconds:
            return True
        mode = self._cluster.far_imports
        if mode is FarImports.CHEAPER:
            compute_seconds = BLOCK_TOKENS / self.core.profile.prefill_tokens_per_second
            return self._seconds_per_block() < compute_seconds
        return mode is FarImports.AWAITED

    def _fetches_in_background(self) -> bool:
        mode = self._cluster.far_imports
        if mode is FarImports.ONE_IN_FLIGHT:
            return not self._fetches
        return mode is FarImports.UNLIMITED

    def _fetch(self, request: EngineRequest, missing: int) -> None:
        start = max(self._cluster.timeline.now, self._link_free_at)
        seconds = IMPORT_LOOKUP_SECONDS + missing * self._seconds_per_block()
        self._link_free_at = start + seconds
        self._fetches += 1
        core = self.core
        self._cluster.timeline.at(self._link_free_at, lambda: self._imported(request, core))

    def _imported(self, request: EngineRequest, core: EngineCore) -> None:
        if core is not self.core:
            return
        self._fetches -= 1
        chain = request.blocks.hashes
        kept = self._cluster.store.held_prefix(chain)
        provenance = Provenance(request.tenant, "1", "store")
        core.store_imported([(block, provenance) for block in chain[:kept]])
        core.import_finished(request.request_id)
        self._start_step()

    def _start_step(self) -> None:
        if self._stepping or not self.up:
            return
        before = {key for key, item in self.core.requests.items() if item.pinned == 0}
        duration = self.core.begin_step()
        if duration is None:
            return
        self._note_started(before)
        self._stepping = True
        core = self.core
        self._cluster.timeline.after(duration, lambda: self._finish(core))

    def _note_started(self, before: set[str]) -> None:
        """Record the ground truth of wasted tokens when a request's computation starts."""
        for request in self.core._step:
            flight = self.flights[request.request_id]
            if request.request_id not in before or flight.started:
                continue
            flight.started = True
            cached = request.cached_tokens // BLOCK_TOKENS
            best = self._cluster.best_copy(flight.arrival)
            flight.live_copy_tokens = max(best - cached, 0) * BLOCK_TOKENS
            computed = request.blocks.hashes[cached:]
            known = sum(1 for block in computed if block in self._cluster.ever_computed)
            flight.recomputed_tokens = known * BLOCK_TOKENS
            self._cluster.ever_computed.update(computed)

    def _finish(self, core: EngineCore) -> None:
        if core is not self.core:
            return
        self._stepping = False
        for emission in core.finish_step():
            flight = self.flights[emission.request_id]
            if flight.first_token_at is None:
                flight.first_token_at = self._cluster.timeline.now + NETWORK_SECONDS
                self._cluster.on_first_token(flight)
            if emission.usage is not None:
                del self.flights[emission.request_id]
                self._cluster.on_finished(flight, emission.usage)
        self._start_step()

    def export(self, chain: Sequence[BlockHash]) -> None:
        """Export cached blocks to the store; takes as long per block as an import."""
        held = chain[: self.core.pool.cached_prefix(chain)]
        new = [block for block in held if block not in self._cluster.store.blocks]
        if not new:
            return
        seconds = len(new) * self.core.profile.import_seconds_per_block
        core = self.core

        def done() -> None:
            if core is self.core:
                self._cluster.store.put([block for block in held if block in core.pool])

        self._cluster.timeline.after(seconds, done)

    def crash(self) -> list[InFlightRequest]:
        """Crash the engine and return the requests that it was running."""
        lost = list(self.flights.values())
        self.flights.clear()
        self.up = False
        self._stepping = False
        self.incarnation += 1
        self._fetches = 0
        models = self.core.loaded
        self.core = EngineCore(self.core.profile, f"{self.name}/{self.incarnation}")
        self.core.loaded = models
        self._published = 1
        return lost

    def restart(self) -> None:
        """Restart the engine with an empty cache."""
        self.up = True

    def new_events(self) -> list[CacheEvent]:
        """Events since the last call."""
        events = self.core.events_after(self._published, 10_000)
        if events:
            self._published = events[-1].sequence + 1
        return events


class ClusterModel:
    """Engines and a store, with events for one listener."""

    def __init__(
        self,
        names: Sequence[str],
        profile: EngineProfile,
        models: dict[str, str],
        event_delay_seconds: float,
        event_loss: float,
        seed: int,
    ) -> None:
        self.timeline = Timeline()
        self.store = StoreModel()
        self.engines = {name: EngineModel(name, profile, models, self) for name in names}
        self.far_imports = FarImports.AWAITED
        self.ever_computed: set[BlockHash] = set()
        self.finished: list[tuple[InFlightRequest, EngineUsage, float]] = []
        self.listener: ClusterListener | None = None
        self._event_delay_seconds = event_delay_seconds
        self._event_loss = event_loss
        self._random = random.Random(f"events/{seed}")

    def best_copy(self, arrival: Arrival) -> int:
        """Ground truth: longest permitted, live prefix anywhere, in blocks."""
        chain = arrival.blocks.hashes
        best = self.store.held_prefix(chain)
        for name in arrival.permission.backend_set.names:
            engine = self.engines[name]
            if engine.up and engine.reachable:
                best = max(best, engine.core.pool.cached_prefix(chain))
        return best

    def on_first_token(self, flight: InFlightRequest) -> None:
        """Forward the event to the listener."""
        if self.listener is not None:
            self.listener.on_first_token(flight)

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage) -> None:
        """Record the request and forward the event to the listener."""
        self.finished.append((flight, usage, self.timeline.now))
        if self.listener is not None:
            self.listener.on_finished(flight, usage)

    def start_publishing(self) -> None:
        """Start publishing cache events and load reports."""
        self._publish()

    def _publish(self) -> None:
        for engine in self.engines.values():
            if not (engine.up and engine.reachable):
                engine.new_events()
                continue
            kept = [
                event for event in engine.new_events() if self._random.random() >= self._event_loss
            ]
            lost = kept and self._event_loss > 0
            self._publish_later(engine, engine.core.incarnation, kept, bool(lost))
        self.timeline.after(EVENT_PUBLISH_SECONDS, self._publish)

    def _publish_later(
        self, engine: EngineModel, incarnation: str, events: list[CacheEvent], lossy: bool
    ) -> None:
        load = msgspec.structs.replace(engine.core.load(), age_seconds=LOAD_LAG_SECONDS)

        def deliver_load() -> None:
            if self.listener is not None:
                self.listener.on_load(engine.name, load)

        def deliver_events() -> None:
            if self.listener is not None:
                self.listener.on_events(engine.name, incarnation, events)

        self.timeline.after(LOAD_LAG_SECONDS, deliver_load)
        if events:
            self.timeline.after(self._event_delay_seconds, deliver_events)


class ClusterListener:
    """Events of the cluster that routing policies can observe."""

    def on_first_token(self, flight: InFlightRequest) -> None:
        """A request's first token reached its router."""

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage) -> None:
        """A request's answer completed."""

    def on_load(self, engine: str, load: EngineLoad) -> None:
        """A load report arrived."""

    def on_events(self, engine: str, incarnation: str, events: list[CacheEvent]) -> None:
        """Cache events arrived."""
