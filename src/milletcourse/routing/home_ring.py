"""Home engines of a prefix by consistent hashing, equal on all routers without coordination.

A ring with virtual nodes replaces rendezvous hashing over all permitted engines: both move only
the keys of an engine that is added or removed, and a ring walk costs O(log n) instead of O(n).
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Sequence

import xxhash

VIRTUAL_NODES = 32
"""Balances the load over engines to within about a sixth."""


class HomeRing:
    """A consistent-hash ring of engines."""

    def __init__(self, engines: Sequence[str]) -> None:
        points = [
            (xxhash.xxh64_intdigest(f"{engine}#{index}".encode()), engine)
            for engine in engines
            for index in range(VIRTUAL_NODES)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._engines = [engine for _, engine in points]
        self._size = len(engines)

    def walk(self, key: bytes) -> Iterator[str]:
        """All engines, each once, in the order of preference for a key."""
        start = bisect_right(self._positions, xxhash.xxh64_intdigest(key))
        seen: set[str] = set()
        for step in range(len(self._engines)):
            engine = self._engines[(start + step) % len(self._engines)]
            if engine in seen:
                continue
            seen.add(engine)
            yield engine
            if len(seen) == self._size:
                return
