"""Requests that rate-limited servers received, compared with their limits."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from milletcourse.experiments.server_quota_model import WINDOW_SECONDS, tolerated_in_window
from milletcourse.experiments.sliding_window import most_in_window

PROPAGATION_SECONDS = 3.0
"""Time within which connected gateways learn of a limit."""


@dataclass
class LimitPeriod:
    """Period in which a server announced one limit."""

    per_second: float
    began_at: float
    ended_at: float = math.inf


@dataclass(frozen=True)
class LimitUse:
    """Requests to a server in a period, from the time at which gateways know the limit.

    Attributes:
        peak: Most requests in a window.
        capacity: Requests that the server tolerates in one window.
        used: Total requests as a share of the limit.
    """

    peak: int
    capacity: float
    used: float


@dataclass
class LimitLedger:
    """Arrivals at all servers, and the limits that they announced."""

    arrivals: dict[str, list[float]] = field(default_factory=dict)
    periods: dict[str, list[LimitPeriod]] = field(default_factory=dict)

    def on_arrival(self, server: str, at: float) -> None:
        """A request reaches a server."""
        self.arrivals.setdefault(server, []).append(at)

    def on_limit(self, server: str, per_second: float | None, at: float) -> None:
        """A server starts to announce a limit, or stops announcing one."""
        known = self.periods.setdefault(server, [])
        if known:
            known[-1].ended_at = min(known[-1].ended_at, at)
        if per_second is not None:
            known.append(LimitPeriod(per_second, at))

    def uses(self, now: float) -> dict[str, list[LimitUse]]:
        """Usage in every period that lasted for at least one window."""
        found: dict[str, list[LimitUse]] = {}
        for server, periods in self.periods.items():
            for period in periods:
                first = period.began_at + PROPAGATION_SECONDS
                last = min(period.ended_at, now)
                if last - first >= WINDOW_SECONDS:
                    use = self._use(server, period.per_second, first, last)
                    found.setdefault(server, []).append(use)
        return found

    def _use(self, server: str, per_second: float, first: float, last: float) -> LimitUse:
        times = [at for at in self.arrivals.get(server, ()) if first <= at < last]
        peak = most_in_window(times, WINDOW_SECONDS)
        capacity = tolerated_in_window(per_second)
        return LimitUse(peak, capacity, len(times) / (per_second * (last - first)))

    def figures(self, now: float) -> dict[str, float]:
        """Number of periods, peak as a share of the capacity, mean share of the limits used."""
        uses = [use for kept in self.uses(now).values() for use in kept]
        if not uses:
            return {}
        return {
            "stretches": len(uses),
            "most_of_borne": round(max(use.peak / use.capacity for use in uses), 3),
            "used": round(sum(use.used for use in uses) / len(uses), 3),
        }

    def over(self) -> list[str]:
        """Servers that received more requests than they tolerate."""
        return [
            f"{server} received {use.peak} in {WINDOW_SECONDS:g} s and tolerates {use.capacity:g}"
            for server, uses in self.uses(math.inf).items()
            for use in uses
            if use.peak > use.capacity
        ]
