"""Log of the latest changes of one kind of objects, from which followers are served."""

from __future__ import annotations

from collections import deque
from typing import TypeGuard

import msgspec

from milletcourse.exchange.messages.content_patch import ContentPatch, full_patch, make_patch
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.object_store import ObjectChange

MAX_GAPS = 32
MAX_CHANGES = 2048
MAX_BYTES = 1024 * 1024
"""Total of all contents and patches; a follower that is further behind gets all objects."""
MIN_PATCHED_BYTES = 1024
"""A content of at least this size is sent as a patch."""


class LoggedChange(msgspec.Struct, frozen=True):
    """One change.

    Attributes:
        observed_at: Store position with which it became known.
        name: Name of the object.
        position: Position of the change itself.
        deleted: The object was deleted.
        spec: Its content; empty for a deleted object, and when there is a patch.
        patch: Builds its content from the one before; None for a small content.
    """

    observed_at: StorePosition
    name: str
    position: StorePosition
    deleted: bool
    spec: bytes
    patch: ContentPatch | None

    @property
    def size(self) -> int:
        """Bytes of its content or patch."""
        return len(self.spec) + (len(self.patch.steps) if self.patch is not None else 0)


class ChangeLog:
    """Changes in the order in which they became known, bounded in number and bytes."""

    def __init__(self) -> None:
        self._changes: deque[LoggedChange] = deque()
        self._bytes = 0
        self._start: StorePosition | None = None
        self._gaps: deque[tuple[StorePosition, StorePosition]] = deque()
        """Pairs of positions between which single changes aren't known, only the difference."""

    def start_at(self, position: StorePosition) -> None:
        """Start the log; no change up to this position is known."""
        self._start = position

    def append(self, change: ObjectChange, before: bytes | None, position: StorePosition) -> None:
        """Add a change.

        Args:
            change: The change.
            before: The object's content until now, None without one.
            position: Store position with which it became known.
        """
        stored = change.stored
        is_large = not change.deleted and len(stored.spec) >= MIN_PATCHED_BYTES
        patch = change.patch or _patch(before, stored.spec) if is_large else None
        spec = b"" if change.deleted or is_large else stored.spec
        logged = LoggedChange(position, stored.name, stored.position, change.deleted, spec, patch)
        self._changes.append(logged)
        self._bytes += logged.size
        while len(self._changes) > MAX_CHANGES or self._bytes > MAX_BYTES:
            dropped = self._changes.popleft()
            self._bytes -= dropped.size
            self._start = dropped.observed_at

    def add_gap(self, begin: StorePosition, end: StorePosition) -> None:
        """Note that single changes between two positions aren't known."""
        if begin == end:
            return
        self._gaps.append((begin, end))
        while len(self._gaps) > MAX_GAPS:
            _, last = self._gaps.popleft()
            self._start = last if self._start is None else max(self._start, last)

    def covers(self, position: StorePosition | None) -> TypeGuard[StorePosition]:
        """Whether the log holds all differences from a position; not from one within a gap."""
        if position is None or self._start is None or position < self._start:
            return False
        return not any(begin < position < end for begin, end in self._gaps)

    def has_after(self, position: StorePosition) -> bool:
        """Whether a change became known after a position."""
        return bool(self._changes) and self._changes[-1].observed_at > position

    def after(self, position: StorePosition) -> list[LoggedChange]:
        """Changes that became known after a position."""
        return [change for change in self._changes if change.observed_at > position]

    def patch(self, name: str, base: int, result: int) -> ContentPatch | None:
        """The patch of an object with these checksums of the base and of the result."""
        for change in reversed(self._changes):
            patch = change.patch
            if change.name != name or patch is None:
                continue
            if patch.base == base and patch.result == result:
                return patch
        return None


def _patch(before: bytes | None, content: bytes) -> ContentPatch:
    return make_patch(before, content) if before is not None else full_patch(content)
