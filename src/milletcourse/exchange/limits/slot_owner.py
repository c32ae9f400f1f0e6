"""Leases the slots of a server that all gateways share; no input/output.

Servers that crash when they must reject too many requests get no more of them at once than they
have slots. Each of them has one owner among the gateways, which leases a slot for each request and
gets it back when the request has ended. The gateways report the leases that they hold at an
interval, also to the owner's deputies: a lease whose return was lost ends with the next report, the
leases of a gateway that has died end when it has been silent for a while, and a deputy knows what
is leased before it grants anything itself.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from milletcourse.exchange.limits.quota_owner import GRANTED, OwnerRole, PermitReply
from milletcourse.exchange.limits.recent_accounts import MAX_ACCOUNTS, drop_idle_accounts
from milletcourse.exchange.limits.urgent_reserve import UrgentReserve
from milletcourse.exchange.messages.slot_messages import HeldLeases, LeaseEnd, SlotDemand

REPORT_SECONDS = 0.2
"""Interval at which gateways report the leases that they hold."""
COLLECT_SECONDS = 2 * REPORT_SECONDS
"""Until the holders' reports have arrived, a new account relies on the load that gateways exchange;
a gateway that doesn't know that load yet grants nothing."""
SILENT_HOLDER_SECONDS = 1.0
"""The leases of a gateway that has reported nothing for this long end."""
RESERVED_SLOTS = 1
"""Slots that less urgent requests leave to more urgent ones that were denied one."""
REJECTION_WINDOW_SECONDS = 1.05
"""Servers count rejections per second; a little more covers the way of the answers."""
MIN_GROWTH_SECONDS = 0.1
"""Shortest interval in which one more slot than is known to be free is tried out."""
MAX_GROWTH_BACKOFF = 16
"""The interval grows up to this factor while what is tried out is rejected: memory, unlike a slot
that another gateway has just used, may be missing for long."""
MIN_ENDS_PER_SECOND = 0.5
MAX_ENDS = 64
"""Ends of requests from which their rate is estimated."""
ENDS_WINDOW_SECONDS = 5.0
REQUESTS_PER_SLOT = 10.0
"""Denied gateways spread their next requests so that this many arrive for each slot: enough that a
slot doesn't stay unused, few enough that the owner for hundreds of gateways has little load."""
MAX_SPREAD_SECONDS = 2.0
LOCAL_TURN_SECONDS = 0.5
"""How long a slot is left to one gateway when gateways that reach no owner take turns; longer than
most requests run."""
ACTIVE_REQUESTER_SECONDS = 2.0
"""A gateway counts as a requester for this long after its latest request."""


class SlotAccountState(msgspec.Struct, frozen=True):
    """What an owner knows of a server's slots, for operators.

    Attributes:
        leased: Requests at the server.
        limit: Requests that may be there at once.
        rejections: Rejections within the last second.
    """

    leased: int
    limit: int
    rejections: int


class _Holder:
    def __init__(self, now: float) -> None:
        self.numbers: set[int] = set()
        self.unleased = 0
        self.heard_at = now

    @property
    def requests(self) -> int:
        return len(self.numbers) + self.unleased


