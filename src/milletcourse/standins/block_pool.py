"""KV block pool of the stand-in engine: bounded, reference-counted, with LRU eviction."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from milletcourse.prefix.blocks import BlockHash


@dataclass(frozen=True, slots=True)
class Provenance:
    """Producer of a cached block; ground truth for checks only."""

    tenant: str
    weight_version: str
    incarnation: str


@dataclass(slots=True)
class PoolChanges:
    """Blocks stored and evicted by one operation, for cache events."""

    stored: list[BlockHash] = field(default_factory=list)
    evicted: list[BlockHash] = field(default_factory=list)


class BlockPool:
    """Cached blocks by chain hash.

    Pinned blocks belong to a running request; unpinned ones stay until they are evicted.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self._provenance: dict[BlockHash, Provenance] = {}
        self._pins: dict[BlockHash, int] = {}
        self._evictable: OrderedDict[BlockHash, None] = OrderedDict()
        self.reserved_blocks = 0

    def __len__(self) -> int:
        return len(self._provenance)

    def __contains__(self, block: BlockHash) -> bool:
        return block in self._provenance

    @property
    def free_blocks(self) -> int:
        """Number of blocks that are neither pinned nor reserved."""
        return self.capacity_blocks - len(self._pins) - self.reserved_blocks

    def blocks(self) -> list[BlockHash]:
        """Return all cached blocks."""
        return list(self._provenance)

    def provenance(self, block: BlockHash) -> Provenance:
        """Return the producer of a cached block."""
        return self._provenance[block]

    def cached_prefix(self, chain: Sequence[BlockHash]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, block in enumerate(chain):
            if block not in self._provenance:
                return index
        return len(chain)

    def pin(self, blocks: Sequence[BlockHash]) -> None:
        """Protect cached blocks from eviction until `unpin`."""
        for block in blocks:
            self._pins[block] = self._pins.get(block, 0) + 1
            self._evictable.pop(block, None)

    def unpin(self, blocks: Sequence[BlockHash]) -> None:
        """Release pinned blocks; the last of the chain is evicted before the others."""
        for block in reversed(blocks):
            count = self._pins[block] - 1
            if count:
                self._pins[block] = count
                continue
            del self._pins[block]
            self._evictable[block] = None

    def insert(self, block: BlockHash, provenance: Provenance, changes: PoolChanges) -> bool:
        """Cache a block, evicting the least recently used one when full.

        Returns:
            False when every block is pinned.
        """
        if block in self._provenance:
            return True
        if len(self._provenance) + self.reserved_blocks >= self.capacity_blocks:
            if not self._evictable:
                return False
            victim, _ = self._evictable.popitem(last=False)
            del self._provenance[victim]
            changes.evicted.append(victim)
        self._provenance[block] = provenance
        self._evictable[block] = None
        changes.stored.append(block)
        return True

    def clear_unpinned(self, changes: PoolChanges) -> None:
        """Evict all blocks that no running request uses."""
        for block in list(self._evictable):
            del self._provenance[block]
            changes.evicted.append(block)
        self._evictable.clear()
