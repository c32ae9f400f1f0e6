"""Bandwidth-limited machine links, shared by all traffic that passes them."""

from __future__ import annotations

import asyncio
import time


class Link:
    """A link that sends bytes one after another; both directions share its bandwidth.

    Attributes:
        carried_bytes: Total bytes sent in both directions.
    """

    def __init__(self, megabits: float) -> None:
        self._bytes_per_second = megabits * 1e6 / 8
        self._free_at = 0.0
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Wait until `size` bytes have been sent after all earlier ones."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_second
        self.carried_bytes += size
        await asyncio.sleep(self._free_at - now)
