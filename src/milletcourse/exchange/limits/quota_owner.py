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

BURST_UNITS = 4.0
"""Units that are saved up: with fewer, units are lost while no request needs one."""
DEPUTY_BURST_UNITS = 1.0
DEPUTY_SHARE = 0.5
ASKERS_SECONDS = 2.0
"""A gateway that asked so long ago still counts as one that needs units."""
ASKS_A_UNIT = 3.0
"""Denied gateways spread their next asks so that so many come for each unit: enough that a unit
finds somebody, few enough that a lender before hundreds of gateways answers little."""
MAX_SPREAD_SECONDS = 2.0
URGENT_SECONDS = 1.0
"""A more urgent ask that was denied has first call on the next units for this long."""
RESERVED_UNITS = 1.0
"""Units that are kept for it."""
URGENT_UNITS = 4
"""After so many units for the more urgent, a less urgent ask is treated alike: it is served less,
not never."""
IDLE_SECONDS = 60.0
"""An account that nobody asks is dropped."""
MAX_ACCOUNTS = 4096


class Standing(Enum):
    """As what a gateway lends: units that are saved up, and its part of the allowance."""

    HOME = "home"
    DEPUTY = "deputy"
    ALONE = "alone"
    """No lender answers this gateway: it spends its own part of the allowance."""


class UnitReply(msgspec.Struct, frozen=True):
    """Reply to an ask.

    Attributes:
        granted: The unit may be spent now.
        unit_seconds: Time until there may be one for the asker.
        pause_seconds: Time after which it may ask again.
        askers: Gateways that asked lately.
    """

    granted: bool
    unit_seconds: float = 0.0
    pause_seconds: float = 0.0
    askers: int = 1


GRANTED = UnitReply(True)


class _Account:
    """Bucket of one allowance; it starts empty, so that restarts save nothing up."""

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.updated_at = now
        self.asked_at = now
        self.askers: dict[str, float] = {}
        self.urgent_rank = 0
        self.urgent_until = float("-inf")
        self.urgent_units = 0

    def fill(self, per_second: float, burst: float, now: float) -> None:
        gained = per_second * max(now - self.updated_at, 0.0)
        self.level = min(self.level + gained, burst)
        self.updated_at = now

    def note_asker(self, name: str, now: float) -> None:
        self.asked_at = now
        self.askers.pop(name, None)
        self.askers[name] = now
        while now - next(iter(self.askers.values())) > ASKERS_SECONDS:
            del self.askers[next(iter(self.askers))]

    def needed(self, rank: int, now: float) -> float:
        """Level at which a request of this rank gets a unit."""
        if now >= self.urgent_until or rank <= self.urgent_rank:
            return 1.0
        return 1.0 if self.urgent_units >= URGENT_UNITS else 1.0 + RESERVED_UNITS

    def note_denied(self, rank: int, now: float) -> None:
        if now >= self.urgent_until or rank <= self.urgent_rank:
            self.urgent_rank = rank
            self.urgent_until = now + URGENT_SECONDS

    def spend(self, rank: int) -> None:
        self.level -= 1.0
        self.urgent_units = self.urgent_units + 1 if rank <= self.urgent_rank else 0


class AllowanceLender:
    """The allowances that one gateway lends."""

    def __init__(self, random_source: random.Random) -> None:
        """No account yet.

        Args:
            random_source: Spreads the next asks of those that were denied.
        """
        self._random = random_source
        self._accounts: dict[tuple[int, Standing], _Account] = {}

    def ask(
        self,
        key: int,
        per_second: float,
        standing: Standing,
        members: int,
        asker: str,
        rank: int,
        now: float,
    ) -> UnitReply:
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
        account = self._account(key, standing, now)
        income = per_second * _share(standing, members)
        account.fill(income, _burst(standing), now)
        account.note_asker(asker, now)
        needed = account.needed(rank, now)
        if account.level >= needed:
            account.spend(rank)
            return GRANTED
        account.note_denied(rank, now)
        unit_seconds = (needed - account.level) / income
        askers = len(account.askers)
        spread = min(askers / (ASKS_A_UNIT * income), MAX_SPREAD_SECONDS)
        pause_seconds = unit_seconds + self._random.random() * spread
        return UnitReply(False, unit_seconds, pause_seconds, askers)

    def _account(self, key: int, standing: Standing, now: float) -> _Account:
        account = self._accounts.get((key, standing))
        if account is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                self.drop_idle(now)
            account = self._accounts[key, standing] = _Account(now)
        return account

    def drop_idle(self, now: float) -> None:
        """Forget accounts that nobody asks any more; the longest unused ones if there are many."""
        kept = {
            place: account
            for place, account in self._accounts.items()
            if now - account.asked_at < IDLE_SECONDS
        }
        if len(kept) >= MAX_ACCOUNTS:
            newest = sorted(kept.items(), key=lambda item: -item[1].asked_at)
            kept = dict(newest[: MAX_ACCOUNTS // 2])
        self._accounts = kept


def _share(standing: Standing, members: int) -> float:
    if standing is Standing.HOME:
        return 1.0
    return DEPUTY_SHARE if standing is Standing.DEPUTY else 1.0 / max(members, 1)


def _burst(standing: Standing) -> float:
    return BURST_UNITS if standing is Standing.HOME else DEPUTY_BURST_UNITS
