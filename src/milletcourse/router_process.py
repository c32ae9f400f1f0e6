"""A router process that listens on TCP and UDP."""

from __future__ import annotations

from milletcourse.node import RouterNode
from milletcourse.runtime.aiohttp_client import AiohttpClient
from milletcourse.runtime.clock import LoopClock
from milletcourse.runtime.datagrams import DatagramEndpoint, DatagramHandler, UdpEndpoint
from milletcourse.runtime.random_source import system_random_source
from milletcourse.runtime.server import HttpServer
from milletcourse.settings import RouterSettings


class RouterServer:
    """One router with its HTTP server and UDP endpoint."""

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._client = AiohttpClient()
        self.node = RouterNode(settings, LoopClock(), self._client, system_random_source())
        self.server = HttpServer(self.node.application, settings.host, settings.port)

    @property
    def address(self) -> str:
        """`host:port` of the HTTP server."""
        return self.server.address

    @property
    def datagram_address(self) -> str:
        """`host:port` of the UDP socket."""
        return self.node.detector.own.datagram_address

    async def start(self) -> None:
        """Start serving."""
        await self.server.start()
        await self.node.start(self.server.address, self._open_datagrams)

    async def _open_datagrams(self, handler: DatagramHandler) -> DatagramEndpoint:
        return await UdpEndpoint.open(self._settings.host, self._settings.datagram_port, handler)

    async def stop(self) -> None:
        """Stop gracefully: running requests complete."""
        await self.node.drain()
        await self.server.stop()
        await self.node.close()
        await self._client.close()
