"""What a reader has announced to a follower, and the follower doesn't have yet; no input/output.

Answers of a reader are taken one behind the other: one whose contents are still to come holds up
those behind it, so that the follower's state is always one that the store went through.
"""

from __future__ import annotations

from collections import deque

import msgspec

from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.feed_messages import ContentQuestion, FedKind, FedObject
from milletcourse.exchange.messages.store_place import StorePlace

MAX_WAITING_ANSWERS = 8
"""Answers of one kind; when more wait, the reader is asked again for all behind the first one, and
leaves out what has been overtaken."""


class FedUpdate(msgspec.Struct, frozen=True):
    """What a reader told of a kind.

    Attributes:
        since: State from which it goes on; it says nothing about any other one.
        fed: What it told.
    """

    since: StorePlace | None
    fed: FedKind


class PendingContents:
    """Answers that wait for contents, kind by kind."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[FedUpdate]] = {}
        self._mismatched: set[str] = set()
        """Kinds whose patches didn't fit: all is asked for, once."""

    def __contains__(self, kind: str) -> bool:
        return kind in self._waiting

    def position(self, kind: str, known: StorePlace | None) -> StorePlace | None:
        """State of a kind from which a reader is to go on; None to be told all.

        Args:
            kind: Kind of the objects.
            known: State up to which its contents are known.
        """
        if kind in self._mismatched:
            return None
        waiting = self._waiting.get(kind)
        return waiting[-1].fed.place if waiting else known

    def take(self, fed: FedKind, since: StorePlace | None) -> list[FedUpdate]:
        """What a reader told of a kind from a state on; returns what can be taken at once."""
        waiting = self._waiting.setdefault(fed.kind, deque())
        if fed.whole:
            self._mismatched.discard(fed.kind)
            waiting.clear()
        if len(waiting) >= MAX_WAITING_ANSWERS:
            first = waiting.popleft()
            waiting.clear()
            waiting.append(first)
        else:
            waiting.append(FedUpdate(since, fed))
        return self._take_ready(fed.kind)

    def missing(self, kind: str) -> ContentQuestion | None:
        """The first content that a kind waits for, None when it waits for none."""
        waiting = self._waiting.get(kind)
        for item in waiting[0].fed.objects if waiting else ():
            if item.is_announced and item.patch is not None:
                return ContentQuestion(kind, item.name, item.patch.base, item.patch.result)
        return None

    def on_patch(self, question: ContentQuestion, patch: ContentPatch) -> list[FedUpdate]:
        """A content that was asked for has come; returns what can be taken now."""
        waiting = self._waiting.get(question.kind)
        if not waiting or patch.result != question.result:
            return []
        first = waiting[0].fed
        objects = [
            msgspec.structs.replace(item, patch=patch)
            if _matches_question(item, question)
            else item
            for item in first.objects
        ]
        fed = FedKind(first.kind, first.place, first.whole, objects)
        waiting[0] = FedUpdate(waiting[0].since, fed)
        return self._take_ready(question.kind)

    def drop(self, kind: str) -> None:
        """What a kind waits for doesn't come."""
        self._waiting.pop(kind, None)

    def on_patch_mismatch(self, kind: str) -> None:
        """A patch gave another content than was announced."""
        self.drop(kind)
        self._mismatched.add(kind)

    def clear(self) -> None:
        """The reader that announced is left."""
        self._waiting.clear()
        self._mismatched.clear()

    def _take_ready(self, kind: str) -> list[FedUpdate]:
        waiting = self._waiting[kind]
        ready = []
        while waiting and not waiting[0].fed.is_announced:
            ready.append(waiting.popleft())
        if not waiting:
            del self._waiting[kind]
        return ready


def _matches_question(item: FedObject, question: ContentQuestion) -> bool:
    if not item.is_announced or item.patch is None or item.name != question.name:
        return False
    return item.patch.result == question.result and item.patch.base == question.base
