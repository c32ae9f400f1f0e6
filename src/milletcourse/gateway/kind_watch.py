"""Follows all objects of one kind: lists them, then watches, and lists again after any doubt."""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

from milletcourse.gateway.object_store import (
    ObjectChange,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)

FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.4
"""After a failed call: short, since a bound on time runs from the store's acknowledgement."""


class KindSink(Protocol):
    """Takes what a watch learns."""

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """All objects as they were after a call sent at this time."""

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """Changes since; maybe none."""

    def on_unavailable(self) -> None:
        """A call failed."""


class KindWatch:
    """One watched kind."""

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        sink: KindSink,
        wait_seconds: float,
        random_source: random.Random,
        stale_lists: bool = False,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._wait_seconds = wait_seconds
        self._random = random_source
        self._stale_lists = stale_lists
        self._history_gone = False
        self._revision: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            try:
                await self._step()
                self._failures = 0
            except StoreError as error:
                self._revision = None
                self._history_gone = error.problem is StoreProblem.HISTORY_GONE
                if error.problem is StoreProblem.HISTORY_GONE and self._failures == 0:
                    self._failures = 1
                    continue
                await self._pause()

    async def _step(self) -> None:
        if self._revision is None:
            await self._list()
            return
        changes, sent_at = await self._store.watch(self._kind, self._revision, self._wait_seconds)
        self._sink.on_changes(changes.changes, sent_at)
        self._revision = max(changes.revision, self._revision)

    async def _list(self) -> None:
        """Take all objects, as they are now.

        A stale list is followed by a watch that doesn't wait, which brings what came since; when
        that history is gone, only a fresh list will do.
        """
        stale = self._stale_lists and not self._history_gone
        objects, revision, sent_at = await self._store.list_all(self._kind, stale)
        if not stale:
            self._sink.on_list(objects, sent_at)
            self._revision = revision
            return
        since, watched_at = await self._store.watch(self._kind, revision, 0.0)
        # A stale page proves nothing about now; together with the watch it does.
        self._sink.on_list(objects, watched_at)
        self._sink.on_changes(since.changes, watched_at)
        self._revision = max(since.revision, revision)

    async def _pause(self) -> None:
        self._sink.on_unavailable()
        pause = min(FIRST_PAUSE_SECONDS * 2**self._failures, MAX_PAUSE_SECONDS)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(pause * (0.5 + self._random.random()))
