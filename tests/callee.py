"""A server on a socket that replies to calls, and a pool of connections to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.platform.names import HEADER_NAMES
from milletcourse.runtime.responsive_clock import ResponsiveClock

MAX_CONNECTIONS = 8
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def listening_callee(serve: Serve) -> AsyncIterator[tuple[ConnectionPool, str]]:
    """A pool, and the address of a server that handles each connection with `serve`."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = ConnectionPool(
        HeaderDialect(HEADER_NAMES),
        lambda address: None,
        lambda data: None,
        ResponsiveClock(),
        MAX_CONNECTIONS,
        lambda address: MAX_CONNECTIONS,
    )
    try:
        yield pool, f"{host}:{port}"
    finally:
        pool.close()
        server.close()
