"""Seeded open-loop arrivals with nested prefixes."""

from __future__ import annotations

import random
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate

from blake3 import blake3

from milletcourse.experiments.parameters import PrefixLevel, RequestClass, WorkloadParameters
from milletcourse.policy.compiled import CompiledPolicy, Permission, RequestFacts
from milletcourse.prefix.blocks import (
    BLOCK_TOKENS,
    HASH_BYTES,
    BlockHash,
    PromptBlocks,
    chain_root,
)

MAX_GROWTH_BLOCKS = 20


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the experiment.

    Attributes:
        number: Position in the sequence.
        at_seconds: Arrival time.
        router: Index of the router that receives it.
        tenant: Tenant of the request.
        model: Requested model.
        permission: Permission granted by policy.
        request_class: Request class and its parameters.
        blocks: Prompt as a chain of blocks.
    """

    number: int
    at_seconds: float
    router: int
    tenant: str
    model: str
    permission: Permission
    request_class: RequestClass
    blocks: PromptBlocks


class _Zipf:
    """Draws ranks from a Zipf distribution."""

    def __init__(self, count: int, exponent: float) -> None:
        weights = [1.0 / (rank + 1) ** exponent for rank in range(count)]
        self._cumulative = list(accumulate(weights))

    def draw(self, source: random.Random) -> int:
        return bisect_left(self._cumulative, source.random() * self._cumulative[-1])


class ArrivalGenerator:
    """Generates the arrivals of one run, deterministically from the seed."""

    def __init__(
        self, policy: CompiledPolicy, parameters: WorkloadParameters, load: float, seed: int
    ) -> None:
        self._policy = policy
        self._parameters = parameters
        self._load = load
        self._random = random.Random(f"arrivals/{seed}")
        self._tenants = sorted(name for name, spec in policy.tenants.items() if not spec.operator)
        self._tenant_zipf = _Zipf(len(self._tenants), parameters.tenant_zipf)
        self._zipfs: dict[tuple[int, float], _Zipf] = {}
        self._growth: dict[str, int] = {}
        self._model = sorted(policy.models)[0]

    def generate(self) -> list[Arrival]:
        """Generate all arrivals in order of time."""
        drawn: list[tuple[float, RequestClass]] = []
        for request_class in self._parameters.classes:
            rate = request_class.requests_per_second * self._load
            at_seconds = self._random.expovariate(rate)
            while at_seconds < self._parameters.duration_seconds:
                drawn.append((at_seconds, request_class))
                at_seconds += self._random.expovariate(rate)
        drawn.sort(key=lambda item: item[0])
        return [self._arrival(number, *item) for number, item in enumerate(drawn)]

    def _arrival(self, number: int, at_seconds: float, request_class: RequestClass) -> Arrival:
        tenant = self._tenants[self._tenant_zipf.draw(self._random)]
        facts = RequestFacts(tenant, self._model, request_class=request_class.name)
        permission = self._policy.permit(facts).unwrap()
        root = chain_root(self._model, "", "1", permission.reuse_scope)
        chain: list[BlockHash] = []
        parent = root
        shifted = at_seconds >= self._parameters.shift_at_seconds
        for level in request_class.levels:
            path, blocks = self._content(level, tenant, shifted)
            for index in range(blocks):
                parent = blake3(parent + f"{path}/{index}".encode()).digest(HASH_BYTES)
                chain.append(parent)
        tokens = len(chain) * BLOCK_TOKENS + request_class.tail_tokens
        return Arrival(
            number,
            at_seconds,
            self._random.randrange(self._parameters.routers),
            tenant,
            self._model,
            permission,
            request_class,
            PromptBlocks(tuple(chain), tokens),
        )

    def _content(self, level: PrefixLevel, tenant: str, shifted: bool) -> tuple[str, int]:
        """Draw a content; return its name and number of blocks."""
        zipf = self._zipfs.get((level.variants, level.zipf))
        if zipf is None and level.zipf:
            zipf = self._zipfs[level.variants, level.zipf] = _Zipf(level.variants, level.zipf)
        variant = zipf.draw(self._random) if zipf else self._random.randrange(level.variants)
        owner = tenant if level.per == "tenant" else ""
        era = "new" if level.shifts and shifted else "old"
        path = f"{level.name}/{owner}/{variant}/{era}"
        if not level.grows:
            return path, level.blocks
        grown = min(self._growth.get(path, 0) + 1, MAX_GROWTH_BLOCKS)
        self._growth[path] = grown
        return path, level.blocks + grown
