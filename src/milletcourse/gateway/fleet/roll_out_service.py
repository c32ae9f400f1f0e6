"""Runs the roll-out of weight versions under the shared lease."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

import msgspec

from milletcourse.control.lease import ABSENT_REVISION, LeaseClaim, LeaseSpec, LeaseTracker
from milletcourse.exchange.messages.peer_messages import ServerNotice, ServerState
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.rollout.weight_rollout import (
    OrderReply,
    ServerReport,
    WeightOrder,
    WeightRollout,
)
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.fleet.peers import PeerExchange
from milletcourse.gateway.servers.call_client import Call, CallClient, Reply
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)

TICK_SECONDS = 0.1
MAX_RENEW_SECONDS = 0.9
"""The holder renews at least this often while there is work."""
MAX_MARGIN_SECONDS = 1.0
"""It stops this long before others may take over, or a third of a short lease."""
LOOK_SECONDS = 1.0
LOOK_SPREAD_SECONDS = 1.0
"""Others look this often whether the holder still renews."""
ORDER_TIMEOUT_SECONDS = 0.6
LEASE_EXTRA_SECONDS = 0.3
"""The lease lasts this much longer than the least time between two holders."""


class OrderDialect(Protocol):
    """Formats of orders and reports."""

    def order_call(self, order: WeightOrder) -> Call:
        """An order as a call to its server."""

    def read_order_reply(self, reply: Reply) -> OrderReply:
        """What the server said."""

    def report_call(self) -> Call:
        """Asks a server for its state."""

    def read_report(self, reply: Reply) -> ServerReport | None:
        """The server's state, None when it can't be read."""


class RollOutService:
    """Holds the lease while there is work, and gives the orders."""

    def __init__(
        self,
        context: GatewayContext,
        store: ObjectStoreClient,
        lease_kind: str,
        lease_name: str,
        calls: CallClient,
        orders: OrderDialect,
        peers: PeerExchange,
    ) -> None:
        self._context = context
        self._store = store
        self._lease_kind = lease_kind
        self._lease_name = lease_name
        self._calls = calls
        self._orders = orders
        self._peers = peers
        duration = context.settings.bounds.lease + LEASE_EXTRA_SECONDS
        margin = min(MAX_MARGIN_SECONDS, duration / 3)
        self._lease = LeaseTracker(context.settings.name, duration, margin)
        self._renew_seconds = min(MAX_RENEW_SECONDS, (duration - margin) / 2)
        watch = context.signal_watch
        self._plan = WeightRollout(
            context.gate,
            context.server_answer_rates.request_rate,
            watch.is_leaving,
            watch.is_backing_off,
        )
        context.restart_listeners.append(self._plan.on_restarted)
        self._next_lease_call = 0.0
        self._was_holder = False
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._context.handle_suspension()
            if not self._takes_part() or not self._plan.has_work(self._context.instances):
                continue
            await self._keep_lease()
            self._note_holder()
            if self._lease.is_held(self._context.now()):
                self._give_orders()

    def _takes_part(self) -> bool:
        """Whether this gateway may hold the lease: only those that read the store ask for it."""
        if self._context.stopping:
            return False
        return self._context.reads_store or self._lease.is_held(self._context.now())

    # -- lease ----------------------------------------------------------------------------------

    async def _keep_lease(self) -> None:
        now = self._context.now()
        era = self._store.era
        if era is not None and self._lease.on_era(era, now):
            # A holder has its term written again before its time ends.
            self._next_lease_call = now
        if now < self._next_lease_call:
            return
        held = self._lease.is_held(now)
        spread = self._context.random.random() * LOOK_SPREAD_SECONDS
        self._next_lease_call = now + (self._renew_seconds if held else LOOK_SECONDS + spread)
        try:
            claim = self._lease.next_claim(now)
            if claim is None:
                await self._look_at_lease()
                claim = self._lease.next_claim(self._context.now())
            if claim is not None:
                await self._write(claim)
        except StoreError as error:
            self._on_refused(error)

    async def _look_at_lease(self) -> None:
        try:
            stored, _ = await self._store.get(self._lease_kind, self._lease_name)
        except StoreError as error:
            if error.problem is not StoreProblem.NOT_FOUND:
                raise
            self._on_missing()
            return
        self._observe(stored)

    def _on_refused(self, error: StoreError) -> None:
        """The lease is another one than was known; of other failures the next look tells."""
        if error.current is not None:
            self._observe(error.current)
        elif error.problem is StoreProblem.NOT_FOUND:
            self._on_missing()
        elif error.problem is StoreProblem.CONFLICT:
            self._lease.on_conflict()

    def _on_missing(self) -> None:
        era = self._store.era if self._store.era is not None else UNKNOWN_ERA
        self._lease.on_observed(None, StorePosition(era, ABSENT_REVISION), self._context.now())

    async def _write(self, claim: LeaseClaim) -> None:
        spec = msgspec.json.encode(claim.spec)
        if claim.creates:
            stored, sent_at = await self._store.create(self._lease_kind, self._lease_name, spec)
        else:
            stored, sent_at = await self._store.replace(
                self._lease_kind, self._lease_name, spec, claim.expected
            )
        self._lease.on_written(claim, stored.position, sent_at)
        self._next_lease_call = sent_at + self._renew_seconds

    def _observe(self, stored: StoredObject) -> None:
        try:
            spec = msgspec.json.decode(stored.spec, type=LeaseSpec)
        except msgspec.MsgspecError:
            self._context.log.emit("object-malformed", name=stored.name)
            return
        self._lease.on_observed(spec, stored.position, self._context.now())

    def _note_holder(self) -> None:
        holder = self._lease.is_held(self._context.now())
        self._peers.holds_lease = holder
        if holder == self._was_holder:
            return
        self._was_holder = holder
        self._plan.reset()
        self._context.log.emit(
            "lease-held" if holder else "lease-lost", fencing_token=self._lease.fencing_token
        )

    # -- orders ---------------------------------------------------------------------------------

    def _give_orders(self) -> None:
        now = self._context.now()
        instances = list(self._context.instances)
        orders = self._plan.next_orders(
            instances, now, self._context.settings.name, self._lease.fencing_token
        )
        for order in orders:
            self._spawn(self._give(order))
        for instance in self._plan.due_polls(instances, now):
            self._spawn(self._look(instance))

    async def _give(self, order: WeightOrder) -> None:
        instance = self._context.instances.get(order.instance)
        if instance is None or not self._lease.is_held(self._context.now()):
            return
        until = self._context.now() + self._plan.load_seconds
        instance.health.on_order(until)
        reply = await self._calls.call(
            order.address,
            self._orders.order_call(order),
            ORDER_TIMEOUT_SECONDS,
            lambda: self._lease.is_held(self._context.now()),
        )
        result = OrderReply.UNANSWERED
        if reply is not None:
            result = self._orders.read_order_reply(reply)
            if result is not OrderReply.WRONG_INSTANCE:
                self._hear(instance, reply)
            elif reply.instance not in ("", order.instance):
                self._context.note_successor(instance, reply.instance)
        self._plan.on_reply(instance, result, self._context.now())
        if result is OrderReply.ACCEPTED:
            self._notify(instance, order.model, order.version, ServerState.LOADING)
        self._context.record.weight_order(order, result)

    async def _look(self, instance: Instance) -> None:
        reply = await self._calls.call(
            instance.record.address, self._orders.report_call(), ORDER_TIMEOUT_SECONDS
        )
        report = self._orders.read_report(reply) if reply is not None else None
        if report is not None and reply is not None:
            self._context.instances.on_start_seen(
                instance.name, report.started_ms, report.weight_versions
            )
            # Another incarnation may have told it than was asked.
            instance = self._context.instances.get(instance.name) or instance
            if report.started_ms and report.started_ms == instance.record.started_ms:
                self._hear(instance, reply)
        self._plan.on_report(instance, report, self._context.now())
        if self._lease.is_held(self._context.now()):
            # The next order need not wait for the next tick.
            self._give_orders()
        if report is None or report.busy:
            return
        for model, version in report.weight_versions.items():
            self._notify(instance, model, version, ServerState.READY)

    def _hear(self, instance: Instance, reply: Reply) -> None:
        """Take what a server says of itself in a reply that is its own."""
        if reply.head is not None:
            self._context.signal_watch.on_reply(instance, reply.head, reply.sent_at)

    def _notify(self, instance: Instance, model: str, version: int, state: ServerState) -> None:
        started_ms = instance.record.started_ms
        self._peers.notify(ServerNotice(instance.name, model, version, state, started_ms))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
