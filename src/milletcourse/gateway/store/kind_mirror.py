"""Local cache of one kind of objects: passes changes to a handler, and serves them to followers."""

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
from milletcourse.exchange.replication.pending_contents import PendingUpdate
from milletcourse.gateway.store.change_log import MIN_PATCHED_BYTES, ChangeLog, LoggedChange
from milletcourse.gateway.store.kind_event_handler import KindEventHandler
from milletcourse.gateway.store.object_store import ObjectChange, ObjectChanges, StoredObject
from milletcourse.gateway.telemetry.store_recorder import StoreRestore

MAX_INLINE_PATCH_BYTES = 4096
"""A larger patch is only announced, and sent to the followers that request it."""
ASSUMED_COMPRESSION_RATIO = 8
"""A compressed content isn't expected to be smaller than the content by more than this factor, so
patches of one object are compared with it only when they are larger than that."""
_NO_SPEC = msgspec.Raw(b"null")


class MirrorListener(Protocol):
    """Notified of what a mirror detects in the store's history."""

    def list_outdated(self, kind: str, listed: StorePosition, known: StorePosition) -> None:
        """A list was discarded, since a later position is known."""

    def store_restored(self, store_restore: StoreRestore) -> None:
        """The store was restored from an older snapshot."""


class KindMirror:
    """Objects of one kind at a position of the store, with the latest changes.

    Attributes:
        kind: Kind of the objects.
        position: Store position up to which they are known, None before the first list.
        is_confirmed: False while the objects are known from a stale list only: such a list may show
            objects that the store lost in a restore just before, and no watch reports their loss.
        proved_at: Monotonic time as of which the objects are proven current; minus infinity at
            first.
        is_receiving: A change is being received from the store, or has just been received and the
            changes after it are being requested.
        on_change: Called after each change.
    """

    def __init__(
        self, kind: str, handler: KindEventHandler, listener: MirrorListener | None = None
    ) -> None:
        self.kind = kind
        self.position: StorePosition | None = None
        self.is_confirmed = True
        self.proved_at = float("-inf")
        self.is_receiving = False
        self.on_change: Callable[[], None] | None = None
        self._handler = handler
        self._listener = listener
        self._is_caught_up = False
        self._objects: dict[str, StoredObject] = {}
        self._log = ChangeLog()
        self._full_patches: dict[str, ContentPatch] = {}
        """Cached patches that build a content from nothing, by object name."""

    # -- updating -------------------------------------------------------------------------------

    def on_list(
        self,
        objects: list[StoredObject],
        position: StorePosition,
        sent_at: float,
        is_stale: bool = False,
    ) -> None:
        """Replace all objects by a list as of a position; an outdated list is discarded."""
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
        if not is_stale:
            self.on_caught_up()
        self._notify()

    def on_changes(self, changes: ObjectChanges, sent_at: float) -> None:
        """Apply changes since a known position; there may be none, or only known ones."""
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
        self.on_caught_up()
        if new_changes:
            self._notify()

    def on_caught_up(self) -> None:
        """Note that no change is missing up to a call that was sent after the start."""
        if not self._is_caught_up:
            self._is_caught_up = True
            self._handler.on_caught_up()

    def on_unavailable(self) -> None:
        """Report a failed call to the handler."""
        self._handler.on_unavailable()

    def on_list_coming(self) -> None:
        """Note that a list is being received from the store; it may contain nothing new."""
        self.is_receiving = True

    def on_change_coming(self, not_committed_at: float | None) -> None:
        """Note that a change is being received from the store.

        Args:
            not_committed_at: Monotonic time at which it wasn't committed yet; None when only the
                proofs of freshness bound that time.
        """
        self.is_receiving = True
        self._handler.on_change_announced(None, not_committed_at)

    def on_announced(
        self, effect: ConfigurationEffect | None, not_committed_at: float | None
    ) -> None:
        """Report a change that a reader announced, and whose content hasn't arrived yet."""
        self._handler.on_change_announced(effect, not_committed_at)

    def on_pending_proof(self, sent_at: float) -> None:
        """Report a reader's proof that nothing but the announced changes is missing."""
        self._handler.on_pending_proof(sent_at)

    def _differences(self, listed: dict[str, StoredObject]) -> Iterable[ObjectChange]:
        if self.position is None:
            # There is nothing to compare with, and followers without a position get all objects.
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
        self, position: StorePosition, changes: tuple[ObjectChange, ...], sent_at: float
    ) -> None:
        if self.position is None:
            self._log.start_at(position)
            self._handler.on_new_era(position, None)
        elif position.era > self.position.era:
            self._on_restore(self.position, position, changes)
        self.position = position
        self.proved_at = max(self.proved_at, sent_at)

    def _on_restore(
        self, before: StorePosition, position: StorePosition, changes: tuple[ObjectChange, ...]
    ) -> None:
        self._handler.on_new_era(position, before)
        if self._listener is not None:
            missing = [change.stored.name for change in changes if change.deleted]
            changed = [change.stored.name for change in changes if not change.deleted]
            self._listener.store_restored(
                StoreRestore(self.kind, before, position, missing, changed)
            )

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def specs(self) -> dict[str, bytes]:
        """Contents of all objects by name."""
        return {name: stored.spec for name, stored in self._objects.items()}

    # -- serving followers ----------------------------------------------------------------------

    def has_changes(self, position: StorePosition | None) -> bool:
        """Whether there are changes after a position."""
        if self.position is None or (position is not None and position >= self.position):
            return False
        if position is None or position.era < self.position.era or not self._log.covers(position):
            return True
        return self._log.has_after(position)

    def since(self, position: StorePosition | None, as_patches: bool = False) -> FeedKind | None:
        """Changes after a position; None when the mirror knows nothing later.

        Args:
            position: Position that the follower knows, None when it knows nothing.
            as_patches: Send large contents as patches, or announce them; else send the whole
                content as it is now.
        """
        if self.position is None or (position is not None and position >= self.position):
            return None
        if not self._log.covers(position):
            objects = [
                self._to_feed_object(stored, as_patches) for stored in self._objects.values()
            ]
            return FeedKind(self.kind, self.position, True, objects)
        changes = self._without_superseded(self._log.after(position), as_patches)
        return FeedKind(self.kind, self.position, False, [*changes])

    def _without_superseded(
        self, changes: list[LoggedChange], as_patches: bool
    ) -> Iterable[FeedObject]:
        """Changes in order, without large contents that a later change of the object replaces."""
        patch_bytes: dict[str, int] = defaultdict(int)
        last: dict[str, LoggedChange] = {}
        for change in changes:
            if change.patch is not None:
                patch_bytes[change.name] += change.size
                last[change.name] = change
        for change in changes:
            if change.patch is None:
                spec = _NO_SPEC if change.deleted else msgspec.Raw(change.spec)
                yield FeedObject(change.name, change.position, spec, change.deleted)
            elif as_patches and not self._patches_exceed_content(
                change.name, patch_bytes[change.name]
            ):
                yield _to_feed_patch(change.name, change.position, change.patch)
            elif change is last[change.name] and (stored := self._objects.get(change.name)):
                yield self._to_feed_object(stored, as_patches)

    def _patches_exceed_content(self, name: str, patch_bytes: int) -> bool:
        """Whether the patches are larger than one that builds the whole content from nothing."""
        stored = self._objects.get(name)
        if stored is None or patch_bytes * ASSUMED_COMPRESSION_RATIO < len(stored.spec):
            return False
        return patch_bytes > len(self._full_patch(stored).steps)

    def _to_feed_object(self, stored: StoredObject, as_patch: bool) -> FeedObject:
        if as_patch and len(stored.spec) >= MIN_PATCHED_BYTES:
            return _to_feed_patch(stored.name, stored.position, self._full_patch(stored))
        return FeedObject(stored.name, stored.position, msgspec.Raw(stored.spec))

    def _full_patch(self, stored: StoredObject) -> ContentPatch:
        kept = self._full_patches.get(stored.name)
        if kept is None or kept.result != content_checksum(stored.spec):
            kept = self._full_patches[stored.name] = full_patch(stored.spec)
            self._full_patches = {
                name: self._full_patches[name]
                for name in self._full_patches
                if name in self._objects
            }
        return kept

    def patch(self, name: str, base: int, result: int) -> ContentPatch | None:
        """A patch that was announced; None when it has been dropped from the log."""
        logged = self._log.patch(name, base, result)
        stored = self._objects.get(name)
        if logged is not None or base != NO_CONTENT_CHECKSUM or stored is None:
            return logged
        return self._full_patch(stored) if content_checksum(stored.spec) == result else None

    def apply_update(self, update: PendingUpdate, sent_at: float) -> bool:
        """Apply an update from a reader, with all contents.

        Returns:
            False when the update starts from another position than the mirror's.

        Raises:
            PatchError: A content differs from the announced one; nothing is applied then.
        """
        received = update.changes
        if not received.is_snapshot and update.since != self.position:
            # The mirror was updated from another source meanwhile.
            return False
        changes = tuple(self._changes_of(received))
        if received.is_snapshot:
            self.on_list(_remaining_objects(changes), received.position, sent_at)
            return True
        if self.position is not None and received.position > self.position:
            self._log.add_gap(self.position, received.position)
        self.on_changes(ObjectChanges(changes, received.position), sent_at)
        return True

    def _changes_of(self, received: FeedKind) -> Iterable[ObjectChange]:
        contents: dict[str, bytes | None] = {}
        for item in received.objects:
            spec = bytes(item.spec)
            if item.patch is not None:
                before = contents.get(item.name, self._content(item.name))
                spec = apply_patch(item.patch, before)
            contents[item.name] = None if item.deleted else spec
            stored = StoredObject(item.name, item.position, spec)
            yield ObjectChange(stored, item.deleted, item.patch)

    def on_proof(self, sent_at: float) -> None:
        """Take a reader's proof that there were no more changes as of a call sent at this time."""
        if self.position is not None:
            self.proved_at = max(self.proved_at, sent_at)
            self._handler.on_changes((), sent_at)
            self.on_caught_up()


def _remaining_objects(changes: Iterable[ObjectChange]) -> list[StoredObject]:
    """Objects that exist after all changes."""
    left: dict[str, StoredObject] = {}
    for change in changes:
        left.pop(change.stored.name, None)
        if not change.deleted:
            left[change.stored.name] = change.stored
    return [*left.values()]


def _to_feed_patch(name: str, position: StorePosition, patch: ContentPatch) -> FeedObject:
    is_small = len(patch.steps) <= MAX_INLINE_PATCH_BYTES
    return FeedObject(name, position, _NO_SPEC, patch=patch if is_small else patch.announcement())
