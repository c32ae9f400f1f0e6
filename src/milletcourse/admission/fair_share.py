"""Weighted max-min fair shares of tenants under pressure.

Each tenant's recent usage of prompt tokens decays exponentially. While the engines are under
pressure, a tenant that has used more than its weighted max-min share of the total for all active
tenants is refused, so that the others get capacity and the queue shrinks.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

USE_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the decay: long enough to average over long requests, short enough to follow
bursts."""
SHARE_SLACK = 1.1
"""A tenant is refused when it exceeds its share by more than a tenth."""
MIN_ACTIVE_TOKENS = 1.0
"""A tenant with less decayed demand is inactive."""


@dataclass(slots=True)
class _Usage:
    tokens: float
    updated_at: float

    def decayed(self, now: float) -> float:
        return self.tokens * math.exp(-(now - self.updated_at) / USE_TIME_CONSTANT_SECONDS)


class FairShare:
    """Recent usage and demand by tenant."""

    def __init__(self) -> None:
        self._usage: dict[str, _Usage] = {}
        self._demand: dict[str, _Usage] = {}

    def on_demand(self, tenant: str, tokens: float, now: float) -> None:
        """Record the demand of a request, whether or not it will be admitted."""
        self._add(self._demand, tenant, tokens, now)

    def on_admitted(self, tenant: str, tokens: float, now: float) -> None:
        """Record the usage of an admitted request."""
        self._add(self._usage, tenant, tokens, now)

    def _add(self, table: dict[str, _Usage], tenant: str, tokens: float, now: float) -> None:
        usage = table.get(tenant)
        previous = usage.decayed(now) if usage is not None else 0.0
        table[tenant] = _Usage(previous + tokens, now)

    def exceeds_share(
        self,
        tenant: str,
        weight_of: Callable[[str], float],
        now: float,
        allowed_fraction: float = 1.0,
    ) -> bool:
        """Whether a tenant has used more than its weighted share.

        Args:
            tenant: Tenant of the request.
            weight_of: Weight of a tenant; only tenants with demand count.
            now: Monotonic seconds.
            allowed_fraction: Part of the recent total that all tenants together may use.
        """
        active = self._active(now)
        total = sum(self._recent_tokens(name, now) for name in active)
        if total <= 0:
            return False
        demand = {name: self._demand[name].decayed(now) for name in active}
        weights = {name: weight_of(name) for name in active}
        fair = fair_shares(total * allowed_fraction, demand, weights)
        return self._recent_tokens(tenant, now) > fair.get(tenant, 0.0) * SHARE_SLACK

    def _recent_tokens(self, tenant: str, now: float) -> float:
        usage = self._usage.get(tenant)
        return usage.decayed(now) if usage is not None else 0.0

    def _active(self, now: float) -> dict[str, None]:
        idle = [
            name for name, usage in self._demand.items() if usage.decayed(now) < MIN_ACTIVE_TOKENS
        ]
        for name in idle:
            del self._demand[name]
            self._usage.pop(name, None)
        return dict.fromkeys(self._demand)


def fair_shares(
    total: float, demand: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Weighted max-min fair division of a total among tenants with bounded demands.

    Args:
        total: Amount to divide.
        demand: Upper bound of the share by tenant.
        weights: Positive weight by tenant.
    """
    shares: dict[str, float] = {}
    unfilled = sorted(demand)
    remaining = float(total)
    while unfilled:
        share_per_weight = remaining / sum(weights[name] for name in unfilled)
        filled = [name for name in unfilled if demand[name] <= share_per_weight * weights[name]]
        if not filled:
            shares.update({name: share_per_weight * weights[name] for name in unfilled})
            break
        for name in filled:
            shares[name] = float(demand[name])
            remaining -= demand[name]
        unfilled = [name for name in unfilled if name not in filled]
    return shares
