"""Leases of server slots at this gateway: those that it holds, and those that it grants."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from milletcourse.exchange.limits.lease_book import LeaseBook
from milletcourse.exchange.limits.quota_owner import OwnerRole, PermitReply
from milletcourse.exchange.limits.quota_owner_selector import (
    OWNERS_PER_SLOTS,
    QuotaOwnerSelector,
)
from milletcourse.exchange.limits.slot_owner import REPORT_SECONDS, SlotOwner
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.load.rejection_limits import RejectionLimits
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.load.signal_record import ServerSlotState
from milletcourse.exchange.messages.slot_messages import (
    EndedLease,
    HeldLeases,
    LeaseEnd,
    SlotDemand,
    SlotMessage,
)
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.runtime.responsive_clock import ResponsiveClock

LOAD_UNKNOWN_SECONDS = 3.0
"""For this long after its start, a gateway may not know the load of all others."""

SendSlotMessage = Callable[[str, SlotMessage], None]
"""Sends a message to a gateway by name."""


class SlotLeases:
    """Holds leases for this gateway's requests, and grants leases of the slots that it owns.

    Attributes:
        book: The leases that this gateway holds or has requested.
        send: Sends messages; messages sent before it is set are lost.
        on_limits_changed: Called when servers of a service announce a rejection limit, another one,
            or none any more.
    """

    def __init__(
        self,
        own_name: str,
        owner_selector: QuotaOwnerSelector,
        signals: ServerSignals,
        instances: InstanceTable,
        random_source: random.Random,
        clock: ResponsiveClock,
        now: Callable[[], float],
        members: Callable[[], int],
        loads: LoadExchange,
    ) -> None:
        """Start without any lease.

        Args:
            own_name: Name of this gateway.
            owner_selector: Which gateways own the slots of which server.
            signals: What servers announce.
            instances: The servers.
            random_source: Spreads requests for slots in time.
            clock: Responsive time, in which the silence of other gateways is measured.
            now: Monotonic time.
            members: Number of known gateways.
            loads: Load that the gateways exchange.
        """
        self.book = LeaseBook(int(now() * 1000.0))
        self.send: SendSlotMessage = lambda name, message: None
        self.on_limits_changed: Callable[[], None] = lambda: None
        self._own_name = own_name
        self._owner_selector = owner_selector
        self._limits = RejectionLimits(signals, instances)
        self._owner = SlotOwner(random_source, self._exchanged_requests)
        self._clock = clock
        self._now = now
        self._members = members
        self._reported_at = float("-inf")
        self._swept_limits: dict[str, float] = {}
        self._started_at = now()
        self._loads = loads

    # -- holding --------------------------------------------------------------------------------

    def demand(self, instance: Instance, service_slots: int) -> SlotDemand | None:
        """What a lease of a server's slots is requested with; None when it needs none.

        Args:
            instance: The server.
            service_slots: Slots that each server of its service has; 0 when not given.
        """
        per_second = self._limits.of_service(instance.record.service, self._now())
        if per_second is None:
            return None
        return SlotDemand(instance.record.slots or service_slots, per_second)

    def are_needed(self, service: str) -> bool:
        """Whether requests to the servers of a service need leases."""
        return self._limits.of_service(service, self._now()) is not None

    def hears_other_gateways(self) -> bool:
        """Whether the load of any other gateway is known here."""
        return self._loads.known_gateways(self._now()) > 1

    def on_granted(self, instance: Instance, granted_by: str) -> None:
        """Tell the other gateways that may own a server's slots about a new lease."""
        report = self.book.report(instance.key, instance.in_flight)
        for name in self._accountants(instance.key):
            if name != granted_by:
                self._deliver(name, held=[report])

    def on_late_grant(self, key: int, number: int) -> None:
        """Return a lease that was granted after this gateway had stopped waiting for it."""
        if not self.book.holds(key, number):
            self._deliver_end(EndedLease(key, number, LeaseEnd.ENDED))

    def on_end(self, key: int, number: int, end: LeaseEnd, was_aborted: bool) -> None:
        """Return a lease whose request has ended.

        Args:
            key: Key of the server's incarnation.
            number: Number of the lease.
            end: How the request ended.
            was_aborted: This gateway aborted it while it was at the server.
        """
        if was_aborted:
            self.book.on_aborted(key, number, self._now())
        elif self.book.end(key, number):
            self._deliver_end(EndedLease(key, number, end))

    def tick(self) -> None:
        """Return the leases of aborted requests, and report all that are held at an interval."""
        now = self._now()
        for ended in self.book.take_due(now):
            self._deliver_end(ended)
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        requests = {instance.key: instance.in_flight for instance in self._limits.limited_servers()}
        for report in self.book.due_reports(requests):
            for name in self._accountants(report.key):
                self._deliver(name, held=[report])

    def _exchanged_requests(self, key: int) -> int | None:
        """Requests of all gateways at a server, None while the load of some may be unknown."""
        now = self._now()
        if now - self._started_at < LOAD_UNKNOWN_SECONDS:
            return None
        return self._loads.all_requests(key, self._members(), now)

    def announced_limits(self) -> dict[str, float]:
        """Rejections per second that servers bear, by service."""
        return self._limits.by_service()

    def on_reported_limits(self, limits: Mapping[str, float]) -> None:
        """Apply limits that a gateway wrote into its entry, if this one has just started."""
        if self._now() - self._started_at < LOAD_UNKNOWN_SECONDS:
            self._limits.on_reported(limits, self._now())

    def sweep(self) -> None:
        """Drop expired state."""
        self._limits.refresh(self._now())
        limits = self._limits.by_service()
        if limits != self._swept_limits:
            self._swept_limits = limits
            self.on_limits_changed()
        self._owner.drop_idle(self._clock.seconds())

    def _deliver_end(self, ended: EndedLease) -> None:
        for name in self._accountants(ended.key):
            self._deliver(name, ended=[ended])

    def _accountants(self, key: int) -> list[str]:
        """The gateways that keep account of this one's leases: the server's owners, and itself."""
        owners = self._owner_selector.owners(key)
        return owners if self._own_name in owners else [*owners, self._own_name]

    def _deliver(
        self, name: str, ended: Iterable[EndedLease] = (), held: Iterable[HeldLeases] = ()
    ) -> None:
        message = SlotMessage(self._own_name, self.book.latest_number, list(ended), list(held))
        if name == self._own_name:
            self.on_message(message)
        else:
            self.send(name, message)

    # -- granting -------------------------------------------------------------------------------

    def grant(
        self,
        key: int,
        demand: SlotDemand,
        role: OwnerRole,
        requester: str,
        number: int,
        rank: int,
    ) -> PermitReply | None:
        """Grant a lease, or reply when to request one again.

        Returns None while this gateway doesn't know how many slots are leased.

        Args:
            key: Key of the server's incarnation.
            demand: What the requester knows of the server.
            role: Role in which this gateway grants it.
            requester: Name of the gateway that requests it.
            number: Number of the lease.
            rank: Rank of the request, 0 for the most urgent.
        """
        now = self._clock.seconds()
        members = self._members()
        return self._owner.request_slot(key, demand, role, members, requester, number, rank, now)

    def withdraw(self, key: int, requester: str, number: int) -> None:
        """Take back a lease that was granted and not replied to the requester."""
        self._owner.on_unused(key, requester, number, self._clock.seconds())

    def on_message(self, message: SlotMessage) -> None:
        """Apply another gateway's message, or this one's own."""
        now = self._clock.seconds()
        for ended in message.ended:
            self._owner.on_end(ended.key, message.sender, ended.number, ended.end, now)
        self._owner.on_report(message.sender, message.latest_number, message.held, now)

    def state(self, instance: Instance) -> ServerSlotState | None:
        """What this gateway knows of a server's slots, None when none are leased."""
        key = instance.key
        per_second = self._limits.of_service(instance.record.service, self._now())
        if per_second is None:
            return None
        owner = self._owner_selector.select(key, self._now(), OWNERS_PER_SLOTS)
        account = self._owner.state(key, self._clock.seconds())
        return ServerSlotState(
            instance.name,
            per_second,
            instance.record.slots,
            self.book.count(key),
            owner.name,
            owner.role.value,
            account.leased if account is not None else None,
            account.limit if account is not None else None,
            account.rejections if account is not None else None,
        )
