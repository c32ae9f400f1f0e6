"""One run of one routing policy on the cluster model."""

from __future__ import annotations

import functools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import numpy
from returns.pipeline import is_successful

from milletcourse.admission.retry_budget import RetryBudget
from milletcourse.backends.engine_messages import CacheEvent, EngineLoad, EngineUsage
from milletcourse.errors import Failure
from milletcourse.experiments.arrivals import Arrival, ArrivalGenerator
from milletcourse.experiments.baselines import (
    EventIndex,
    LeastLoaded,
    Oracle,
    PowerOfTwo,
    PrefixHash,
    RoundRobin,
    RoutingPolicy,
)
from milletcourse.experiments.cluster_model import (
    ClusterListener,
    ClusterModel,
    FarImports,
    InFlightRequest,
)
from milletcourse.experiments.faults import CRASH_SECONDS, FaultPlan
from milletcourse.experiments.parameters import Deployment
from milletcourse.experiments.production_policy import ProductionPolicy
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.policy.objects import ObjectKey, parse_spec
from milletcourse.routing.parameters import RoutingParameters

DRAIN_SECONDS = 120.0
"""Time after the last arrival in which queued requests complete."""
MAX_RETRIES = 3

PolicyFactory = Callable[[ClusterModel, random.Random, CompiledPolicy], RoutingPolicy]


def _baseline(policy_type: type[RoutingPolicy]) -> PolicyFactory:
    return lambda cluster, source, policy: policy_type(cluster, source)


def production(parameters: RoutingParameters) -> PolicyFactory:
    """The production router with the given parameters."""
    return lambda cluster, source, policy: ProductionPolicy(cluster, source, policy, parameters)


POLICIES: dict[str, PolicyFactory] = {
    "round_robin": _baseline(RoundRobin),
    "least_loaded": _baseline(LeastLoaded),
    "power_of_two": _baseline(PowerOfTwo),
    "prefix_hash": _baseline(PrefixHash),
    "event_index": _baseline(EventIndex),
    "milletcourse": production(RoutingParameters()),
    "milletcourse_no_store": production(
        RoutingParameters(import_enabled=False, export_enabled=False)
    ),
    "oracle": _baseline(Oracle),
}
BASELINES = ("round_robin", "least_loaded", "power_of_two", "prefix_hash", "event_index")


@dataclass(slots=True)
class RunResult:
    """Results of one run, for the requests that arrived after the warm-up.

    Attributes:
        hit_rate: Cached prompt tokens, imports included, divided by all prompt tokens.
        wasted_tokens: Prompt tokens of blocks that had been computed before in the same scope.
        wasted_live_copy_tokens: Wasted tokens for which a permitted, live copy existed.
        ttft_p50_seconds: Median time to first token by class.
        ttft_p99_seconds: 99th percentile by class.
        goodput_per_second: Answers per second whose first token met the bound of its class.
        refused: Refusals by type.
        violations: Requests sent to an engine that policy forbids.
        retries: Number of attempts after the first ones.
        served: Completed requests.
        tenant_tokens: Prompt tokens served by tenant.
        tenant_demand: Prompt tokens requested by tenant.
        tenant_weights: Weight by tenant.
    """

    hit_rate: float
    wasted_tokens: int
    wasted_live_copy_tokens: int
    ttft_p50_seconds: dict[str, float]
    ttft_p99_seconds: dict[str, float]
    goodput_per_second: float
    refused: dict[str, int]
    violations: int
    retries: int
    served: int
    tenant_tokens: dict[str, int] = field(default_factory=dict)
    tenant_demand: dict[str, int] = field(default_factory=dict)
    tenant_weights: dict[str, float] = field(default_factory=dict)


def compile_objects(deployment: Deployment) -> CompiledPolicy:
    """Compile the deployment's policy."""
    policy = CompiledPolicy()
    for item in deployment.objects:
        spec = parse_spec(item.kind, item.name, item.spec).unwrap()
        policy.apply(ObjectKey(item.kind, item.name), spec)
    return policy


