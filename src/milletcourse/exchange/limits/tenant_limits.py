"""Enforces tenant limits over all gateways together; no input/output.

Requests beyond a limit are refused at once. A tenant without a limit has no account here, and costs
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
"""Longest retry time that a refused client is given: few wait longer for an answer."""
OVERAGE_FRACTION = 0.6
SLACK_FRACTION = 0.8
"""Fractions of the tolerance that are granted, since a refusal within the tolerance is needless.
The remainder covers use that is not yet reported to the other gateways."""
REPORT_INTERVAL_SECONDS = 1.0
"""Refusals of a tenant are reported to operators at most once in this time."""


class LimitState(msgspec.Struct, frozen=True):
    """State of a tenant's limit at one gateway, for operators.

    Attributes:
        tenant: Name of the tenant.
        per_second: Its limit in units per second.
        used_per_second: Use by all gateways, as far as it is known here.
        own_per_second: Use by this gateway, part of the above.
        known_part: Fraction of all gateways whose use is known here.
        refused: Requests refused here since the previous report.
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

    def __init__(self, usage_source: UsageSource, tolerance: LimitTolerance) -> None:
        """Start without any account.

        Args:
            usage_source: Source of the other gateways' use.
            tolerance: How far all gateways together may go beyond a limit.
        """
        self._usage_source = usage_source
        self._tolerance = tolerance
        self._accounts: dict[str, TenantAccount] = {}

    def configure(self, tenants: Iterable[TenantRecord], now: float) -> None:
        """Apply the limits of a configuration; use so far still counts."""
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
        """Set how far limits may be exceeded, from the next configuration on."""
        self._tolerance = tolerance

    def names(self) -> list[str]:
        """Tenants that have a limit."""
        return list(self._accounts)

    def try_spend(self, tenant: TenantRecord, request: ExchangeRequest, now: float) -> float | None:
        """Spend the units of a request out of its tenant's bucket.

        A request may use more units than are left, so that large ones are not refused for ever.

        Args:
            tenant: Tenant of the request.
            request: The request.
            now: Monotonic time.

        Returns:
            None when the request is within the limit, else the seconds after which to retry.
        """
        account = self._accounts.get(tenant.name)
        if account is None or tenant.limit is None:
            return None
        units = request_units(tenant.limit, request)
        usage = self._peer_usage(account, now)
        level = account.bucket.level(now, usage.others_per_second, usage.limit_share)
        if level >= 0.0:
            account.bucket.spend(units)
            account.use.add(units, now)
            return None
        account.refused += 1
        return self._retry_after(account, units, -level, usage, now)

    def _peer_usage(self, account: TenantAccount, now: float) -> PeerUsage:
        return self._usage_source.peer_usage(account.key, account.use.per_second(now), now)

    def _retry_after(
        self,
        account: TenantAccount,
        units: float,
        debt: float,
        usage: PeerUsage,
        now: float,
    ) -> float:
        """Seconds until a refused request fits, after those that were refused here before it."""
        refill_per_second = account.bucket.per_second * usage.limit_share
        own = account.use.per_second(now)
        total_use = own + max(usage.others_per_second, 0.0)
        own_refill_per_second = (
            refill_per_second * own / total_use if own > 0.0 else refill_per_second
        )
        first = max(now + debt / refill_per_second, account.retry_at)
        account.retry_at = min(first + units / own_refill_per_second, now + MAX_WAIT_SECONDS)
        return min(first - now, MAX_WAIT_SECONDS)

    def settle(self, tenant: TenantRecord, request: ExchangeRequest, runs: int, now: float) -> None:
        """Correct the spent units of an admitted request that has ended.

        Args:
            tenant: Tenant of the request.
            request: The request.
            runs: Number of servers that ran it or may have; without any, its units are refunded.
            now: Monotonic time.
        """
        account = self._accounts.get(tenant.name)
        if account is None or tenant.limit is None or runs == 1:
            return
        units = request_units(tenant.limit, request) * (runs - 1)
        account.bucket.spend(units)
        account.use.add(units, now)

    def tick(self, now: float) -> list[TenantUse]:
        """Use of this gateway, for tenants with any use.

        It must be called for each report to the other gateways, since it also counts the use that
        they have reported since the previous call.
        """
        uses = []
        for account in self._accounts.values():
            usage = self._peer_usage(account, now)
            account.bucket.level(now, usage.others_per_second, usage.limit_share)
            rate = max(round(account.use.per_second(now)), 0)
            if rate:
                uses.append(TenantUse(account.key, rate))
        return uses

    def states(self, now: float) -> list[LimitState]:
        """States of all tenants with a limit."""
        return [self._state(name, account, now) for name, account in self._accounts.items()]

    def due_reports(self, now: float) -> list[LimitState]:
        """States of tenants with refusals, at most one per tenant and `REPORT_INTERVAL_SECONDS`."""
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
        usage = self._peer_usage(account, now)
        return LimitState(
            tenant=name,
            per_second=account.bucket.per_second,
            used_per_second=own + usage.others_per_second,
            own_per_second=own,
            known_part=usage.limit_share,
            refused=account.refused,
        )


def granted_overage_per_second(limit: TenantLimit, tolerance: LimitTolerance) -> float:
    """Rate granted in addition to the limit: a fraction of the tolerance over its window."""
    window = tolerance.window_seconds
    window_units = limit.per_second * window + limit.burst
    overage = OVERAGE_FRACTION * tolerance.overage * window_units + SLACK_FRACTION * tolerance.slack
    return overage / window


def request_units(limit: TenantLimit, request: ExchangeRequest) -> float:
    """Units that a request uses of a limit."""
    if limit.unit is LimitUnit.REQUESTS:
        return 1.0
    declared = request.prompt_tokens + request.output_tokens
    return float(declared if request.declares_tokens else limit.undeclared_tokens)
