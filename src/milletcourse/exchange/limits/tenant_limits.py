"""Keeps tenants within their limits, over all gateways together; no input/output.

What is beyond a limit is refused at once. A tenant without a limit has no account here, and costs
neither memory nor messages.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from milletcourse.exchange.counting.recent_use import RecentUse
from milletcourse.exchange.limits.peer_usage import PeerUsage, UsageSource
from milletcourse.exchange.limits.shared_bucket import SharedBucket
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.peer_messages import TenantUse, short_key
from milletcourse.exchange.messages.records import (
    LimitTolerance,
    LimitUnit,
    TenantLimit,
    TenantRecord,
)

MAX_WAIT_SECONDS = 5.0
"""Longest time after which a refused client is told to come back: few wait longer for an answer."""
OVERAGE_FRACTION = 0.6
SLACK_FRACTION = 0.8
"""Parts of the tolerance that are granted, since a refusal within it is lost to the caller. What is
left is for what gateways spend before the others hear of it."""
REPORT_INTERVAL_SECONDS = 1.0
"""The refusals of a tenant are told to operators once in this time."""


class LimitState(msgspec.Struct, frozen=True):
    """What a gateway knows of a tenant at its limit, for operators.

    Attributes:
        tenant: Its name.
        per_second: Its limit in units a second.
        used_per_second: What all gateways spend, as far as it is known here.
        own_per_second: This gateway's part of it.
        known_part: Part of all gateways whose spending is known here.
        refused: Requests refused here since the state before.
    """

    tenant: str
    per_second: float
    used_per_second: float
    own_per_second: float
    known_part: float
    refused: int


class TenantAccount:
    """One tenant's use at this gateway."""

    def __init__(self, limit: TenantLimit, overage_per_second: float, key: int, now: float) -> None:
        self.key = key
        self.bucket = SharedBucket(limit.per_second, overage_per_second, limit.burst, now)
        self.use = RecentUse()
        self.retry_at = now
        self.refused = 0
        self.reported_at = float("-inf")


class TenantLimits:
    """Accounts of all tenants with a limit, at one gateway."""

    def __init__(self, knowledge: UsageSource, tolerance: LimitTolerance) -> None:
        """No account yet.

        Args:
            knowledge: What is known of the others' use.
            tolerance: How far all gateways together may go beyond a limit.
        """
        self._knowledge = knowledge
        self._tolerance = tolerance
        self._accounts: dict[str, TenantAccount] = {}

    def configure(self, tenants: Iterable[TenantRecord], now: float) -> None:
        """Take the limits of a configuration into force; what is spent stays spent."""
        kept = self._accounts
        self._accounts = {}
        for tenant in tenants:
            limit = tenant.limit
            if limit is None:
                continue
            account = kept.get(tenant.name)
            overage_per_second = granted_overage_per_second(limit, self._tolerance)
            if account is None:
                account = TenantAccount(limit, overage_per_second, short_key(tenant.name), now)
            account.bucket.change(limit.per_second, overage_per_second, limit.burst)
            self._accounts[tenant.name] = account

    def set_tolerance(self, tolerance: LimitTolerance) -> None:
        """Change how far limits may be exceeded, from the next configuration on."""
        self._tolerance = tolerance

    def names(self) -> list[str]:
        """Tenants that have a limit."""
        return list(self._accounts)

    def try_spend(self, tenant: TenantRecord, request: ExchangeRequest, now: float) -> float | None:
        """Take what a request uses out of its tenant's bucket.

        The last request may use more than is left, so that large ones are not refused for ever.

        Args:
            tenant: Who asks.
            request: The request.
            now: Monotonic time.

        Returns:
            None when it is within the limit, else the seconds after which to come back.
        """
        account = self._accounts.get(tenant.name)
        if account is None or tenant.limit is None:
            return None
        units = request_units(tenant.limit, request)
        known = self._known_use(account, now)
        level = account.bucket.level(now, known.others_per_second, known.part)
        if level >= 0.0:
            account.bucket.spend(units)
            account.use.add(units, now)
            return None
        account.refused += 1
        return self._retry_after(account, units, -level, known, now)

    def _known_use(self, account: TenantAccount, now: float) -> PeerUsage:
        return self._knowledge.peer_usage(account.key, account.use.per_second(now), now)

    def _retry_after(
        self,
        account: TenantAccount,
        units: float,
        debt: float,
        known: PeerUsage,
        now: float,
    ) -> float:
        """When there will be room for a refused request, behind those refused before it here."""
        income = account.bucket.per_second * known.part
        own = account.use.per_second(now)
        all_spend = own + max(known.others_per_second, 0.0)
        own_income = income * own / all_spend if own > 0.0 else income
        first = max(now + debt / income, account.retry_at)
        account.retry_at = min(first + units / own_income, now + MAX_WAIT_SECONDS)
        return min(first - now, MAX_WAIT_SECONDS)

    def settle(self, tenant: TenantRecord, request: ExchangeRequest, runs: int, now: float) -> None:
        """A request that was taken has ended.

        Args:
            tenant: Who asked.
            request: The request.
            runs: Servers that ran it, or may have; what none has run is given back.
            now: Monotonic time.
        """
        account = self._accounts.get(tenant.name)
        if account is None or tenant.limit is None or runs == 1:
            return
        units = request_units(tenant.limit, request) * (runs - 1)
        account.bucket.spend(units)
        account.use.add(units, now)

    def tick(self, now: float) -> list[TenantUse]:
        """What this gateway spends, for tenants that spend anything.

        To be called at each telling: the others' use is counted as it was told meanwhile.
        """
        uses = []
        for account in self._accounts.values():
            known = self._known_use(account, now)
            account.bucket.level(now, known.others_per_second, known.part)
            rate = max(round(account.use.per_second(now)), 0)
            if rate:
                uses.append(TenantUse(account.key, rate))
        return uses

    def states(self, now: float) -> list[LimitState]:
        """What is known of all tenants with a limit."""
        return [self._state(name, account, now) for name, account in self._accounts.items()]

    def due_reports(self, now: float) -> list[LimitState]:
        """States of tenants that were refused, once in a while each."""
        due = []
        for name, account in self._accounts.items():
            if not account.refused or now - account.reported_at < REPORT_INTERVAL_SECONDS:
                continue
            due.append(self._state(name, account, now))
            account.refused = 0
            account.reported_at = now
        return due

    def _state(self, name: str, account: TenantAccount, now: float) -> LimitState:
        own = account.use.per_second(now)
        known = self._known_use(account, now)
        return LimitState(
            tenant=name,
            per_second=account.bucket.per_second,
            used_per_second=own + known.others_per_second,
            own_per_second=own,
            known_part=known.part,
            refused=account.refused,
        )


def granted_overage_per_second(limit: TenantLimit, tolerance: LimitTolerance) -> float:
    """The rate that is granted beside the limit's: a part of the tolerance over its window."""
    window = tolerance.window_seconds
    of_window = limit.per_second * window + limit.burst
    overage_per_second = (
        OVERAGE_FRACTION * tolerance.overage * of_window + SLACK_FRACTION * tolerance.slack
    )
    return overage_per_second / window


def request_units(limit: TenantLimit, request: ExchangeRequest) -> float:
    """What a request uses of a limit, in the limit's unit."""
    if limit.unit is LimitUnit.REQUESTS:
        return 1.0
    declared = request.prompt_tokens + request.output_tokens
    return float(declared if request.declares_tokens else limit.undeclared_tokens)
