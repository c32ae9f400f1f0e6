"""What a gateway knows of one kind of objects: hands changes on, and can tell them to followers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.content_patch import (
    NO_CONTENT_CHECKSUM,
    ContentPatch,
    apply_patch,
    content_checksum,
    full_patch,
)
from milletcourse.exchange.messages.feed_messages import FeedKind, FeedObject
from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.exchange.replication.pending_contents import FedUpdate
from milletcourse.gateway.store.change_log import PATCHED_BYTES, ChangeLog, LoggedChange
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject
from milletcourse.gateway.telling.store_recorder import StoreReturn

INLINE_BYTES = 4096
"""A larger patch is announced, and told to those that ask for it."""
PATCH_SHARE = 8
"""Patches of one object that weigh as much as this part of its content may weigh more than the
content, compressed."""
_NO_SPEC = msgspec.Raw(b"null")


class KindSink(Protocol):
    """Takes what a mirror learns."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """All objects as they were after a call sent at this time."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """Changes since; maybe none."""

    def on_unavailable(self) -> None:
        """A call failed."""

    def on_era(self, place: StorePosition, before: StorePosition | None) -> None:
        """The store was found in an era; what it holds now is handed on next.

        Args:
            place: State in which it was found.
            before: Latest state of the era that ended by a return from an older copy; None for the
                first era.
        """

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_out_at: float | None
    ) -> None:
        """A change is out, and on its way here; ends with the next list or changes.

        Args:
            effect: What it changes for requests, None when that isn't known.
            not_out_at: Monotonic time at which it wasn't out yet, None when only proofs tell.
        """

    def on_pending_proof(self, sent_at: float) -> None:
        """Nothing but what was announced had come when a call was sent at this time."""


class IgnoringSink:
    """A `KindSink` that takes nothing; others take what they need of it."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""

    def on_unavailable(self) -> None:
        """See `KindSink`."""

    def on_era(self, place: StorePosition, before: StorePosition | None) -> None:
        """See `KindSink`."""

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_out_at: float | None
    ) -> None:
        """See `KindSink`."""

    def on_pending_proof(self, sent_at: float) -> None:
        """See `KindSink`."""


