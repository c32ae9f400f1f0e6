"""Keeps the mirrors current, from a reader among the gateways or from the store itself."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec

from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.replication.reader_selection import GatewayRecord, ReaderSelection
from milletcourse.gateway.servers.call_client import CallClient
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.store.feed_client import QUICK_REFUSAL_SECONDS, FeedClient, FeedOutcome
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.kind_watch import (
    MAX_BACK_OFF_SECONDS,
    MAX_FOLLOWER_BACK_OFF_SECONDS,
    KindWatch,
    list_current,
)
from milletcourse.gateway.store.object_store import ObjectStoreClient, StoreError

READER_CHECK_SECONDS = 0.1
"""Interval of checks for a reader to follow, while this gateway reads the store itself."""
READER_WAIT_SECONDS = 0.7
"""Time to wait for a reader at a start, since many gateways may start at once."""
FIRST_LIST_TIMEOUT_SECONDS = 0.8
"""A list call is aborted if its answer hasn't started by then; a reader may have the list."""
MIN_FIRST_FEED_MEGABITS = 50.0
"""Narrowest link of a reader from which all objects are requested: 100 KB take some 20 ms on it."""
MIN_POLL_INTERVAL_SECONDS = 0.02
"""Pause between two requests, so that a burst of changes arrives in few answers."""


class WatchedKind(msgspec.Struct, frozen=True):
    """How a kind is read from the store.

    Attributes:
        mirror: Receives the lists and changes.
        wait_seconds: Longest wait of a watch.
        stale_lists: Read stale lists and bring them up to date by a watch; for kinds of many pages.
    """

    mirror: KindMirror
    wait_seconds: float
    stale_lists: bool = False


