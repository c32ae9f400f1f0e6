"""Opens connections to servers: directly, or through another gateway while that path is lost.

A direct connection that doesn't come up within a moment is raced by one through another gateway.
The outcome of the race also tells whether the path or the server is at fault.
"""

from __future__ import annotations

import asyncio

import msgspec

from milletcourse.exchange.messages.relay_messages import RelayReply
from milletcourse.exchange.servers.server_paths import ServerPaths
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.descriptors import LocalResourceError
from milletcourse.gateway.servers.path_monitor import LinkFailure, PathMonitor
from milletcourse.gateway.servers.relay_client import RelayClient, RelayResult, close_unused
from milletcourse.gateway.servers.server_connection import ServerConnection
from milletcourse.gateway.servers.server_dialer import CONNECT_TIMEOUT_SECONDS
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.responsive_timer import responsive_timeout

HEAD_START_SECONDS = 0.1
"""How long a direct connection may take before another gateway is asked; longer than a round trip
between regions."""
LOST_HEAD_START_SECONDS = 0.01
"""The same for a path that was lost."""
RELAYED_DIAL_SECONDS = 0.15
"""How long a server may take to accept a connection that is opened for another gateway."""
_FAILURES = {
    RelayReply.SERVER_REFUSES: LinkFailure.SERVER_REFUSES,
    RelayReply.SERVER_SILENT: LinkFailure.SERVER_SILENT,
    RelayReply.EXCLUDED: LinkFailure.EXCLUDED,
}


class ServerLink(msgspec.Struct, frozen=True):
    """A connection to a server, or why there is none.

    Attributes:
        connection: The connection, None when none came up.
        through: Name of the gateway that relays it; empty for a direct connection.
        failure: Why there is none, None when there is one.
    """

    connection: ServerConnection | None = None
    through: str = ""
    failure: LinkFailure | None = None


class LinkTarget(msgspec.Struct, frozen=True):
    """The server of a new connection.

    Attributes:
        address: `host:port` of the server.
        zone: Its zone.
        request_id: Id of the request that the connection will carry, for the log of a relaying
            gateway; empty for none.
        began_at: Monotonic time at which the attempt to connect began.
    """

    address: str
    zone: str
    request_id: str
    began_at: float


DialTask = asyncio.Task[ServerConnection | None]


