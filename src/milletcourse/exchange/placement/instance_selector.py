"""Selects the server of an attempt among those that may run it; no input/output.

Model servers are selected by estimated time to the first event: prompt tokens waiting there, plus
the part of this prompt that isn't cached there. Prompts with shared parts have home servers by
consistent hashing, so that gateways agree without exchanging messages. Servers of plain
applications are selected by load and latency.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence

import msgspec

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import ServiceRecord
from milletcourse.exchange.placement.engine_load import (
    PREFILL_TOKENS_PER_SECOND,
    ServerLoad,
    interference_seconds,
    queue_seconds,
    wait_seconds,
)
from milletcourse.exchange.placement.long_prompt_servers import is_long, mostly_generates
from milletcourse.exchange.placement.prompt_chain import PromptChain, prompt_chain
from milletcourse.exchange.placement.prompt_homes import PromptHomes
from milletcourse.exchange.placement.recent_cache_holders import RecentCacheHolders
from milletcourse.exchange.placement.reuse_scope import cache_salt
from milletcourse.exchange.placement.server_candidates import ServerCandidates
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable

STORE_READ_COST_FRACTION = 0.7
"""Time to import KV cache from a store, as a fraction of the time to prefill it again."""
HOME_HIT_PROBABILITY = 0.8
"""Probability that the home of a shared part has it cached by requests of other gateways."""
MIN_SHARED_TOKENS = 512
"""Prompts with shorter shared parts have no home: too little prefill is saved there."""
CROSS_ZONE_SECONDS = 0.008
"""Cost of crossing zones: the network round trip and the price of the transferred bytes."""
ENGINE_JITTER_SECONDS = 0.002
"""Random part of a model server's cost, which decides between servers of equal cost."""
LOCAL_SAMPLE_SIZE = 6
"""Servers of the own zone that are compared for one request, in addition to its home and its
holders. Gateways that compared all servers by the same load metrics would all select the same
one."""
REMOTE_SAMPLE_SIZE = 2
"""Servers of other zones that are compared."""
CACHE_LIFETIME_SECONDS = 4.0
"""A prompt that was sent to a server longer ago may have been evicted by prompts of other
gateways."""
MAX_HOLDERS = 4
"""Servers assumed to have a prompt cached that are compared."""
INTERFERENCE_SECONDS = 0.15
"""Cost of running a long prompt alongside streams, or a stream alongside long prompts: the time of
a few prefill chunks."""
SUPERSEDED_SECONDS = 0.08
"""Cost of a server whose weights have been superseded for longer than the grace time while others
have newer ones: its answers are worth less, and requests that still run when the server loads new
weights are worth less again."""
JITTER_FRACTION = 0.25
"""Random part of an application server's cost, so that gateways select different servers."""


class Choice(msgspec.Struct, frozen=True):
    """The best server for a request.

    Attributes:
        instance: The server.
        wait_seconds: Expected time until it starts the request; 0 for applications.
        queue_seconds: Part of that time for prompts that haven't been read yet.
    """

    instance: Instance
    wait_seconds: float = 0.0
    queue_seconds: float = 0.0


