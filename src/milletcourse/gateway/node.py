"""One gateway process: wires up its components, starts them and shuts them down gracefully."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from milletcourse.errors import Draining, NotFound
from milletcourse.exchange.attempts.planned_stop import PlannedStop
from milletcourse.exchange.counting.service_tally import TALLY_INTERVAL_SECONDS
from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.exchange.messages.relay_messages import RELAY_MARK
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.clients.client_connection import ClientConnection, Handler
from milletcourse.gateway.clients.connection_limiter import ConnectionLimiter
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.fleet.cache_store_probe import CacheStoreProbe
from milletcourse.gateway.fleet.relay_listener import RelayListener
from milletcourse.gateway.fleet.rollout_service import RolloutService
from milletcourse.gateway.fleet.shared_port import SharedPortConnection
from milletcourse.gateway.fleet_member import FleetMember
from milletcourse.gateway.operator_api import OperatorApi, set_gauges
from milletcourse.gateway.requests.exchange_runner import ExchangeRunner
from milletcourse.gateway.servers.call_client import CallClient
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.state.settings import GatewaySettings
from milletcourse.gateway.store.object_store import ObjectStoreClient
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.runtime.acceptor import Acceptor, listening_socket
from milletcourse.runtime.listeners import drain_and_close

if TYPE_CHECKING:
    from milletcourse.gateway.telemetry.metrics import GatewayMetrics

LISTEN_BACKLOG = 1024
CLIENT_RECEIVE_BUFFER_BYTES = 64 * 1024
"""Data of a client that the kernel holds unread, which is memory of the machine too; enough for
10 MB/s on a connection with a round trip of 6 ms."""
SWEEP_SECONDS = 0.25
LOOP_STALL_SECONDS = 0.25
"""Event-loop stalls longer than this delay answers noticeably; shorter ones come from garbage
collections and bursts of load."""
STOP_POLL_SECONDS = 0.05
"""Interval at which a planned stop checks its connections."""


class GatewayNode:
    """A gateway with its listeners and background tasks.

    Attributes:
        task_failed: Set when a background task has failed, after which the process must stop.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        random_source: random.Random,
        log: EventLog,
        metrics: GatewayMetrics | None = None,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
    ) -> None:
        metrics_sink = metrics or MetricsSink()
        self.context = GatewayContext(
            settings, adapter.headers, random_source, log, metrics_sink, mechanisms
        )
        self._metrics = metrics
        self._adapter = adapter
        self._clients: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[asyncio.Server | Acceptor] = []
        self._last_responsive_at = self.context.now()
        self.task_failed = asyncio.Event()
        self.readiness_address = settings.readiness
        self.frontend_address = settings.frontend
        self._calls = CallClient(self.context.pool, self.context.record.store.call_aborted)
        self._store = ObjectStoreClient(
            settings.store,
            adapter.store,
            self._calls,
            random_source,
            self.context.record.tally.on_store_call,
            self.context.record.objects_unreadable,
            self.context.record.store,
        )
        self._fleet = FleetMember(
            self.context, self._store, self._calls, adapter, self._listen, self._spawn
        )

    async def start(self) -> None:
        """Listen, and start to follow the store."""
        runner = ExchangeRunner(self.context)
        settings = self.context.settings
        self.readiness_address = await self._listen(settings.readiness, self._answer_readiness)
        self.frontend_address = self._listen_for_clients(settings.frontend, runner)
        self.context.log.emit("started", frontend=self.frontend_address)
        await self._fleet.start()
        kinds = self._adapter.kinds
        rollout = RolloutService(
            self.context,
            self._store,
            kinds.leases,
            kinds.rollout_lease,
            self._calls,
            self._adapter.orders,
            self._fleet.peers,
        )
        self._spawn(rollout.run())
        probe = CacheStoreProbe(self.context, self._calls, self._adapter.cache_store)
        self._spawn(probe.run())
        self._spawn(self.context.server_links.monitor.run_probes())
        self._spawn(self._sweep())
        self._spawn(self._log_tallies())

    async def _listen(
        self, address: str, handler: Handler, relays: RelayListener | None = None
    ) -> str:
        """Listen at an address; port 0 takes a free one. Returns the address in use.

        Args:
            address: `host:port`.
            handler: Handles HTTP requests.
            relays: Takes connections of gateways that ask for one to a server; None for no such.
        """
        host, _, port = address.rpartition(":")

        def new_connection() -> asyncio.Protocol:
            return ClientConnection(self.context, handler, refuse, self._clients)

        def new_shared_connection() -> asyncio.Protocol:
            assert relays is not None
            return SharedPortConnection(RELAY_MARK, relays.new_connection, new_connection)

        server = await asyncio.get_running_loop().create_server(
            new_connection if relays is None else new_shared_connection,
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._listeners.append(server)
        bound_host, bound_port = server.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    def _listen_for_clients(self, address: str, runner: ExchangeRunner) -> str:
        """Listen for clients, and accept only as many connections as can be served.

        Returns the address in use.
        """
        host, _, port = address.rpartition(":")
        limiter = ConnectionLimiter(self.context)
        listening = listening_socket(host, int(port), LISTEN_BACKLOG, CLIENT_RECEIVE_BUFFER_BYTES)

        def new_connection() -> ClientConnection:
            return ClientConnection(
                self.context,
                runner.handle,
                refuse,
                self._clients,
                limiter.clients,
                check_head=runner.check_head,
            )

        self._listeners.append(
            Acceptor(listening, new_connection, lambda: limiter.capacity(listening))
        )
        bound_host, bound_port = listening.getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    async def _answer_readiness(self, request: ClientRequest, client: ClientConnection) -> None:
        if request.target.split(b"?", 1)[0].decode("latin-1") != self._adapter.ready_path:
            refuse(client, NotFound("only the readiness check is served at this address"))
        elif self.context.is_ready():
            client.send_whole(200, b"", [], b"")
        else:
            refuse(client, Draining("not ready"))

    async def listen_for_operators(self, port: int, metrics_path: str) -> str:
        """Serve the operator API on a port of this machine; returns the address."""
        api = OperatorApi(
            self.context,
            self._metrics,
            metrics_path,
            self._set_gauges,
            self._fleet.compare_with_store,
        )
        return await self._listen(f"{self.context.settings.host}:{port}", api.handle)

    def _set_gauges(self, metrics: GatewayMetrics) -> None:
        set_gauges(self.context, metrics)
        metrics.holds_lease.set(self._fleet.peers.holds_lease)
        metrics.clients.set(len(self._clients))
        metrics.lost_paths.set(len(self.context.paths.lost_addresses()))
        metrics.isolated.set(self.context.paths.is_isolated)
        metrics.relayed_connections.set(len(self._fleet.relays.connections))

    async def _sweep(self) -> None:
        """Enforce time limits periodically, without a timer for each connection."""
        while True:
            due_at = self.context.now() + SWEEP_SECONDS
            self.context.responsive_clock.on_loop_tick(SWEEP_SECONDS)
            await asyncio.sleep(SWEEP_SECONDS)
            self.context.handle_suspension()
            now = self._last_responsive_at = self.context.now()
            if now - due_at > LOOP_STALL_SECONDS:
                self.context.record.loop_late(now - due_at)
            for client in list(self._clients):
                client.check_timeouts(now)
            self.context.pool.sweep()
            self.context.instances.expire_unverified(now)
            self._fleet.sweep(now)
            self.context.gate.forget_before(now)
            self.context.server_states.report_suspicions()
            self.context.report_limits()
            self.context.crash_detector.sweep()
            self.context.permits.sweep(self._server_keys)
            self.context.stream_resumption.sweep()

    def _server_keys(self) -> set[int]:
        return {instance.key for instance in self.context.instances}

    async def _log_tallies(self) -> None:
        """Log the tallies at a fixed interval, which bounds the rate of log lines."""
        while True:
            await asyncio.sleep(TALLY_INTERVAL_SECONDS)
            self.context.record.write_tally()

    # -- planned stop ---------------------------------------------------------------------------

    async def stop(self) -> None:
        """Report not ready, serve requests that still arrive, and stop within the grace time."""
        context = self.context
        grace_seconds = context.settings.bounds.grace
        stop = PlannedStop(context.now(), self._last_responsive_at, grace_seconds)
        context.stop.begin(stop)
        context.log.emit("stopping", connections=len(self._clients))
        await asyncio.sleep(max(stop.refuses_at - context.now(), 0.0))
        for listener in self._listeners:
            await self._close_listener(listener)
        await self._close_connections(stop)
        context.record.write_tally()
        context.log.emit("stopped", unfinished=len(self._clients))
        self.close()

    async def _close_listener(self, listener: asyncio.Server | Acceptor) -> None:
        host, port = listener.sockets[0].getsockname()[:2]
        waiting = await drain_and_close(listener)
        self.context.record.listener_closed(f"{host}:{port}", waiting)

    async def _close_connections(self, stop: PlannedStop) -> None:
        """Close connections as they become idle, until none is left or the grace time is over."""
        while True:
            # Sleeps before the first check: connections that were just accepted aren't registered
            # yet.
            await asyncio.sleep(STOP_POLL_SECONDS)
            now = self.context.now()
            is_idle = not self._clients and not self._fleet.relays.connections
            if is_idle or now >= stop.closes_at:
                return
            self.context.stop.notify()
            for client in list(self._clients):
                client.check_timeouts(now)
                if stop.may_close(client.state(), now):
                    client.close()

    def close(self) -> None:
        """Stop at once; unfinished requests are aborted."""
        for task in list(self._tasks):
            task.cancel()
        for listener in self._listeners:
            listener.close()
        for client in list(self._clients):
            client.abort_at_shutdown()
        self._fleet.close()
        self.context.crash_detector.close()
        self.context.pool.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(self._on_task_end)
        self._tasks.add(task)
        return task

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A gateway that lacks a background task must not continue to report itself healthy. Its
        # requests are not the cause, so they finish as in any planned stop.
        self.context.log.emit("task-failed", error=repr(task.exception()))
        self.task_failed.set()
