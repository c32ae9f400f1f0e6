"""Lends units of an allowance that all gateways spend together; no input/output.

Each allowance has one lender among the gateways, its home, which alone keeps its bucket and lends
one unit for one request when it is asked. What is spent then doesn't depend on how many gateways
there are, how unevenly they need it, or how late they hear of each other. When the home is silent a
deputy lends half as much, so that gateways which can't all reach the same lender stay within one
and a half times the allowance.
"""

from __future__ import annotations

import random
from enum import Enum

import msgspec

BURST_PERMITS = 4.0
"""Units that are saved up: with fewer, units are lost while no request needs one."""
DEPUTY_BURST_PERMITS = 1.0
DEPUTY_FRACTION = 0.5
ACTIVE_REQUESTER_SECONDS = 2.0
"""A gateway that asked so long ago still counts as one that needs units."""
REQUESTS_PER_PERMIT = 3.0
"""Denied gateways spread their next asks so that so many come for each unit: enough that a unit
finds somebody, few enough that a lender before hundreds of gateways answers little."""
MAX_SPREAD_SECONDS = 2.0
URGENT_SECONDS = 1.0
"""A more urgent ask that was denied has first call on the next units for this long."""
RESERVED_PERMITS = 1.0
"""Units that are kept for it."""
MAX_URGENT_IN_A_ROW = 4
"""After so many units for the more urgent, a less urgent ask is treated alike: it is served less,
not never."""
IDLE_SECONDS = 60.0
"""An account that nobody asks is dropped."""
MAX_ACCOUNTS = 4096


class OwnerRole(Enum):
    """As what a gateway lends: units that are saved up, and its part of the allowance."""

    HOME = "home"
    DEPUTY = "deputy"
    LOCAL_SHARE = "alone"
    """No lender answers this gateway: it spends its own part of the allowance."""


class PermitReply(msgspec.Struct, frozen=True):
    """Reply to an ask.

    Attributes:
        granted: The unit may be spent now.
        unit_seconds: Time until there may be one for the asker.
        pause_seconds: Time after which it may ask again.
        askers: Gateways that asked lately.
    """

    granted: bool
    permit_seconds: float = 0.0
    retry_seconds: float = 0.0
    requesters: int = 1


GRANTED = PermitReply(True)


class _Account:
    """Bucket of one allowance; it starts empty, so that restarts save nothing up."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.updated_at = now
        self.requested_at = now
        self.requesters: dict[str, float] = {}
        self.urgent_rank = 0
        self.urgent_until = float("-inf")
        self.urgent_in_a_row = 0

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

    def needed(self, rank: int, now: float) -> float:
        """Level at which a request of this rank gets a unit."""
        if now >= self.urgent_until or rank <= self.urgent_rank:
            return 1.0
        return 1.0 if self.urgent_in_a_row >= MAX_URGENT_IN_A_ROW else 1.0 + RESERVED_PERMITS

    def note_denied(self, rank: int, now: float) -> None:
        if now >= self.urgent_until or rank <= self.urgent_rank:
            self.urgent_rank = rank
            self.urgent_until = now + URGENT_SECONDS

    def spend(self, rank: int) -> None:
        self.level -= 1.0
        self.urgent_in_a_row = self.urgent_in_a_row + 1 if rank <= self.urgent_rank else 0


class QuotaOwner:
    """The allowances that one gateway lends."""

    def __init__(self, random_source: random.Random) -> None:
        """No account yet.

        Args:
            random_source: Spreads the next asks of those that were denied.
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
        """Lend a unit, or say when to ask again.

        Args:
            key: Identity of the allowance.
            per_second: Units a second, for all gateways together; above 0.
            standing: As what this gateway lends.
            members: How many gateways there are.
            asker: Name of the gateway that asks.
            rank: Rank of its request, 0 for the most urgent.
            now: Monotonic time.
        """
        account = self._account(key, role, now)
        income = per_second * _share(role, members)
        account.fill(income, _burst(role), now)
        account.note_requester(requester, now)
        needed = account.needed(rank, now)
        if account.level >= needed:
            account.spend(rank)
            return GRANTED
        account.note_denied(rank, now)
        permit_seconds = (needed - account.level) / income
        requesters = len(account.requesters)
        spread = min(requesters / (REQUESTS_PER_PERMIT * income), MAX_SPREAD_SECONDS)
        retry_seconds = permit_seconds + self._random.random() * spread
        return PermitReply(False, permit_seconds, retry_seconds, requesters)

    def _account(self, key: int, role: OwnerRole, now: float) -> _Account:
        account = self._accounts.get((key, role))
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                self.drop_idle(now)
            account = self._accounts[key, role] = _Account(now)
        return account

    def drop_idle(self, now: float) -> None:
        """Forget accounts that nobody asks any more; the longest unused ones if there are many."""
        kept = {
            place: account
            for place, account in self._accounts.items()
            if now - account.requested_at < IDLE_SECONDS
        }
        if len(kept) >= MAX_ACCOUNTS:
            newest = sorted(kept.items(), key=lambda item: -item[1].requested_at)
            kept = dict(newest[: MAX_ACCOUNTS // 2])
        self._accounts = kept


def _share(role: OwnerRole, members: int) -> float:
    if role is OwnerRole.HOME:
        return 1.0
    return DEPUTY_FRACTION if role is OwnerRole.DEPUTY else 1.0 / max(members, 1)


def _burst(role: OwnerRole) -> float:
    return BURST_PERMITS if role is OwnerRole.HOME else DEPUTY_BURST_PERMITS
