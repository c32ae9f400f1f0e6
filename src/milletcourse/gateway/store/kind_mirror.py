"""What a gateway knows of one kind of objects: hands changes on, and can tell them to followers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from milletcourse.exchange.messages.configuration_effect import ConfigurationEffect
from milletcourse.exchange.messages.content_patch import (
    NO_CONTENT_SUM,
    ContentPatch,
    apply_patch,
    content_sum,
    whole_patch,
)
from milletcourse.exchange.messages.feed_messages import FedKind, FedObject
from milletcourse.exchange.messages.store_place import StorePlace
from milletcourse.exchange.reading.pending_contents import FedUpdate
from milletcourse.gateway.store.change_log import MIN_PATCHED_BYTES, ChangeLog, LoggedChange
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject
from milletcourse.gateway.telling.store_recorder import StoreReturn

MAX_INLINE_PATCH_BYTES = 4096
"""A larger patch is announced, and told to those that ask for it."""
ASSUMED_COMPRESSION_RATIO = 8
"""Patches of one object that weigh as much as this part of its content may weigh more than the
content, compressed."""
_NO_SPEC = msgspec.Raw(b"null")


class KindEventHandler(Protocol):
    """Takes what a mirror learns."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """All objects as they were after a call sent at this time."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """Changes since; maybe none."""

    def on_unavailable(self) -> None:
        """A call failed."""

    def on_new_era(self, position: StorePlace, before: StorePlace | None) -> None:
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


class NoOpEventHandler:
    """A `KindEventHandler` that takes nothing; others take what they need of it."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""

    def on_unavailable(self) -> None:
        """See `KindEventHandler`."""

    def on_new_era(self, position: StorePlace, before: StorePlace | None) -> None:
        """See `KindEventHandler`."""

    def on_change_announced(
        self, effect: ConfigurationEffect | None, not_out_at: float | None
    ) -> None:
        """See `KindEventHandler`."""

    def on_pending_proof(self, sent_at: float) -> None:
        """See `KindEventHandler`."""


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
        is_receiving: A change is on its way from the store to this gateway, or has just come, and
            what came after it is being asked for.
        on_news: Called after each change.
    """

    def __init__(
        self, kind: str, handler: KindEventHandler, listener: MirrorListener | None = None
    ) -> None:
        self.kind = kind
        self.position: StorePlace | None = None
        self.is_confirmed = True
        self.proved_at = float("-inf")
        self.is_receiving = False
        self.on_change: Callable[[], None] | None = None
        self._handler = handler
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._log = ChangeLog()
        self._full_patches: dict[str, ContentPatch] = {}
        """Patches from no content, as far as somebody needed them."""

    # -- learning -------------------------------------------------------------------------------

    def on_list(
        self,
        objects: list[StoredObject],
        position: StorePlace,
        sent_at: float,
        is_stale: bool = False,
    ) -> None:
        """All objects as they were at a state; one that is older than what is known is void."""
        if self.position is not None and position < self.position:
            if self._listener is not None:
                self._listener.list_outdated(self.kind, position, self.position)
            return
        if not is_stale or self.position is None:
            self.is_confirmed = not is_stale
        listed = {stored.name: stored for stored in objects}
        changes = tuple(self._differences(listed))
        if self.position is not None:
            self._log.add_gap(self.position, position)
        for change in changes:
            self._log.append(change, self._content(change.stored.name), position)
        self._objects = listed
        self._advance(position, changes, sent_at)
        self._handler.on_list(objects, sent_at)
        self._notify()

    def on_changes(self, changes: ObjectChanges, sent_at: float) -> None:
        """What came since some known state; maybe nothing, maybe what is known by now."""
        if self.position is None:
            return
        new_changes = changes.changes if changes.position > self.position else ()
        for change in new_changes:
            name = change.stored.name
            self._log.append(change, self._content(name), changes.position)
            if change.deleted:
                self._objects.pop(name, None)
            else:
                self._objects[name] = change.stored
        self._advance(max(changes.position, self.position), new_changes, sent_at)
        self._handler.on_changes(new_changes, sent_at)
        if new_changes:
            self._notify()

    def on_unavailable(self) -> None:
        """A call failed."""
        self._handler.on_unavailable()

    def on_list_coming(self) -> None:
        """A list is coming from the store; it may show nothing new."""
        self.is_receiving = True

    def on_change_coming(self, not_out_at: float | None) -> None:
        """A change is coming from the store.

        Args:
            not_out_at: Monotonic time at which it wasn't out yet, None when only proofs tell.
        """
        self.is_receiving = True
        self._handler.on_change_announced(None, not_out_at)

    def on_announced(self, effect: ConfigurationEffect | None, not_out_at: float | None) -> None:
        """A reader has announced a change whose content is still to come."""
        self._handler.on_change_announced(effect, not_out_at)

    def on_pending_proof(self, sent_at: float) -> None:
        """A reader proves that only what it announced had come."""
        self._handler.on_pending_proof(sent_at)

    def _differences(self, listed: dict[str, StoredObject]) -> Iterable[ObjectChange]:
        if self.position is None:
            # Followers that know nothing are told all; there is nothing to compare with.
            return
        for name, stored in self._objects.items():
            if name not in listed:
                yield ObjectChange(stored, deleted=True)
        for name, stored in listed.items():
            known = self._objects.get(name)
            if known is None or known.spec != stored.spec:
                yield ObjectChange(stored, deleted=False)

    def _content(self, name: str) -> bytes | None:
        known = self._objects.get(name)
        return known.spec if known is not None else None

    def _advance(
        self, position: StorePlace, changes: tuple[ObjectChange, ...], sent_at: float
    ) -> None:
        if self.position is None:
            self._log.start_at(position)
            self._handler.on_new_era(position, None)
        elif position.era > self.position.era:
            self._on_restore(self.position, position, changes)
        self.position = position
        self.proved_at = max(self.proved_at, sent_at)

    def _on_restore(
        self, before: StorePlace, position: StorePlace, changes: tuple[ObjectChange, ...]
    ) -> None:
        self._handler.on_new_era(position, before)
        if self._listener is not None:
            missing = [change.stored.name for change in changes if change.deleted]
            changed = [change.stored.name for change in changes if not change.deleted]
            self._listener.returned(StoreReturn(self.kind, before, position, missing, changed))

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def specs(self) -> dict[str, bytes]:
        """Content of all objects by name."""
        return {name: stored.spec for name, stored in self._objects.items()}

    # -- telling --------------------------------------------------------------------------------

    def has_changes(self, position: StorePlace | None) -> bool:
        """Whether something came after a state."""
        if self.position is None or (position is not None and position >= self.position):
            return False
        if position is None or position.era < self.position.era or not self._log.covers(position):
            return True
        return self._log.has_after(position)

    def since(self, position: StorePlace | None, as_patches: bool = False) -> FedKind | None:
        """What came after a state, None when it is known up to there at most.

        Args:
            place: The state.
            as_patches: Large contents are told as patches, or announced; else as they are now.
        """
        if self.position is None or (position is not None and position >= self.position):
            return None
        if not self._log.covers(position):
            objects = [self._to_fed_object(stored, as_patches) for stored in self._objects.values()]
            return FedKind(self.kind, self.position, True, objects)
        changes = self._without_superseded(self._log.after(position), as_patches)
        return FedKind(self.kind, self.position, False, [*changes])

    def _without_superseded(
        self, changes: list[LoggedChange], as_patches: bool
    ) -> Iterable[FedObject]:
        """Changes in their order; large contents that a later one has overtaken don't go twice."""
        patch_bytes: dict[str, int] = defaultdict(int)
        last: dict[str, LoggedChange] = {}
        for change in changes:
            if change.patch is not None:
                patch_bytes[change.name] += change.size
                last[change.name] = change
        for change in changes:
            if change.patch is None:
                spec = _NO_SPEC if change.deleted else msgspec.Raw(change.spec)
                yield FedObject(change.name, change.position, spec, change.deleted)
            elif as_patches and not self._patches_exceed_content(
                change.name, patch_bytes[change.name]
            ):
                yield _to_fed_patch(change.name, change.position, change.patch)
            elif change is last[change.name] and (stored := self._objects.get(change.name)):
                yield self._to_fed_object(stored, as_patches)

    def _patches_exceed_content(self, name: str, patch_bytes: int) -> bool:
        """Whether patches weigh more than the content that they lead to."""
        stored = self._objects.get(name)
        if stored is None or patch_bytes * ASSUMED_COMPRESSION_RATIO < len(stored.spec):
            return False
        return patch_bytes > len(self._full_patch(stored).steps)

    def _to_fed_object(self, stored: StoredObject, as_patch: bool) -> FedObject:
        if as_patch and len(stored.spec) >= MIN_PATCHED_BYTES:
            return _to_fed_patch(stored.name, stored.position, self._full_patch(stored))
        return FedObject(stored.name, stored.position, msgspec.Raw(stored.spec))

    def _full_patch(self, stored: StoredObject) -> ContentPatch:
        kept = self._full_patches.get(stored.name)
        if kept is None or kept.result != content_sum(stored.spec):
            kept = self._full_patches[stored.name] = whole_patch(stored.spec)
            self._full_patches = {
                name: self._full_patches[name]
                for name in self._full_patches
                if name in self._objects
            }
        return kept

    def patch(self, name: str, base: int, result: int) -> ContentPatch | None:
        """A patch that was announced; None when its contents are forgotten."""
        logged = self._log.patch(name, base, result)
        stored = self._objects.get(name)
        if logged is not None or base != NO_CONTENT_SUM or stored is None:
            return logged
        return self._full_patch(stored) if content_sum(stored.spec) == result else None

    def apply_update(self, update: FedUpdate, sent_at: float) -> bool:
        """A reader tells what came, with all contents; False for what goes on from another state.

        Raises:
            PatchError: A content differs from what was announced; nothing is taken then.
        """
        fed = update.fed
        if not fed.whole and update.since != self.position:
            # Something was learnt in another way meanwhile.
            return False
        changes = tuple(self._changes_of(fed))
        if fed.whole:
            self.on_list(_remaining_objects(changes), fed.place, sent_at)
            return True
        if self.position is not None and fed.place > self.position:
            self._log.add_gap(self.position, fed.place)
        self.on_changes(ObjectChanges(changes, fed.place), sent_at)
        return True

    def _changes_of(self, fed: FedKind) -> Iterable[ObjectChange]:
        contents: dict[str, bytes | None] = {}
        for item in fed.objects:
            spec = bytes(item.spec)
            if item.patch is not None:
                before = contents.get(item.name, self._content(item.name))
                spec = apply_patch(item.patch, before)
            contents[item.name] = None if item.gone else spec
            stored = StoredObject(item.name, item.place, spec)
            yield ObjectChange(stored, item.gone, item.patch)

    def on_proof(self, sent_at: float) -> None:
        """A reader proves that nothing else had come when a call was sent at this time."""
        if self.position is not None:
            self.proved_at = max(self.proved_at, sent_at)
            self._handler.on_changes((), sent_at)


def _remaining_objects(changes: Iterable[ObjectChange]) -> list[StoredObject]:
    """Objects that are there after all changes."""
    left: dict[str, StoredObject] = {}
    for change in changes:
        left.pop(change.stored.name, None)
        if not change.deleted:
            left[change.stored.name] = change.stored
    return [*left.values()]


def _to_fed_patch(name: str, position: StorePlace, patch: ContentPatch) -> FedObject:
    is_small = len(patch.steps) <= MAX_INLINE_PATCH_BYTES
    return FedObject(name, position, _NO_SPEC, patch=patch if is_small else patch.announcement())
