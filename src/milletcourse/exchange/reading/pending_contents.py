"""What a reader has announced to a follower, and the follower doesn't have yet; no input/output.

A kind of objects moves on as a whole: what came with and after an announced content waits for it,
so that the follower's state is always one that the store went through.
"""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.feed_messages import ContentQuestion, FedKind, FedObject
from milletcourse.exchange.messages.store_place import StorePlace


class PendingContents:
    """Kinds that wait for contents."""

    def __init__(self) -> None:
        self._kinds: dict[str, FedKind] = {}

    def __contains__(self, kind: str) -> bool:
        return kind in self._kinds

    def place(self, kind: str) -> StorePlace | None:
        """State up to which a kind was announced, None when nothing is missing."""
        pending = self._kinds.get(kind)
        return pending.place if pending is not None else None

    def take(self, fed: FedKind) -> FedKind | None:
        """What a reader told of a kind; returns what can be taken at once."""
        pending = self._kinds.get(fed.kind)
        if pending is not None and not fed.whole:
            objects = [*pending.objects, *fed.objects]
            fed = FedKind(fed.kind, fed.place, pending.whole, objects)
        return self._settle(fed)

    def missing(self, kind: str) -> ContentQuestion | None:
        """The first content that a kind waits for, None when it waits for none."""
        pending = self._kinds.get(kind)
        if pending is None:
            return None
        for item in pending.objects:
            if item.is_announced and item.patch is not None:
                return ContentQuestion(kind, item.name, item.patch.base, item.patch.result)
        return None

    def on_patch(self, question: ContentQuestion, patch: ContentPatch) -> FedKind | None:
        """A content that was asked for has come; returns what can be taken now.

        A patch from no content will do for any that was announced.
        """
        pending = self._kinds.get(question.kind)
        if pending is None or patch.result != question.result:
            return None
        objects = [
            msgspec.structs.replace(item, patch=patch) if _is_meant(item, question) else item
            for item in pending.objects
        ]
        return self._settle(FedKind(pending.kind, pending.place, pending.whole, objects))

    def drop(self, kind: str) -> None:
        """What a kind waits for doesn't come."""
        self._kinds.pop(kind, None)

    def clear(self) -> None:
        """The reader that announced is left."""
        self._kinds.clear()

    def _settle(self, fed: FedKind) -> FedKind | None:
        if any(item.is_announced for item in fed.objects):
            self._kinds[fed.kind] = fed
            return None
        self._kinds.pop(fed.kind, None)
        return fed


def _is_meant(item: FedObject, question: ContentQuestion) -> bool:
    if not item.is_announced or item.patch is None or item.name != question.name:
        return False
    return item.patch.result == question.result and item.patch.base == question.base
