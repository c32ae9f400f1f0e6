"""What a gateway knows of one kind of objects: hands changes on, and can tell them to followers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol, TypeGuard

import msgspec

from milletcourse.exchange.messages.feed_messages import FedKind, FedObject
from milletcourse.exchange.messages.store_place import StorePlace
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject
from milletcourse.gateway.telling.store_recorder import StoreReturn

MAX_GAPS = 32
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

    def on_new_era(self) -> None:
        """The store has come back from an older copy; what it holds now is handed on next."""


class MirrorListener(Protocol):
    """Told what a mirror learns of the store's history."""

    def list_outdated(self, kind: str, listed: StorePlace, known: StorePlace) -> None:
        """A list was thrown away, since a later state is known."""

    def returned(self, store_return: StoreReturn) -> None:
        """The store has come back from an older copy."""


class KindMirror:
    """Objects of one kind at a state of the store, with the latest changes.

    Attributes:
        kind: Kind of the objects.
        place: State of the store up to which they are known, None before the first list.
        is_confirmed: False while all that is known rests on a list that was read stale: it may show
            what the store had lost just before, and no change tells of that.
        proved_at: Monotonic time at which they are known to have been so; minus infinity at first.
        on_news: Called after each change.
    """

    def __init__(self, kind: str, sink: KindSink, listener: MirrorListener | None = None) -> None:
        self.kind = kind
        self.place: StorePlace | None = None
        self.is_confirmed = True
        self.proved_at = float("-inf")
        self.on_news: Callable[[], None] | None = None
        self._sink = sink
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._log: deque[tuple[StorePlace, ObjectChange]] = deque()
        self._log_start: StorePlace | None = None
        self._gaps: deque[tuple[StorePlace, StorePlace]] = deque()
        """States between which changes aren't known one by one, just how the ends differ."""

    # -- learning -------------------------------------------------------------------------------

    def on_list(
        self,
        objects: list[StoredObject],
        place: StorePlace,
        sent_at: float,
        is_stale: bool = False,
    ) -> None:
        """All objects as they were at a state; one that is older than what is known is void."""
        if self.place is not None and place < self.place:
            if self._listener is not None:
                self._listener.list_outdated(self.kind, place, self.place)
            return
        if not is_stale or self.place is None:
            self.is_confirmed = not is_stale
        listed = {stored.name: stored for stored in objects}
        news = tuple(self._differences(listed))
        self._note_gap(place)
        for change in news:
            self._note(change, place)
        self._objects = listed
        self._advance(place, news, sent_at)
        self._sink.on_list(objects, sent_at)
        self._tell()

    def on_changes(self, changes: ObjectChanges, sent_at: float) -> None:
        """What came since some known state; maybe nothing, maybe what is known by now."""
        if self.place is None:
            return
        news = changes.changes if changes.place > self.place else ()
        for change in news:
            self._note(change, changes.place)
            if change.gone:
                self._objects.pop(change.stored.name, None)
            else:
                self._objects[change.stored.name] = change.stored
        self._advance(max(changes.place, self.place), news, sent_at)
        self._sink.on_changes(news, sent_at)
        if news:
            self._tell()

    def on_unavailable(self) -> None:
        """A call failed."""
        self._sink.on_unavailable()

    def _differences(self, listed: dict[str, StoredObject]) -> Iterable[ObjectChange]:
        if self.place is None:
            # Followers that know nothing are told all; there is nothing to compare with.
            return
        for name, stored in self._objects.items():
            if name not in listed:
                yield ObjectChange(stored, gone=True)
        for name, stored in listed.items():
            known = self._objects.get(name)
            if known is None or known.spec != stored.spec:
                yield ObjectChange(stored, gone=False)

    def _note(self, change: ObjectChange, place: StorePlace) -> None:
        self._log.append((place, change))
        while len(self._log) > MAX_LOGGED_CHANGES:
            self._log_start = self._log.popleft()[0]

    def _note_gap(self, place: StorePlace) -> None:
        if self.place is None or self.place == place:
            return
        self._gaps.append((self.place, place))
        while len(self._gaps) > MAX_GAPS:
            _, end = self._gaps.popleft()
            self._log_start = end if self._log_start is None else max(self._log_start, end)

    def _advance(self, place: StorePlace, news: tuple[ObjectChange, ...], sent_at: float) -> None:
        if self.place is None:
            self._log_start = place
        elif place.era > self.place.era:
            self._note_return(self.place, place, news)
        self.place = place
        self.proved_at = max(self.proved_at, sent_at)

    def _note_return(
        self, before: StorePlace, place: StorePlace, news: tuple[ObjectChange, ...]
    ) -> None:
        self._sink.on_new_era()
        if self._listener is not None:
            missing = [change.stored.name for change in news if change.gone]
            changed = [change.stored.name for change in news if not change.gone]
            self._listener.returned(StoreReturn(self.kind, before, place, missing, changed))

    def _tell(self) -> None:
        if self.on_news is not None:
            self.on_news()

    def specs(self) -> dict[str, bytes]:
        """Content of all objects by name."""
        return {name: stored.spec for name, stored in self._objects.items()}

    # -- telling --------------------------------------------------------------------------------

    def has_news(self, place: StorePlace | None) -> bool:
        """Whether something came after a state."""
        if self.place is None or (place is not None and place >= self.place):
            return False
        if place is None or place.era < self.place.era or not self._logs_since(place):
            return True
        return bool(self._log) and self._log[-1][0] > place

    def since(self, place: StorePlace | None) -> FedKind | None:
        """What came after a state, None when it is known up to there at most."""
        if self.place is None or (place is not None and place >= self.place):
            return None
        if not self._logs_since(place):
            objects = [_fed(stored, False) for stored in self._objects.values()]
            return FedKind(self.kind, self.place, True, objects)
        changes = [_fed(change.stored, change.gone) for at, change in self._log if at > place]
        return FedKind(self.kind, self.place, False, changes)

    def _logs_since(self, place: StorePlace | None) -> TypeGuard[StorePlace]:
        """Whether what differs from a state is kept: not from one within a gap."""
        if place is None or self._log_start is None or place < self._log_start:
            return False
        return not any(begin < place < end for begin, end in self._gaps)

    def on_fed(self, fed: FedKind, sent_at: float) -> None:
        """A reader tells what came."""
        changes = tuple(ObjectChange(_stored(item), item.gone) for item in fed.objects)
        if fed.whole:
            self.on_list([change.stored for change in changes], fed.place, sent_at)
            return
        if self.place is not None and fed.place > self.place:
            self._note_gap(fed.place)
        self.on_changes(ObjectChanges(changes, fed.place), sent_at)

    def on_proof(self, sent_at: float) -> None:
        """A reader proves that nothing else had come when a call was sent at this time."""
        if self.place is not None:
            self.proved_at = max(self.proved_at, sent_at)
            self._sink.on_changes((), sent_at)


def _fed(stored: StoredObject, gone: bool) -> FedObject:
    spec = b"null" if gone else stored.spec
    return FedObject(stored.name, stored.place, msgspec.Raw(spec), gone)


def _stored(item: FedObject) -> StoredObject:
    return StoredObject(item.name, item.place, bytes(item.spec))
