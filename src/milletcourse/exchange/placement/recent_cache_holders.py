"""Which servers lately read which parts of prompts, as far as this gateway sent them; no I/O.

Servers keep what was used last and drop the rest without saying so. What a gateway sent to a server
a while ago has probably given way there, the sooner the more gateways send; so a belief ends after
a time, and the prompt goes back to its home, which all gateways use.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

MAX_PARTS = 4096
"""Further parts are forgotten, those that were sent longest ago first; some 200 bytes each."""


class RecentCacheHolders:
    """Parts with the servers that they were sent to, and when."""

    def __init__(self, lifetime_seconds: float) -> None:
        self.lifetime_seconds = lifetime_seconds
        # Key of a part -> server -> when it was sent there last.
        self._sent_at: OrderedDict[bytes, dict[str, float]] = OrderedDict()

    def __len__(self) -> int:
        """Number of parts."""
        return len(self._sent_at)

    def note_sent(self, server: str, keys: Sequence[bytes], now: float) -> None:
        """A server gets a prompt with these parts, and keeps them for a while."""
        for key in keys:
            self._sent_at.setdefault(key, {})[server] = now
            self._sent_at.move_to_end(key)
        while len(self._sent_at) > MAX_PARTS:
            self._sent_at.popitem(last=False)

    def cached_parts(self, server: str, keys: Sequence[bytes], now: float) -> int:
        """How many parts from the first on a server is believed to keep."""
        for depth in range(len(keys), 0, -1):
            sent_at = self._sent_at.get(keys[depth - 1], {}).get(server)
            if sent_at is not None and now - sent_at < self.lifetime_seconds:
                return depth
        return 0

    def holders(self, keys: Sequence[bytes], limit: int, now: float) -> list[str]:
        """Servers that are believed to keep some of the parts, most parts first."""
        found: dict[str, None] = {}
        for key in reversed(keys):
            for server, sent_at in self._sent_at.get(key, {}).items():
                if now - sent_at < self.lifetime_seconds:
                    found[server] = None
                    if len(found) >= limit:
                        return list(found)
        return list(found)

    def forget(self, server: str) -> None:
        """A server ended or lost what it kept."""
        for key in [key for key, servers in self._sent_at.items() if server in servers]:
            servers = self._sent_at[key]
            del servers[server]
            if not servers:
                del self._sent_at[key]
