"""The production router's decisions as a routing policy of the experiments."""

from __future__ import annotations

import random

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.admission.controller import AdmissionController
from milletcourse.backends.engine_messages import CacheEvent, EngineLoad, EngineUsage
from milletcourse.errors import Failure
from milletcourse.experiments.arrivals import Arrival
from milletcourse.experiments.baselines import RoutingPolicy
from milletcourse.experiments.cluster_model import ClusterModel, InFlightRequest
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.routing.parameters import RoutingParameters
from milletcourse.routing.selector import Decision, EngineSelector, RoutingRequest


class ProductionPolicy(RoutingPolicy):
    """`EngineSelector` and `AdmissionController` as they run in a router."""

    imports_from_store = True

    def __init__(
        self,
        cluster: ClusterModel,
        source: random.Random,
        policy: CompiledPolicy,
        parameters: RoutingParameters,
    ) -> None:
        super().__init__(cluster, source)
        self.imports_from_store = parameters.import_enabled
        self.selector = EngineSelector(policy, source, parameters)
        self._admission = AdmissionController()
        self._policy = policy
        self._store = sorted(policy.kv_stores)[0]
        self._decisions: dict[int, Decision] = {}
        self._incarnations: dict[str, str] = {}
        self._expected_sequence: dict[str, int] = {}

    def choose(self, arrival: Arrival, now: float) -> Result[str, Failure]:
        """See `RoutingPolicy.choose`."""
        request = RoutingRequest(arrival.permission, arrival.model, "1", arrival.blocks)
        result = self.selector.select(request, now)
        if not is_successful(result):
            return Err(result.failure())
        decision = result.unwrap()
        admitted = self._admission.check_load(
            arrival.tenant,
            self._weight,
            arrival.permission.rules,
            decision.wait_seconds,
            decision.first_token_seconds,
            arrival.blocks.total_tokens,
            now,
        )
        if not is_successful(admitted):
            return Err(admitted.failure())
        self._decisions[arrival.number] = decision
        return Success(decision.engine)

    def _weight(self, tenant: str) -> float:
        return self._policy.tenants[tenant].weight

    def on_unreachable(self, engine: str, now: float) -> None:
        """See `RoutingPolicy.on_unreachable`."""
        self.selector.loads.on_unreachable(engine, now)
        self.selector.cache_estimates.forget(engine)

    def on_dispatched(self, arrival: Arrival, engine: str, now: float) -> None:
        """See `RoutingPolicy.on_dispatched`."""
        tokens = self._decisions[arrival.number].compute_tokens
        request = RoutingRequest(arrival.permission, arrival.model, "1", arrival.blocks)
        self.selector.on_dispatched(engine, str(arrival.number), request, tokens, now)

    def on_first_token(self, flight: InFlightRequest, now: float) -> None:
        """See `RoutingPolicy.on_first_token`."""
        self.selector.loads.on_first_token(flight.engine, str(flight.arrival.number))

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage, now: float) -> None:
        """See `RoutingPolicy.on_finished`."""
        number = flight.arrival.number
        decision = self._decisions.pop(number)
        self.selector.loads.on_finished(flight.engine, str(number))
        incarnation = self.cluster.engines[flight.engine].core.incarnation
        self.selector.on_answer(
            decision, incarnation, flight.arrival.blocks, usage.cached_tokens, now
        )
        blocks = self.selector.blocks_to_export(self._store, flight.arrival.blocks)
        if blocks:
            self.selector.stores.note_held(self._store, blocks)
            self.cluster.engines[flight.engine].export(blocks)

    def on_load(self, engine: str, load: EngineLoad, now: float) -> None:
        """See `RoutingPolicy.on_load`."""
        self.selector.loads.on_report(engine, load, now)
        self.selector.loads.on_reachable(engine)

    def on_events(
        self, engine: str, incarnation: str, events: list[CacheEvent], now: float
    ) -> None:
        """See `RoutingPolicy.on_events`."""
        cache_estimates = self.selector.cache_estimates
        if cache_estimates.observe_incarnation(engine, incarnation):
            self._expected_sequence[engine] = 1
        for event in events:
            if event.sequence != self._expected_sequence.get(engine, event.sequence):
                cache_estimates.note_event_gap(engine, incarnation)
            self._expected_sequence[engine] = event.sequence + 1
            stored = [bytes.fromhex(block) for block in event.stored]
            evicted = [bytes.fromhex(block) for block in event.evicted]
            cache_estimates.note_held(engine, incarnation, stored)
            cache_estimates.note_evicted(engine, incarnation, evicted)
        if cache_estimates.is_unverified(engine):
            self._resynchronise(engine, incarnation)

    def _resynchronise(self, engine: str, incarnation: str) -> None:
        """Fetch the engine's list of blocks after a gap, as `EngineFollower` does."""
        core = self.cluster.engines[engine].core
        if core.incarnation != incarnation:
            return
        cache_estimates = self.selector.cache_estimates
        cache_estimates.forget(engine)
        cache_estimates.observe_incarnation(engine, incarnation)
        cache_estimates.note_held(engine, incarnation, core.pool.blocks())
        cache_estimates.note_resynchronised(engine, incarnation)
