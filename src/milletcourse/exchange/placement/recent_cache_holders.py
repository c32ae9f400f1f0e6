"""Which servers are assumed to have which parts of prompts cached; no I/O.

The estimate covers parts that this gateway sent. Servers evict the least recently used parts
without notice. A part that a gateway sent to a server some time ago has probably been evicted, the
sooner the more gateways send prompts there. An estimate therefore expires, and the prompt returns
to its home, which all gateways use.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

MAX_PARTS = 4096
"""Beyond this number the parts sent longest ago are dropped; a part takes some 200 bytes."""


class RecentCacheHolders:
    """Parts with the servers to which they were sent, and when."""

    def __init__(self, lifetime_seconds: float) -> None:
        self.lifetime_seconds = lifetime_seconds
        # Key of a part -> server -> monotonic time at which it was last sent there.
        self._sent_at: OrderedDict[bytes, dict[str, float]] = OrderedDict()

    def __len__(self) -> int:
        """Number of parts."""
        return len(self._sent_at)

    def note_sent(self, server: str, keys: Sequence[bytes], now: float) -> None:
        """Record that a server gets a prompt with these parts, and caches them for a while."""
        for key in keys:
            self._sent_at.setdefault(key, {})[server] = now
            self._sent_at.move_to_end(key)
        while len(self._sent_at) > MAX_PARTS:
            self._sent_at.popitem(last=False)

    def cached_parts(self, server: str, keys: Sequence[bytes], now: float) -> int:
        """Number of leading parts that a server is assumed to have cached."""
        for depth in range(len(keys), 0, -1):
            sent_at = self._sent_at.get(keys[depth - 1], {}).get(server)
            if sent_at is not None and now - sent_at < self.lifetime_seconds:
                return depth
        return 0

    def holders(self, keys: Sequence[bytes], limit: int, now: float) -> list[str]:
        """Servers that are assumed to have some of the parts cached, most parts first."""
        found: dict[str, None] = {}
        for key in reversed(keys):
            for server, sent_at in self._sent_at.get(key, {}).items():
                if now - sent_at < self.lifetime_seconds:
                    found[server] = None
                    if len(found) >= limit:
                        return list(found)
        return list(found)

    def forget(self, server: str) -> None:
        """Drop a server that exited or lost its cache."""
        for key in [key for key, servers in self._sent_at.items() if server in servers]:
            servers = self._sent_at[key]
            del servers[server]
            if not servers:
                del self._sent_at[key]
