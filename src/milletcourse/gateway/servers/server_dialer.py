"""Opens connections to servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.gateway.servers.descriptors import LOCAL_RESOURCE_ERRNOS, LocalResourceError
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.runtime.addresses import split_address
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout

CONNECT_TIMEOUT_SECONDS = 0.5
"""A live server in the same region accepts within milliseconds."""


async def connect(
    address: str, dialect: HeaderDialect, timeout_seconds: float, clock: ResponsiveClock
) -> ServerConnection:
    """Connect to a server.

    Args:
        address: `host:port`.
        dialect: Parses the heads of answers.
        timeout_seconds: Timeout for the connection to be established.
        clock: Measures the timeout, so that a connection that was established during an event-loop
            stall is not counted as late.

    Raises:
        OSError: No connection was established, or the address is malformed;
            `ConnectionRefusedError` when nothing listens there, `LocalResourceError` when this
            process lacks a descriptor or another local resource for it.
        TimeoutError: The timeout expired.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        # A malformed address counts as unreachable, so that the request goes to another server.
        raise OSError(str(error)) from error
    loop = asyncio.get_running_loop()
    try:
        async with responsive_timeout(clock, min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)):
            _, protocol = await loop.create_connection(
                lambda: ServerConnection(address, dialect), host, port
            )
    except OSError as error:
        if error.errno in LOCAL_RESOURCE_ERRNOS:
            raise LocalResourceError(*error.args) from error
        raise
    return protocol


Dial = Callable[[str, HeaderDialect, float, ResponsiveClock], Awaitable[ServerConnection]]
"""Opens a connection; arguments, result and errors as of `connect`."""
