"""Follows a kind of objects in the store: lists, then watches, and lists again after any doubt."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from milletcourse.exchange.messages.store_place import StorePlace
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import (
    ObjectChanges,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.runtime.clock import elapsed_seconds

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.4
"""After a failed call: short, since a bound on time runs from the store's acknowledgement."""
MAX_FOLLOWER_BACKOFF_SECONDS = 1.5
"""The same at a gateway that stands in for its reader: it goes back to it as soon as that one
reaches the store, so its own calls matter less."""
CONFIRM_DELAY_SECONDS = 5.0
"""A first list that was read stale is read fresh after this time."""
LATE_ANSWER_SECONDS = 0.2
"""An answer with content that took so long beyond its wait proves little: what came after it is
asked for at once."""
MAX_SUPERSEDED_BYTES = 64 * 1024
"""Contents that a late answer brought in vain; with so much, lists are read in place of changes."""
LIST_INTERVAL_SECONDS = 0.05
RESUME_SPREAD_SECONDS = 0.1
"""Watches that waited for their leader go on within this time, not all at once."""


class KindWatch:
    """One watched kind; goes on from what its mirror knows.

    Calls to a store that is away cost as much as others. So while the leading watch fails, it alone
    finds out when the store is back, and those that follow it wait.

    Attributes:
        reached: Set while the latest call succeeded.
    """

    def __init__(
        self,
        store: ObjectStoreClient,
        mirror: KindMirror,
        wait_seconds: float,
        random_source: random.Random,
        stale_lists: bool = False,
        leader: KindWatch | None = None,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        self.reached = asyncio.Event()
        self._leader = leader
        self._max_backoff_seconds = max_backoff_seconds
        self._store = store
        self._mirror = mirror
        self._wait_seconds = wait_seconds
        self._random = random_source
        self._stale_lists = stale_lists
        self._history_lost = False
        self._place = mirror.position
        self._failures = 0
        self._is_late = False
        self._overrun_seconds = 0.0
        self._uses_lists = False
        self._confirm_at = float("inf")
        if stale_lists and (mirror.position is None or not mirror.is_confirmed):
            self._confirm_at = elapsed_seconds() + CONFIRM_DELAY_SECONDS

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        try:
            await self._run()
        finally:
            self._mirror.is_receiving = False

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._failures = 0
                self.reached.set()
            except StoreError as error:
                self._place = None
                self._mirror.is_receiving = self._is_late = False
                self._history_lost = error.problem is StoreProblem.HISTORY_LOST
                if error.problem is StoreProblem.HISTORY_LOST and self._failures == 0:
                    self._failures = 1
                    continue
                await self._back_off()

    async def _step(self) -> None:
        if elapsed_seconds() >= self._confirm_at and not self._mirror.is_confirmed:
            self._place, self._history_lost = None, True
        if self._place is None or self._uses_lists:
            await self._list()
            return
        kind = self._mirror.kind
        wait_seconds = 0.0 if self._is_late else self._wait_seconds
        # The call before came back without what this one brings; the store had answered it no
        # earlier than by how much it took longer than its wait.
        not_out_at = None if self._is_late else elapsed_seconds() - self._overrun_seconds
        changes, sent_at = await self._store.watch(
            kind, self._place, wait_seconds, lambda: self._mirror.on_change_coming(not_out_at)
        )
        self._mirror.on_changes(changes, sent_at)
        self._place = max(changes.position, self._place)
        self._overrun_seconds = max(elapsed_seconds() - sent_at - wait_seconds, 0.0)
        self._update_lateness(self._overrun_seconds)
        if self._is_late and _superseded_bytes(changes) >= MAX_SUPERSEDED_BYTES:
            # Changes come faster than their contents: a list has each object once.
            self._uses_lists = True

    def _update_lateness(self, seconds: float) -> None:
        """An answer has come, so much later than it could have; without content it proves enough.

        Args:
            seconds: How long it took beyond the time for which it was held.
        """
        self._is_late = self._mirror.is_receiving and seconds > LATE_ANSWER_SECONDS
        self._mirror.is_receiving = self._is_late

    async def _list(self) -> None:
        kind = self._mirror.kind
        stale = self._stale_lists and not self._history_lost
        before = self._mirror.specs() if self._uses_lists else {}
        objects, position, sent_at = await list_current(
            self._store, kind, stale, on_content=self._mirror.on_list_coming
        )
        known = self._mirror.position
        if stale and known is not None and position.era > known.era:
            # It may show what the store has lost since.
            raise StoreError(StoreProblem.HISTORY_LOST)
        self._mirror.on_list(objects, position, sent_at, stale)
        self._place = position
        self._update_lateness(elapsed_seconds() - sent_at)
        if self._uses_lists:
            self._uses_lists = self._is_late and before != self._mirror.specs()
            await asyncio.sleep(LIST_INTERVAL_SECONDS)

    async def _back_off(self) -> None:
        self.reached.clear()
        self._mirror.on_unavailable()
        if self._leader is not None and not self._leader.reached.is_set():
            await self._leader.reached.wait()
            await asyncio.sleep(RESUME_SPREAD_SECONDS * self._random.random())
            return
        backoff = min(INITIAL_BACKOFF_SECONDS * 2**self._failures, self._max_backoff_seconds)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(backoff * (0.5 + self._random.random()))


async def list_current(
    store: ObjectStoreClient,
    kind: str,
    stale: bool,
    attempts_seconds: float = math.inf,
    on_content: Callable[[], None] | None = None,
) -> tuple[list[StoredObject], StorePlace, float]:
    """All objects of a kind as they are now: (objects, place, time of the proving call).

    A stale list is followed by a watch that doesn't wait, which brings what came since; when that
    history is gone, only a fresh list will do.

    Args:
        store: The store.
        kind: Kind of the objects.
        stale: Read a list that may be seconds old.
        attempts_seconds: See `ObjectStoreClient.list_all`.
        on_content: See there.
    """
    objects, position, sent_at = await store.list_all(kind, stale, attempts_seconds, on_content)
    if not stale:
        return objects, position, sent_at
    # A stale page proves nothing about now; together with the watch it does.
    since, watched_at = await store.watch(kind, position, 0.0)
    return _with_changes(objects, since), max(since.position, position), watched_at


def _with_changes(objects: list[StoredObject], since: ObjectChanges) -> list[StoredObject]:
    listed = {stored.name: stored for stored in objects}
    for change in since.changes:
        listed.pop(change.stored.name, None)
        if not change.deleted:
            listed[change.stored.name] = change.stored
    return list(listed.values())


def _superseded_bytes(changes: ObjectChanges) -> int:
    """Bytes of contents that later changes of the same answer replace."""
    last = {change.stored.name: change for change in changes.changes}
    return sum(
        len(change.stored.spec)
        for change in changes.changes
        if change is not last[change.stored.name]
    )
