"""Selects the gateway from which a gateway replicates the object store; no input/output.

One gateway of each zone reads the store, and the others in the zone follow it: calls to the store
are billed and share one rate limit across all gateways. All gateways rank the same list in the same
way, so that they agree without coordination. A gateway that no reader serves reads the store
itself, so that only the number of calls depends on readers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

FAILED_READER_PAUSE_SECONDS = 4.0
"""Pause after a reader failed; it doubles with each consecutive failure."""
MAX_FAILED_READER_PAUSE_SECONDS = 32.0
UNREADY_READER_PAUSE_SECONDS = 0.15
"""Pause after a reader answered but couldn't attest its state, as while it starts."""
MAX_UNREADY_READER_PAUSE_SECONDS = 0.6
"""Short, since queries to readers are cheap and calls to the store are not."""


class GatewayRecord(msgspec.Struct, frozen=True):
    """A gateway's entry in the list of gateways.

    Attributes:
        name: Unique name of its machine.
        zone: Zone of its machine; empty when it isn't known.
        address: `host:port` that takes datagrams.
        feed: `host:port` that serves the replicated store state; empty when it serves none.
        link_megabits: Bandwidth of its machine's link in Mbit/s.
    """

    name: str
    zone: str
    address: str
    feed: str = ""
    link_megabits: float = 0.0


class _Failures(msgspec.Struct):
    consecutive: int = 0
    paused_until: float = float("-inf")


class ReaderSelection:
    """Ranks the gateways and keeps the failures of readers.

    Attributes:
        is_reader: Whether this gateway reads the store for its zone.
        primary_readers: Names of the first-ranked reader of each zone.
    """

    def __init__(self, own_name: str, zone: str, link_megabits: float = 0.0) -> None:
        self._own = GatewayRecord(own_name, zone, "", "own", link_megabits)
        self._candidates: list[GatewayRecord] = []
        self._fallbacks: list[GatewayRecord] = []
        self._failures: dict[str, _Failures] = {}
        self.is_reader = True
        self.primary_readers: list[str] = []

    def set_gateways(self, gateways: Iterable[GatewayRecord]) -> None:
        """Replace the list of gateways; this gateway is included whether it is listed or not."""
        zones: dict[str, list[GatewayRecord]] = {}
        own = self._own
        for gateway in [own, *gateways]:
            if gateway.feed and (gateway is own or gateway.name != self._own.name):
                zones.setdefault(gateway.zone, []).append(gateway)
        for members in zones.values():
            # A reader sends each change to all its followers, so the fastest link ranks first.
            members.sort(key=lambda item: (-item.link_megabits, _rank_hash(item.name), item.name))
        self.primary_readers = [members[0].name for members in zones.values()]
        order = self._order(zones)
        own_index = order.index(own) if own in order else len(order)
        self._candidates = order[:own_index]
        self._fallbacks = [gateway for gateway in order if gateway is not own]
        self.is_reader = not self._candidates
        listed = {gateway.name for gateway in order}
        self._failures = {
            name: failures for name, failures in self._failures.items() if name in listed
        }

    def _order(self, zones: dict[str, list[GatewayRecord]]) -> list[GatewayRecord]:
        """Own zone's first gateway, the other zones' first ones, then the own zone's second."""
        near = zones[self._own.zone]
        others = sorted(
            (zone for zone in zones if zone != self._own.zone),
            key=lambda zone: _rank_hash(f"{self._own.name}|{zone}"),
        )
        return [near[0], *(zones[zone][0] for zone in others), *near[1:2]]

    def choose(self, now: float) -> GatewayRecord | None:
        """The reader to follow, None when this gateway must read the store itself."""
        return self._first_available(self._candidates, now)

    def choose_fallback(self, now: float) -> GatewayRecord | None:
        """A gateway to follow while this one must read the store and can't reach it."""
        return self._first_available(self._fallbacks, now)

    def _first_available(self, gateways: list[GatewayRecord], now: float) -> GatewayRecord | None:
        for gateway in gateways:
            failures = self._failures.get(gateway.name)
            if failures is None or now >= failures.paused_until:
                return gateway
        return None

    def on_success(self, reader: str) -> None:
        """Reset the failures of a reader that served the store's state."""
        self._failures.pop(reader, None)

    def on_failed(self, reader: str, now: float, answered: bool) -> None:
        """Pause a reader that didn't serve the store's state.

        Args:
            reader: Its name.
            now: Monotonic time.
            answered: Whether it answered that it can't attest its state; otherwise it was
                unresponsive or unreachable.
        """
        failures = self._failures.setdefault(reader, _Failures())
        initial_seconds, max_seconds = (
            (UNREADY_READER_PAUSE_SECONDS, MAX_UNREADY_READER_PAUSE_SECONDS)
            if answered
            else (FAILED_READER_PAUSE_SECONDS, MAX_FAILED_READER_PAUSE_SECONDS)
        )
        pause_seconds = min(initial_seconds * 2**failures.consecutive, max_seconds)
        failures.consecutive += 1
        failures.paused_until = now + pause_seconds


def _rank_hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
