"""Whether all gateways know a new software version; no input/output.

A gateway that sees one asks the others until each of them has replied that it knows the version, or
that it takes no other one for the only one. A gateway that doesn't reply may be cut off.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from milletcourse.exchange.resumption.software_versions import ServiceVersion

ASK_INTERVAL_SECONDS = 0.1
"""Time after which a gateway that hasn't replied is asked again."""


class _Announcement(msgspec.Struct):
    ends_at: float
    asked_at: float = float("-inf")
    known_to: set[str] = msgspec.field(default_factory=set)


class VersionAnnouncements:
    """The new versions of which not all other gateways are known to know."""

    def __init__(self) -> None:
        self._pending: dict[ServiceVersion, _Announcement] = {}

    def begin(self, seen: ServiceVersion, ends_at: float) -> None:
        """A new version has been seen, and is announced until a monotonic time."""
        self._pending.setdefault(seen, _Announcement(ends_at))

    def on_known(self, seen: ServiceVersion, gateway: str) -> None:
        """Another gateway knows a version, or takes no other one for the only one."""
        announcement = self._pending.get(seen)
        if announcement is not None:
            announcement.known_to.add(gateway)

    def take_complete(self, gateways: Iterable[str]) -> list[ServiceVersion]:
        """Versions that all these gateways know; they are announced no more."""
        names = set(gateways)
        complete = [seen for seen, item in self._pending.items() if names <= item.known_to]
        for seen in complete:
            del self._pending[seen]
        return complete

    def due(self, gateways: Iterable[str], now: float) -> Iterator[tuple[ServiceVersion, str]]:
        """Which version to ask which gateway for now."""
        names = list(gateways)
        for seen, item in list(self._pending.items()):
            if now >= item.ends_at:
                del self._pending[seen]
            elif now >= item.asked_at + ASK_INTERVAL_SECONDS:
                item.asked_at = now
                for name in names:
                    if name not in item.known_to:
                        yield seen, name
