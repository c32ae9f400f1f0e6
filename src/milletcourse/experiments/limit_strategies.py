"""Ways in which gateways can share a tenant's limit, for `limit_model` to compare."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from milletcourse.exchange.limits.peer_usage import PeerUsage, SummedPeerUsage, UsageSource
from milletcourse.exchange.load.load_exchange import LoadExchange

UNLIMITED_PER_SECOND = 1e9
"""What comes into a bucket that is full at each tick: a thousand times what a tenant sends here."""


class Way(Enum):
    """How gateways share a limit."""

    NONE = "none"
    """Nobody keeps it."""
    EQUAL = "equal parts"
    """Each gateway keeps an equal part of it, and needs no messages."""
    DEMAND = "parts by demand"
    """Parts follow what gateways spent lately (flow proportional share, in Raghavan's terms)."""
    SUMMED = "summed use"
    """What the product does: each drains a copy of the whole bucket by what all tell."""


class NoLimit:
    """Nobody keeps the limit."""

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        return PeerUsage(-UNLIMITED_PER_SECOND, 1.0)


class EqualParts:
    """Each gateway has the same part, and knows nothing of the others."""

    def __init__(self, gateways: int) -> None:
        self._gateways = gateways

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        return PeerUsage(0.0, 1.0 / self._gateways)


class PartsByDemand:
    """A gateway's part follows what it spent of late, against the others."""

    def __init__(self, loads: LoadExchange, gateways: int) -> None:
        self._loads = loads
        self._gateways = gateways

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        others = max(self._loads.others_use(key, now), 0.0)
        all_use = own_per_second + others
        equal = 1.0 / self._gateways
        by_demand = own_per_second / all_use if all_use > 0.0 else equal
        heard = min(self._loads.known_gateways(now) / self._gateways, 1.0)
        # Half by demand, half equal: a gateway without recent demand must admit a first request.
        return PeerUsage(0.0, heard * (by_demand + equal) / 2)


KNOWLEDGE: dict[Way, Callable[[LoadExchange, int], UsageSource]] = {
    Way.NONE: lambda loads, gateways: NoLimit(),
    Way.EQUAL: lambda loads, gateways: EqualParts(gateways),
    Way.DEMAND: PartsByDemand,
    Way.SUMMED: lambda loads, gateways: SummedPeerUsage(loads, lambda: gateways),
}
"""What a gateway knows in each way, by its load messages and the number of gateways."""
