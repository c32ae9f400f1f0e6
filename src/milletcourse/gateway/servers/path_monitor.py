"""Finds out which servers are reached: dials them, judges failures, and probes lost paths."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.servers.server_paths import PROBE_INTERVAL_SECONDS, ServerPaths
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.servers.server_dialer import CONNECT_TIMEOUT_SECONDS
from milletcourse.gateway.telemetry.path_recorder import PathRecorder
from milletcourse.runtime.clock import elapsed_seconds

PROBE_TIMEOUT_SECONDS = 0.2


class LinkFailure(Enum):
    """Why there is no connection to a server."""

    SERVER_REFUSES = "server-refuses"
    """The server refuses connections, and other servers accept them."""
    SERVER_SILENT = "server-silent"
    """The server doesn't reply, and other servers do."""
    UNREACHABLE = "unreachable"
    """This gateway reaches no server, and no other gateway helped: nothing is known of the server.
    """
    EXCLUDED = "excluded"
    """The server asked a gateway that reaches it to send it nothing."""

    @property
    def is_servers_fault(self) -> bool:
        """Whether it counts against the server."""
        return self in (LinkFailure.SERVER_REFUSES, LinkFailure.SERVER_SILENT)


class PathMonitor:
    """Keeps `ServerPaths` current, and reports what changes."""

    def __init__(
        self,
        pool: ConnectionPool,
        paths: ServerPaths,
        record: PathRecorder,
        services: Callable[[], dict[str, str]],
    ) -> None:
        """Start with all paths in use.

        Args:
            pool: Direct connections.
            paths: Which servers are reached.
            record: Reports changes to operators.
            services: Returns the service of each known server by its address.
        """
        self._pool = pool
        self._paths = paths
        self._record = record
        self._services = services
        self._probe_needed = asyncio.Event()

    # -- direct connections ---------------------------------------------------------------------

    async def dial(
        self, address: str, began_at: float, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> ServerConnection | None:
        """A new direct connection to a server, None when it didn't come up.

        Args:
            address: `host:port` of the server.
            began_at: Monotonic time at which the attempt began.
            timeout_seconds: Timeout for the connection to be established.

        Raises:
            LocalResourceError: This process lacks a descriptor or another local resource for it.
        """
        try:
            connection = await self._pool.open(address, timeout_seconds)
        except LocalResourceError:
            raise
        except ConnectionError:
            self.on_failed(address, began_at, is_refused=True)
        except (OSError, TimeoutError):
            self.on_failed(address, began_at)
        else:
            self.on_connected(address)
            return connection
        return None

    async def judge_failure(self, address: str, began_at: float) -> LinkFailure:
        """What a failed direct attempt says: another server that is reached clears the path.

        Args:
            address: The server.
            began_at: Monotonic time at which the attempt began.
        """
        if not self._paths.is_path_proven(address, began_at):
            await self._dial_another(address)
        if self._paths.is_path_proven(address, began_at):
            return self.server_fault(address)
        return LinkFailure.UNREACHABLE

    async def _dial_another(self, address: str) -> None:
        """Connect to any other server, unless that has just been tried."""
        now = elapsed_seconds()
        other = self._paths.other_server(address, now)
        if other is not None:
            await self._probe(other, now)

    async def _probe(self, address: str, began_at: float) -> None:
        """Dial a server, and pool the connection."""
        try:
            connection = await self.dial(address, began_at, PROBE_TIMEOUT_SECONDS)
        except LocalResourceError:
            return
        if connection is not None:
            self._pool.release(connection)

    def server_fault(self, address: str) -> LinkFailure:
        """The failure of a server that is itself at fault."""
        is_refused = self._paths.is_refused(address)
        return LinkFailure.SERVER_REFUSES if is_refused else LinkFailure.SERVER_SILENT

    # -- probes ---------------------------------------------------------------------------------

    async def run_probes(self) -> None:
        """Probe lost paths until cancelled, and use them again as soon as they work."""
        while True:
            await self._probe_needed.wait()
            self._probe_needed.clear()
            while self._paths.needs_probes:
                await self._probe_next()
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe_next(self) -> None:
        began_at = elapsed_seconds()
        self._paths.set_services(self._services())
        address = self._paths.next_probe(began_at)
        if address is None:
            return
        await self._probe(address, began_at)
        self._report_isolation()

    # -- changes --------------------------------------------------------------------------------

    def on_connected(self, address: str) -> None:
        """A direct connection came up."""
        was_lost = self._paths.is_lost(address)
        self._paths.on_connected(address, elapsed_seconds())
        if was_lost:
            self._record.path_restored(address)
        self._report_isolation()

    def on_undelivered(self, address: str, sent_at: float) -> None:
        """A server hasn't acknowledged a request that was sent at this monotonic time."""
        self.on_failed(address, sent_at)
        self._paths.on_unacknowledged(sent_at)

    def on_failed(self, address: str, began_at: float, is_refused: bool = False) -> None:
        """A direct attempt failed; arguments as of `ServerPaths.on_failed`."""
        if not self._paths.needs_probes:
            self._paths.set_services(self._services())
        self._paths.on_failed(address, began_at, is_refused)
        self._probe_needed.set()
        self._report_isolation()

    def on_reached_by_other(self, address: str, through: str) -> None:
        """Another gateway reached a server whose direct connection failed here."""
        was_lost = self._paths.is_lost(address)
        self._paths.on_reached_by_other(address)
        if self._paths.is_lost(address) and not was_lost:
            self._record.path_lost(address, through)
        self._report_isolation()

    def _report_isolation(self) -> None:
        is_isolated = self._paths.take_isolation_change()
        if is_isolated is None:
            return
        self._record.isolation(is_isolated, len(self._services()))
