"""Strategies with which gateways share a tenant's limit, compared by `limit_model`."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.limits.peer_usage import PeerUsage, SummedPeerUsage, UsageSource
from milletcourse.exchange.load.load_exchange import LoadExchange

UNLIMITED_PER_SECOND = 1e9
"""Refill rate that keeps a bucket full: a thousand times what a tenant sends in this model."""


class Strategy(Enum):
    """How gateways share a limit."""

    NONE = "none"
    """The limit is not enforced."""
    EQUAL_SHARES = "equal parts"
    """Each gateway enforces an equal share and needs no messages."""
    DEMAND_SHARES = "parts by demand"
    """Shares follow recent usage (flow proportional share in Raghavan's terms)."""
    SUMMED_USAGE = "summed use"
    """The production strategy: each drains a copy of the whole bucket by all reported usage."""


class NoLimit:
    """Usage source that disables the limit."""

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        return PeerUsage(-UNLIMITED_PER_SECOND, 1.0)


class EqualShares:
    """Each gateway has the same share and no information about the others."""

    def __init__(self, gateways: int) -> None:
        self._gateways = gateways

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        return PeerUsage(0.0, 1.0 / self._gateways)


class DemandShares:
    """A gateway's share follows its recent usage relative to the others."""

    def __init__(self, loads: LoadExchange, gateways: int) -> None:
        self._loads = loads
        self._gateways = gateways

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        others = max(self._loads.others_use(key, now), 0.0)
        total_usage = own_per_second + others
        equal = 1.0 / self._gateways
        by_demand = own_per_second / total_usage if total_usage > 0.0 else equal
        known_share = min(self._loads.known_gateways(now) / self._gateways, 1.0)
        # Half by demand, half equal: a gateway without recent demand must admit a first request.
        return PeerUsage(0.0, known_share * (by_demand + equal) / 2)


USAGE_SOURCES: dict[Strategy, Callable[[LoadExchange, int], UsageSource]] = {
    Strategy.NONE: lambda loads, gateways: NoLimit(),
    Strategy.EQUAL_SHARES: lambda loads, gateways: EqualShares(gateways),
    Strategy.DEMAND_SHARES: DemandShares,
    Strategy.SUMMED_USAGE: lambda loads, gateways: SummedPeerUsage(loads, lambda: gateways),
}
"""Usage source of each strategy, built from the load exchange and the number of gateways."""
