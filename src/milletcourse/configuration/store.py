"""Configuration store of a router: objects by key, with the latest change of each object.

Transfers are state-based: a page contains the latest change of every object that changed after a
revision, so that no change log of unbounded length is needed. The revision of a store never
decreases.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from returns.pipeline import is_successful
from sortedcontainers import SortedDict

from milletcourse.backends.platform_messages import ObjectChange, ObjectList
from milletcourse.errors import Failure
from milletcourse.membership.messages import PlatformStamp
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.policy.objects import ObjectKey, parse_spec

MAX_TOMBSTONES = 5000
"""Number of deletions kept for transfer: those of some days at 1,800 changes per day."""
PAGE_CHANGES = 500
"""Limits one page to a few hundred kilobytes."""


class ChangesRequest(msgspec.Struct, frozen=True):
    """Requests the changes after a revision from a peer.

    Attributes:
        after: Revision in force at the requester.
        cursor: Revision of the last change received; equal to `after` for the first page.
    """

    after: int
    cursor: int


class ChangesPage(msgspec.Struct, frozen=True):
    """Changes in the order of their revisions.

    Attributes:
        after: Revision after which the changes start.
        through: Revision in force at the sender.
        changes: Latest change of each changed object.
        complete: Whether this is the last page.
        whole: Whether the pages contain the whole state, so that absent objects do not exist.
        stamp: Latest platform stamp known to the sender.
    """

    after: int
    through: int
    changes: tuple[ObjectChange, ...]
    complete: bool = True
    whole: bool = False
    stamp: PlatformStamp = PlatformStamp()


class ConfigurationStore:
    """Objects in force at one revision, and the policy compiled from them."""

    def __init__(self) -> None:
        self.revision = 0
        self.policy = CompiledPolicy()
        self.rejected: dict[ObjectKey, Failure] = {}
        self.on_change: Callable[[int], None] | None = None
        self._latest: dict[ObjectKey, ObjectChange] = {}
        self._by_revision: SortedDict[int, ObjectChange] = SortedDict()
        self._tombstones: SortedDict[int, ObjectKey] = SortedDict()
        self._pruned_through = 0

    def __len__(self) -> int:
        return len(self._latest) - len(self._tombstones)

    def spec(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return the untyped spec of an object in force, None when it does not exist."""
        change = self._latest.get(ObjectKey(kind, name))
        return change.spec if change else None

    def version(self, kind: str, name: str) -> int:
        """Return the version of an object in force, 0 when it does not exist."""
        change = self._latest.get(ObjectKey(kind, name))
        return change.revision if change is not None and change.spec is not None else 0

    def changes(self) -> list[ObjectChange]:
        """Return the latest change of every existing object, sorted by key."""
        return [self._latest[key] for key in sorted(self._latest) if self._latest[key].spec]

    def page_for(self, request: ChangesRequest) -> ChangesPage:
        """Return the next page for a peer."""
        whole = request.after < self._pruned_through
        start = request.cursor
        if whole and request.cursor == request.after:
            start = 0
        revisions = self._by_revision.irange(minimum=start, inclusive=(False, True))
        changes = []
        for revision in revisions:
            changes.append(self._by_revision[revision])
            if len(changes) > PAGE_CHANGES:
                break
        complete = len(changes) <= PAGE_CHANGES
        return ChangesPage(
            request.after, self.revision, tuple(changes[:PAGE_CHANGES]), complete, whole
        )

    def apply_list(self, listing: ObjectList) -> bool:
        """Apply the whole state of the platform; return False when it is not newer."""
        changes = tuple(
            ObjectChange(item.version, item.kind, item.name, item.spec) for item in listing.objects
        )
        return self.apply(ChangesPage(0, listing.revision, changes, whole=True))

    def apply(self, page: ChangesPage) -> bool:
        """Apply a complete set of changes atomically.

        Args:
            page: All changes from `page.after` through `page.through`.

        Returns:
            False when the page is not newer or leaves a gap; the store is then unchanged.
        """
        if page.through <= self.revision or page.after > self.revision:
            return False
        if page.whole:
            self._delete_absent(page)
        for change in page.changes:
            self._apply_change(change)
        self.revision = page.through
        self._prune_tombstones()
        if self.on_change is not None:
            self.on_change(self.revision)
        return True

    def _delete_absent(self, page: ChangesPage) -> None:
        present = {ObjectKey(change.kind, change.name) for change in page.changes}
        for key in sorted(self._latest):
            if key not in present and self._latest[key].spec is not None:
                self._apply_change(ObjectChange(page.through, key.kind, key.name))

    def _apply_change(self, change: ObjectChange) -> None:
        key = ObjectKey(change.kind, change.name)
        previous = self._latest.get(key)
        if previous is not None:
            if previous.revision > change.revision:
                return
            self._by_revision.pop(previous.revision, None)
            self._tombstones.pop(previous.revision, None)
        self._latest[key] = change
        self._by_revision[change.revision] = change
        if change.spec is None:
            self._tombstones[change.revision] = key
        self._compile(key, change)

    def _compile(self, key: ObjectKey, change: ObjectChange) -> None:
        self.rejected.pop(key, None)
        if change.spec is None:
            self.policy.apply(key, None)
            return
        parsed = parse_spec(change.kind, change.name, change.spec)
        if is_successful(parsed):
            self.policy.apply(key, parsed.unwrap())
            return
        self.rejected[key] = parsed.failure()
        self.policy.apply(key, None)

    def _prune_tombstones(self) -> None:
        while len(self._tombstones) > MAX_TOMBSTONES:
            revision, key = self._tombstones.popitem(0)
            self._pruned_through = revision
            self._by_revision.pop(revision, None)
            self._latest.pop(key, None)
