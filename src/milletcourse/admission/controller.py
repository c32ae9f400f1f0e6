"""Admits or refuses a request immediately; no input/output.

Requests are not queued here: a refusal is final and carries the time after which to retry.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.admission.fair_share import FairShare
from milletcourse.admission.token_bucket import TokenBucket
from milletcourse.errors import DeadlineUnreachable, Failure, Overloaded, TenantLimitExceeded
from milletcourse.policy.objects import TenantSpec, WorkloadSpec

PRESSURE_SECONDS = 2.0
"""Estimated queueing time above which a workload without a deadline is under pressure."""
PRESSURE_SHARE_OF_DEADLINE = 0.5
"""With a deadline, pressure starts when the queueing time exceeds this share of it."""
MAX_WAIT_SECONDS = 60.0
"""Requests are refused above this estimated queueing time."""


class AdmissionController:
    """Applies limits per tenant, weighted fair shares and deadlines."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self.shares = FairShare()

    def check_limit(
        self, name: str, tenant: TenantSpec, tokens: int, now: float
    ) -> Result[None, Failure]:
        """Charge the tenant's token bucket, or refuse with the time until it has tokens again."""
        rate = tenant.prompt_tokens_per_second
        if rate <= 0:
            return Success(None)
        bucket = self._buckets.get(name)
        size = max(tenant.burst_tokens, rate)
        if bucket is None or (bucket.rate_per_second, bucket.size) != (rate, size):
            bucket = self._buckets[name] = TokenBucket(rate, size, now)
        if bucket.take(tokens, now):
            return Success(None)
        wait = bucket.seconds_until_positive(now)
        return Err(TenantLimitExceeded("the tenant's prompt token limit is spent", wait))

    def check_load(
        self,
        name: str,
        weight_of: Callable[[str], float],
        rules: WorkloadSpec,
        wait_seconds: float,
        first_token_seconds: float,
        tokens: int,
        now: float,
    ) -> Result[None, Failure]:
        """Refuse a request that can't meet its deadline, or whose tenant exceeds its share.

        The share applies only under pressure.
        """
        self.shares.on_demand(name, tokens, now)
        deadline = rules.deadline_seconds
        if deadline and first_token_seconds > deadline:
            retry_after = max(first_token_seconds - deadline, 1.0)
            return Err(DeadlineUnreachable("the deadline can't be met", retry_after))
        if wait_seconds > MAX_WAIT_SECONDS:
            return Err(Overloaded("the queue is too long", wait_seconds - MAX_WAIT_SECONDS))
        pressure = PRESSURE_SHARE_OF_DEADLINE * deadline if deadline else PRESSURE_SECONDS
        if wait_seconds > pressure and self.shares.exceeds_share(
            name, weight_of, now, pressure / wait_seconds
        ):
            return Err(Overloaded("the tenant is over its share under pressure", wait_seconds))
        self.shares.on_admitted(name, tokens, now)
        return Success(None)
