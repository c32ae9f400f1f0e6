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
from milletcourse.gateway.servers.call_client import REPORT_REPLY, Call, CallClient, Reply
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.runtime.decode_errors import DECODE_ERRORS

TICK_SECONDS = 0.1
MAX_RENEW_SECONDS = 0.9
"""The holder renews the lease at least this often while there is work."""
MAX_LEASE_MARGIN_SECONDS = 1.0
"""The holder stops this long before others may take the lease over, or a third of the duration of
a short lease."""
LEASE_POLL_SECONDS = 1.0
LEASE_POLL_SPREAD_SECONDS = 1.0
"""Other gateways check this often, plus a random addition, whether the holder still renews."""
ORDER_TIMEOUT_SECONDS = 0.6
RELAYING_SECONDS = 2.0
"""Others don't reach the servers as long as a connection was relayed for them within this time."""
LEASE_EXTRA_SECONDS = 0.3
"""The lease lasts this much longer than the minimum time between two holders."""


class OrderDialect(Protocol):
    """Formats of orders and reports."""

    def order_call(self, order: WeightOrder) -> Call:
        """The call that sends an order to its server."""

    def read_order_reply(self, reply: Reply) -> OrderReply:
        """The server's reply to an order."""

    def report_call(self) -> Call:
        """The call that requests a server's state."""

    def read_report(self, reply: Reply) -> ServerReport | None:
        """The server's state, None when the reply can't be decoded."""


