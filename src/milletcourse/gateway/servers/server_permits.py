"""Permits to send to servers, checked for every request immediately before it is sent.

The check covers all signals of a server: that it is shutting down, that it requested back-off, its
request limit, and its limit of rejections, for which a permit includes a lease of a slot.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.limits.quota_owner import GRANTED, OwnerRole, PermitReply, QuotaOwner
from milletcourse.exchange.limits.quota_owner_selector import (
    OWNERS_PER_SLOTS,
    QuotaOwnerSelector,
    SelectedOwner,
)
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.load.signal_record import ServerLimitState, Signal
from milletcourse.exchange.messages.messages import AbortCause, AttemptResult
from milletcourse.exchange.messages.peer_messages import MAX_AGE_MS, SignalReport
from milletcourse.exchange.messages.quota_messages import PermitMessage, PermitStep, wire_ms
from milletcourse.exchange.messages.slot_messages import LeaseEnd, SlotDemand
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.servers.slot_leases import SlotLeases
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.responsive_timer import responsive_timeout

PERMIT_REQUEST_TIMEOUT_SECONDS = 0.15
"""How long a request waits for a quota owner's reply; one in another region replies in less."""
PERMIT_VALIDITY_SECONDS = 1.0
"""A request that is delayed for longer must not be sent, since its permit would add to those of
later requests and exceed the server's limit."""


_SIGNAL_CAUSES = {
    Signal.LEAVING: AbortCause.SERVER_LEAVING,
    Signal.BACKING_OFF: AbortCause.SERVER_BACKING_OFF,
}


@dataclass(frozen=True)
class Permit:
    """Permission to send one request to one server.

    Attributes:
        key: Identity of the server's incarnation.
        valid_until: Monotonic time at which the permit expires.
        lease: Number of the lease of one of the server's slots; 0 for none.
    """

    key: int
    valid_until: float
    lease: int = 0


@dataclass(frozen=True)
class _Request:
    """One request for a permit.

    Attributes:
        key: Identity of the server's incarnation.
        number: Number that the requester gave it.
        rank: Rank of the client's request, 0 for the most urgent.
        slot_demand: What a slot is requested with; None when none is needed.
    """

    key: int
    number: int
    rank: int
    slot_demand: SlotDemand | None


SendMessage = Callable[[str, PermitMessage], None]
"""Sends a message to a gateway by name."""
ReportHandler = Callable[[Iterable[SignalReport], bool], None]
"""Handles reports of another gateway; the flag says whether this gateway must forward them."""


