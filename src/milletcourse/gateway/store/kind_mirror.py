"""What a gateway knows of one kind of objects: hands changes on, and can tell them to followers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from milletcourse.exchange.messages.feed_messages import FedKind, FedObject
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject

MAX_LOGGED_CHANGES = 2048
"""A follower that is further behind is told all objects."""


class KindSink(Protocol):
    """Takes what a mirror learns."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """All objects as they were after a call sent at this time."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """Changes since; maybe none."""

    def on_unavailable(self) -> None:
        """A call failed."""


OnOutdated = Callable[[str, int, int], None]
"""Told of a list that is thrown away: its kind, its revision, and the one that is known."""


class KindMirror:
    """Objects of one kind at a revision of the store, with the latest changes.

    Attributes:
        kind: Kind of the objects.
        revision: Revision up to which they are known, None before the first list.
        on_news: Called after each change.
    """

    def __init__(
        self, kind: str, sink: KindSink, on_outdated: OnOutdated = lambda kind, listed, known: None
    ) -> None:
        self.kind = kind
        self.revision: int | None = None
        self.on_news: Callable[[], None] | None = None
        self._sink = sink
        self._on_outdated = on_outdated
        self._objects: dict[str, StoredObject] = {}
        self._log: deque[tuple[int, ObjectChange]] = deque()
        self._log_start = 0

    # -- learning -------------------------------------------------------------------------------

    def on_list(self, objects: list[StoredObject], revision: int, sent_at: float) -> None:
        """All objects as they were at a revision; one that is older than what is known is void."""
        if self.revision is not None and revision < self.revision:
            self._on_outdated(self.kind, revision, self.revision)
            return
        listed = {stored.name: stored for stored in objects}
        for change in self._differences(listed):
            self._note(change, revision)
        self._objects = listed
        self._advance(revision)
        self._sink.on_list(objects, sent_at)
        self._tell()

    def on_changes(self, changes: ObjectChanges, sent_at: float) -> None:
        """What came since the revision that is known; maybe nothing."""
        for change in changes.changes:
            self._note(change, changes.revision)
            if change.gone:
                self._objects.pop(change.stored.name, None)
            else:
                self._objects[change.stored.name] = change.stored
        self._advance(changes.revision)
        self._sink.on_changes(changes.changes, sent_at)
        if changes.changes:
            self._tell()

    def on_unavailable(self) -> None:
        """A call failed."""
        self._sink.on_unavailable()

    def _differences(self, listed: dict[str, StoredObject]) -> Iterable[ObjectChange]:
        if self.revision is None:
            # Followers that know nothing are told all; there is nothing to compare with.
            return
        for name, stored in self._objects.items():
            if name not in listed:
                yield ObjectChange(stored, gone=True)
        for name, stored in listed.items():
            known = self._objects.get(name)
            if known is None or known.revision != stored.revision:
                yield ObjectChange(stored, gone=False)

    def _note(self, change: ObjectChange, revision: int) -> None:
        self._log.append((revision, change))
        while len(self._log) > MAX_LOGGED_CHANGES:
            self._log_start = self._log.popleft()[0]

    def _advance(self, revision: int) -> None:
        if self.revision is None:
            self._log_start = revision
        self.revision = max(revision, self.revision or 0)

    def _tell(self) -> None:
        if self.on_news is not None:
            self.on_news()

    # -- telling --------------------------------------------------------------------------------

    def has_news(self, revision: int) -> bool:
        """Whether something came after a revision."""
        if self.revision is None or revision >= self.revision:
            return False
        return revision < self._log_start or (bool(self._log) and self._log[-1][0] > revision)

    def since(self, revision: int) -> FedKind | None:
        """What came after a revision, None when it is known up to there at most."""
        if self.revision is None or revision >= self.revision:
            return None
        if revision < self._log_start:
            objects = [_fed(stored, False) for stored in self._objects.values()]
            return FedKind(self.kind, self.revision, True, objects)
        changes = [_fed(change.stored, change.gone) for at, change in self._log if at > revision]
        return FedKind(self.kind, self.revision, False, changes)

    def on_fed(self, fed: FedKind, sent_at: float) -> None:
        """A reader tells what came."""
        changes = tuple(ObjectChange(_stored(item), item.gone) for item in fed.objects)
        if fed.whole:
            self.on_list([change.stored for change in changes], fed.revision, sent_at)
        elif self.revision is not None:
            self.on_changes(ObjectChanges(changes, fed.revision), sent_at)

    def on_proof(self, sent_at: float) -> None:
        """A reader proves that nothing else had come when a call was sent at this time."""
        if self.revision is not None:
            self._sink.on_changes((), sent_at)


def _fed(stored: StoredObject, gone: bool) -> FedObject:
    return FedObject(stored.name, stored.revision, msgspec.Raw(stored.spec), gone)


def _stored(item: FedObject) -> StoredObject:
    return StoredObject(item.name, item.revision, bytes(item.spec))