class ExperimentRun(ClusterListener):
    """Passes arrivals to routers, and the requests that they route to engines."""

    def __init__(
        self,
        deployment: Deployment,
        factory: PolicyFactory,
        plan: FaultPlan,
        load: float,
        seed: int,
    ) -> None:
        self._workload = deployment.workload
        self._policy = compile_objects(deployment)
        self._plan = plan
        models = {name: spec.weight_version for name, spec in self._policy.models.items()}
        self.cluster = ClusterModel(
            sorted(self._policy.engines),
            self._workload.profile(),
            models,
            plan.event_delay_seconds,
            plan.event_loss,
            seed,
        )
        self.cluster.listener = self
        workload = self._workload
        if not plan.shift:
            workload = msgspec.structs.replace(workload, shift_at_seconds=float("inf"))
        self._arrivals = ArrivalGenerator(self._policy, workload, load, seed).generate()
        self._routers = [
            factory(self.cluster, random.Random(f"router/{seed}/{index}"), self._policy)
            for index in range(self._workload.routers)
        ]
        self._budgets = [RetryBudget(0.0) for _ in self._routers]
        self._refused: Counter[str] = Counter()
        self._retries = 0
        self._violations = 0

    def run(self) -> RunResult:
        """Run to completion."""
        timeline = self.cluster.timeline
        for arrival in self._arrivals:
            timeline.at(arrival.at_seconds, functools.partial(self._on_arrival, arrival, 0))
        self._schedule_faults()
        self.cluster.start_publishing()
        timeline.run(self._workload.duration_seconds + DRAIN_SECONDS)
        return self._result()

    def place_store(self, latency_seconds: float, far_imports: FarImports) -> None:
        """Set the latency between the store and the engines of other places."""
        store = self._policy.kv_stores[sorted(self._policy.kv_stores)[0]]
        self.cluster.far_imports = far_imports
        for name, spec in self._policy.engines.items():
            if spec.place != store.place:
                self.cluster.engines[name].store_latency_seconds = latency_seconds

    def _schedule_faults(self) -> None:
        timeline = self.cluster.timeline
        third = self._workload.duration_seconds / 3
        names = sorted(self.cluster.engines)
        if self._plan.crash:
            for at_seconds in (third, 2 * third):
                timeline.at(at_seconds, functools.partial(self._crash, names[0]))
        if self._plan.store_down:
            timeline.at(third, functools.partial(self._set_store, True))
            timeline.at(2 * third, functools.partial(self._set_store, False))
        if self._plan.zone_cut:
            timeline.at(third, functools.partial(self._set_zone, False))
            timeline.at(2 * third, functools.partial(self._set_zone, True))

    def _crash(self, name: str) -> None:
        engine = self.cluster.engines[name]
        for flight in engine.crash():
            router = self._routers[flight.arrival.router]
            router.on_unreachable(name, self.cluster.timeline.now)
            if flight.first_token_at is None:
                self._retry(flight.arrival, 0)
        self.cluster.timeline.after(CRASH_SECONDS, engine.restart)

    def _set_store(self, down: bool) -> None:
        self.cluster.store.down = down

    def _set_zone(self, reachable: bool) -> None:
        place = sorted(self._policy.places)[0]
        for name, spec in self._policy.engines.items():
            if spec.place == place:
                self.cluster.engines[name].reachable = reachable

    # -- requests -------------------------------------------------------------------------------

    def _on_arrival(self, arrival: Arrival, retry_count: int) -> None:
        now = self.cluster.timeline.now
        router = self._routers[arrival.router]
        if retry_count == 0:
            self._budgets[arrival.router].on_request()
        result = router.choose(arrival, now)
        if not is_successful(result):
            self._refuse(arrival, result.failure())
            return
        name = result.unwrap()
        engine = self.cluster.engines[name]
        if name not in arrival.permission.backend_set:
            self._violations += 1
        if not (engine.up and engine.reachable):
            router.on_unreachable(name, now)
            self._retry(arrival, retry_count)
            return
        router.on_dispatched(arrival, name, now)
        engine.submit(InFlightRequest(arrival, name), router.imports_from_store)

    def _retry(self, arrival: Arrival, retry_count: int) -> None:
        now = self.cluster.timeline.now
        if retry_count >= MAX_RETRIES or not self._budgets[arrival.router].try_retry(now):
            self._refused["retry-budget"] += self._is_counted(arrival)
            return
        self._retries += 1
        self.cluster.timeline.after(
            0.05, functools.partial(self._on_arrival, arrival, retry_count + 1)
        )

    def _refuse(self, arrival: Arrival, failure: Failure) -> None:
        self._refused[failure.code] += self._is_counted(arrival)

    def _is_counted(self, arrival: Arrival) -> int:
        return int(arrival.at_seconds >= self._workload.warm_up_seconds)

    # -- events of the cluster --------------------------------------------------------------------

    def on_first_token(self, flight: InFlightRequest) -> None:
        """Notify only the router of the request."""
        self._routers[flight.arrival.router].on_first_token(flight, self.cluster.timeline.now)

    def on_finished(self, flight: InFlightRequest, usage: EngineUsage) -> None:
        """Notify only the router of the request."""
        router = self._routers[flight.arrival.router]
        router.on_finished(flight, usage, self.cluster.timeline.now)

    def on_load(self, engine: str, load: EngineLoad) -> None:
        """Notify all routers: at these sizes, each router follows all engines."""
        for router in self._routers:
            router.on_load(engine, load, self.cluster.timeline.now)

    def on_events(self, engine: str, incarnation: str, events: list[CacheEvent]) -> None:
        """Notify all routers: at these sizes, each router follows all engines."""
        for router in self._routers:
            router.on_events(engine, incarnation, events, self.cluster.timeline.now)

    # -- figures ----------------------------------------------------------------------------------

    def _result(self) -> RunResult:
        counted = [
            (flight, usage)
            for flight, usage, _ in self.cluster.finished
            if self._is_counted(flight.arrival)
        ]
        prompt = sum(usage.prompt_tokens for _, usage in counted)
        cached = sum(usage.cached_tokens for _, usage in counted)
        seconds = self._workload.duration_seconds - self._workload.warm_up_seconds
        first_tokens: dict[str, list[float]] = {}
        good = 0
        tenant_tokens: Counter[str] = Counter()
        for flight, usage in counted:
            assert flight.first_token_at is not None
            waited = flight.first_token_at - flight.arrival.at_seconds
            request_class = flight.arrival.request_class
            first_tokens.setdefault(request_class.name, []).append(waited)
            good += waited <= request_class.goodput_seconds
            tenant_tokens[flight.arrival.tenant] += usage.prompt_tokens
        demand: Counter[str] = Counter()
        for arrival in self._arrivals:
            if self._is_counted(arrival):
                demand[arrival.tenant] += arrival.blocks.total_tokens
        return RunResult(
            hit_rate=cached / prompt if prompt else 0.0,
            wasted_tokens=sum(flight.recomputed_tokens for flight, _ in counted),
            wasted_live_copy_tokens=sum(flight.live_copy_tokens for flight, _ in counted),
            ttft_p50_seconds=_percentiles(first_tokens, 50),
            ttft_p99_seconds=_percentiles(first_tokens, 99),
            goodput_per_second=good / seconds,
            refused=dict(sorted(self._refused.items())),
            violations=self._violations,
            retries=self._retries,
            served=len(counted),
            tenant_tokens=dict(tenant_tokens),
            tenant_demand=dict(demand),
            tenant_weights={name: self._policy.tenants[name].weight for name in demand},
        )


def _percentiles(values: dict[str, list[float]], percentile: float) -> dict[str, float]:
    return {
        name: round(float(numpy.percentile(items, percentile)), 4)
        for name, items in sorted(values.items())
    }
