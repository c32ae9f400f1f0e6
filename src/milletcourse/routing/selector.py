"""Selects the engine and the cached prefix for one permitted request; no input/output.

Only a bounded number of candidates is scored, regardless of the number of engines: engines
estimated to hold a part of the prefix, the prefix's home engines, and a few random ones. The score
is the estimated time to first token plus the cost of recomputing what is cached elsewhere.
"""

from __future__ import annotations

import random
import weakref
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.errors import Failure, NoEngineAvailable
from milletcourse.policy.compiled import BackendSet, CompiledPolicy, Permission
from milletcourse.prefix.blocks import BLOCK_TOKENS, BlockHash, PromptBlocks
from milletcourse.prefix.cache_estimate import UNVERIFIED_WEIGHT, CacheEstimateIndex
from milletcourse.prefix.hot_prefixes import HotPrefixTracker
from milletcourse.routing.home_ring import HomeRing
from milletcourse.routing.load import LoadTable
from milletcourse.routing.parameters import RoutingParameters
from milletcourse.routing.store_index import StoreIndex

NO_ENGINE_RETRY_SECONDS = 1.0
MIN_SHARED_REQUESTS = 2
"""A block of at least two requests within the windows of `HotPrefixTracker` counts as shared."""


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """A permitted request with what routing needs of it.

    Attributes:
        permission: What the policy grants.
        model: Model name.
        weight_version: Version that must serve.
        blocks: Blocks of the prompt, hashed under the granted root.
        excluded: Engines at which this request already failed.
    """

    permission: Permission
    model: str
    weight_version: str
    blocks: PromptBlocks
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Decision:
    """Where a request runs and what it reuses.

    Attributes:
        engine: Name of the engine.
        held_blocks: Leading blocks estimated to be cached there.
        import_store: Name of the KV store to import from, empty for none.
        import_blocks: Leading blocks to import up to.
        compute_tokens: Estimated prompt tokens that the engine computes.
        wait_seconds: Estimated queueing time.
        first_token_seconds: Estimated time to first token.
    """

    engine: str
    held_blocks: int
    import_store: str
    import_blocks: int
    compute_tokens: int
    wait_seconds: float
    first_token_seconds: float


@dataclass(frozen=True, slots=True)
class _Sources:
    """Copies of the prompt's prefix at other engines and in KV stores."""

    best_anywhere: int
    store: str
    store_blocks: int


