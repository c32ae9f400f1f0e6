"""Strategies with which gateways share a server's limit, compared by `server_quota_model`."""

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
REPORT_DELAY_SECONDS = 0.2
"""Delay until gateways receive each other's usage: two messages with usage totals."""
Reachability = Callable[[str, str], bool]
"""Whether a message from one gateway currently reaches another."""


class Strategy(Enum):
    """How gateways share a limit."""

    EQUAL_SHARES = "parts by members"
    """Each gateway has an equal share and needs no messages."""
    REPORTED_USAGE = "told use"
    """Each drains a copy of the whole bucket by all reported usage, as for tenant limits."""
    FEW_GATEWAYS = "a few spenders"
    """Rendezvous hashing selects so few gateways that each has at least one request per second."""
    GRANTED_PERMITS = "lent units"
    """The production strategy: the quota owner grants a permit for each request."""


class GatewayQuota(Protocol):
    """One gateway's side of a strategy.

    Attributes:
        messages: Messages sent so far.
    """

    messages: int

    def may_send(self, now: float) -> bool:
        """Whether a request may be sent to the server now."""
        ...

    def on_peer_send(self, now: float) -> None:
        """Another gateway reported that it sent a request."""
        ...


class _Bucket:
    """Token bucket that starts empty."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self.level = 0.0
        self._at = now

    def try_take(self, now: float) -> bool:
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def refill(self, now: float) -> None:
        self.level = min(self.level + (now - self._at) * self.per_second, self.burst)
        self._at = now


class EqualShare:
    """A fixed share of the limit, possibly zero."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self.messages = 0
        self._bucket = _Bucket(per_second, burst, now)

    def may_send(self, now: float) -> bool:
        """See `GatewayQuota`."""
        return self._bucket.try_take(now)

    def on_peer_send(self, now: float) -> None:
        """See `GatewayQuota`."""


class ReportedUsage:
    """A copy of the whole bucket, drained by reported usage."""

    def __init__(self, per_second: float, report: Callable[[float], None], now: float) -> None:
        self.messages = 0
        self._bucket = _Bucket(per_second, BURST_PERMITS, now)
        self._report = report

    def may_send(self, now: float) -> bool:
        """See `GatewayQuota`."""
        if not self._bucket.try_take(now):
            return False
        self.messages += 1
        self._report(now)
        return True

    def on_peer_send(self, now: float) -> None:
        """See `GatewayQuota`."""
        self._bucket.refill(now)
        self._bucket.level -= 1.0


class PermitRequester:
    """Requests a permit from the quota owner for each request, and grants permits to others.

    Uses the production code for both.
    """

    def __init__(
        self,
        name: str,
        others: list[str],
        per_second: float,
        members: dict[str, PermitRequester],
        is_reachable: Reachability,
        random_source: random.Random,
    ) -> None:
        self.messages = 0
        self._name = name
        self._count = len(others) + 1
        self._per_second = per_second
        self._members = members
        self._is_reachable = is_reachable
        self._owner_selector = QuotaOwnerSelector(name)
        self._owner_selector.set_peers(others)
        self._owner = QuotaOwner(random_source)
        self._retry_delays = PermitRetryDelays()

    def may_send(self, now: float) -> bool:
        """See `GatewayQuota`."""
        if self._retry_delays.is_delayed(KEY, now):
            return False
        chosen = self._owner_selector.select(KEY, now)
        if chosen.name == self._name:
            reply: PermitReply | None = self.grant(self._name, chosen.role, now)
        else:
            reply = self._request_permit(chosen.name, now)
        if reply is None:
            self._owner_selector.on_no_reply(chosen.name, now)
            return False
        if not reply.granted:
            self._retry_delays.on_denied(KEY, reply, now)
        return reply.granted

    def _request_permit(self, name: str, now: float) -> PermitReply | None:
        self.messages += 1
        owner = self._members.get(name)
        if owner is None or not self._is_reachable(self._name, name):
            return None
        owner.messages += 1
        self._owner_selector.on_reply(name)
        return owner.grant(self._name, owner.own_role(), now)

    def own_role(self) -> OwnerRole:
        """Role in which this gateway grants permits to others."""
        return self._owner_selector.own_role(KEY)

    def grant(self, requester: str, role: OwnerRole, now: float) -> PermitReply:
        """Reply to a permit request."""
        return self._owner.request_permit(
            KEY, self._per_second, role, self._count, requester, 0, now
        )

    def on_peer_send(self, now: float) -> None:
        """See `GatewayQuota`."""


def admitting_gateways(per_second: float, gateways: int) -> int:
    """Number of gateways that share a limit so that each has at least one request per second."""
    return min(max(math.ceil(per_second), 1), gateways)


class DelayedReports:
    """Usage reports that reach the other gateways after a delay."""

    def __init__(self) -> None:
        self._pending: deque[tuple[float, str]] = deque()

    def on_send(self, sender: str, now: float) -> None:
        """A gateway sent a request."""
        self._pending.append((now + REPORT_DELAY_SECONDS, sender))

    def due(self, now: float) -> list[tuple[float, str]]:
        """Reports delivered by now: delivery time and sender."""
        due = []
        while self._pending and self._pending[0][0] <= now:
            due.append(self._pending.popleft())
        return due
