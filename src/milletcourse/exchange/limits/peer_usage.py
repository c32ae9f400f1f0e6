"""Usage of a tenant's limit by all gateways, as known to one of them; no input/output."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from milletcourse.exchange.load.load_exchange import LoadExchange


class PeerUsage(msgspec.Struct, frozen=True):
    """Use of one limit by the other gateways.

    Attributes:
        others_per_second: Units that they use each second, as they reported it.
        limit_share: Fraction of the limit that this use and the own use are counted against.
    """

    others_per_second: float
    limit_share: float


class UsageSource(Protocol):
    """A strategy by which gateways share limits."""

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """Use of one tenant's limit.

        Args:
            key: The tenant's identity in messages.
            own_per_second: Units that this gateway uses each second.
            now: Monotonic time.
        """
        ...


class SummedPeerUsage:
    """The sum of the use that all gateways report.

    A partition of gateways that doesn't receive the reports of the others counts against its own
    share of a limit only, so that partitions don't each use the whole limit.
    """

    def __init__(self, loads: LoadExchange, gateways: Callable[[], int]) -> None:
        """Use as reported in load messages.

        Args:
            loads: Reports of the other gateways.
            gateways: Returns the number of gateways, whether they are reachable or not.
        """
        self._loads = loads
        self._gateways = gateways

    def peer_usage(self, key: int, own_per_second: float, now: float) -> PeerUsage:
        """See `UsageSource`."""
        limit_share = min(self._loads.known_gateways(now) / self._gateways(), 1.0)
        return PeerUsage(self._loads.others_use(key, now), limit_share)