class MirrorListener(Protocol):
    """Told what a mirror learns of the store's history."""

    def list_outdated(self, kind: str, listed: StorePosition, known: StorePosition) -> None:
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
        is_receiving: A change is on its way from the store to this gateway, or has just come, and
            what came after it is being asked for.
        on_news: Called after each change.
    """

    def __init__(self, kind: str, sink: KindSink, listener: MirrorListener | None = None) -> None:
        self.kind = kind
        self.place: StorePosition | None = None
        self.is_confirmed = True
        self.proved_at = float("-inf")
        self.is_receiving = False
        self.on_news: Callable[[], None] | None = None
        self._sink = sink
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._log = ChangeLog()
        self._whole: dict[str, ContentPatch] = {}
        """Patches from no content, as far as somebody needed them."""

    # -- learning -------------------------------------------------------------------------------

    def on_list(
        self,
        objects: list[StoredObject],
        place: StorePosition,
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
        if self.place is not None:
            self._log.note_gap(self.place, place)
        for change in news:
            self._log.note(change, self._content(change.stored.name), place)
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
            name = change.stored.name
            self._log.note(change, self._content(name), changes.place)
            if change.gone:
                self._objects.pop(name, None)
            else:
                self._objects[name] = change.stored
        self._advance(max(changes.place, self.place), news, sent_at)
        self._sink.on_changes(news, sent_at)
        if news:
            self._tell()

    def on_unavailable(self) -> None:
        """A call failed."""
        self._sink.on_unavailable()

    def on_list_coming(self) -> None:
        """A list is coming from the store; it may show nothing new."""
        self.is_receiving = True

    def on_change_coming(self, not_out_at: float | None) -> None:
        """A change is coming from the store.

        Args:
            not_out_at: Monotonic time at which it wasn't out yet, None when only proofs tell.
        """
        self.is_receiving = True
        self._sink.on_change_announced(None, not_out_at)

    def on_announced(self, effect: ConfigurationEffect | None, not_out_at: float | None) -> None:
        """A reader has announced a change whose content is still to come."""
        self._sink.on_change_announced(effect, not_out_at)

    def on_pending_proof(self, sent_at: float) -> None:
        """A reader proves that only what it announced had come."""
        self._sink.on_pending_proof(sent_at)

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

    def _content(self, name: str) -> bytes | None:
        known = self._objects.get(name)
        return known.spec if known is not None else None

    def _advance(
        self, place: StorePosition, news: tuple[ObjectChange, ...], sent_at: float
    ) -> None:
        if self.place is None:
            self._log.begin(place)
            self._sink.on_era(place, None)
        elif place.era > self.place.era:
            self._note_return(self.place, place, news)
        self.place = place
        self.proved_at = max(self.proved_at, sent_at)

    def _note_return(
        self, before: StorePosition, place: StorePosition, news: tuple[ObjectChange, ...]
    ) -> None:
        self._sink.on_era(place, before)
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

    def has_news(self, place: StorePosition | None) -> bool:
        """Whether something came after a state."""
        if self.place is None or (place is not None and place >= self.place):
            return False
        if place is None or place.era < self.place.era or not self._log.covers(place):
            return True
        return self._log.has_after(place)

    def since(self, place: StorePosition | None, as_patches: bool = False) -> FeedKind | None:
        """What came after a state, None when it is known up to there at most.

        Args:
            place: The state.
            as_patches: Large contents are told as patches, or announced; else as they are now.
        """
        if self.place is None or (place is not None and place >= self.place):
            return None
        if not self._log.covers(place):
            objects = [self._fed(stored, as_patches) for stored in self._objects.values()]
            return FeedKind(self.kind, self.place, True, objects)
        changes = self._without_overtaken(self._log.after(place), as_patches)
        return FeedKind(self.kind, self.place, False, [*changes])

    def _without_overtaken(
        self, changes: list[LoggedChange], as_patches: bool
    ) -> Iterable[FeedObject]:
        """Changes in their order; large contents that a later one has overtaken don't go twice."""
        patch_bytes: dict[str, int] = defaultdict(int)
        last: dict[str, LoggedChange] = {}
        for change in changes:
            if change.patch is not None:
                patch_bytes[change.name] += change.size
                last[change.name] = change
        for change in changes:
            if change.patch is None:
                spec = _NO_SPEC if change.gone else msgspec.Raw(change.spec)
                yield FeedObject(change.name, change.place, spec, change.gone)
            elif as_patches and not self._costs_more(change.name, patch_bytes[change.name]):
                yield _fed_patch(change.name, change.place, change.patch)
            elif change is last[change.name] and (stored := self._objects.get(change.name)):
                yield self._fed(stored, as_patches)

    def _costs_more(self, name: str, patch_bytes: int) -> bool:
        """Whether patches weigh more than the content that they lead to."""
        stored = self._objects.get(name)
        if stored is None or patch_bytes * PATCH_SHARE < len(stored.spec):
            return False
        return patch_bytes > len(self._whole_patch(stored).steps)

    def _fed(self, stored: StoredObject, as_patch: bool) -> FeedObject:
        if as_patch and len(stored.spec) >= PATCHED_BYTES:
            return _fed_patch(stored.name, stored.place, self._whole_patch(stored))
        return FeedObject(stored.name, stored.place, msgspec.Raw(stored.spec))

    def _whole_patch(self, stored: StoredObject) -> ContentPatch:
        kept = self._whole.get(stored.name)
        if kept is None or kept.result != content_checksum(stored.spec):
            kept = self._whole[stored.name] = full_patch(stored.spec)
            self._whole = {name: self._whole[name] for name in self._whole if name in self._objects}
        return kept

    def patch(self, name: str, base: int, result: int) -> ContentPatch | None:
        """A patch that was announced; None when its contents are forgotten."""
        logged = self._log.patch(name, base, result)
        stored = self._objects.get(name)
        if logged is not None or base != NO_CONTENT_CHECKSUM or stored is None:
            return logged
        return self._whole_patch(stored) if content_checksum(stored.spec) == result else None

    def on_fed(self, update: FedUpdate, sent_at: float) -> bool:
        """A reader tells what came, with all contents; False for what goes on from another state.

        Raises:
            PatchError: A content differs from what was announced; nothing is taken then.
        """
        fed = update.fed
        if not fed.is_snapshot and update.since != self.place:
            # Something was learnt in another way meanwhile.
            return False
        changes = tuple(self._changes_of(fed))
        if fed.is_snapshot:
            self.on_list(_left_after(changes), fed.position, sent_at)
            return True
        if self.place is not None and fed.position > self.place:
            self._log.note_gap(self.place, fed.position)
        self.on_changes(ObjectChanges(changes, fed.position), sent_at)
        return True

    def _changes_of(self, fed: FeedKind) -> Iterable[ObjectChange]:
        contents: dict[str, bytes | None] = {}
        for item in fed.objects:
            spec = bytes(item.spec)
            if item.patch is not None:
                before = contents.get(item.name, self._content(item.name))
                spec = apply_patch(item.patch, before)
            contents[item.name] = None if item.deleted else spec
            stored = StoredObject(item.name, item.position, spec)
            yield ObjectChange(stored, item.deleted, item.patch)

    def on_proof(self, sent_at: float) -> None:
        """A reader proves that nothing else had come when a call was sent at this time."""
        if self.place is not None:
            self.proved_at = max(self.proved_at, sent_at)
            self._sink.on_changes((), sent_at)


def _left_after(changes: Iterable[ObjectChange]) -> list[StoredObject]:
    """Objects that are there after all changes."""
    left: dict[str, StoredObject] = {}
    for change in changes:
        left.pop(change.stored.name, None)
        if not change.gone:
            left[change.stored.name] = change.stored
    return [*left.values()]


def _fed_patch(name: str, place: StorePosition, patch: ContentPatch) -> FeedObject:
    is_small = len(patch.steps) <= INLINE_BYTES
    return FeedObject(name, place, _NO_SPEC, patch=patch if is_small else patch.announcement())
