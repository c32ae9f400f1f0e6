"""Serves two protocols on one port of a machine: the first byte tells which one a caller speaks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

FIRST_BYTE_SECONDS = 5.0
"""A connection on which nothing arrives for this long is closed."""


class SharedPortConnection(asyncio.Protocol):
    """A new connection until its first byte."""

    def __init__(
        self,
        mark: bytes,
        marked: Callable[[], asyncio.Protocol],
        other: Callable[[], asyncio.Protocol],
    ) -> None:
        """Decide nothing yet.

        Args:
            mark: First byte of one of the protocols.
            marked: Creates the protocol of connections that begin with it.
            other: Creates the protocol of all others.
        """
        self._mark = mark
        self._marked = marked
        self._other = other
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._timeout = asyncio.get_running_loop().call_later(
            FIRST_BYTE_SECONDS, self._transport.abort
        )

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`: hand the connection over."""
        assert self._transport is not None
        self._stop_timeout()
        protocol = self._marked() if data.startswith(self._mark) else self._other()
        self._transport.set_protocol(protocol)
        protocol.connection_made(self._transport)
        protocol.data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._stop_timeout()

    def _stop_timeout(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