class EngineSelector:
    """Routing state of one router."""

    def __init__(
        self,
        policy: CompiledPolicy,
        random_source: random.Random,
        parameters: RoutingParameters,
        own_place: str = "",
        is_unavailable: Callable[[str], bool] = lambda engine: False,
    ) -> None:
        self.policy = policy
        self.parameters = parameters
        self.own_place = own_place
        self._is_unavailable = is_unavailable
        self.cache_estimates = CacheEstimateIndex()
        self.loads = LoadTable()
        self.hot_prefixes = HotPrefixTracker()
        self.stores = StoreIndex()
        self._random = random_source
        self._rings: weakref.WeakKeyDictionary[BackendSet, HomeRing] = weakref.WeakKeyDictionary()

    def select(self, request: RoutingRequest, now: float) -> Result[Decision, Failure]:
        """Pick the engine with the lowest cost.

        Returns:
            The decision, or `NoEngineAvailable` when no permitted engine can take work.
        """
        chain = request.blocks.hashes
        self.hot_prefixes.record(chain, now)
        holders = self.cache_estimates.holders(chain, self.parameters.max_holders)
        sources = self._sources(request, holders, now)
        best: tuple[float, Decision] | None = None
        for rank, engine in enumerate(self._candidates(request, holders, now)):
            decision = self._evaluate(engine, request, holders.get(engine, 0), sources, now)
            cost = self._cost(decision, sources, rank, now)
            if best is None or cost < best[0]:
                best = (cost, decision)
        if best is None:
            return Err(NoEngineAvailable("no permitted engine is live", NO_ENGINE_RETRY_SECONDS))
        return Success(best[1])

    def _candidates(
        self, request: RoutingRequest, holders: Collection[str], now: float
    ) -> Iterator[str]:
        """Usable engines to score, each once: holders, then homes, then random ones."""
        permitted = request.permission.backend_set
        seen: set[str] = set()
        for engine in holders:
            if engine in permitted and self._usable(engine, request, now):
                seen.add(engine)
                yield engine
        homes_wanted = self._home_count(request, now)
        homes = 0
        for engine in self._ring(permitted).walk(self._home_key(request, now)):
            if homes >= homes_wanted:
                break
            if not self._usable(engine, request, now):
                continue
            homes += 1
            if engine not in seen:
                seen.add(engine)
                yield engine
        names = permitted.names
        for _ in range(min(self.parameters.random_candidates, len(names))):
            engine = names[self._random.randrange(len(names))]
            if engine not in seen and self._usable(engine, request, now):
                seen.add(engine)
                yield engine

    def _usable(self, engine: str, request: RoutingRequest, now: float) -> bool:
        spec = self.policy.engines.get(engine)
        if (
            spec is None
            or spec.leaving
            or engine in request.excluded
            or self._is_unavailable(engine)
        ):
            return False
        return self.loads.is_usable(engine, request.model, request.weight_version, now)

    def _ring(self, permitted: BackendSet) -> HomeRing:
        ring = self._rings.get(permitted)
        if ring is None:
            ring = self._rings[permitted] = HomeRing(permitted.names)
        return ring

    def _home_key(self, request: RoutingRequest, now: float) -> bytes:
        """The deepest block shared with other requests, else the first block."""
        chain = request.blocks.hashes
        if not chain:
            return request.permission.reuse_scope
        depth = self._shared_depth(chain)
        return chain[max(depth - 1, 0)]

    def _shared_depth(self, chain: tuple[BlockHash, ...]) -> int:
        low, high = 0, len(chain)
        while low < high:
            middle = (low + high + 1) // 2
            if self.hot_prefixes.requests(chain[middle - 1]) >= MIN_SHARED_REQUESTS:
                low = middle
            else:
                high = middle - 1
        return low

    def _home_count(self, request: RoutingRequest, now: float) -> int:
        chain = request.blocks.hashes
        if not chain:
            return self.parameters.max_homes
        key = self._home_key(request, now)
        rate = self.hot_prefixes.requests_per_second(key, now)
        return self.parameters.max_homes + int(rate / self.parameters.hot_requests_per_second)

    def _sources(self, request: RoutingRequest, holders: dict[str, int], now: float) -> _Sources:
        chain = request.blocks.hashes
        rules = request.permission.rules
        store_name = ""
        store_blocks = 0
        if self.parameters.import_enabled and chain:
            for name, store in sorted(self.policy.kv_stores.items()):
                if not self.policy.may_hold(rules, store.place):
                    continue
                if not self.stores.try_use(name, now):
                    continue
                blocks = self.stores.held_blocks(name, chain)
                if not store_name or blocks > store_blocks:
                    store_name, store_blocks = name, blocks
        best_held = 0
        for engine, blocks in holders.items():
            if engine in request.permission.backend_set:
                best_held = max(best_held, blocks)
        return _Sources(max(best_held, store_blocks), store_name, store_blocks)

    def _evaluate(
        self, engine: str, request: RoutingRequest, held: int, sources: _Sources, now: float
    ) -> Decision:
        state = self.loads.state(engine)
        expected_held = held
        if held and self.cache_estimates.is_unverified(engine):
            expected_held = int(held * UNVERIFIED_WEIGHT)
        priority = request.permission.rules.priority
        wait = self.loads.wait_seconds(engine, now, priority)
        compute = request.blocks.missing_tokens(expected_held)
        seconds = compute / state.rate
        imported = 0
        if sources.store_blocks > expected_held:
            missing = request.blocks.missing_tokens(sources.store_blocks)
            blocks = sources.store_blocks - expected_held
            import_seconds = (
                self.parameters.import_lookup_seconds
                + blocks * self.parameters.import_seconds_per_block
                + missing / state.rate
            )
            if import_seconds < seconds:
                seconds, compute, imported = import_seconds, missing, sources.store_blocks
        seconds += self._distance_seconds(engine)
        return Decision(engine, held, sources.store, imported, compute, wait, wait + seconds)

    def _distance_seconds(self, engine: str) -> float:
        place = self.policy.engines[engine].place
        if place == self.own_place or not self.own_place:
            return 0.0
        there = self.policy.places.get(place)
        here = self.policy.places.get(self.own_place)
        if there is None or here is None or there.region != here.region:
            return self.parameters.far_region_seconds
        return self.parameters.far_place_seconds

    def _cost(self, decision: Decision, sources: _Sources, rank: int, now: float) -> float:
        reused_blocks = max(decision.held_blocks, decision.import_blocks)
        wasted_blocks = max(sources.best_anywhere - reused_blocks, 0)
        wasted_seconds = wasted_blocks * BLOCK_TOKENS / self.loads.state(decision.engine).rate
        rank_penalty = self.parameters.spill_seconds if rank else 0.0
        overtaken = max(self.loads.wait_seconds(decision.engine, now) - decision.wait_seconds, 0.0)
        return (
            decision.first_token_seconds
            + self.parameters.overtaking_weight * overtaken
            + self.parameters.waste_weight * wasted_seconds
            + rank_penalty
        )

    # -- feedback ------------------------------------------------------------------------------

    def on_dispatched(
        self, engine: str, request_id: str, request: RoutingRequest, tokens: int, now: float
    ) -> None:
        """Record that a request was sent: its prompt will soon be cached there."""
        priority = request.permission.rules.priority
        self.loads.on_dispatched(engine, request_id, tokens, priority, now)
        incarnation = self.cache_estimates.incarnation(engine)
        if incarnation is not None:
            self.cache_estimates.note_held(engine, incarnation, request.blocks.hashes)

    def on_answer(
        self,
        decision: Decision,
        incarnation: str,
        blocks: PromptBlocks,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Record how much of its prompt was cached, imports included, as an answer reported."""
        cached_blocks = cached_tokens // BLOCK_TOKENS
        if decision.import_blocks:
            was_short = cached_blocks < decision.import_blocks
            self.stores.on_import(decision.import_store, was_short, now)
            if was_short:
                self.cache_estimates.note_held(decision.engine, incarnation, blocks.hashes)
                return
        self.cache_estimates.note_answer(decision.engine, incarnation, blocks.hashes, cached_blocks)

    def blocks_to_export(self, store: str, blocks: PromptBlocks) -> tuple[BlockHash, ...]:
        """The leading blocks worth exporting to a store after an answer; empty for none."""
        if not self.parameters.export_enabled:
            return ()
        chain = blocks.hashes
        depth = len(chain)
        while (
            depth
            and self.hot_prefixes.requests(chain[depth - 1]) < self.parameters.export_min_requests
        ):
            depth -= 1
        return chain[:depth] if self.stores.missing(store, chain[:depth]) else ()
