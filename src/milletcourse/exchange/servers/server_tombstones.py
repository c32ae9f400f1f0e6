"""Tombstones of servers that were removed from the discovery; no I/O.

When the discovery's store is restored from an older snapshot, it contains entries of departed
servers again, until those servers delete them or they lapse. Such a server may still answer for a
while, but it is about to exit.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from milletcourse.exchange.messages.records import InstanceRecord

TOMBSTONE_SECONDS = 600.0
"""No snapshot from which the store is restored is assumed to be older than this."""
MAX_TOMBSTONES = 4096
VERIFICATION_SECONDS = 5.0
"""A restored entry counts as verified when it still exists after this time: live servers renew
their entries within two seconds, and entries without a heartbeat lapse within four."""


class _Tombstone(msgspec.Struct, frozen=True):
    """A server whose entry was removed.

    Attributes:
        started_ms: Its start as reported by its entry or its answers; 0 when unknown.
        removed_at: Monotonic time of the removal.
    """

    started_ms: int
    removed_at: float


class ServerTombstones:
    """Incarnations whose entries were removed, and entries of them that a snapshot restored."""

    def __init__(self) -> None:
        self._tombstones: OrderedDict[str, _Tombstone] = OrderedDict()
        self._unverified: dict[str, InstanceRecord] = {}
        self._verified_from = float("-inf")

    def add(self, record: InstanceRecord, now: float) -> None:
        """Record that a server's entry was removed permanently."""
        self._tombstones[record.name] = _Tombstone(record.started_ms, now)
        self._tombstones.move_to_end(record.name)
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def on_store_restored(self, now: float) -> None:
        """Start verifying entries after the store was restored from an older snapshot."""
        self._verified_from = now + VERIFICATION_SECONDS

    def defer_if_unverified(self, record: InstanceRecord, now: float) -> bool:
        """Whether an entry is not verified yet; it is then kept for `take_verified`."""
        tombstone = self._tombstones.get(record.name)
        if (
            now >= self._verified_from
            or tombstone is None
            or now - tombstone.removed_at > TOMBSTONE_SECONDS
        ):
            return False
        if tombstone.started_ms and record.started_ms > tombstone.started_ms:
            return False
        self._unverified[record.name] = record
        return True

    def on_list(self) -> None:
        """Drop unverified entries before the entries of a complete list follow."""
        self._unverified.clear()

    def on_removed(self, name: str) -> None:
        """Drop an unverified entry that was removed."""
        self._unverified.pop(name, None)

    def take_verified(self, now: float) -> list[InstanceRecord]:
        """Entries that have existed long enough to count as verified."""
        if not self._unverified or now < self._verified_from:
            return []
        verified, self._unverified = list(self._unverified.values()), {}
        return verified
