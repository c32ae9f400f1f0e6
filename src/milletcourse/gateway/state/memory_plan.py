"""Divides the memory of a gateway's process among its uses."""

from __future__ import annotations

import os

OWN_MEMORY_BYTES = 64 * 1000 * 1000
"""What the process needs for itself: code, configuration, servers and connections."""
CLIENT_SHARE = 0.6
"""Share of the remaining memory for requests of clients. What is counted takes more than its size:
buffers grow in steps, and freed memory is not returned at once."""
MIN_CLIENT_MEMORY_BYTES = 16 * 1000 * 1000


def client_memory_bytes(settings_bound: int) -> int:
    """Memory that requests of clients may take together.

    Args:
        settings_bound: Memory of the process from the settings; 0 when they set none, in which
            case it has that of the machine.
    """
    total = settings_bound or os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    remaining = max(total - OWN_MEMORY_BYTES, 0)
    return max(int(remaining * CLIENT_SHARE), MIN_CLIENT_MEMORY_BYTES)