class StoreSync:
    """Follows a reader while there is one, and reads the store otherwise.

    Only this class sets `reads_store` and `followed_reader` of the context.
    """

    def __init__(
        self,
        context: GatewayContext,
        store: ObjectStoreClient,
        calls: CallClient,
        reader_selection: ReaderSelection,
        kinds: Sequence[WatchedKind],
        gateways_kind: str,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._context = context
        self._store = store
        self._reader_selection = reader_selection
        self._kinds = kinds
        self._gateways_kind = gateways_kind
        self._spawn = spawn
        self._mirrors = {kind.mirror.kind: kind.mirror for kind in kinds}
        mirrors = [kind.mirror for kind in kinds]
        self._feed = FeedClient(context, calls, reader_selection, mirrors, spawn)
        self._watches: list[asyncio.Task[None]] = []
        self._leading_watch: KindWatch | None = None

    async def run(self) -> None:
        """Keep the mirrors current until cancelled."""
        if await self._list_gateways() and not await self._sync_at_start():
            await self._list_all_kinds()
        wait_until = self._context.now() + READER_WAIT_SECONDS
        while True:
            reader = self._reader_selection.choose(self._context.now())
            if reader is not None:
                outcome = await self._feed.poll(reader, 0.0)
                if outcome is FeedOutcome.SYNCED:
                    wait_until = 0.0
                    self._stop_watches()
                    await self._follow(reader)
                    continue
                if outcome is FeedOutcome.REFUSED and await self._sync_from_other_reader():
                    continue
            if self._reader_selection.is_reader or self._context.now() >= wait_until:
                self._start_watches()
            if self._has_lost_store():
                await self._follow_substitute()
            await asyncio.sleep(READER_CHECK_SECONDS)

    def close(self) -> None:
        """Stop reading the store."""
        self._stop_watches()

    async def _list_gateways(self) -> bool:
        """Read the list of gateways; True when it succeeded.

        A stale list, which may be some seconds old, is cheap and suffices to find the readers.
        """
        mirror = self._mirrors[self._gateways_kind]
        try:
            objects, position, sent_at = await self._store.list_all(
                mirror.kind, stale=True, attempts_seconds=FIRST_LIST_TIMEOUT_SECONDS
            )
        except StoreError:
            # The watches retry.
            self._context.log.emit("gateways-unknown-at-start")
            return False
        mirror.on_list(objects, position, sent_at, is_stale=True)
        return True

    async def _sync_at_start(self) -> bool:
        """Get all objects in one request from a reader with a wide link; True when it succeeded.

        A gateway that restarts alone thus costs the store nothing. When all gateways restart, the
        readers are starting too and refuse or don't answer, so all gateways read their first lists
        from the store, whose link is far wider than any reader's.
        """
        reader = self._reader_selection.choose(self._context.now())
        if reader is None or reader.link_megabits < MIN_FIRST_FEED_MEGABITS:
            return False
        return await self._sync_without_hold(reader)

    async def _list_all_kinds(self) -> None:
        """List all kinds concurrently, before the first choice of a reader."""
        await asyncio.gather(*(self._list_kind(kind) for kind in self._kinds))

    async def _list_kind(self, kind: WatchedKind) -> None:
        mirror = kind.mirror
        try:
            if mirror.position is not None:
                changes, sent_at = await self._store.watch(mirror.kind, mirror.position, 0.0)
                mirror.on_changes(changes, sent_at)
                return
            objects, position, sent_at = await list_current(
                self._store, mirror.kind, kind.stale_lists, FIRST_LIST_TIMEOUT_SECONDS
            )
        except StoreError as error:
            # The watches or a reader deliver it later.
            self._context.log.emit("first-list-failed", kind=mirror.kind, problem=str(error))
            return
        mirror.on_list(objects, position, sent_at, kind.stale_lists)
        mirror.on_caught_up()

    # -- following a reader ---------------------------------------------------------------------

    async def _follow(self, reader: GatewayRecord) -> None:
        """Poll one reader until it fails, or until another one takes precedence."""
        self._context.followed_reader = reader.name
        self._context.log.emit("reader-followed", reader=reader.name)
        outcome = FeedOutcome.SYNCED
        while (
            outcome is FeedOutcome.SYNCED
            and self._reader_selection.choose(self._context.now()) == reader
        ):
            await asyncio.sleep(MIN_POLL_INTERVAL_SECONDS)
            outcome = await self._feed.poll(reader, self._context.replication_times.feed_hold)
        self._context.followed_reader = ""
        if outcome is FeedOutcome.SYNCED:
            return
        self._context.log.emit("reader-lost", reader=reader.name, outcome=outcome.value)
        if await self._sync_from_other_reader():
            return
        # Changes that the failed reader doesn't report must not be missed here.
        self._start_watches()

    async def _sync_from_other_reader(self) -> bool:
        """Poll another reader after one has failed; True when it succeeded.

        All followers of a reader lose it at the same moment. If each then read the store, every
        failure of a reader would cost one call per follower and kind.
        """
        reader = self._reader_selection.choose(self._context.now())
        return reader is not None and await self._sync_without_hold(reader)

    async def _sync_without_hold(self, reader: GatewayRecord) -> bool:
        """Poll a reader without a hold; True when it succeeded."""
        return await self._feed.poll(reader, 0.0, QUICK_REFUSAL_SECONDS) is FeedOutcome.SYNCED

    def _has_lost_store(self) -> bool:
        """Whether this gateway reads the store, and its latest call failed."""
        return self._leading_watch is not None and not self._leading_watch.reached.is_set()

    async def _follow_substitute(self) -> None:
        """Poll another reader for as long as the store can't be reached from here.

        The store may refuse only this gateway. Its own watches continue in parallel, to detect when
        the store can be reached again; the proofs are as old as those of the other reader.
        """
        reader = self._reader_selection.choose_fallback(self._context.now())
        if reader is None or await self._feed.poll(reader, 0.0) is not FeedOutcome.SYNCED:
            return
        self._context.log.emit("substitute-asked", reader=reader.name)
        while self._has_lost_store():
            await asyncio.sleep(MIN_POLL_INTERVAL_SECONDS)
            if (
                await self._feed.poll(reader, self._context.replication_times.feed_hold)
                is not FeedOutcome.SYNCED
            ):
                return

    # -- reading the store ----------------------------------------------------------------------

    def _start_watches(self) -> None:
        if self._watches:
            return
        self._context.reads_store = True
        random_source = self._context.random
        leader: KindWatch | None = None
        for kind in self._kinds:
            watch = KindWatch(
                self._store,
                kind.mirror,
                kind.wait_seconds,
                random_source,
                kind.stale_lists,
                leader,
                MAX_BACK_OFF_SECONDS
                if self._reader_selection.is_reader
                else MAX_FOLLOWER_BACK_OFF_SECONDS,
            )
            if Mechanism.SINGLE_KIND_POLLING in self._context.mechanisms:
                leader = leader or watch
            self._leading_watch = self._leading_watch or watch
            self._watches.append(self._spawn(watch.run()))
        self._context.log.emit("store-read-here")

    def _stop_watches(self) -> None:
        self._context.reads_store = False
        for task in self._watches:
            task.cancel()
        self._watches.clear()
        self._leading_watch = None
