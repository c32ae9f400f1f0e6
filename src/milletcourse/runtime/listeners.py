"""Closing listeners without losing what has come up to them."""

from __future__ import annotations

import asyncio

from milletcourse.runtime.acceptor import Acceptor
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.sockets import waiting_connections

MAX_DRAIN_SECONDS = 0.5
"""A listener whose connections come faster than they can be accepted is closed all the same."""


async def drain_and_close(listener: asyncio.Server | Acceptor) -> int:
    """Close a listener once all that waited there has been accepted: the rest would be reset.

    The event loop accepts one connection of a listener each time round.

    Returns:
        Connections that were reset all the same.
    """
    sock = listener.sockets[0]
    until = elapsed_seconds() + MAX_DRAIN_SECONDS
    while waiting_connections(sock) and elapsed_seconds() < until:
        await asyncio.sleep(0)
    waiting = waiting_connections(sock)
    listener.close()
    return waiting