class ServerLinks:
    """Opens connections to servers.

    Attributes:
        monitor: Which servers are reached; its probes must be run.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        paths: ServerPaths,
        monitor: PathMonitor,
        relays: RelayClient,
    ) -> None:
        """Start without any connection.

        Args:
            pool: Idle direct connections.
            paths: Which servers are reached.
            monitor: Dials servers, and keeps `paths` current.
            relays: Connections through other gateways.
        """
        self.monitor = monitor
        self._pool = pool
        self._paths = paths
        self._relays = relays
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._abandoned: set[DialTask] = set()

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
        idle = self._pool.take_idle(address, request_id, self._paths.silent_at)
        if idle is not None:
            return ServerLink(idle)
        target = LinkTarget(address, zone, request_id, elapsed_seconds())
        is_lost = self._relays.has_peers and self._paths.is_lost(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                if is_lost and not self._paths.may_try(address, target.began_at):
                    return await self._open_relayed(target)
                return await self._race(target)
        except TimeoutError:
            return ServerLink(failure=LinkFailure.UNREACHABLE)

    async def open_for_other(self, address: str, timeout_seconds: float) -> ServerLink:
        """A new direct connection for another gateway; never through a third one.

        Args:
            address: `host:port` of the server.
            timeout_seconds: How long the other gateway waits for it.

        Raises:
            LocalResourceError: This process lacks a descriptor or another local resource for it.
        """
        if self._paths.is_lost(address):
            return ServerLink(failure=LinkFailure.UNREACHABLE)
        began_at = elapsed_seconds()
        seconds = min(timeout_seconds, RELAYED_DIAL_SECONDS)
        connection = await self.monitor.dial(address, began_at, seconds)
        if connection is not None:
            return ServerLink(connection)
        return ServerLink(failure=await self.monitor.judge_failure(address, began_at))

    async def _open_relayed(self, target: LinkTarget) -> ServerLink:
        relayed = await self._relays.open(target.address, target.zone, target.request_id)
        if relayed.connection is not None:
            return ServerLink(relayed.connection, relayed.through)
        reply = relayed.server_reply
        return ServerLink(failure=LinkFailure.UNREACHABLE if reply is None else _FAILURES[reply])

    # -- race -----------------------------------------------------------------------------------

    async def _race(self, target: LinkTarget) -> ServerLink:
        """Dial the server, and ask other gateways when it doesn't accept within a moment."""
        dial = asyncio.get_running_loop().create_task(
            self.monitor.dial(target.address, target.began_at)
        )
        link = ServerLink()
        try:
            link = await self._await_dial(dial, target)
            if link.failure is not None and self._relays.has_peers:
                link = await self._race_relays(dial, target)
            return link
        finally:
            if link.connection is None or link.through:
                self._abandon(dial)

    async def _await_dial(self, dial: DialTask, target: LinkTarget) -> ServerLink:
        """The direct connection, if it comes up during its head start."""
        head_start = HEAD_START_SECONDS if self._relays.has_peers else CONNECT_TIMEOUT_SECONDS
        if self._paths.is_lost(target.address):
            head_start = LOST_HEAD_START_SECONDS
        try:
            async with responsive_timeout(self._pool.clock, head_start):
                connection = await asyncio.shield(dial)
        except TimeoutError:
            # Further requests need not wait for the outcome of this one.
            self.monitor.on_failed(target.address, target.began_at)
            connection = None
        if connection is not None:
            return ServerLink(connection)
        return ServerLink(failure=self.monitor.server_fault(target.address))

    async def _race_relays(self, dial: DialTask, target: LinkTarget) -> ServerLink:
        """The first of the direct connection and one through another gateway."""
        relay = asyncio.get_running_loop().create_task(
            self._relays.open(target.address, target.zone, target.request_id)
        )
        try:
            running = {relay} if dial.done() else {dial, relay}
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            if dial.done() and (connection := dial.result()) is not None:
                return ServerLink(connection)
            relayed = await relay
        finally:
            _abandon_relay(relay)
        return await self._relayed_link(relayed, target)

    async def _relayed_link(self, relayed: RelayResult, target: LinkTarget) -> ServerLink:
        """The outcome of a race that the direct connection has lost."""
        if relayed.connection is not None:
            self.monitor.on_reached_by_other(target.address, relayed.through)
            return ServerLink(relayed.connection, relayed.through)
        if relayed.server_reply is not None:
            return ServerLink(failure=_FAILURES[relayed.server_reply])
        failure = await self.monitor.judge_failure(target.address, target.began_at)
        return ServerLink(failure=failure)

    def _abandon(self, dial: DialTask) -> None:
        """Let a dial that isn't waited for any more go on: its outcome tells about the path."""
        self._abandoned.add(dial)
        dial.add_done_callback(self._on_abandoned_end)

    def _on_abandoned_end(self, dial: DialTask) -> None:
        self._abandoned.discard(dial)
        if dial.cancelled() or dial.exception() is not None:
            return
        connection = dial.result()
        if connection is not None:
            self._pool.release(connection)

    # -- checks ---------------------------------------------------------------------------------

    def check(self, address: str, zone: str) -> asyncio.Task[None]:
        """Start to find out whether a silent server is reached; the task ends when it is known."""
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
            link = await self._race(LinkTarget(address, zone, "", elapsed_seconds()))
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
        is_refused = None
        if not self._paths.is_lost(address):
            is_refused = await self._pool.is_refused(address)
        if is_refused is False:
            self.monitor.on_connected(address)
            return False
        if not self._relays.has_peers:
            return is_refused is True
        self.monitor.on_failed(address, began_at, is_refused=is_refused is True)
        relayed = await self._relays.open(address, zone, is_check=True)
        if relayed.connection is not None:
            relayed.connection.abort()
            self.monitor.on_reached_by_other(address, relayed.through)
            return False
        if relayed.server_reply is not None:
            return relayed.server_reply is RelayReply.SERVER_REFUSES
        failure = await self.monitor.judge_failure(address, began_at)
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


def _abandon_relay(relay: asyncio.Task[RelayResult]) -> None:
    """Close the connection of a relay that lost the race."""
    if not relay.done():
        relay.cancel()
        relay.add_done_callback(close_unused)