class ServerPermits:
    """Requests a permit from the quota owner of a server for each send, and grants permits.

    For the servers whose quota it owns, this gateway grants permits to all gateways.

    Attributes:
        owner_selector: Which gateway owns the quota of which server.
        retry_delays: Servers whose quota owner recently had no permit left.
        slots: Leases of the slots of servers with a rejection limit.
        send: Sends messages; messages sent before it is set are lost.
    """

    def __init__(
        self,
        own_name: str,
        signals: ServerSignals,
        retry_delays: PermitRetryDelays,
        on_reports: ReportHandler,
        random_source: random.Random,
        clock: ResponsiveClock,
        now: Callable[[], float],
        members: Callable[[], int],
        metrics: MetricsSink,
        instances: InstanceTable,
        loads: LoadExchange,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Start without any permit requested or granted.

        Args:
            own_name: Name of this gateway.
            signals: Signals of servers: limits, shutdowns and requested back-off.
            retry_delays: Servers for which no permits are requested at present.
            on_reports: Handles the server limits that requesters report.
            random_source: Spreads requests for permits in time.
            clock: Responsive time of the event loop, used for timeouts of quota owners.
            now: Monotonic time.
            members: Number of known gateways.
            metrics: Counts permit requests.
            instances: The servers.
            loads: Load that the gateways exchange.
            is_stopping: Whether this gateway is stopping, and must not be relied on as an owner.
        """
        self.owner_selector = QuotaOwnerSelector(own_name)
        self.retry_delays = retry_delays
        self.send: SendMessage = lambda name, message: None
        self._own_name = own_name
        self._signals = signals
        self._on_reports = on_reports
        self._quota_owner = QuotaOwner(random_source)
        self._clock = clock
        self._now = now
        self._members = members
        self._is_stopping = is_stopping
        self._metrics = metrics
        self.slots = SlotLeases(
            own_name,
            self.owner_selector,
            signals,
            instances,
            random_source,
            clock,
            now,
            members,
            loads,
        )
        self._pending_replies: dict[tuple[str, int], asyncio.Future[PermitMessage]] = {}
        """Awaited replies by quota owner and request number."""

    # -- sends ----------------------------------------------------------------------------------

    async def take(self, instance: Instance, rank: int, service_slots: int = 0) -> Permit | None:
        """A permit to send a request to a server; None when its quota or slots are used up.

        Args:
            instance: The server.
            rank: Rank of the request, 0 for the most urgent.
            service_slots: Slots that each server of the service has; 0 when not given.
        """
        key = instance.key
        demand = self.slots.demand(instance, service_slots)
        if self._signals.send_rate(key) is None and demand is None:
            return self.without_limit(instance)
        number = self.slots.book.next_number()
        if demand is not None:
            self.slots.book.open(key, number)
        request = _Request(key, number, rank, demand)
        try:
            owner, reply = await self._request_permit(request)
        except BaseException:
            self.slots.book.end(key, number)
            raise
        self._metrics.on_permit_requested(reply.granted)
        if reply.granted:
            if demand is not None:
                self.slots.on_granted(instance, owner.name)
            valid_until = self._now() + PERMIT_VALIDITY_SECONDS
            return Permit(key, valid_until, number if demand is not None else 0)
        self.slots.book.end(key, number)
        self.retry_delays.on_denied(key, reply, self._now())
        return None

    def on_attempt_end(self, permit: Permit, result: AttemptResult, was_aborted: bool) -> None:
        """Return the lease of a permit when its attempt has ended.

        Args:
            permit: Permit of the attempt.
            result: How the attempt ended.
            was_aborted: This gateway aborted it while it was at the server.
        """
        if not permit.lease:
            return
        end = LeaseEnd.REJECTED if result is AttemptResult.REJECTED else LeaseEnd.ENDED
        self.slots.on_end(permit.key, permit.lease, end, was_aborted)

    def without_limit(self, instance: Instance) -> Permit:
        """A permit that is valid as long as the server has no limit of any kind."""
        return Permit(instance.key, float("-inf"))

    def blocking_cause(self, permit: Permit, instance: Instance) -> AbortCause | None:
        """Why a request may not be sent now, None when it may; checked immediately before the send.

        While the connection was being established, a signal of the server may have arrived, or the
        permit may have expired.
        """
        signal = self._signals.signal(instance.key, self._now())
        if signal is not None:
            return _SIGNAL_CAUSES[signal]
        is_valid = permit.key == instance.key and self._now() < permit.valid_until
        if self.slots.are_needed(instance.record.service):
            has_slot = is_valid and self.slots.book.holds(instance.key, permit.lease)
            return None if has_slot else AbortCause.SERVER_LIMIT
        if self._signals.per_second(instance.key) is None:
            return None
        return None if is_valid else AbortCause.SERVER_LIMIT

    def is_limited(self, instance: Instance) -> bool:
        """Whether a request to a server needs a permit."""
        if self.slots.are_needed(instance.record.service):
            return True
        return self._signals.per_second(instance.key) is not None

    def state(self, instance: Instance) -> ServerLimitState | None:
        """The known state of a server's limit, None when it has none."""
        per_second = self._signals.per_second(instance.key)
        if per_second is None:
            return None
        now = self._now()
        owner = self.owner_selector.select(instance.key, now)
        age_seconds = round(self._signals.limit_age(instance.key, now), 3)
        return ServerLimitState(
            instance.name, per_second, age_seconds, owner.name, owner.role.value
        )

    def retry_seconds(self, instances: Iterable[Instance], now: float) -> float | None:
        """Seconds after which a refused caller may be served by one of these servers.

        None when none of them was left out for its limit.

        Args:
            instances: The servers.
            now: Monotonic time at which they were left out.
        """
        return self.retry_delays.retry_after_seconds([instance.key for instance in instances], now)

    async def _request_permit(self, request: _Request) -> tuple[SelectedOwner, PermitReply]:
        """Request a permit from the quota owner, and a slot from a deputy if that grants none."""
        owner = self._select_owner(request)
        reply = await self._request_from(owner, request)
        if reply is None and request.slot_demand is not None:
            owner = self._select_owner(request)
            reply = await self._request_from(owner, request)
        return owner, reply if reply is not None else PermitReply(False)

    def _select_owner(self, request: _Request) -> SelectedOwner:
        if request.slot_demand is None:
            return self.owner_selector.select(request.key, self._now())
        owner = self.owner_selector.select(request.key, self._now(), OWNERS_PER_SLOTS)
        if owner.role is OwnerRole.LOCAL_SHARE and self.slots.hears_other_gateways():
            # The others share all slots by an owner that they reach.
            return self.owner_selector.least_skipped(request.key)
        return owner

    async def _request_from(self, owner: SelectedOwner, request: _Request) -> PermitReply | None:
        """Reply of an owner; None if it is silent or grants no permits at present."""
        if owner.name == self._own_name:
            reply = self._grant(request, owner.role, self._own_name)
            if reply is None:
                self.owner_selector.on_unavailable(owner.name, self._now())
            return reply
        try:
            message = await self._reply_of_owner(owner, request)
        except TimeoutError:
            self.owner_selector.on_no_reply(owner.name, self._now())
            self._metrics.on_quota_owner_timeout()
            return None
        if message.step is PermitStep.UNAVAILABLE:
            self.owner_selector.on_unavailable(owner.name, self._now())
            return None
        self.owner_selector.on_reply(owner.name)
        if message.step is PermitStep.GRANT:
            return GRANTED
        return PermitReply(
            False,
            message.permit_wait_ms / 1000.0,
            message.retry_after_ms / 1000.0,
            message.requesters,
            self._permits_per_second(message),
        )

    def _permits_per_second(self, message: PermitMessage) -> float:
        """Rate at which permits become available; earlier releases reply without it."""
        return message.permits_per_second or self._signals.send_rate(message.key) or 1.0

    async def _reply_of_owner(self, owner: SelectedOwner, request: _Request) -> PermitMessage:
        """Ask another gateway for a permit; raises `TimeoutError` when it is silent."""
        key = request.key
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[owner.name, request.number] = future
        self.send(
            owner.name,
            PermitMessage(
                PermitStep.ASK,
                self._own_name,
                key,
                request.number,
                self._signals.per_second(key),
                round(min(self._signals.limit_age(key, self._now()) * 1000.0, MAX_AGE_MS)),
                request.rank,
                slot_demand=request.slot_demand,
            ),
        )
        try:
            async with responsive_timeout(self._clock, PERMIT_REQUEST_TIMEOUT_SECONDS):
                return await future
        finally:
            del self._pending_replies[owner.name, request.number]

    # -- messages -------------------------------------------------------------------------------

    def on_message(self, message: PermitMessage) -> None:
        """Handle another gateway's request for a permit, or its reply to one."""
        if message.step is PermitStep.ASK:
            self._on_request(message)
            return
        waiting = self._pending_replies.get((message.sender, message.request_number))
        if waiting is not None and not waiting.done():
            waiting.set_result(message)
        elif message.step is PermitStep.GRANT:
            self.slots.on_late_grant(message.key, message.request_number)

    def _on_request(self, request: PermitMessage) -> None:
        if request.per_second is not None:
            self._on_reports(
                [SignalReport(request.key, request.per_second, request.limit_age_ms)], False
            )
        asked = _Request(request.key, request.request_number, request.priority, request.slot_demand)
        role = self.owner_selector.own_role(request.key)
        reply = self._grant(asked, role, request.sender)
        self.send(request.sender, self._reply_message(request, reply))

    def _reply_message(self, request: PermitMessage, reply: PermitReply | None) -> PermitMessage:
        number = request.request_number
        if reply is None:
            return PermitMessage(PermitStep.UNAVAILABLE, self._own_name, request.key, number)
        return PermitMessage(
            PermitStep.GRANT if reply.granted else PermitStep.DENY,
            self._own_name,
            request.key,
            number,
            permit_wait_ms=wire_ms(reply.permit_seconds),
            retry_after_ms=wire_ms(reply.retry_seconds),
            requesters=reply.requesters,
            permits_per_second=reply.per_second,
        )

    def _grant(self, request: _Request, role: OwnerRole, requester: str) -> PermitReply | None:
        """Grant what a request needs: a slot, a permit of the server's quota, or both.

        Returns None while this gateway is stopping, or doesn't know how many slots are leased.
        """
        key, rank, demand = request.key, request.rank, request.slot_demand
        if demand is not None and self._is_stopping() and role is not OwnerRole.LOCAL_SHARE:
            return None
        if demand is not None:
            slot = self.slots.grant(key, demand, role, requester, request.number, rank)
            if slot is None or not slot.granted:
                return slot
        per_second = self._signals.send_rate(key)
        if per_second is None:
            return GRANTED
        reply = self._quota_owner.request_permit(
            key, per_second, role, self._members(), requester, rank, self._now()
        )
        if not reply.granted and demand is not None:
            self.slots.withdraw(key, requester, request.number)
        return reply

    def sweep(self, servers: Callable[[], Collection[int]]) -> None:
        """Drop expired state.

        Args:
            servers: Returns the identities of the existing server incarnations.
        """
        now = self._now()
        self._quota_owner.drop_idle(now)
        self.slots.sweep()
        self._signals.expire(now, servers)
        self.retry_delays.expire(now)
