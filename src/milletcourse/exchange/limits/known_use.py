"""What a gateway knows of how a tenant's limit is used by all gateways; no input/output."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from milletcourse.exchange.load.load_exchange import LoadExchange


class KnownUse(msgspec.Struct, frozen=True):
    """Use of one limit by the other gateways.

    Attributes:
        others_per_second: What they spend in a second, as they told it.
        part: Part of the limit that this use and the own one come out of.
    """

    others_per_second: float
    part: float


class UseKnowledge(Protocol):
    """A way for gateways to share limits."""

    def known_use(self, key: int, own_per_second: float, now: float) -> KnownUse:
        """Use of one tenant's limit.

        Args:
            key: The tenant's identity in messages.
            own_per_second: What this gateway spends.
            now: Monotonic time.
        """
        ...


class SummedUse:
    """The sum of what all gateways tell.

    A group of gateways that doesn't hear the others uses its own part of a limit only, so that
    groups which can't hear each other don't each use the whole.
    """

    def __init__(self, loads: LoadExchange, gateways: Callable[[], int]) -> None:
        """Use as load messages tell it.

        Args:
            loads: What the others tell.
            gateways: Tells how many gateways there are, whether they are heard or not.
        """
        self._loads = loads
        self._gateways = gateways

    def known_use(self, key: int, own_per_second: float, now: float) -> KnownUse:
        """See `UseKnowledge`."""
        part = min(self._loads.known_gateways(now) / self._gateways(), 1.0)
        return KnownUse(self._loads.others_use(key, now), part)
