"""Estimates which prompt blocks each engine caches.

Estimates are hints for routing. A wrong one costs a recomputation and never causes a wrong reuse,
since the cache salt determines what an engine can match. Estimates are kept per (engine,
incarnation): any sign of a new incarnation discards the estimate of the previous one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from milletcourse.prefix.blocks import BlockHash

DEFAULT_MAX_BLOCKS_PER_ENGINE = 4096
"""Above the cache size of an engine; bounds the memory per followed engine."""
UNVERIFIED_WEIGHT = 0.5
"""Share of an unverified prefix that a cost estimate counts as held: an even chance."""


class EngineCacheEstimate:
    """Estimated cache contents of one engine incarnation, least recently confirmed block first."""

    def __init__(self, incarnation: str, max_blocks: int) -> None:
        self.incarnation = incarnation
        self.next_sequence: int | None = None
        self.unverified = False
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[BlockHash, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, block: BlockHash) -> bool:
        return block in self._blocks

    def add(self, blocks: Iterable[BlockHash]) -> list[BlockHash]:
        """Add held blocks; returns the blocks dropped to stay within the bound."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        dropped = []
        while len(self._blocks) > self._max_blocks:
            dropped.append(self._blocks.popitem(last=False)[0])
        return dropped

    def discard(self, block: BlockHash) -> None:
        """Remove a block that is not held."""
        self._blocks.pop(block, None)

    def blocks(self) -> Collection[BlockHash]:
        """All blocks estimated to be held."""
        return self._blocks.keys()


class CacheEstimateIndex:
    """Cache estimates of all followed engines, indexed by block."""

    def __init__(self, max_blocks_per_engine: int = DEFAULT_MAX_BLOCKS_PER_ENGINE) -> None:
        self._max_blocks = max_blocks_per_engine
        self._engines: dict[str, EngineCacheEstimate] = {}
        self._holders: dict[BlockHash, dict[str, None]] = {}

    def __len__(self) -> int:
        """Number of distinct blocks."""
        return len(self._holders)

    def incarnation(self, engine: str) -> str | None:
        """The incarnation that the estimate is about; None without an estimate."""
        estimate = self._engines.get(engine)
        return estimate.incarnation if estimate else None

    def observe_incarnation(self, engine: str, incarnation: str) -> bool:
        """Record the running incarnation; discards the estimate of another one.

        Returns:
            True when the engine is new or restarted.
        """
        estimate = self._engines.get(engine)
        if estimate is not None and estimate.incarnation == incarnation:
            return False
        self.forget(engine)
        self._engines[engine] = EngineCacheEstimate(incarnation, self._max_blocks)
        return True

    def forget(self, engine: str) -> None:
        """Discard the estimate of an engine."""
        estimate = self._engines.pop(engine, None)
        for block in estimate.blocks() if estimate else ():
            self._drop_holder(engine, block)

    def note_held(self, engine: str, incarnation: str, blocks: Sequence[BlockHash]) -> None:
        """Record that the engine holds these blocks; ignored for another incarnation."""
        estimate = self._current(engine, incarnation)
        if estimate is None:
            return
        for block in blocks:
            self._holders.setdefault(block, {})[engine] = None
        for block in estimate.add(blocks):
            self._drop_holder(engine, block)

    def note_evicted(self, engine: str, incarnation: str, blocks: Iterable[BlockHash]) -> None:
        """Record that the engine evicted these blocks; ignored for another incarnation."""
        estimate = self._current(engine, incarnation)
        if estimate is None:
            return
        for block in blocks:
            estimate.discard(block)
            self._drop_holder(engine, block)

    def note_answer(
        self, engine: str, incarnation: str, chain: Sequence[BlockHash], cached_blocks: int
    ) -> None:
        """Correct the estimate by the number of cached blocks that an answer reported.

        The whole chain is held after the answer. A number lower than estimated shows that eviction
        events were lost, so the engine's whole estimate becomes unverified.
        """
        if self._current(engine, incarnation) is None:
            self.observe_incarnation(engine, incarnation)
        estimated = self.held_blocks(engine, chain)
        if estimated > cached_blocks:
            self._engines[engine].unverified = True
        self.note_held(engine, incarnation, chain)

    def note_event_gap(self, engine: str, incarnation: str) -> None:
        """Mark the estimate as unverified after lost events."""
        estimate = self._current(engine, incarnation)
        if estimate is not None:
            estimate.unverified = True

    def note_resynchronised(self, engine: str, incarnation: str) -> None:
        """Mark the estimate as verified after it was rebuilt from the engine's block list."""
        estimate = self._current(engine, incarnation)
        if estimate is not None:
            estimate.unverified = False

    def is_unverified(self, engine: str) -> bool:
        """Whether the estimate may be wrong, since events of the engine were lost."""
        estimate = self._engines.get(engine)
        return estimate is not None and estimate.unverified

    def held_blocks(self, engine: str, chain: Sequence[BlockHash]) -> int:
        """Length in blocks of a chain's prefix that one engine is estimated to hold.

        Engines evict the deepest blocks first, so the deepest held block gives the length.
        """
        estimate = self._engines.get(engine)
        if estimate is None:
            return 0
        for depth in range(len(chain), 0, -1):
            if chain[depth - 1] in estimate:
                return depth
        return 0

    def holders(self, chain: Sequence[BlockHash], limit: int) -> dict[str, int]:
        """Engines estimated to hold a prefix, longest first, with the prefix length in blocks.

        Args:
            chain: The prompt's block hashes.
            limit: Stop after this many engines.
        """
        found: dict[str, int] = {}
        for depth in range(len(chain), 0, -1):
            for engine in self._holders.get(chain[depth - 1], ()):
                if engine not in found:
                    found[engine] = depth
                    if len(found) >= limit:
                        return found
        return found

    def _current(self, engine: str, incarnation: str) -> EngineCacheEstimate | None:
        estimate = self._engines.get(engine)
        return estimate if estimate is not None and estimate.incarnation == incarnation else None

    def _drop_holder(self, engine: str, block: BlockHash) -> None:
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(engine, None)
        if not holders:
            del self._holders[block]
