"""Deterministic model of an engine with continuous batching, without input/output.

The caller advances it: `begin_step` plans a step and returns its duration, `finish_step` applies
the step and returns the tokens it produced. Equal calls give equal results.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from milletcourse.backends.engine_messages import CacheEvent, EngineLoad, EngineUsage
from milletcourse.prefix.blocks import BLOCK_TOKENS, BlockHash, PromptBlocks
from milletcourse.standins.block_pool import BlockPool, PoolChanges, Provenance

EVENT_HISTORY_EVENTS = 20_000
"""Number of cache events kept for followers; as in real engines, older ones are dropped."""


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speeds and sizes of an engine.

    Attributes:
        capacity_blocks: KV cache size.
        max_batch_tokens: Maximum number of tokens computed in one step.
        max_running: Maximum number of sequences in the batch.
        prefill_tokens_per_second: Speed of prompt computation.
        step_overhead_seconds: Fixed time of a step.
        decode_seconds_per_sequence: Added step time for each generating sequence.
        import_seconds_per_block: Time to import one block; imports are serial.
        load_seconds: Time to load weights without a weight store.
    """

    capacity_blocks: int = 512
    max_batch_tokens: int = 512
    max_running: int = 64
    prefill_tokens_per_second: float = 12_000.0
    step_overhead_seconds: float = 0.005
    decode_seconds_per_sequence: float = 0.0002
    import_seconds_per_block: float = 0.010
    load_seconds: float = 0.5


class RequestPhase(StrEnum):
    """Processing phase of a request in the engine."""

    IMPORTING = "importing"
    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    DONE = "done"


@dataclass(slots=True)
class EngineRequest:
    """One request in the engine.

    Attributes:
        request_id: Id of the request.
        blocks: Token count and block hashes of the prompt.
        output_tokens: Tokens to generate.
        first_offset: Offset of the first token to generate.
        priority: Requests with lower values run first.
        tenant: Tenant recorded as the producer of new blocks.
        weight_version: Weight version recorded as the producer of new blocks.
    """

    request_id: str
    blocks: PromptBlocks
    output_tokens: int
    first_offset: int
    priority: int
    tenant: str
    weight_version: str
    arrival: int = 0
    phase: RequestPhase = RequestPhase.WAITING
    computed_tokens: int = 0
    cached_tokens: int = 0
    produced: int = 0
    pinned: int = 0
    chunk_tokens: int = 0

    @property
    def remaining_prefill(self) -> int:
        """Prompt tokens not yet computed."""
        return max(self.blocks.total_tokens - self.computed_tokens, 0)


@dataclass(frozen=True, slots=True)
class Emission:
    """A token produced by a step.

    Attributes:
        request_id: The request.
        offset: Index of the token in the answer.
        usage: Token usage of the request, present with the last token.
    """

    request_id: str
    offset: int
    usage: EngineUsage | None


@dataclass(frozen=True, slots=True)
class ReuseRecord:
    """Ground truth: the producers of the cached blocks that one request reused."""

    request_id: str
    tenant: str
    weight_version: str
    incarnation: str
    sources: tuple[Provenance, ...]


@dataclass(slots=True)
class EngineCounters:
    """Totals of this incarnation; ground truth for checks."""

    prompt_tokens: int = 0
    computed_tokens: int = 0
    cached_tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    reuse: deque[ReuseRecord] = field(default_factory=lambda: deque(maxlen=100_000))


