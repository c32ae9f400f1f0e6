"""What servers that limit their requests got, and how much of it they bear."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from milletcourse.experiments.allowance_model import WINDOW_SECONDS, borne_in_window
from milletcourse.experiments.sliding_window import most_in_window

PROPAGATION_SECONDS = 3.0
"""Gateways that are in touch have heard of a limit by then."""


@dataclass
class LimitPeriod:
    """A time in which a server named one limit."""

    per_second: float
    began_at: float
    ended_at: float = math.inf


@dataclass(frozen=True)
class LimitUse:
    """How a stretch was kept, from the moment at which it is known.

    Attributes:
        most: Most requests in a window.
        borne: What the server bears in one.
        used: Requests in all, as a share of what it takes.
    """

    peak: int
    capacity: float
    used: float


@dataclass
class LimitLedger:
    """Arrivals at all servers, and the limits that they named."""

    arrivals: dict[str, list[float]] = field(default_factory=dict)
    periods: dict[str, list[LimitPeriod]] = field(default_factory=dict)

    def on_arrival(self, server: str, at: float) -> None:
        """A request reaches a server."""
        self.arrivals.setdefault(server, []).append(at)

    def on_limit(self, server: str, per_second: float | None, at: float) -> None:
        """A server names a limit from now on, or none any more."""
        known = self.periods.setdefault(server, [])
        if known:
            known[-1].ended_at = min(known[-1].ended_at, at)
        if per_second is not None:
            known.append(LimitPeriod(per_second, at))

    def uses(self, now: float) -> dict[str, list[LimitUse]]:
        """Every stretch that lasted for a window and more."""
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
        capacity = borne_in_window(per_second)
        return LimitUse(peak, capacity, len(times) / (per_second * (last - first)))

    def figures(self, now: float) -> dict[str, float]:
        """How limits were kept: stretches, most against what is borne, share used."""
        uses = [use for kept in self.uses(now).values() for use in kept]
        if not uses:
            return {}
        return {
            "stretches": len(uses),
            "most_of_borne": round(max(use.peak / use.capacity for use in uses), 3),
            "used": round(sum(use.used for use in uses) / len(uses), 3),
        }

    def over(self) -> list[str]:
        """Servers that got more than they bear."""
        return [
            f"{server} got {use.peak} in {WINDOW_SECONDS:g} s and bears {use.capacity:g}"
            for server, uses in self.uses(math.inf).items()
            for use in uses
            if use.peak > use.capacity
        ]
