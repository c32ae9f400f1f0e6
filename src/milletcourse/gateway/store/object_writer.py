"""Writes one object of the store, ordered with other writers by compare-and-set."""

from __future__ import annotations

from enum import Enum

from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)


class WriteOutcome(Enum):
    """What came of a write."""

    WRITTEN = "written"
    CHANGED = "changed"
    """Another writer was first; its content is known now."""
    MISSING = "missing"
    """The object was deleted; the next write creates it."""
    UNAVAILABLE = "unavailable"
    """The store didn't process the call, or it isn't known whether it did."""


class ObjectWriter:
    """Writes one object from the state in which it was last read or written.

    Attributes:
        stored: The object as it is known; None when there is none.
    """

    def __init__(self, store: ObjectStoreClient, kind: str, name: str) -> None:
        """Start before the object has been read.

        Args:
            store: The object store.
            kind: Kind of the object.
            name: Its name.
        """
        self.stored: StoredObject | None = None
        self._store = store
        self._kind = kind
        self._name = name

    async def write(self, spec: bytes) -> WriteOutcome:
        """Replace the content of the object, or create it."""
        base = self.stored
        try:
            if base is None:
                written, _ = await self._store.create(self._kind, self._name, spec)
            else:
                written, _ = await self._store.replace(self._kind, self._name, spec, base.position)
        except StoreError as error:
            return await self._on_error(error)
        self._adopt(written)
        return WriteOutcome.WRITTEN

    async def _on_error(self, error: StoreError) -> WriteOutcome:
        """Learn the stored object after a conflict."""
        current = error.current
        if error.problem is StoreProblem.CONFLICT and current is None:
            try:
                current, _ = await self._store.get(self._kind, self._name)
            except StoreError as second:
                error = second
        if current is not None:
            self._adopt(current)
            return WriteOutcome.CHANGED
        if error.problem is StoreProblem.NOT_FOUND:
            self.stored = None
            return WriteOutcome.MISSING
        return WriteOutcome.UNAVAILABLE

    def _adopt(self, found: StoredObject) -> None:
        """Take an object that a call returned, unless a later one has been read meanwhile."""
        if self.stored is None or found.position > self.stored.position:
            self.stored = found