class RolloutService:
    """Holds the lease while there is work, and sends the orders."""

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
        margin = min(MAX_LEASE_MARGIN_SECONDS, duration / 3)
        self._lease = LeaseTracker(context.settings.name, duration, margin)
        self._renew_seconds = min(MAX_RENEW_SECONDS, (duration - margin) / 2)
        signal_monitor = context.signal_monitor
        self._rollout = WeightRollout(
            context.gate,
            context.server_answer_rates.request_rate,
            signal_monitor.is_leaving,
            signal_monitor.is_backing_off,
        )
        context.server_states.restart_listeners.append(self._rollout.on_restarted)
        self._next_lease_call = 0.0
        self._was_holder = False
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._context.handle_suspension()
            if not self._may_hold_lease() or not self._rollout.has_work(self._context.instances):
                continue
            await self._maintain_lease()
            self._update_holder()
            if self._lease.is_held(self._context.now()):
                self._send_orders()

    def _may_hold_lease(self) -> bool:
        """Whether this gateway may hold the lease.

        Only readers of the store compete for it, and gateways that relay connections for others,
        since all readers may have lost their paths to the servers.
        """
        context = self._context
        if context.stopping or not context.server_states.reaches_engines():
            return False
        now = context.now()
        relays_for_others = now - context.relayed_at < RELAYING_SECONDS
        return context.reads_store or relays_for_others or self._lease.is_held(now)

    # -- lease ----------------------------------------------------------------------------------

    async def _maintain_lease(self) -> None:
        now = self._context.now()
        era = self._store.era
        if era is not None and self._lease.on_era(era, now):
            # The store was restored. A holder writes its lease again before the lease expires.
            self._next_lease_call = now
        if now < self._next_lease_call:
            return
        held = self._lease.is_held(now)
        spread = self._context.random.random() * LEASE_POLL_SPREAD_SECONDS
        self._next_lease_call = now + (self._renew_seconds if held else LEASE_POLL_SECONDS + spread)
        try:
            claim = self._lease.next_claim(now)
            if claim is None:
                await self._read_lease()
                claim = self._lease.next_claim(self._context.now())
            if claim is not None:
                await self._write_claim(claim)
        except StoreError as error:
            self._on_store_error(error)

    async def _read_lease(self) -> None:
        try:
            stored, _ = await self._store.get(self._lease_kind, self._lease_name)
        except StoreError as error:
            if error.problem is not StoreProblem.NOT_FOUND:
                raise
            self._on_lease_missing()
            return
        self._on_lease_read(stored)

    def _on_store_error(self, error: StoreError) -> None:
        """Handle a lease that differs from the known one.

        After any other failure the lease is read at the next poll.
        """
        if error.current is not None:
            self._on_lease_read(error.current)
        elif error.problem is StoreProblem.NOT_FOUND:
            self._on_lease_missing()
        elif error.problem is StoreProblem.CONFLICT:
            self._lease.on_conflict()

    def _on_lease_missing(self) -> None:
        era = self._store.era if self._store.era is not None else UNKNOWN_ERA
        self._lease.on_observed(None, StorePosition(era, ABSENT_REVISION), self._context.now())

    async def _write_claim(self, claim: LeaseClaim) -> None:
        spec = msgspec.json.encode(claim.spec)
        if claim.creates:
            stored, sent_at = await self._store.create(self._lease_kind, self._lease_name, spec)
        else:
            stored, sent_at = await self._store.replace(
                self._lease_kind, self._lease_name, spec, claim.expected
            )
        self._lease.on_written(claim, stored.position, sent_at)
        self._next_lease_call = sent_at + self._renew_seconds

    def _on_lease_read(self, stored: StoredObject) -> None:
        try:
            spec = msgspec.json.decode(stored.spec, type=LeaseSpec)
        except DECODE_ERRORS:
            self._context.log.emit("object-malformed", name=stored.name)
            return
        self._lease.on_observed(spec, stored.position, self._context.now())

    def _update_holder(self) -> None:
        holder = self._lease.is_held(self._context.now())
        self._peers.holds_lease = holder
        if holder == self._was_holder:
            return
        self._was_holder = holder
        self._rollout.reset()
        self._context.log.emit(
            "lease-held" if holder else "lease-lost", fencing_token=self._lease.fencing_token
        )

    # -- orders ---------------------------------------------------------------------------------

    def _send_orders(self) -> None:
        now = self._context.now()
        instances = list(self._context.instances)
        orders = self._rollout.next_orders(
            instances, now, self._context.settings.name, self._lease.fencing_token
        )
        for order in orders:
            self._spawn(self._send_order(order))
        for instance in self._rollout.due_polls(instances, now):
            self._spawn(self._poll_server(instance))

    async def _send_order(self, order: WeightOrder) -> None:
        instance = self._context.instances.get(order.instance)
        if instance is None or not self._lease.is_held(self._context.now()):
            return
        until = self._context.now() + self._rollout.load_seconds
        instance.health.on_order(until)
        reply = await self._calls.call(
            order.address,
            self._orders.order_call(order),
            ORDER_TIMEOUT_SECONDS,
            lambda: self._lease.is_held(self._context.now()),
            is_dedicated=True,
            bounds=REPORT_REPLY,
        )
        result = OrderReply.UNANSWERED
        if reply is not None:
            result = self._orders.read_order_reply(reply)
            if result is not OrderReply.WRONG_INSTANCE:
                self._apply_signals(instance, reply)
            elif reply.instance not in ("", order.instance):
                self._context.server_states.note_successor(instance, reply.instance)
        self._rollout.on_reply(instance, result, self._context.now())
        if result is OrderReply.ACCEPTED:
            self._notify(instance, order.model, order.version, ServerState.LOADING)
        self._context.record.weight_order(order, result)

    async def _poll_server(self, instance: Instance) -> None:
        reply = await self._calls.call(
            instance.record.address,
            self._orders.report_call(),
            ORDER_TIMEOUT_SECONDS,
            bounds=REPORT_REPLY,
        )
        report = self._orders.read_report(reply) if reply is not None else None
        if report is not None and reply is not None:
            self._context.instances.on_start_seen(
                instance.name, report.started_ms, report.weight_versions
            )
            # The reply may come from another incarnation than the polled one.
            instance = self._context.instances.get(instance.name) or instance
            if report.started_ms and report.started_ms == instance.record.started_ms:
                self._apply_signals(instance, reply)
        self._rollout.on_report(instance, report, self._context.now())
        if self._lease.is_held(self._context.now()):
            # Sends the next order at once instead of at the next tick.
            self._send_orders()
        if report is None or report.busy:
            return
        for model, version in report.weight_versions.items():
            self._notify(instance, model, version, ServerState.READY)

    def _apply_signals(self, instance: Instance, reply: Reply) -> None:
        """Apply the signals in a reply that is known to come from this incarnation."""
        if reply.head is not None:
            self._context.signal_monitor.on_reply(instance, reply.head, reply.sent_at)

    def _notify(self, instance: Instance, model: str, version: int, state: ServerState) -> None:
        started_ms = instance.record.started_ms
        self._peers.notify(ServerNotice(instance.name, model, version, state, started_ms))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
