"""Opens connections to servers: directly, or through another gateway while that path is lost.

A direct connection that doesn't come up within a moment is raced by one through another gateway.
The outcome of the race also tells whether the path or the server is at fault.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec

from milletcourse.exchange.messages.relay_messages import RelayReply
from milletcourse.exchange.servers.server_paths import PROBE_INTERVAL_SECONDS, ServerPaths
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.relay_client import (
    RelayClient,
    RelayResult,
    close_unused,
)
from milletcourse.gateway.servers.server_connection import (
    CONNECT_TIMEOUT_SECONDS,
    ServerConnection,
)
from milletcourse.gateway.telemetry.path_recorder import PathRecorder
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.responsive_timer import responsive_timeout

HEAD_START_SECONDS = 0.1
"""How long a direct connection may take before another gateway is asked; longer than a round trip
between regions."""
LOST_HEAD_START_SECONDS = 0.01
"""The same for a path that was lost."""
PROBE_TIMEOUT_SECONDS = 0.2
RELAYED_DIAL_SECONDS = 0.15
"""How long a server may take to accept a connection that is opened for another gateway."""
FIRST = asyncio.FIRST_COMPLETED


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


SERVER_FAULTS = frozenset({LinkFailure.SERVER_REFUSES, LinkFailure.SERVER_SILENT})
_FAILURES = {
    RelayReply.SERVER_REFUSES: LinkFailure.SERVER_REFUSES,
    RelayReply.SERVER_SILENT: LinkFailure.SERVER_SILENT,
    RelayReply.EXCLUDED: LinkFailure.EXCLUDED,
}


class ServerLink(msgspec.Struct):
    """A connection to a server, or why there is none.

    Attributes:
        connection: The connection, None when none came up.
        through: Name of the gateway that relays it; empty for a direct connection.
        failure: Why there is none, None when there is one.
    """

    connection: ServerConnection | None = None
    through: str = ""
    failure: LinkFailure | None = None


class ServerLinks:
    """Opens connections, probes lost paths, and reports what changes."""

    def __init__(
        self,
        pool: ConnectionPool,
        paths: ServerPaths,
        relays: RelayClient,
        record: PathRecorder,
        services: Callable[[], dict[str, str]],
    ) -> None:
        """Start with all paths in use.

        Args:
            pool: Direct connections.
            paths: Which servers are reached.
            relays: Connections through other gateways.
            record: Reports changes to operators.
            services: Returns the service of each known server by its address.
        """
        self._pool = pool
        self._paths = paths
        self._relays = relays
        self._record = record
        self._services = services
        self._probe_needed = asyncio.Event()
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._abandoned: set[asyncio.Task[ServerConnection | None]] = set()

    # -- connections ----------------------------------------------------------------------------

    async def open(
        self, address: str, zone: str, timeout_seconds: float, request_id: str = ""
    ) -> ServerLink:
        """A connection to a server.

        Args:
            address: `host:port` of the server.
            zone: Its zone.
            timeout_seconds: Timeout for the connection to be established.
            request_id: Id of the request that it will carry, for the log of a relaying gateway.

        Raises:
            LocalResourceError: This process lacks a descriptor or another local resource for it.
        """
        idle = self._pool.take_idle(address, self._paths.silent_at)
        if idle is not None:
            return ServerLink(idle)
        is_lost = self._relays.has_peers and self._paths.is_lost(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                if is_lost and not self._paths.may_try(address, elapsed_seconds()):
                    return await self._open_relayed(address, zone, request_id)
                return await self._race(address, zone, request_id)
        except TimeoutError:
            return ServerLink(failure=LinkFailure.UNREACHABLE)

    async def _open_relayed(self, address: str, zone: str, request_id: str) -> ServerLink:
        relayed = await self._relays.open(address, zone, request_id)
        if relayed.connection is not None:
            return ServerLink(relayed.connection, relayed.through)
        reply = relayed.server_reply
        return ServerLink(failure=_FAILURES[reply] if reply else LinkFailure.UNREACHABLE)

    async def _race(self, address: str, zone: str, request_id: str) -> ServerLink:
        began_at = elapsed_seconds()
        dial = asyncio.get_running_loop().create_task(self._dial(address, began_at))
        link = ServerLink()
        try:
            link = await self._win_race(dial, address, zone, request_id, began_at)
            return link
        finally:
            if link.connection is None or link.through:
                self._abandon(dial)

    async def _win_race(
        self,
        dial: asyncio.Task[ServerConnection | None],
        address: str,
        zone: str,
        request_id: str,
        began_at: float,
    ) -> ServerLink:
        head_start = HEAD_START_SECONDS if self._relays.has_peers else CONNECT_TIMEOUT_SECONDS
        if self._paths.is_lost(address):
            head_start = LOST_HEAD_START_SECONDS
        try:
            async with responsive_timeout(self._pool.clock, head_start):
                connection = await asyncio.shield(dial)
        except TimeoutError:
            # Further requests need not wait for the outcome of this one.
            self._on_failed(address, began_at)
        else:
            if connection is not None:
                return ServerLink(connection)
        if not self._relays.has_peers:
            return ServerLink(failure=self._server_fault(address))
        relay = asyncio.get_running_loop().create_task(self._relays.open(address, zone, request_id))
        try:
            await asyncio.wait({relay} if dial.done() else {dial, relay}, return_when=FIRST)
            if dial.done() and (connection := dial.result()) is not None:
                return ServerLink(connection)
            relayed = await relay
        finally:
            _abandon_relay(relay)
        if relayed.connection is not None:
            self._on_reached_by_other(address, relayed.through)
            return ServerLink(relayed.connection, relayed.through)
        self._report_isolation()
        if relayed.server_reply is not None:
            return ServerLink(failure=_FAILURES[relayed.server_reply])
        return ServerLink(failure=await self._judge_failure(address, began_at))

    def _abandon(self, dial: asyncio.Task[ServerConnection | None]) -> None:
        """Let a dial that isn't waited for any more go on: its outcome tells about the path."""
        self._abandoned.add(dial)
        dial.add_done_callback(self._on_abandoned_end)

    def _on_abandoned_end(self, dial: asyncio.Task[ServerConnection | None]) -> None:
        self._abandoned.discard(dial)
        if dial.cancelled() or dial.exception() is not None:
            return
        connection = dial.result()
        if connection is not None:
            self._pool.release(connection)

    async def _dial(
        self, address: str, began_at: float, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> ServerConnection | None:
        try:
            connection = await self._pool.open(address, timeout_seconds)
        except LocalResourceError:
            raise
        except ConnectionError:
            self._on_failed(address, began_at, is_refused=True)
        except (OSError, TimeoutError):
            self._on_failed(address, began_at)
        else:
            self._on_connected(address)
            return connection
        return None

    async def open_for_other(self, address: str) -> ServerLink:
        """A new direct connection for another gateway; never through a third one.

        Raises:
            LocalResourceError: This process lacks a descriptor or another local resource for it.
        """
        if self._paths.is_lost(address):
            return ServerLink(failure=LinkFailure.UNREACHABLE)
        began_at = elapsed_seconds()
        connection = await self._dial(address, began_at, RELAYED_DIAL_SECONDS)
        if connection is not None:
            return ServerLink(connection)
        return ServerLink(failure=await self._judge_failure(address, began_at))

    # -- checks ---------------------------------------------------------------------------------

    def check(self, address: str, zone: str) -> asyncio.Task[None]:
        """Find out whether a server is reached, since it doesn't acknowledge what was sent."""
        task = self._checks.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._check(address, zone))
            self._checks[address] = task
            task.add_done_callback(lambda _: self._checks.pop(address, None))
        return task

    async def _check(self, address: str, zone: str) -> None:
        if self._paths.is_lost(address):
            return
        try:
            link = await self._race(address, zone, "")
        except LocalResourceError:
            return
        if link.connection is None:
            return
        if link.through:
            link.connection.abort()
        else:
            self._pool.release(link.connection)

    async def is_refused(self, address: str, zone: str) -> bool | None:
        """Whether nothing listens at a server's address; None when no gateway can tell now."""
        began_at = elapsed_seconds()
        is_refused: bool | None = None
        if not self._paths.is_lost(address):
            is_refused = await self._pool.is_refused(address)
        if is_refused is False:
            self._on_connected(address)
            return False
        if not self._relays.has_peers:
            return is_refused is True
        self._on_failed(address, began_at, is_refused=is_refused is True)
        relayed = await self._relays.open(address, zone, is_check=True)
        if relayed.connection is not None:
            relayed.connection.abort()
            self._on_reached_by_other(address, relayed.through)
            return False
        if relayed.server_reply is not None:
            return relayed.server_reply is RelayReply.SERVER_REFUSES
        failure = await self._judge_failure(address, began_at)
        return None if failure is LinkFailure.UNREACHABLE else failure is LinkFailure.SERVER_REFUSES

    async def is_reached_by_other(self, address: str) -> bool:
        """Whether another gateway reaches a server or a store that didn't answer this one."""
        if not self._relays.has_peers:
            return False
        relayed = await self._relays.open(address, zone="", is_check=True)
        if relayed.connection is None:
            return False
        relayed.connection.abort()
        return True

    async def _judge_failure(self, address: str, began_at: float) -> LinkFailure:
        """What a failed direct attempt says: another server that is reached clears the path.

        Args:
            address: The server.
            began_at: Monotonic time at which the attempt began.
        """
        self._report_isolation()
        if self._paths.heard_at <= began_at:
            await self._dial_another(address)
        if self._paths.heard_at > began_at:
            return self._server_fault(address)
        return LinkFailure.UNREACHABLE

    async def _dial_another(self, address: str) -> None:
        """Connect to any other server, unless that has just been tried."""
        now = elapsed_seconds()
        other = self._paths.other_server(address, now)
        if other is None:
            return
        try:
            connection = await self._dial(other, now, PROBE_TIMEOUT_SECONDS)
        except LocalResourceError:
            return
        if connection is not None:
            self._pool.release(connection)

    def _server_fault(self, address: str) -> LinkFailure:
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
        try:
            connection = await self._dial(address, began_at, PROBE_TIMEOUT_SECONDS)
        except LocalResourceError:
            return
        if connection is not None:
            self._pool.release(connection)
        self._report_isolation()

    # -- changes --------------------------------------------------------------------------------

    def _on_connected(self, address: str) -> None:
        was_lost = self._paths.is_lost(address)
        self._paths.on_connected(address, elapsed_seconds())
        if was_lost:
            self._record.path_restored(address)
        self._report_isolation()

    def on_undelivered(self, address: str, sent_at: float) -> None:
        """A server hasn't acknowledged a request that was sent at this monotonic time."""
        self._on_failed(address, sent_at)

    def _on_failed(self, address: str, began_at: float, is_refused: bool = False) -> None:
        if not self._paths.needs_probes:
            self._paths.set_services(self._services())
        self._paths.on_failed(address, began_at, is_refused)
        self._probe_needed.set()
        self._report_isolation()

    def _on_reached_by_other(self, address: str, through: str) -> None:
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


def _abandon_relay(relay: asyncio.Task[RelayResult]) -> None:
    """Close the connection of a relay that lost the race."""
    if not relay.done():
        relay.cancel()
        relay.add_done_callback(close_unused)