class InstanceSelector:
    """Selects servers, and keeps track of the prompts that were sent to them."""

    def __init__(
        self,
        table: InstanceTable,
        gate: VersionGate,
        loads: LoadExchange,
        zone: str,
        random_source: random.Random,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
        retry_delays: PermitRetryDelays | None = None,
    ) -> None:
        self._table = table
        self._gate = gate
        self._loads = loads
        self._zone = zone
        self._random = random_source
        self._mechanisms = mechanisms
        self._homes = PromptHomes(table, Mechanism.LONG_PROMPT_SERVERS in mechanisms)
        self.candidates = ServerCandidates(
            table,
            gate,
            loads,
            mechanisms,
            retry_delays if retry_delays is not None else PermitRetryDelays(),
        )
        self.holders = RecentCacheHolders(CACHE_LIFETIME_SECONDS)
        table.on_forgotten = self.holders.forget

    def choose(
        self,
        service: ServiceRecord,
        request: ExchangeRequest,
        scope: str,
        tried: Collection[str],
        now: float,
        max_gap_seconds: float = 0.0,
    ) -> Choice | None:
        """The best server for a request, None when none may run it.

        Args:
            service: Service that the request goes to.
            request: The request.
            scope: Reuse scope of its KV cache without the weight version.
            tried: Incarnations that already got the request.
            now: Monotonic time.
            max_gap_seconds: Longest allowed gap between events of streams; 0 when none is set.
        """
        candidates = self.candidates.of_service(service, request.model, tried, now)
        if not candidates:
            return None
        if service.models:
            return self._choose_engine(service, request, scope, candidates, now, max_gap_seconds)
        return Choice(min(candidates, key=lambda item: self._application_cost(item, now)))

    # -- engines --------------------------------------------------------------------------------

    def _choose_engine(
        self,
        service: ServiceRecord,
        request: ExchangeRequest,
        scope: str,
        candidates: Sequence[Instance],
        now: float,
        max_gap_seconds: float,
    ) -> Choice:
        model = request.model
        versions = dict.fromkeys(instance.version(model) for instance in candidates)
        chains = {
            version: prompt_chain(request, cache_salt(scope, version)) for version in versions
        }
        superseded = {
            version for version in versions if self._gate.is_superseded(model, version or 0, now)
        }
        home = self._home(service, request, scope, candidates)
        best = Choice(candidates[0])
        best_cost = float("inf")
        avoided = self._avoided(service, request)
        for instance in self._compared(candidates, avoided, home, chains.values(), now):
            chain = chains[instance.version(model)]
            load = self._load(instance, now)
            wait = wait_seconds(service, load, request)
            cost = wait + self._own_cost(instance, request, chain, instance.name == home, now)
            cost += interference_seconds(load, request, max_gap_seconds)
            if instance.version(model) in superseded:
                cost += SUPERSEDED_SECONDS
            if instance.name in avoided:
                cost += INTERFERENCE_SECONDS
            if cost < best_cost:
                best, best_cost = Choice(instance, wait, queue_seconds(load)), cost
        return best

    def _compared(
        self,
        candidates: Sequence[Instance],
        avoided: Collection[str],
        home: str,
        chains: Iterable[PromptChain],
        now: float,
    ) -> Sequence[Instance]:
        """Servers whose costs are compared: the home, holders, and a few at random.

        Args:
            candidates: Servers that may run the prompt.
            avoided: Names of those that run it only when all others are worse.
            home: Name of the prompt's home; empty for none.
            chains: The prompt under each weight version that candidates have.
            now: Monotonic time.
        """
        if len(candidates) <= LOCAL_SAMPLE_SIZE + REMOTE_SAMPLE_SIZE + MAX_HOLDERS:
            return candidates
        by_name = {instance.name: instance for instance in candidates}
        fitting = [item for item in candidates if item.name not in avoided] or candidates
        near = [item for item in fitting if item.record.zone == self._zone]
        far = [item for item in fitting if item.record.zone != self._zone]
        chosen = [*self._sample(near, LOCAL_SAMPLE_SIZE), *self._sample(far, REMOTE_SAMPLE_SIZE)]
        if avoided:
            others = [item for item in candidates if item.name in avoided]
            chosen.extend(self._sample(others, REMOTE_SAMPLE_SIZE))
        names = dict.fromkeys([*(instance.name for instance in chosen), home])
        for chain in chains:
            names.update(dict.fromkeys(self.holders.holders(chain.keys, MAX_HOLDERS, now)))
        return [by_name[name] for name in names if name in by_name]

    def _sample(self, instances: list[Instance], count: int) -> list[Instance]:
        return self._random.sample(instances, min(count, len(instances)))

    def _home(
        self,
        service: ServiceRecord,
        request: ExchangeRequest,
        scope: str,
        candidates: Sequence[Instance],
    ) -> str:
        has_homes = Mechanism.HOME_SERVERS in self._mechanisms
        if not has_homes or request.shared_tokens < MIN_SHARED_TOKENS:
            return ""
        usable = {instance.name for instance in candidates}
        homes = self._homes.ranked_homes(service.name, request, scope)
        return next((name for name in homes if name in usable), "")

    def home_zone(self, service: ServiceRecord, request: ExchangeRequest, scope: str) -> str:
        """Zone of the first home of a prompt's shared parts, whether it may run the prompt or not.

        All gateways agree on it, so that the KV cache that one server exports to the store of this
        zone is found by the next server, wherever it is. Empty when there is no server.
        """
        name = next(self._homes.ranked_homes(service.name, request, scope), "")
        instance = self._table.get(name)
        return instance.record.zone if instance is not None else ""

    def _avoided(self, service: ServiceRecord, request: ExchangeRequest) -> Collection[str]:
        """Names of the servers where a request would interfere with others, or others with it."""
        for_long = self._homes.for_long_prompts(service.name)
        if not for_long:
            return ()
        if is_long(request, PREFILL_TOKENS_PER_SECOND):
            return self._table.of_service(service.name).keys() - for_long
        if mostly_generates(request, PREFILL_TOKENS_PER_SECOND):
            return for_long
        return ()

    def _load(self, instance: Instance, now: float) -> ServerLoad:
        others = self._loads.others_load(instance.key, now)
        return ServerLoad(
            instance.in_flight_tokens + others.waiting_tokens,
            instance.in_flight + others.running,
            instance.memory_tokens + others.memory_tokens,
        )

    def _own_cost(
        self,
        instance: Instance,
        request: ExchangeRequest,
        chain: PromptChain,
        is_home: bool,
        now: float,
    ) -> float:
        """Time to reach a server and to prefill the part of a prompt that isn't cached there."""
        cached = float(self._cached_tokens(instance, chain, now))
        if is_home:
            cached = max(cached, HOME_HIT_PROBABILITY * chain.shared_tokens)
        missing_shared = max(chain.shared_tokens - cached, 0.0)
        total = max(chain.total_tokens, request.prompt_tokens)
        unshared = max(total - max(chain.shared_tokens, cached), 0.0)
        prefill_seconds = (
            missing_shared * STORE_READ_COST_FRACTION + unshared
        ) / PREFILL_TOKENS_PER_SECOND
        jitter = self._random.random() * ENGINE_JITTER_SECONDS
        return prefill_seconds + self._cross_zone_seconds(instance) + jitter

    def _cached_tokens(self, instance: Instance, chain: PromptChain, now: float) -> int:
        """Tokens of a prompt that are assumed to be cached at a server."""
        depth = self.holders.cached_parts(instance.name, chain.keys, now)
        return chain.tokens[depth - 1] if depth else 0

    def _chain_at(self, instance: Instance, request: ExchangeRequest, scope: str) -> PromptChain:
        """The chain of a prompt under the weight version that a server has."""
        return prompt_chain(request, cache_salt(scope, instance.version(request.model)))

    def _cross_zone_seconds(self, instance: Instance) -> float:
        return 0.0 if instance.record.zone == self._zone else CROSS_ZONE_SECONDS

    def work_tokens(
        self, instance: Instance, request: ExchangeRequest, scope: str, now: float
    ) -> int:
        """Prompt tokens that the server has to prefill for a request."""
        chain = self._chain_at(instance, request, scope)
        return max(request.prompt_tokens - self._cached_tokens(instance, chain, now), 0)

    def note_sent(
        self, instance: Instance, request: ExchangeRequest, scope: str, now: float
    ) -> None:
        """Record that the server gets this prompt, and caches it for a while."""
        chain = self._chain_at(instance, request, scope)
        self.holders.note_sent(instance.name, chain.keys, now)

    # -- applications ---------------------------------------------------------------------------

    def _application_cost(self, instance: Instance, now: float) -> float:
        jitter = self._random.random() * JITTER_FRACTION
        in_flight = instance.in_flight + self._loads.others_load(instance.key, now).running
        return (in_flight + 1 + jitter) * instance.latency_seconds + self._cross_zone_seconds(
            instance
        )
