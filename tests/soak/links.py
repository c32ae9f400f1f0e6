"""Links of machines that carry so much a second, shared by all that passes them."""

from __future__ import annotations

import asyncio
import time


class Link:
    """A link whose bytes go out one after the other, in both directions together.

    Attributes:
        carried_bytes: What has passed.
    """

    def __init__(self, megabits: float) -> None:
        self._bytes_per_second = megabits * 1e6 / 8
        self._free_at = 0.0
        self.carried_bytes = 0

    async def carry(self, size: int) -> None:
        """Wait until so many bytes have gone out behind those that came before."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._bytes_per_second
        self.carried_bytes += size
        await asyncio.sleep(self._free_at - now)
