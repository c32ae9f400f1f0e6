"""How many more clients a gateway may accept; those that it has make room for others."""

from __future__ import annotations

import socket

from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.runtime.sockets import waiting_connections

SHORT_SECONDS = 0.1
"""So long after a client had to wait, answers ask their clients to leave: they come back as others
do, and their connections aren't closed under a request that is on its way."""
MIN_REST_SECONDS = 0.5
"""A client that rests no longer may be about to send."""
CLOSED_TOGETHER = 16
"""Connections that are closed at once for others."""


class ClientGate:
    """Room for clients' connections.

    Attributes:
        clients: Those that are open.
    """

    def __init__(self, context: GatewayContext) -> None:
        """No client yet.

        Args:
            context: What all parts of the gateway share.
        """
        self.clients: set[ClientConnection] = set()
        self._context = context

    def room(self, listening: socket.socket) -> int:
        """How many more may be accepted.

        Args:
            listening: Where they wait meanwhile.
        """
        context = self._context
        room = context.descriptors.clients - len(self.clients)
        if room > 0:
            return room
        waiting = waiting_connections(listening)
        context.record.clients_waiting(len(self.clients), waiting)
        context.short_of_descriptors_until = context.now() + SHORT_SECONDS
        self._close_resting(min(waiting, CLOSED_TOGETHER))
        return 0

    def _close_resting(self, count: int) -> None:
        """Close the connections that rest longest; their clients lose nothing but a handshake."""
        since = self._context.now() - MIN_REST_SECONDS
        states = ((client.state(), client) for client in self.clients if client.is_idle)
        resting = [
            (state.idle_since, id(client), client)
            for state, client in states
            if state.idle_since < since and not state.unread_bytes
        ]
        for _, _, client in sorted(resting)[:count]:
            client.close()
