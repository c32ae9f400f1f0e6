"""Ways in which gateways can spend a server's limit together, for `allowance_model` to compare."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.limits.quota_owner import (
    BURST_PERMITS,
    OwnerRole,
    PermitReply,
    QuotaOwner,
)
from milletcourse.exchange.limits.quota_owner_selector import QuotaOwnerSelector

KEY = 1
TOLD_AFTER_SECONDS = 0.2
"""Gateways hear of each other's sends after this time: two messages of sums."""
Reaches = Callable[[str, str], bool]
"""Whether a message gets from one gateway to another now."""


class Way(Enum):
    """How gateways share a limit."""

    PARTS = "parts by members"
    """Each gateway has an equal part, and needs no messages."""
    TOLD = "told use"
    """Each drains a copy of the whole by what all tell, as limits of tenants are kept."""
    FEW = "a few spenders"
    """Few enough gateways that each has a whole request a second, by rendezvous hashing."""
    LENT = "lent units"
    """What the product does: one lends a unit for each request."""


class Spender(Protocol):
    """One gateway's part in a way.

    Attributes:
        messages: Sent so far.
    """

    messages: int

    def may_send(self, now: float) -> bool:
        """A request wants to go to the server: whether it does."""
        ...

    def hear(self, now: float) -> None:
        """Another gateway tells that it sent one."""
        ...


class _Bucket:
    """Tokens that come in at a rate; it starts empty."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.level = 0.0
        self._at = now

    def take(self, now: float) -> bool:
        self.fill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def fill(self, now: float) -> None:
        self.level = min(self.level + (now - self._at) * self.per_second, self.burst)
        self._at = now


class EqualPart:
    """An equal part of the limit, or none."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.messages = 0
        self._bucket = _Bucket(per_second, burst, now)

    def may_send(self, now: float) -> bool:
        """See `Spender`."""
        return self._bucket.take(now)

    def hear(self, now: float) -> None:
        """See `Spender`."""


class ToldUse:
    """A copy of the whole bucket."""

    def __init__(self, per_second: float, tell: Callable[[float], None], now: float) -> None:
        self.messages = 0
        self._bucket = _Bucket(per_second, BURST_PERMITS, now)
        self._tell = tell

    def may_send(self, now: float) -> bool:
        """See `Spender`."""
        if not self._bucket.take(now):
            return False
        self.messages += 1
        self._tell(now)
        return True

    def hear(self, now: float) -> None:
        """See `Spender`."""
        self._bucket.fill(now)
        self._bucket.level -= 1.0


class Borrower:
    """Asks the lender for each request, and lends to the others; the product's own cores."""

    def __init__(
        self,
        name: str,
        others: list[str],
        per_second: float,
        members: dict[str, Borrower],
        reaches: Reaches,
        random_source: random.Random,
    ) -> None:
        self.messages = 0
        self._name = name
        self._count = len(others) + 1
        self._per_second = per_second
        self._members = members
        self._reaches = reaches
        self._homes = QuotaOwnerSelector(name)
        self._homes.set_peers(others)
        self._lender = QuotaOwner(random_source)
        self._pauses = PermitRetryDelays()

    def may_send(self, now: float) -> bool:
        """See `Spender`."""
        if self._pauses.is_delayed(KEY, now):
            return False
        chosen = self._homes.select(KEY, now)
        if chosen.name == self._name:
            reply: PermitReply | None = self.lend(self._name, chosen.role, now)
        else:
            reply = self._ask(chosen.name, now)
        if reply is None:
            self._homes.on_no_reply(chosen.name, now)
            return False
        if not reply.granted:
            self._pauses.on_denied(KEY, reply, self._per_second, now)
        return reply.granted

    def _ask(self, name: str, now: float) -> PermitReply | None:
        self.messages += 1
        lender = self._members.get(name)
        if lender is None or not self._reaches(self._name, name):
            return None
        lender.messages += 1
        self._homes.on_reply(name)
        return lender.lend(self._name, lender.own_standing(), now)

    def own_standing(self) -> OwnerRole:
        """As what it lends to others."""
        return self._homes.own_role(KEY)

    def lend(self, asker: str, standing: OwnerRole, now: float) -> PermitReply:
        """Reply to an ask."""
        return self._lender.request_permit(
            KEY, self._per_second, standing, self._count, asker, 0, now
        )

    def hear(self, now: float) -> None:
        """See `Spender`."""


def spenders_of(per_second: float, gateways: int) -> int:
    """How many gateways share a limit so that each has a whole request a second."""
    return min(max(math.ceil(per_second), 1), gateways)


class ToldNews:
    """Sends that the others hear of a little later."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[float, str]] = deque()

    def on_send(self, sender: str, now: float) -> None:
        """A gateway sent a request."""
        self._waiting.append((now + TOLD_AFTER_SECONDS, sender))

    def due(self, now: float) -> list[tuple[float, str]]:
        """What is heard by now: when, and from whom."""
        due = []
        while self._waiting and self._waiting[0][0] <= now:
            due.append(self._waiting.popleft())
        return due
