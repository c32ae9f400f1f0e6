"""Finds out whether a server has got a request, from the acknowledgements of its network stack.

The network stack of a running machine acknowledges bytes within a round trip, even while the server
itself is busy or paused. A request of which nothing is acknowledged is on a path, or on a
connection, that has stopped working.
"""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.state.context import GatewayContext

FIRST_CHECK_SECONDS = 0.1
"""Longer than a round trip between regions."""
CHECK_INTERVAL_SECONDS = 0.1
DEAD_CONNECTION_SECONDS = 1.0
"""When new connections to the server work, an unacknowledged request is given this long: a lost
packet is sent again within some hundred milliseconds."""


class DeliveryCheck:
    """Watches one request from its send until any part of it is acknowledged."""

    def __init__(
        self,
        context: GatewayContext,
        instance: Instance,
        connection: ServerConnection,
        size: int,
        on_change: Callable[[bool], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Start to watch a request that has just been sent over a direct connection.

        Args:
            context: Shared state of the gateway.
            instance: The server.
            connection: The connection.
            size: Size of the request in bytes.
            on_change: Called with whether the server has got the request, when that changes.
            on_lost: Called when the request will not arrive over this connection.
        """
        self._context = context
        self._instance = instance
        self._connection = connection
        self._size = size
        self._on_change = on_change
        self._on_lost = on_lost
        self._sent_at = context.now()
        self.is_undelivered = False
        self._timer = context.loop.call_later(FIRST_CHECK_SECONDS, self._check)

    def stop(self) -> None:
        """Stop watching: data from the server has arrived, or the attempt is over."""
        self._timer.cancel()
        if self.is_undelivered:
            self.is_undelivered = False
            self._on_change(True)

    def _check(self) -> None:
        if self._connection.unacknowledged_bytes() < self._size:
            self.stop()
            return
        paths = self._context.paths
        address = self._instance.record.address
        if not self.is_undelivered:
            self.is_undelivered = True
            self._on_change(False)
            self._context.server_links.monitor.on_undelivered(address, self._sent_at)
        waited = self._context.now() - self._sent_at
        if paths.is_lost(address) or waited > DEAD_CONNECTION_SECONDS:
            self._on_lost()
        else:
            self._context.server_links.check(address, self._instance.record.zone)
        self._timer = self._context.loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
