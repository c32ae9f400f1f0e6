"""Which gateway lends an allowance: its home, or a deputy while that is silent; no input/output.

Homes are found by rendezvous hashing over the list of gateways, so that all agree without talking.
"""

from __future__ import annotations

from heapq import nlargest

import msgspec
import xxhash

from milletcourse.exchange.limits.quota_owner import OwnerRole

OWNERS_PER_QUOTA = 2
"""The home and its deputy."""
FIRST_SKIP_SECONDS = 1.0
"""A lender that didn't reply is passed over this long."""
MAX_SKIP_SECONDS = 8.0
"""And longer each time, since the request that tries it again waits for nothing."""


class SelectedOwner(msgspec.Struct, frozen=True):
    """Who is asked for a unit.

    Attributes:
        name: Name of the gateway, which may be this one.
        standing: As what it lends.
    """

    name: str
    role: OwnerRole


class _Skip(msgspec.Struct):
    until: float
    seconds: float


class QuotaOwnerSelector:
    """Lenders of all allowances, as one gateway sees them."""

    def __init__(self, own_name: str) -> None:
        """Alone as long as no other gateway is known.

        Args:
            own_name: Name of this gateway.
        """
        self._own_name = own_name
        self._members: list[str] = []
        self._owners: dict[int, list[str]] = {}
        self._skipped: dict[str, _Skip] = {}

    def set_peers(self, others: list[str]) -> None:
        """Take the list of the other gateways."""
        self._members = [self._own_name, *others]
        self._owners.clear()
        self._skipped = {name: kept for name, kept in self._skipped.items() if name in others}

    def select(self, key: int, now: float) -> SelectedOwner:
        """Who is to be asked.

        Args:
            key: Identity of the allowance.
            now: Monotonic time.
        """
        for number, name in enumerate(self._owners_of(key)):
            skip = self._skipped.get(name)
            if skip is None or now >= skip.until:
                return SelectedOwner(name, OwnerRole.DEPUTY if number else OwnerRole.HOME)
        return SelectedOwner(self._own_name, OwnerRole.LOCAL_SHARE)

    def own_role(self, key: int) -> OwnerRole:
        """As what this gateway lends to others that ask it."""
        homes = self._owners_of(key)
        is_owner = bool(homes) and homes[0] == self._own_name
        return OwnerRole.HOME if is_owner else OwnerRole.DEPUTY

    def on_reply(self, name: str) -> None:
        """A lender replied."""
        self._skipped.pop(name, None)

    def on_no_reply(self, name: str, now: float) -> None:
        """A lender didn't reply in time."""
        known = self._skipped.get(name)
        seconds = FIRST_SKIP_SECONDS
        if known is not None:
            seconds = min(known.seconds * 2, MAX_SKIP_SECONDS)
        self._skipped[name] = _Skip(now + seconds, seconds)

    def _owners_of(self, key: int) -> list[str]:
        homes = self._owners.get(key)
        if homes is None:
            homes = self._owners[key] = nlargest(
                OWNERS_PER_QUOTA, self._members, lambda name: _weight(key, name)
            )
        return homes


def _weight(key: int, name: str) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{key}:{name}".encode()), name
