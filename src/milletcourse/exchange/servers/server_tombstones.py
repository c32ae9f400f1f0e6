"""Servers that have left the discovery, and what an older copy of it says of them; no I/O.

Where the discovery's store comes back from an older copy, entries of servers that had left are in
it again, until their servers, or the store in their stead, take them out once more. Such a server
may serve on for a while; it is about to end all the same.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from milletcourse.exchange.messages.records import InstanceRecord

REMEMBERED_SECONDS = 600.0
"""No copy that the store comes back from is assumed to be older."""
MAX_REMEMBERED = 4096
DOUBT_SECONDS = 5.0
"""An entry that came back with a copy is believed when it still stands after this time: servers
that live write again within two seconds, and entries without a heartbeat lapse within four."""


class _Gone(msgspec.Struct, frozen=True):
    """A server whose entry went.

    Attributes:
        started_ms: Its start, as far as its entry or its answers told; 0 when they didn't.
        at: Monotonic time.
    """

    started_ms: int
    at: float


class GoneServers:
    """Incarnations whose entries went, and those of them that a copy brought back."""

    def __init__(self) -> None:
        self._gone: OrderedDict[str, _Gone] = OrderedDict()
        self._doubted: dict[str, InstanceRecord] = {}
        self._doubt_until = float("-inf")

    def on_gone(self, record: InstanceRecord, now: float) -> None:
        """A server's entry went for good."""
        self._gone[record.name] = _Gone(record.started_ms, now)
        self._gone.move_to_end(record.name)
        while len(self._gone) > MAX_REMEMBERED:
            self._gone.popitem(last=False)

    def on_copy(self, now: float) -> None:
        """The store has come back from an older copy."""
        self._doubt_until = now + DOUBT_SECONDS

    def doubts(self, record: InstanceRecord, now: float) -> bool:
        """Whether an entry isn't to be believed yet; it is kept then."""
        gone = self._gone.get(record.name)
        if now >= self._doubt_until or gone is None or now - gone.at > REMEMBERED_SECONDS:
            return False
        if gone.started_ms and record.started_ms > gone.started_ms:
            return False
        self._doubted[record.name] = record
        return True

    def on_list(self) -> None:
        """A whole list follows, entry by entry."""
        self._doubted.clear()

    def on_removed(self, name: str) -> None:
        """An entry went, whether it was believed or not."""
        self._doubted.pop(name, None)

    def take_believed(self, now: float) -> list[InstanceRecord]:
        """Entries that have stood long enough."""
        if not self._doubted or now < self._doubt_until:
            return []
        believed, self._doubted = list(self._doubted.values()), {}
        return believed
