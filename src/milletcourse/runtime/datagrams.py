"""Datagrams between routers: interface and UDP implementation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_DATAGRAM_BYTES = 1400
"""Fits one Ethernet frame, so that a datagram is never fragmented."""

DatagramHandler = Callable[[bytes, str], None]
"""Called with the payload and the sender's `host:port`."""


class DatagramEndpoint(Protocol):
    """A bound datagram socket."""

    address: str

    def send(self, payload: bytes, destination: str) -> None:
        """Send without waiting; delivery is not guaranteed."""

    def close(self) -> None:
        """Stop receiving."""


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, handler: DatagramHandler) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handler(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a refused datagram counts as a lost one."""


class UdpEndpoint:
    """UDP socket of the running loop."""

    def __init__(self, transport: asyncio.DatagramTransport, address: str) -> None:
        self._transport = transport
        self.address = address

    @classmethod
    async def open(cls, host: str, port: int, handler: DatagramHandler) -> UdpEndpoint:
        """Bind a socket; port 0 selects a free one."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(handler), local_addr=(host, port)
        )
        bound = transport.get_extra_info("sockname")
        return cls(transport, f"{bound[0]}:{bound[1]}")

    def send(self, payload: bytes, destination: str) -> None:
        """See `DatagramEndpoint.send`."""
        host, _, port = destination.rpartition(":")
        self._transport.sendto(payload, (host, int(port)))

    def close(self) -> None:
        """See `DatagramEndpoint.close`."""
        self._transport.close()
