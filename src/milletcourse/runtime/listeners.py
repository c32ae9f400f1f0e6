"""Closes listeners without resetting connections that wait in the backlog."""

from __future__ import annotations

import asyncio

from milletcourse.runtime.acceptor import Acceptor
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.sockets import waiting_connections

MAX_DRAIN_SECONDS = 0.5
"""Bound on draining, for a listener whose connections arrive faster than they are accepted."""


async def drain_and_close(listener: asyncio.Server | Acceptor) -> int:
    """Close a listener after its backlog has been accepted: closing resets waiting connections.

    The event loop accepts one connection of a listener per iteration.

    Returns:
        Number of connections that still waited and were reset.
    """
    sock = listener.sockets[0]
    until = elapsed_seconds() + MAX_DRAIN_SECONDS
    while waiting_connections(sock) and elapsed_seconds() < until:
        await asyncio.sleep(0)
    waiting = waiting_connections(sock)
    listener.close()
    return waiting
