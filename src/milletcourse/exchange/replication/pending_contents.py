"""Updates that a reader announced and whose contents the follower still lacks; no input/output.

A follower applies a reader's answers in order: one whose contents are still missing blocks those
behind it, so that the follower's state is always one that the store has passed through.
"""

from __future__ import annotations

from collections import deque

import msgspec

from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.feed_messages import ContentRequest, FeedKind, FeedObject
from milletcourse.exchange.messages.store_position import StorePosition

MAX_WAITING_ANSWERS = 8
"""Queued answers of one kind. When more arrive, those behind the first are dropped and requested
again, and the reader then omits superseded changes."""


class PendingUpdate(msgspec.Struct, frozen=True):
    """An answer of a reader about one kind.

    Attributes:
        since: Position that the answer continues from; it is valid for no other one.
        changes: The objects that changed.
    """

    since: StorePosition | None
    changes: FeedKind


class PendingContents:
    """Queues of answers that wait for contents, by kind."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[PendingUpdate]] = {}
        self._mismatched: set[str] = set()
        """Kinds with a patch that didn't match: a full answer is requested once."""

    def __contains__(self, kind: str) -> bool:
        return kind in self._waiting

    def position(self, kind: str, known: StorePosition | None) -> StorePosition | None:
        """Position of a kind from which the reader should continue; None for a full answer.

        Args:
            kind: Kind of the objects.
            known: Position up to which the contents are known.
        """
        if kind in self._mismatched:
            return None
        waiting = self._waiting.get(kind)
        return waiting[-1].changes.position if waiting else known

    def take(self, changes: FeedKind, since: StorePosition | None) -> list[PendingUpdate]:
        """Queue an answer that continues from `since`; returns the updates that can be applied."""
        waiting = self._waiting.setdefault(changes.kind, deque())
        if changes.is_snapshot:
            self._mismatched.discard(changes.kind)
            waiting.clear()
        if len(waiting) >= MAX_WAITING_ANSWERS:
            first = waiting.popleft()
            waiting.clear()
            waiting.append(first)
        else:
            waiting.append(PendingUpdate(since, changes))
        return self._take_ready(changes.kind)

    def missing(self, kind: str) -> ContentRequest | None:
        """Request for the first missing content of a kind; None when no content is missing."""
        waiting = self._waiting.get(kind)
        for item in waiting[0].changes.objects if waiting else ():
            if item.is_announced and item.patch is not None:
                return ContentRequest(kind, item.name, item.patch.base, item.patch.result)
        return None

    def on_patch(self, request: ContentRequest, patch: ContentPatch) -> list[PendingUpdate]:
        """Add a requested content; returns the updates that can be applied now."""
        waiting = self._waiting.get(request.kind)
        if not waiting or patch.result != request.result:
            return []
        first = waiting[0].changes
        objects = [
            msgspec.structs.replace(item, patch=patch) if _matches_request(item, request) else item
            for item in first.objects
        ]
        changes = FeedKind(first.kind, first.position, first.is_snapshot, objects)
        waiting[0] = PendingUpdate(waiting[0].since, changes)
        return self._take_ready(request.kind)

    def drop(self, kind: str) -> None:
        """Discard the queue of a kind, since its missing content can't be fetched."""
        self._waiting.pop(kind, None)

    def on_patch_mismatch(self, kind: str) -> None:
        """A patch produced another content than was announced."""
        self.drop(kind)
        self._mismatched.add(kind)

    def clear(self) -> None:
        """Discard all state, since the gateway stops following this reader."""
        self._waiting.clear()
        self._mismatched.clear()

    def _take_ready(self, kind: str) -> list[PendingUpdate]:
        waiting = self._waiting[kind]
        ready = []
        while waiting and not waiting[0].changes.is_announced:
            ready.append(waiting.popleft())
        if not waiting:
            del self._waiting[kind]
        return ready


def _matches_request(item: FeedObject, request: ContentRequest) -> bool:
    if not item.is_announced or item.patch is None or item.name != request.name:
        return False
    return item.patch.result == request.result and item.patch.base == request.base
