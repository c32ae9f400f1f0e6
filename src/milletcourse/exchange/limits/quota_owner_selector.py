"""Which gateway lends an allowance: its home, or a deputy while that is silent; no input/output.

Homes are found by rendezvous hashing over the list of gateways, so that all agree without talking.
"""

from __future__ import annotations

from heapq import nlargest

import msgspec
import xxhash

from milletcourse.exchange.limits.quota_owner import Standing

HOMES = 2
"""The home and its deputy."""
FIRST_SILENCE_SECONDS = 1.0
"""A lender that didn't reply is passed over this long."""
MAX_SILENCE_SECONDS = 8.0
"""And longer each time, since the request that tries it again waits for nothing."""


class ChosenLender(msgspec.Struct, frozen=True):
    """Who is asked for a unit.

    Attributes:
        name: Name of the gateway, which may be this one.
        standing: As what it lends.
    """

    name: str
    standing: Standing


class _Silence(msgspec.Struct):
    until: float
    seconds: float


class AllowanceHomes:
    """Lenders of all allowances, as one gateway sees them."""

    def __init__(self, own_name: str) -> None:
        """Alone as long as no other gateway is known.

        Args:
            own_name: Name of this gateway.
        """
        self._own_name = own_name
        self._members: list[str] = []
        self._homes: dict[int, list[str]] = {}
        self._silent: dict[str, _Silence] = {}

    def set_others(self, others: list[str]) -> None:
        """Take the list of the other gateways."""
        self._members = [self._own_name, *others]
        self._homes.clear()
        self._silent = {name: kept for name, kept in self._silent.items() if name in others}

    def lender(self, key: int, now: float) -> ChosenLender:
        """Who is to be asked.

        Args:
            key: Identity of the allowance.
            now: Monotonic time.
        """
        for number, name in enumerate(self._homes_of(key)):
            silence = self._silent.get(name)
            if silence is None or now >= silence.until:
                return ChosenLender(name, Standing.DEPUTY if number else Standing.HOME)
        return ChosenLender(self._own_name, Standing.ALONE)

    def own_standing(self, key: int) -> Standing:
        """As what this gateway lends to others that ask it."""
        homes = self._homes_of(key)
        is_home = bool(homes) and homes[0] == self._own_name
        return Standing.HOME if is_home else Standing.DEPUTY

    def on_reply(self, name: str) -> None:
        """A lender replied."""
        self._silent.pop(name, None)

    def on_silent(self, name: str, now: float) -> None:
        """A lender didn't reply in time."""
        known = self._silent.get(name)
        seconds = FIRST_SILENCE_SECONDS
        if known is not None:
            seconds = min(known.seconds * 2, MAX_SILENCE_SECONDS)
        self._silent[name] = _Silence(now + seconds, seconds)

    def _homes_of(self, key: int) -> list[str]:
        homes = self._homes.get(key)
        if homes is None:
            homes = self._homes[key] = nlargest(
                HOMES, self._members, lambda name: _weight(key, name)
            )
        return homes


def _weight(key: int, name: str) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{key}:{name}".encode()), name
