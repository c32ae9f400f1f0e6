"""Keeps a kind of objects current: lists, then watches, and lists again after an error."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.object_store import (
    ObjectChanges,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.runtime.clock import elapsed_seconds

INITIAL_BACK_OFF_SECONDS = 0.05
MAX_BACK_OFF_SECONDS = 0.4
"""After a failed call. Short, since a write has to be in force within a bound that starts when the
store acknowledges it."""
MAX_FOLLOWER_BACK_OFF_SECONDS = 1.5
"""The same at a follower that reads the store because its reader failed: it returns to the reader
as soon as that one reaches the store, so it can wait longer between its own calls."""
CONFIRM_DELAY_SECONDS = 5.0
"""A first list that was read stale is read again, not stale, after this time."""
LATE_ANSWER_SECONDS = 0.2
"""An answer with content that takes this much longer than its wait may be outdated on arrival: the
changes after it are requested at once."""
MAX_SUPERSEDED_BYTES = 64 * 1024
"""Superseded contents in one late answer; from this many on, lists are read instead of changes."""
LIST_INTERVAL_SECONDS = 0.05
RESUME_SPREAD_SECONDS = 0.1
"""Watches that waited for their leader resume spread over this time."""


class KindWatch:
    """Watch of one kind, which starts from the position of its mirror.

    Calls to an unavailable store cost as much as others. So while the leading watch fails, it alone
    probes the store, and the watches that follow it wait.

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
        max_back_off_seconds: float = MAX_BACK_OFF_SECONDS,
    ) -> None:
        self.reached = asyncio.Event()
        self._leader = leader
        self._max_back_off_seconds = max_back_off_seconds
        self._store = store
        self._mirror = mirror
        self._wait_seconds = wait_seconds
        self._random = random_source
        self._stale_lists = stale_lists
        self._history_lost = False
        self._position = mirror.position
        self._failures = 0
        self._is_late = False
        self._overrun_seconds = 0.0
        self._uses_lists = False
        self._confirm_at = float("inf")
        if stale_lists and (mirror.position is None or not mirror.is_confirmed):
            self._confirm_at = elapsed_seconds() + CONFIRM_DELAY_SECONDS

    async def run(self) -> None:
        """Keep the mirror current until cancelled."""
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
                self._position = None
                self._mirror.is_receiving = self._is_late = False
                self._history_lost = error.problem is StoreProblem.HISTORY_LOST
                if error.problem is StoreProblem.HISTORY_LOST and self._failures == 0:
                    self._failures = 1
                    continue
                await self._back_off()

    async def _step(self) -> None:
        if elapsed_seconds() >= self._confirm_at and not self._mirror.is_confirmed:
            self._position, self._history_lost = None, True
        if self._position is None or self._uses_lists:
            await self._list()
            return
        kind = self._mirror.kind
        wait_seconds = 0.0 if self._is_late else self._wait_seconds
        # The previous answer didn't contain the changes of this one, so they weren't published when
        # the store sent it: at most its overrun beyond the wait ago.
        not_committed_at = None if self._is_late else elapsed_seconds() - self._overrun_seconds
        changes, sent_at = await self._store.watch(
            kind,
            self._position,
            wait_seconds,
            lambda: self._mirror.on_change_coming(not_committed_at),
        )
        self._mirror.on_changes(changes, sent_at)
        self._position = max(changes.position, self._position)
        self._overrun_seconds = max(elapsed_seconds() - sent_at - wait_seconds, 0.0)
        self._update_lateness(self._overrun_seconds)
        if self._is_late and _superseded_bytes(changes) >= MAX_SUPERSEDED_BYTES:
            # Changes are made faster than their contents arrive; a list has each object only once.
            self._uses_lists = True

    def _update_lateness(self, seconds: float) -> None:
        """Note whether an answer with content was late; one without content is always proof enough.

        Args:
            seconds: Time that it took beyond the requested wait.
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
            # A stale list may show objects that the store has lost since.
            raise StoreError(StoreProblem.HISTORY_LOST)
        self._mirror.on_list(objects, position, sent_at, stale)
        self._mirror.on_caught_up()
        self._position = position
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
        back_off = min(INITIAL_BACK_OFF_SECONDS * 2**self._failures, self._max_back_off_seconds)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(back_off * (0.5 + self._random.random()))


async def list_current(
    store: ObjectStoreClient,
    kind: str,
    stale: bool,
    attempts_seconds: float = math.inf,
    on_content: Callable[[], None] | None = None,
) -> tuple[list[StoredObject], StorePosition, float]:
    """All objects of a kind as they are now: (objects, position, time of the proving call).

    A stale list is followed by a watch that doesn't wait, which brings the changes since. Raises
    `HISTORY_LOST` when the store has lost that history; the list must not be a stale one then.

    Args:
        store: The store.
        kind: Kind of the objects.
        stale: Accept a list that may be seconds old.
        attempts_seconds: See `ObjectStoreClient.list_all`.
        on_content: See `ObjectStoreClient.list_all`.
    """
    objects, position, sent_at = await store.list_all(kind, stale, attempts_seconds, on_content)
    if not stale:
        return objects, position, sent_at
    # A stale page alone does not prove the current state; together with the watch it does.
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
    """Bytes of contents that later changes in the same answer replace."""
    last = {change.stored.name: change for change in changes.changes}
    return sum(
        len(change.stored.spec)
        for change in changes.changes
        if change is not last[change.stored.name]
    )
