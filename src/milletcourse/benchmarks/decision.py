"""Time of one routing decision at different numbers of engines and prompt lengths."""

from __future__ import annotations

import gc
import random
import statistics
import time

import msgspec
from returns.pipeline import is_successful

from milletcourse.backends.engine_messages import EngineLoad
from milletcourse.policy.compiled import CompiledPolicy, RequestFacts
from milletcourse.policy.objects import ObjectKey, parse_spec
from milletcourse.prefix.blocks import BLOCK_TOKENS, HASH_BYTES, PromptBlocks
from milletcourse.routing.parameters import RoutingParameters
from milletcourse.routing.selector import EngineSelector, RoutingRequest

SHARED_SHARE = 0.6
"""Share of each prompt's blocks that it has in common with other prompts."""
SHARED_PREFIXES = 40
DECISIONS = 2000
REPETITIONS = 5


class DecisionTime(msgspec.Struct, frozen=True):
    """Median time of a decision.

    Attributes:
        engines: Permitted engines.
        blocks: Blocks of a prompt.
        microseconds: Median over repetitions of the mean of one decision.
    """

    engines: int
    blocks: int
    microseconds: float


def measure_decision(engines: int, blocks: int) -> DecisionTime:
    """Select engines for many prompts and report each result back, as a router does."""
    selector, request_for = _setup(engines, blocks)
    times = []
    for repetition in range(REPETITIONS):
        requests = [request_for(repetition * DECISIONS + index) for index in range(DECISIONS)]
        gc.collect()
        started_at = time.perf_counter()
        for index, request in enumerate(requests):
            result = selector.select(request, float(repetition * 10) + index * 0.001)
            if not is_successful(result):
                raise AssertionError("the benchmark's engines are all usable")
            decision = result.unwrap()
            selector.on_answer(decision, "1", request.blocks, 0, 0.0)
        elapsed = time.perf_counter() - started_at
        times.append(elapsed / DECISIONS * 1e6)
    return DecisionTime(engines, blocks, round(statistics.median(times), 1))


def _setup(engines: int, blocks: int) -> tuple[EngineSelector, RequestFactory]:
    policy = CompiledPolicy()
    documents: list[tuple[str, str, dict[str, object]]] = [
        ("Place", "p", {"region": "r"}),
        ("Model", "m", {}),
        ("Tenant", "t", {}),
    ]
    documents.append(("KvStore", "kv", {"address": "1.1.1.1:1", "place": "p"}))
    documents.append(("Workload", "w", {"match": {"models": ["m"]}}))
    documents += [
        ("Engine", f"engine-{index}", {"address": "1.1.1.1:1", "place": "p", "models": ["m"]})
        for index in range(engines)
    ]
    for kind, name, spec in documents:
        policy.apply(ObjectKey(kind, name), parse_spec(kind, name, spec).unwrap())
    selector = EngineSelector(policy, random.Random(1), RoutingParameters(), "p")
    for index in range(engines):
        load = EngineLoad("1", 100 * index % 5000, 1, 0, 100, 12_000.0, {"m": "1"})
        selector.loads.on_report(f"engine-{index}", load, 0.0)
        selector.cache_estimates.observe_incarnation(f"engine-{index}", "1")
    return selector, RequestFactory(policy, blocks)


class RequestFactory:
    """Builds requests whose prompts share prefixes."""

    def __init__(self, policy: CompiledPolicy, blocks: int) -> None:
        self._permission = policy.permit(RequestFacts("t", "m")).unwrap()
        self._blocks = blocks

    def __call__(self, number: int) -> RoutingRequest:
        """The request with the given number."""
        shared = int(self._blocks * SHARED_SHARE)
        prefix = number * 7919 % SHARED_PREFIXES
        hashes = tuple(
            _hash(prefix, index) if index < shared else _hash(1000 + number, index)
            for index in range(self._blocks)
        )
        blocks = PromptBlocks(hashes, self._blocks * BLOCK_TOKENS + 100)
        return RoutingRequest(self._permission, "m", "1", blocks)


def _hash(owner: int, index: int) -> bytes:
    return (owner * 100_003 + index + 1).to_bytes(HASH_BYTES, "big")
