"""Cuts a gateway of this process off from the store and from the other gateways."""

from __future__ import annotations

import asyncio
from typing import Any

from milletcourse.gateway.node import GatewayNode


class IsolatedGateway:
    """Holds back what a gateway sends to the store and the other gateways, and what they send.

    Clients and servers still reach it.
    """

    def __init__(self, node: GatewayNode) -> None:
        """Prepare a gateway; calls that are in flight now are not held back."""
        self._is_connected = asyncio.Event()
        self._is_connected.set()
        calls, peers = node._calls, node._fleet.peers
        send_call, receive, send = calls.call, peers.datagram_received, peers._transport

        async def call(*args: Any, **options: Any) -> Any:
            await self._is_connected.wait()
            reply = await send_call(*args, **options)
            await self._is_connected.wait()
            return reply

        def datagram_received(data: bytes, address: tuple[str, int]) -> None:
            if self._is_connected.is_set():
                receive(data, address)

        class Transport:
            """Drops the datagrams of a cut gateway."""

            @staticmethod
            def sendto(data: bytes, address: tuple[str, int]) -> None:
                if self._is_connected.is_set():
                    send.sendto(data, address)

            @staticmethod
            def close() -> None:
                send.close()

        calls.call = call  # type: ignore[method-assign]
        peers.datagram_received = datagram_received  # type: ignore[method-assign]
        peers._transport = Transport  # type: ignore[assignment]

    def cut(self) -> None:
        """Begin the cut."""
        self._is_connected.clear()

    def heal(self) -> None:
        """End the cut."""
        self._is_connected.set()
