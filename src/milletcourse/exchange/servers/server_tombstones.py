"""Servers that have left the discovery, and what an older copy of it says of them; no I/O.

Where the discovery's store comes back from an older copy, entries of servers that had left are in
it again, until their servers, or the store in their stead, take them out once more. Such a server
may serve on for a while; it is about to end all the same.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from milletcourse.exchange.messages.records import InstanceRecord

TOMBSTONE_SECONDS = 600.0
"""No copy that the store comes back from is assumed to be older."""
MAX_TOMBSTONES = 4096
VERIFICATION_SECONDS = 5.0
"""An entry that came back with a copy is believed when it still stands after this time: servers
that live write again within two seconds, and entries without a heartbeat lapse within four."""


class _Tombstone(msgspec.Struct, frozen=True):
    """A server whose entry went.

    Attributes:
        started_ms: Its start, as far as its entry or its answers told; 0 when they didn't.
        at: Monotonic time.
    """

    started_ms: int
    at: float


class ServerTombstones:
    """Incarnations whose entries went, and those of them that a copy brought back."""

    def __init__(self) -> None:
        self._gone: OrderedDict[str, _Tombstone] = OrderedDict()
        self._held_back: dict[str, InstanceRecord] = {}
        self._verified_from = float("-inf")

    def add(self, record: InstanceRecord, now: float) -> None:
        """A server's entry went for good."""
        self._gone[record.name] = _Tombstone(record.started_ms, now)
        self._gone.move_to_end(record.name)
        while len(self._gone) > MAX_TOMBSTONES:
            self._gone.popitem(last=False)

    def on_store_restored(self, now: float) -> None:
        """The store has come back from an older copy."""
        self._verified_from = now + VERIFICATION_SECONDS

    def holds_back(self, record: InstanceRecord, now: float) -> bool:
        """Whether an entry isn't to be believed yet; it is kept then."""
        gone = self._gone.get(record.name)
        if now >= self._verified_from or gone is None or now - gone.at > TOMBSTONE_SECONDS:
            return False
        if gone.started_ms and record.started_ms > gone.started_ms:
            return False
        self._held_back[record.name] = record
        return True

    def on_list(self) -> None:
        """A whole list follows, entry by entry."""
        self._held_back.clear()

    def on_removed(self, name: str) -> None:
        """An entry went, whether it was believed or not."""
        self._held_back.pop(name, None)

    def take_verified(self, now: float) -> list[InstanceRecord]:
        """Entries that have stood long enough."""
        if not self._held_back or now < self._verified_from:
            return []
        verified, self._held_back = list(self._held_back.values()), {}
        return verified
