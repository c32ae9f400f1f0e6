"""Limits the number of client connections; idle and slow ones are closed when others wait."""

from __future__ import annotations

import socket

from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.runtime.sockets import waiting_connections

SHORTAGE_SECONDS = 0.1
"""For this time after a client had to wait, answers ask their clients to close their connections.
These clients then queue like the others, and no connection is closed while a request is in transit
on it."""
MIN_IDLE_SECONDS = 0.5
"""A client that has been idle for less time may be about to send a request."""
MIN_RECEIVING_SECONDS = 2.0
"""A client that has been sending its request for less time may complete it soon."""
MAX_CLOSED_AT_ONCE = 16
"""Maximum number of connections that are closed at once for waiting clients."""


class ConnectionLimiter:
    """Limits the number of open client connections.

    Attributes:
        clients: The open connections.
    """

    def __init__(self, context: GatewayContext) -> None:
        """Start without any client.

        Args:
            context: Shared state of the gateway.
        """
        self.clients: set[ClientConnection] = set()
        self._context = context

    def capacity(self, listening: socket.socket) -> int:
        """How many more connections may be accepted now.

        Args:
            listening: The listening socket in whose backlog clients wait meanwhile.
        """
        context = self._context
        capacity = context.descriptors.clients - len(self.clients)
        if capacity > 0:
            return capacity
        waiting = waiting_connections(listening)
        context.record.clients_waiting(len(self.clients), waiting)
        context.short_of_descriptors_until = context.now() + SHORTAGE_SECONDS
        closed = self._close_idle(min(waiting, MAX_CLOSED_AT_ONCE))
        self._refuse_slow(min(waiting, MAX_CLOSED_AT_ONCE) - closed)
        return 0

    def _close_idle(self, count: int) -> int:
        """Close the connections that are idle longest; reconnecting costs a client a handshake.

        Returns:
            Number of connections that are closing now.
        """
        since = self._context.now() - MIN_IDLE_SECONDS
        states = ((client.state(), client) for client in self.clients if client.is_idle)
        idle = [
            (state.idle_since, id(client), client)
            for state, client in states
            if state.idle_since < since and not state.unread_bytes
        ]
        chosen = sorted(idle)[:count]
        for _, _, client in chosen:
            client.close()
        return len(chosen)

    def _refuse_slow(self, count: int) -> None:
        """Refuse the requests that have been incomplete longest and hardly move."""
        now = self._context.now()
        slow = [
            (share.since, id(client), client)
            for share, client in ((client.memory_share, client) for client in self.clients)
            if share.received_bytes and share.is_slow(now)
        ]
        oldest = [item for item in sorted(slow) if now - item[0] > MIN_RECEIVING_SECONDS]
        for _, _, client in oldest[:count]:
            client.refuse_incomplete("other clients wait for a connection")
        if oldest:
            self._context.record.slow_clients_refused(len(oldest[:count]))