class EngineCore:
    """State of one engine incarnation."""

    def __init__(self, profile: EngineProfile, incarnation: str) -> None:
        self.profile = profile
        self.incarnation = incarnation
        self.pool = BlockPool(profile.capacity_blocks)
        self.counters = EngineCounters()
        self.requests: dict[str, EngineRequest] = {}
        self.loaded: dict[str, str] = {}
        self.leaving = False
        self.fencing_token = 0
        self.next_sequence = 1
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_HISTORY_EVENTS)
        self._arrivals = 0
        self._step: list[EngineRequest] = []

    def submit(self, request: EngineRequest, importing: bool = False) -> None:
        """Queue a request; one with a pending import is not scheduled before `import_finished`."""
        self._arrivals += 1
        request.arrival = self._arrivals
        request.phase = RequestPhase.IMPORTING if importing else RequestPhase.WAITING
        self.requests[request.request_id] = request
        self.counters.prompt_tokens += request.blocks.total_tokens

    def import_finished(self, request_id: str) -> None:
        """Make a request schedulable after its import, whether or not the import succeeded."""
        request = self.requests.get(request_id)
        if request is not None and request.phase is RequestPhase.IMPORTING:
            request.phase = RequestPhase.WAITING

    def store_imported(self, blocks: Sequence[tuple[BlockHash, Provenance]]) -> None:
        """Cache imported blocks and keep their provenance."""
        changes = PoolChanges()
        for block, provenance in blocks:
            if not self.pool.insert(block, provenance, changes):
                break
        self._publish(changes)

    def cancel(self, request_id: str) -> None:
        """Cancel a request; its computed blocks stay cached."""
        request = self.requests.get(request_id)
        if request is None:
            return
        self.counters.cancelled += 1
        self._release(request)

    def begin_step(self) -> float | None:
        """Plan a step.

        Returns:
            The step's duration in seconds, None when there is nothing to compute.
        """
        decoding = [item for item in self.requests.values() if item.phase is RequestPhase.DECODE]
        budget = self.profile.max_batch_tokens - len(decoding)
        self._step = decoding
        prefill_tokens = 0
        running = len(decoding)
        for request in self._prefill_order():
            if budget <= 0 or running >= self.profile.max_running:
                break
            if request.phase is RequestPhase.WAITING and not self._start(request):
                break
            request.chunk_tokens = min(budget, request.remaining_prefill)
            budget -= request.chunk_tokens
            prefill_tokens += request.chunk_tokens
            running += 1
            self._step.append(request)
        if not self._step:
            return None
        return (
            self.profile.step_overhead_seconds
            + prefill_tokens / self.profile.prefill_tokens_per_second
            + len(decoding) * self.profile.decode_seconds_per_sequence
        )

    def _prefill_order(self) -> list[EngineRequest]:
        phases = (RequestPhase.PREFILL, RequestPhase.WAITING)
        waiting = [item for item in self.requests.values() if item.phase in phases]
        waiting.sort(key=lambda item: (item.priority, item.arrival))
        return waiting

    def _start(self, request: EngineRequest) -> bool:
        chain = request.blocks.hashes
        cached = self.pool.cached_prefix(chain)
        needed = len(chain) - cached + 1
        if self.pool.free_blocks < needed and self._has_running_requests():
            return False
        self.pool.pin(chain[:cached])
        request.pinned = cached
        request.cached_tokens = cached * BLOCK_TOKENS
        request.computed_tokens = request.cached_tokens
        request.phase = RequestPhase.PREFILL
        self.counters.cached_tokens += request.cached_tokens
        if cached:
            self._record_reuse(request, chain[:cached])
        return True

    def _has_running_requests(self) -> bool:
        phases = (RequestPhase.PREFILL, RequestPhase.DECODE)
        return any(item.phase in phases for item in self.requests.values())

    def _record_reuse(self, request: EngineRequest, blocks: Sequence[BlockHash]) -> None:
        sources = tuple(dict.fromkeys(self.pool.provenance(block) for block in blocks))
        self.counters.reuse.append(
            ReuseRecord(
                request.request_id,
                request.tenant,
                request.weight_version,
                self.incarnation,
                sources,
            )
        )

    def finish_step(self) -> list[Emission]:
        """Apply the planned step and return the tokens it produced."""
        emissions = []
        changes = PoolChanges()
        for request in self._step:
            if self.requests.get(request.request_id) is not request:
                continue
            if request.phase is RequestPhase.PREFILL:
                self._advance_prefill(request, changes)
                if request.remaining_prefill:
                    continue
                request.phase = RequestPhase.DECODE
            emissions.append(self._emit(request))
        self._step = []
        self._publish(changes)
        return emissions

    def _advance_prefill(self, request: EngineRequest, changes: PoolChanges) -> None:
        request.computed_tokens += request.chunk_tokens
        self.counters.computed_tokens += request.chunk_tokens
        request.chunk_tokens = 0
        provenance = Provenance(request.tenant, request.weight_version, self.incarnation)
        complete = min(request.computed_tokens // BLOCK_TOKENS, len(request.blocks.hashes))
        while request.pinned < complete:
            block = request.blocks.hashes[request.pinned]
            if not self.pool.insert(block, provenance, changes):
                break
            self.pool.pin((block,))
            request.pinned += 1

    def _emit(self, request: EngineRequest) -> Emission:
        offset = request.first_offset + request.produced
        request.produced += 1
        if request.produced < request.output_tokens:
            return Emission(request.request_id, offset, None)
        usage = EngineUsage(
            request.blocks.total_tokens,
            request.first_offset + request.produced,
            request.cached_tokens,
        )
        self.counters.finished += 1
        self._release(request)
        return Emission(request.request_id, offset, usage)

    def _release(self, request: EngineRequest) -> None:
        self.pool.unpin(request.blocks.hashes[: request.pinned])
        request.phase = RequestPhase.DONE
        del self.requests[request.request_id]

    def _publish(self, changes: PoolChanges) -> None:
        if not changes.stored and not changes.evicted:
            return
        event = CacheEvent(
            self.next_sequence,
            tuple(block.hex() for block in changes.stored),
            tuple(block.hex() for block in changes.evicted),
        )
        self.next_sequence += 1
        self._events.append(event)

    def events_after(self, sequence: int, limit: int) -> list[CacheEvent]:
        """Return up to `limit` events with sequence numbers from `sequence` on, oldest first."""
        if not self._events:
            return []
        skip = max(sequence - self._events[0].sequence, 0)
        return [self._events[i] for i in range(skip, min(skip + limit, len(self._events)))]

    def load(self) -> EngineLoad:
        """Return the current load of the engine."""
        queued: dict[int, int] = {}
        for item in self.requests.values():
            queued[item.priority] = queued.get(item.priority, 0) + item.remaining_prefill
        phases = [item.phase for item in self.requests.values()]
        waiting = phases.count(RequestPhase.WAITING) + phases.count(RequestPhase.IMPORTING)
        return EngineLoad(
            incarnation=self.incarnation,
            queued_prefill_tokens=sum(queued.values()),
            queued_by_priority=queued,
            running=len(phases) - waiting,
            waiting=waiting,
            free_blocks=self.pool.free_blocks,
            prefill_tokens_per_second=self.profile.prefill_tokens_per_second,
            models=dict(self.loaded),
            leaving=self.leaving,
        )

    def accept_token(self, fencing_token: int) -> bool:
        """Return whether an order with this fencing token is valid, and store the highest token."""
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        return True

    def install_weights(self, model: str, weight_version: str) -> None:
        """Serve loaded weights; cached blocks of other weights no longer match new requests."""
        self.loaded[model] = weight_version