class _Account:
    """The slots of one server; starts with one, or with as many as are leased already."""

    def __init__(self, now: float, exchanged_requests: int | None) -> None:
        self.collects_until = now + COLLECT_SECONDS
        self.exchanged_requests = exchanged_requests
        self.used_at = now
        self.holders: dict[str, _Holder] = {}
        self.requesters: dict[str, float] = {}
        self.reserve = UrgentReserve()
        self.demand = SlotDemand(0, 0.0)
        self.limit = 1
        self.grows_at = float("-inf")
        self.growth_backoff = 1
        self.has_rejected = False
        self.rejections: deque[float] = deque()
        self.local_turn_at = float("-inf")
        self.ends: deque[float] = deque(maxlen=MAX_ENDS)

    def holder(self, name: str, now: float) -> _Holder:
        self.used_at = now
        holder = self.holders.get(name)
        if holder is None:
            holder = self.holders[name] = _Holder(now)
        holder.heard_at = now
        return holder

    def expire(self, now: float) -> None:
        silent = [
            name
            for name, holder in self.holders.items()
            if now - holder.heard_at > SILENT_HOLDER_SECONDS
        ]
        for name in silent:
            del self.holders[name]
        while self.rejections and now - self.rejections[0] > REJECTION_WINDOW_SECONDS:
            self.rejections.popleft()
        while self.ends and now - self.ends[0] > ENDS_WINDOW_SECONDS:
            self.ends.popleft()

    @property
    def leased(self) -> int:
        """Requests at the server, of all gateways."""
        return sum(holder.requests for holder in self.holders.values())

    def is_informed(self, now: float) -> bool:
        """Whether the requests at the server are known well enough to grant leases."""
        return now >= self.collects_until or self.exchanged_requests is not None

    def requests(self, now: float) -> int:
        """Requests that must be assumed to be at the server."""
        if now >= self.collects_until:
            return self.leased
        return max(self.leased, self.exchanged_requests or 0)

    def note_requester(self, name: str, now: float) -> None:
        self.requesters.pop(name, None)
        self.requesters[name] = now
        while now - next(iter(self.requesters.values())) > ACTIVE_REQUESTER_SECONDS:
            del self.requesters[next(iter(self.requesters))]

    def closed_seconds(self, now: float) -> float:
        """Seconds for which nothing is granted; 0 when it may be."""
        if len(self.rejections) < self.allowed_rejections:
            return 0.0
        reopens_at = self.rejections[-self.allowed_rejections] + REJECTION_WINDOW_SECONDS
        return max(reopens_at - now, 0.0)

    @property
    def allowed_rejections(self) -> int:
        """Rejections per second that may be risked; more may be underway at the same time."""
        return max(int(self.demand.rejections_per_second / 2), 1)

    @property
    def growth_seconds(self) -> float:
        """Interval in which one more slot may be tried out."""
        seconds = max(REJECTION_WINDOW_SECONDS / self.allowed_rejections, MIN_GROWTH_SECONDS)
        return seconds * self.growth_backoff

    def ends_per_second(self, now: float) -> float:
        if len(self.ends) < 2:
            return MIN_ENDS_PER_SECOND
        seconds = max(now - self.ends[0], 0.1)
        return max(len(self.ends) / seconds, MIN_ENDS_PER_SECOND)

    def on_ended(self, now: float) -> None:
        self.ends.append(now)
        if self.leased + 1 < self.limit:
            return
        grows_freely = not self.has_rejected and self.limit < self.demand.slots
        if grows_freely or now >= self.grows_at:
            self.limit += 1
            self.growth_backoff = max(self.growth_backoff // 2, 1)
            self.grows_at = now + self.growth_seconds

    def on_rejected(self, now: float) -> None:
        self.rejections.append(now)
        self.limit = max(min(self.limit, self.leased), 1)
        self.has_rejected = True
        self.growth_backoff = min(4 * self.growth_backoff, MAX_GROWTH_BACKOFF)
        self.grows_at = now + self.growth_seconds

    def bound(self) -> int:
        """Requests that may be at the server at once."""
        return min(self.limit, self.demand.slots) if self.demand.slots else self.limit

    def has_room(self, role: OwnerRole, members: int, reserved: int, now: float) -> bool:
        """Whether one more request may go to the server."""
        if role is not OwnerRole.LOCAL_SHARE:
            return self.requests(now) + reserved < self.bound()
        share, remainder = divmod(self.bound(), members)
        if self.leased < share:
            return True
        # Gateways that reach no owner take turns with the slots that aren't enough for all.
        if self.leased > share or not remainder or now < self.local_turn_at:
            return False
        self.local_turn_at = now + LOCAL_TURN_SECONDS * members / remainder
        return True


class SlotOwner:
    """The slots of the servers that one gateway owns, or whose owner it may have to replace."""

    def __init__(
        self, random_source: random.Random, exchanged_requests: Callable[[int], int | None]
    ) -> None:
        """Start without any account.

        Args:
            random_source: Spreads the next requests of gateways that were denied a slot.
            exchanged_requests: Requests of all gateways at a server by the load that they exchange;
                None while this gateway doesn't know the load of all.
        """
        self._random = random_source
        self._exchanged_requests = exchanged_requests
        self._accounts: dict[int, _Account] = {}

    def request_slot(
        self,
        key: int,
        demand: SlotDemand,
        role: OwnerRole,
        members: int,
        requester: str,
        number: int,
        rank: int,
        now: float,
    ) -> PermitReply | None:
        """Lease a slot, or reply when to request one again.

        Returns None while this gateway doesn't know how many slots are leased.

        Args:
            key: Key of the server's incarnation.
            demand: What the requester knows of the server.
            role: Role in which this gateway grants leases.
            members: Number of gateways.
            requester: Name of the gateway that requests the slot.
            number: Number that it gave the lease.
            rank: Rank of its request, 0 for the most urgent.
            now: Responsive time.
        """
        account = self._account(key, now)
        account.expire(now)
        if not account.is_informed(now):
            return None
        account.demand = demand
        account.note_requester(requester, now)
        holder = account.holder(requester, now)
        # The requester reports a lease that it waits for, so that a grant on its way isn't dropped.
        holder.numbers.discard(number)
        reserved = RESERVED_SLOTS if account.reserve.applies_to(rank, now) else 0
        closed_seconds = account.closed_seconds(now)
        if not closed_seconds and account.has_room(role, max(members, 1), reserved, now):
            holder.numbers.add(number)
            account.reserve.on_granted(rank)
            return GRANTED
        account.reserve.on_denied(rank, now)
        per_second = account.ends_per_second(now)
        requesters = len(account.requesters)
        wait_seconds = max(closed_seconds, 1.0 / per_second)
        spread = min(requesters / (REQUESTS_PER_SLOT * per_second), MAX_SPREAD_SECONDS)
        retry_seconds = closed_seconds + self._random.random() * spread
        return PermitReply(False, wait_seconds, retry_seconds, requesters, per_second)

    def on_unused(self, key: int, holder: str, number: int, now: float) -> None:
        """End a lease whose request was not sent; arguments as below."""
        self._account(key, now).holder(holder, now).numbers.discard(number)

    def on_end(self, key: int, holder: str, number: int, end: LeaseEnd, now: float) -> None:
        """End a lease.

        Args:
            key: Key of the server's incarnation.
            holder: Gateway that holds the lease.
            number: Number of the lease.
            end: How its request ended.
            now: Responsive time.
        """
        account = self._account(key, now)
        account.holder(holder, now).numbers.discard(number)
        if end is LeaseEnd.REJECTED:
            account.on_rejected(now)
        else:
            account.on_ended(now)

    def on_report(
        self, holder: str, latest_number: int, held: Iterable[HeldLeases], now: float
    ) -> None:
        """Replace what is known of a gateway's requests by its report.

        Args:
            holder: The gateway.
            latest_number: Latest number that it had used when it sent the report; a later lease
                that isn't reported was granted since.
            held: Its requests at servers that this gateway owns or may have to own.
            now: Responsive time.
        """
        for item in held:
            account = self._account(item.key, now)
            known = account.holder(holder, now)
            granted_since = {number for number in known.numbers if number > latest_number}
            known.numbers = {*item.numbers, *granted_since}
            known.unleased = item.unleased
            if now < account.collects_until:
                account.limit = max(account.limit, account.leased)

    def state(self, key: int, now: float) -> SlotAccountState | None:
        """What is known of a server's slots, None when nothing is."""
        account = self._accounts.get(key)
        if account is None:
            return None
        account.expire(now)
        return SlotAccountState(account.leased, account.bound(), len(account.rejections))

    def drop_idle(self, now: float) -> None:
        """Drop accounts that haven't been used recently; the longest unused ones if many are."""
        self._accounts = drop_idle_accounts(self._accounts, lambda account: account.used_at, now)

    def _account(self, key: int, now: float) -> _Account:
        account = self._accounts.get(key)
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                self.drop_idle(now)
            account = _Account(now, self._exchanged_requests(key))
            account.limit = max(account.limit, account.exchanged_requests or 0)
            self._accounts[key] = account
        return account
