"""Which gateway owns a server quota: its home, or a deputy while that is silent; no input/output.

Owners are found by rendezvous hashing over the list of gateways, so that all gateways agree without
exchanging messages.
"""

from __future__ import annotations

from heapq import nlargest

import msgspec
import xxhash

from milletcourse.exchange.limits.quota_owner import OwnerRole

OWNERS_PER_QUOTA = 2
"""The home gateway of a quota and its deputy."""
OWNERS_PER_SLOTS = 3
"""The home gateway of a server's slots and two deputies. All of them know the leases, so that they
may grant the same slots one after the other."""
FIRST_SKIP_SECONDS = 1.0
"""An owner that didn't reply is skipped for this long."""
UNAVAILABLE_SKIP_SECONDS = 0.3
"""An owner that replied that it grants nothing is skipped for this long; it is ready soon."""
MAX_SKIP_SECONDS = 8.0
"""The skip time doubles up to this, since each request to a silent owner waits for its timeout."""


class SelectedOwner(msgspec.Struct, frozen=True):
    """The gateway from which a permit is requested.

    Attributes:
        name: Name of the gateway, which may be this one.
        role: Role in which it grants permits.
    """

    name: str
    role: OwnerRole


class _Skip(msgspec.Struct):
    until: float
    seconds: float


class QuotaOwnerSelector:
    """Owners of all server quotas, as seen by one gateway."""

    def __init__(self, own_name: str) -> None:
        """Select this gateway's local share as long as no other gateway is known.

        Args:
            own_name: Name of this gateway.
        """
        self._own_name = own_name
        self._members: list[str] = []
        self._owners: dict[int, list[str]] = {}
        self._skipped: dict[str, _Skip] = {}

    def set_peers(self, others: list[str]) -> None:
        """Replace the list of the other gateways."""
        self._members = [self._own_name, *others]
        self._owners.clear()
        self._skipped = {name: kept for name, kept in self._skipped.items() if name in others}

    def select(self, key: int, now: float, count: int = OWNERS_PER_QUOTA) -> SelectedOwner:
        """The gateway from which to request a permit.

        Args:
            key: Identity of the quota.
            now: Monotonic time.
            count: Number of owners: the home and its deputies.
        """
        for number, name in enumerate(self._owners_of(key)[:count]):
            skip = self._skipped.get(name)
            if skip is None or now >= skip.until:
                return SelectedOwner(name, OwnerRole.DEPUTY if number else OwnerRole.HOME)
        return SelectedOwner(self._own_name, OwnerRole.LOCAL_SHARE)

    def least_skipped(self, key: int) -> SelectedOwner:
        """The owner that is skipped no more or not for long, though none of them replied lately.

        Args:
            key: Identity of the quota.
        """
        owners = self._owners_of(key)
        if not owners:
            return SelectedOwner(self._own_name, OwnerRole.LOCAL_SHARE)
        name = min(owners, key=self._skipped_until)
        return SelectedOwner(name, OwnerRole.HOME if name == owners[0] else OwnerRole.DEPUTY)

    def _skipped_until(self, name: str) -> float:
        skip = self._skipped.get(name)
        return skip.until if skip is not None else float("-inf")

    def owners(self, key: int) -> list[str]:
        """The gateways that may own the slots of a server, the home first."""
        return self._owners_of(key)

    def own_role(self, key: int) -> OwnerRole:
        """Role in which this gateway grants permits that others request from it."""
        owners = self._owners_of(key)
        is_home = bool(owners) and owners[0] == self._own_name
        return OwnerRole.HOME if is_home else OwnerRole.DEPUTY

    def on_reply(self, name: str) -> None:
        """Stop skipping an owner that replied."""
        self._skipped.pop(name, None)

    def on_no_reply(self, name: str, now: float) -> None:
        """Skip an owner that didn't reply in time."""
        known = self._skipped.get(name)
        if known is not None and now < known.until:
            # Several requests waited for it at the same time.
            return
        seconds = FIRST_SKIP_SECONDS
        if known is not None:
            seconds = min(known.seconds * 2, MAX_SKIP_SECONDS)
        self._skipped[name] = _Skip(now + seconds, seconds)

    def on_unavailable(self, name: str, now: float) -> None:
        """Skip an owner for a moment that replied that it grants nothing at present."""
        self._skipped[name] = _Skip(now + UNAVAILABLE_SKIP_SECONDS, FIRST_SKIP_SECONDS / 2)

    def _owners_of(self, key: int) -> list[str]:
        owners = self._owners.get(key)
        if owners is None:
            owners = self._owners[key] = nlargest(
                OWNERS_PER_SLOTS, self._members, lambda name: _weight(key, name)
            )
        return owners


def _weight(key: int, name: str) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{key}:{name}".encode()), name
