"""One gateway process: puts its parts together, and stops them in a planned way."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from milletcourse.errors import Draining, NotFound
from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.exchange.service_tally import TALLY_SECONDS
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.cache_store_probe import CacheStoreProbe
from milletcourse.gateway.call_client import CallClient
from milletcourse.gateway.client_connection import ClientConnection, Handler
from milletcourse.gateway.context import GatewayContext
from milletcourse.gateway.event_log import EventLog
from milletcourse.gateway.exchange_runner import ExchangeRunner
from milletcourse.gateway.figures import Figures
from milletcourse.gateway.fleet_member import FleetMember
from milletcourse.gateway.object_store import ObjectStoreClient
from milletcourse.gateway.operator_api import OperatorApi, set_gauges
from milletcourse.gateway.refusals import refuse
from milletcourse.gateway.request_reader import ClientRequest
from milletcourse.gateway.roll_out_service import RollOutService
from milletcourse.gateway.settings import GatewaySettings
from milletcourse.gateway.unanswered import UnansweredCause
from milletcourse.runtime.sockets import waiting_connections

if TYPE_CHECKING:
    from milletcourse.gateway.metrics import GatewayMetrics

LISTEN_BACKLOG = 1024
SWEEP_SECONDS = 0.25
LATE_SECONDS = 0.25
"""A loop that is later than this shows in answers; shorter pauses are collections and bursts."""
LEAVE_ENTRY_SECONDS = 2.6
"""After a stop signal: the entry asks each second and takes a node out after two misses."""
MAX_LEAVE_SHARE = 0.4
"""Of a short grace time, so that what was taken can end."""
GRACE_MARGIN_SECONDS = 0.5
"""All work has ended this long before the kill."""


class GatewayNode:
    """A gateway with its listeners and background work."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: PlatformAdapter,
        random_source: random.Random,
        log: EventLog,
        metrics: GatewayMetrics | None = None,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
    ) -> None:
        figures = metrics or Figures()
        self.context = GatewayContext(
            settings, adapter.headers, random_source, log, figures, mechanisms
        )
        self._metrics = metrics
        self._adapter = adapter
        self._clients: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[asyncio.Server] = []
        self.readiness_address = settings.readiness
        self.frontend_address = settings.frontend
        self._calls = CallClient(self.context.pool)
        self._store = ObjectStoreClient(
            settings.store,
            adapter.store,
            self._calls,
            random_source,
            self.context.record.tally.on_store_call,
        )
        self._fleet = FleetMember(
            self.context, self._store, self._calls, adapter, self._listen, self._spawn
        )

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        runner = ExchangeRunner(self.context)
        settings = self.context.settings
        self.readiness_address = await self._listen(settings.readiness, self._answer_readiness)
        self.frontend_address = await self._listen(settings.frontend, runner.handle)
        self.context.log.emit("started", frontend=self.frontend_address)
        await self._fleet.start()
        kinds = self._adapter.kinds
        roll_out = RollOutService(
            self.context,
            self._store,
            kinds.leases,
            kinds.roll_out_lease,
            self._calls,
            self._adapter.orders,
            self._fleet.peers,
        )
        self._spawn(roll_out.run())
        probe = CacheStoreProbe(self.context, self._calls, self._adapter.cache_store)
        self._spawn(probe.run())
        self._spawn(self._sweep())
        self._spawn(self._tally())

    async def _listen(self, address: str, handler: Handler) -> str:
        """Listen at an address; port 0 takes a free one. Returns the address taken."""
        host, _, port = address.rpartition(":")
        server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self.context, handler, refuse, self._clients),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._listeners.append(server)
        bound_host, bound_port = server.sockets[0].getsockname()[:2]
        return f"{bound_host}:{bound_port}"

    async def _answer_readiness(self, request: ClientRequest, client: ClientConnection) -> None:
        if request.target.split(b"?", 1)[0].decode("latin-1") != self._adapter.ready_path:
            refuse(client, NotFound("nothing here but readiness"))
        elif self.context.is_ready():
            client.send_whole(200, b"", [], b"")
        else:
            refuse(client, Draining("not ready"))

    async def listen_for_operators(self, port: int, metrics_path: str) -> str:
        """Answer operators on a port of this machine; returns the address."""
        api = OperatorApi(self.context, self._metrics, metrics_path, self._set_gauges)
        return await self._listen(f"{self.context.settings.host}:{port}", api.handle)

    def _set_gauges(self, metrics: GatewayMetrics) -> None:
        set_gauges(self.context, metrics)
        metrics.holds_lease.set(self._fleet.peers.holds_lease)
        metrics.clients.set(len(self._clients))

    async def _sweep(self) -> None:
        """Bounds on time, kept without a timer for each connection."""
        while True:
            due_at = self.context.now() + SWEEP_SECONDS
            await asyncio.sleep(SWEEP_SECONDS)
            self.context.note_sleep()
            now = self.context.now()
            if now - due_at > LATE_SECONDS:
                self.context.record.loop_late(now - due_at)
            for client in list(self._clients):
                client.check_time(now)
            self.context.pool.sweep()
            self.context.instances.expire_doubtful(now)
            self.context.gate.forget_before(now)
            self.context.note_suspicions()
            self.context.note_limits()
            self.context.crash_watch.sweep()

    async def _tally(self) -> None:
        """Sums for the log, at a bounded rate."""
        while True:
            await asyncio.sleep(TALLY_SECONDS)
            self.context.record.tallied()

    # -- planned stop ---------------------------------------------------------------------------

    async def stop(self) -> None:
        """Leave the entry, serve what comes meanwhile, end within the grace time."""
        context = self.context
        context.stopping = True
        context.log.emit("stopping", connections=len(self._clients))
        began = context.now()
        end_at = began + context.settings.bounds.grace - GRACE_MARGIN_SECONDS
        grace = context.settings.bounds.grace
        await asyncio.sleep(min(LEAVE_ENTRY_SECONDS, grace * MAX_LEAVE_SHARE))
        # A request taken later than this might not end within the grace time.
        context.refusing = True
        for listener in self._listeners:
            self._close_listener(listener)
        while self._clients and context.now() < end_at:
            for client in list(self._clients):
                if client.is_idle:
                    client.close_idle()
            await asyncio.sleep(0.05)
        for client in self._clients:
            for request in client.unfinished(UnansweredCause.GRACE_OVER):
                context.on_unanswered(request)
        context.record.tallied()
        context.log.emit("stopped", unfinished=len(self._clients))
        self.close()

    def _close_listener(self, listener: asyncio.Server) -> None:
        for sock in listener.sockets:
            host, port = sock.getsockname()[:2]
            self.context.record.listener_closed(f"{host}:{port}", waiting_connections(sock))
        listener.close()

    def close(self) -> None:
        """End at once; what is unfinished is cut."""
        for task in list(self._tasks):
            task.cancel()
        for listener in self._listeners:
            listener.close()
        for client in list(self._clients):
            client.cut()
        self._fleet.close()
        self.context.crash_watch.close()
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
        # A gateway without one of its duties must not go on looking healthy.
        self.context.log.emit("task-failed", error=repr(task.exception()))
        raise SystemExit(70) from task.exception()
