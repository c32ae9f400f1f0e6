"""Grants permits out of a server quota that all gateways share; no input/output.

Each server quota has one owner among the gateways, its home, which alone keeps the token bucket and
grants one permit for one request on demand. Total use is therefore independent of the number of
gateways, of how unevenly demand is spread over them, and of the delay of messages between them.
While the home is silent a deputy grants half as much, so that gateways which can't all reach the
same owner stay within one and a half times the quota.
"""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from milletcourse.exchange.limits.recent_accounts import MAX_ACCOUNTS, drop_idle_accounts
from milletcourse.exchange.limits.urgent_reserve import UrgentReserve

BURST_PERMITS = 4.0
"""Capacity of the bucket: with less, permits are lost while no request needs one."""
DEPUTY_BURST_PERMITS = 1.0
DEPUTY_FRACTION = 0.5
ACTIVE_REQUESTER_SECONDS = 2.0
"""A gateway counts as a requester for this long after its latest request for a permit."""
REQUESTS_PER_PERMIT = 3.0
"""Denied gateways spread their next requests so that this many arrive for each permit: enough that
a permit doesn't stay unused, few enough that the owner for hundreds of gateways has little load."""
MAX_SPREAD_SECONDS = 2.0
RESERVED_PERMITS = 1.0
"""Permits that are reserved for more urgent requests that were denied one."""


class OwnerRole(Enum):
    """Role in which a gateway grants permits; it sets the burst and the share of the quota."""

    HOME = "home"
    DEPUTY = "deputy"
    LOCAL_SHARE = "alone"
    """No owner replies to this gateway: it uses its own share of the quota."""


class PermitReply(msgspec.Struct, frozen=True):
    """Reply to a request for a permit.

    Attributes:
        granted: The permit may be used now.
        permit_seconds: Time until there may be a permit for the requester.
        retry_seconds: Time after which it may request one again.
        requesters: Number of gateways that requested permits recently.
        per_second: Permits per second that become available for all gateways together.
    """

    granted: bool
    permit_seconds: float = 0.0
    retry_seconds: float = 0.0
    requesters: int = 1
    per_second: float = 1.0


GRANTED = PermitReply(True)


class _Account:
    """Token bucket of one quota; it starts empty, so that a restart doesn't allow a burst."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.updated_at = now
        self.requested_at = now
        self.requesters: dict[str, float] = {}
        self.urgent_reserve = UrgentReserve()

    def fill(self, per_second: float, burst: float, now: float) -> None:
        gained = per_second * max(now - self.updated_at, 0.0)
        self.level = min(self.level + gained, burst)
        self.updated_at = now

    def note_requester(self, name: str, now: float) -> None:
        self.requested_at = now
        self.requesters.pop(name, None)
        self.requesters[name] = now
        while now - next(iter(self.requesters.values())) > ACTIVE_REQUESTER_SECONDS:
            del self.requesters[next(iter(self.requesters))]

    def required_level(self, rank: int, now: float) -> float:
        """Bucket level from which a request of this rank gets a permit."""
        return 1.0 + (RESERVED_PERMITS if self.urgent_reserve.applies_to(rank, now) else 0.0)

    def spend(self, rank: int) -> None:
        self.level -= 1.0
        self.urgent_reserve.on_granted(rank)


class QuotaOwner:
    """The server quotas that one gateway owns."""

    def __init__(self, random_source: random.Random) -> None:
        """Start without any account.

        Args:
            random_source: Spreads the next requests of gateways that were denied a permit.
        """
        self._random = random_source
        self._accounts: dict[tuple[int, OwnerRole], _Account] = {}

    def request_permit(
        self,
        key: int,
        per_second: float,
        role: OwnerRole,
        members: int,
        requester: str,
        rank: int,
        now: float,
    ) -> PermitReply:
        """Grant a permit, or reply when to request one again.

        Args:
            key: Identity of the quota.
            per_second: Permits per second, for all gateways together; above 0.
            role: Role in which this gateway grants permits.
            members: Number of gateways.
            requester: Name of the gateway that requests the permit.
            rank: Rank of its request, 0 for the most urgent.
            now: Monotonic time.
        """
        account = self._account(key, role, now)
        income = per_second * _share(role, members)
        account.fill(income, _burst(role), now)
        account.note_requester(requester, now)
        required_level = account.required_level(rank, now)
        if account.level >= required_level:
            account.spend(rank)
            return GRANTED
        account.urgent_reserve.on_denied(rank, now)
        permit_seconds = (required_level - account.level) / income
        requesters = len(account.requesters)
        spread = min(requesters / (REQUESTS_PER_PERMIT * income), MAX_SPREAD_SECONDS)
        retry_seconds = permit_seconds + self._random.random() * spread
        return PermitReply(False, permit_seconds, retry_seconds, requesters, per_second)

    def _account(self, key: int, role: OwnerRole, now: float) -> _Account:
        account = self._accounts.get((key, role))
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                self.drop_idle(now)
            account = self._accounts[key, role] = _Account(now)
        return account

    def drop_idle(self, now: float) -> None:
        """Drop accounts without recent requests; the longest unused ones if there are many."""
        self._accounts = drop_idle_accounts(
            self._accounts, lambda account: account.requested_at, now
        )


def _share(role: OwnerRole, members: int) -> float:
    if role is OwnerRole.HOME:
        return 1.0
    return DEPUTY_FRACTION if role is OwnerRole.DEPUTY else 1.0 / max(members, 1)


def _burst(role: OwnerRole) -> float:
    return BURST_PERMITS if role is OwnerRole.HOME else DEPUTY_BURST_PERMITS
