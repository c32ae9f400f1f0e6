"""Estimates which blocks the KV stores hold.

A wrong estimate costs one lookup: the engine imports only what the store actually holds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from milletcourse.prefix.blocks import BlockHash

DEFAULT_MAX_BLOCKS = 100_000
"""About 20 MB."""
SHORT_IMPORTS_BEFORE_PAUSE = 2
"""One short import may be an eviction at the store; consecutive ones indicate an outage."""
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
"""Bounds how long a recovered store stays unused."""


@dataclass(slots=True)
class _StoreHealth:
    """Consecutive short imports of a store, and the resulting pause."""

    short_imports: int = 0
    pause_seconds: float = FIRST_PAUSE_SECONDS
    paused_until: float = 0.0


class StoreIndex:
    """Estimated contents of each KV store."""

    def __init__(self, max_blocks: int = DEFAULT_MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._stores: dict[str, OrderedDict[BlockHash, None]] = {}
        self._health: dict[str, _StoreHealth] = {}

    def on_import(self, store: str, was_short: bool, now: float) -> None:
        """Record whether an import returned fewer blocks than estimated, as an answer reported."""
        health = self._health.setdefault(store, _StoreHealth())
        if not was_short:
            self._health[store] = _StoreHealth()
            return
        health.short_imports += 1
        if health.short_imports == SHORT_IMPORTS_BEFORE_PAUSE:
            health.paused_until = now + health.pause_seconds

    def try_use(self, store: str, now: float) -> bool:
        """Whether a request may import from the store.

        While the store seems to be down, one request after each pause probes it; the pause doubles
        with each probe.
        """
        health = self._health.get(store)
        if health is None or health.short_imports < SHORT_IMPORTS_BEFORE_PAUSE:
            return True
        if now < health.paused_until:
            return False
        health.pause_seconds = min(2 * health.pause_seconds, MAX_PAUSE_SECONDS)
        health.paused_until = now + health.pause_seconds
        return True

    def note_held(self, store: str, blocks: Iterable[BlockHash]) -> None:
        """Record that the store holds these blocks."""
        held = self._stores.setdefault(store, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > self._max_blocks:
            held.popitem(last=False)

    def held_blocks(self, store: str, chain: Sequence[BlockHash]) -> int:
        """Length in blocks of the chain's prefix that the store is estimated to hold."""
        held = self._stores.get(store)
        if held is None:
            return 0
        for depth in range(len(chain), 0, -1):
            if chain[depth - 1] in held:
                return depth
        return 0

    def missing(self, store: str, chain: Sequence[BlockHash]) -> tuple[BlockHash, ...]:
        """Blocks of a chain that the store is not estimated to hold."""
        held = self._stores.get(store, OrderedDict())
        return tuple(block for block in chain if block not in held)
