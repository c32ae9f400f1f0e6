"""Keeps this gateway's own entry in the list of gateways as it should be.

The entry says where the gateway is, which requests it found to end servers, and which era of the
store it knew to be confirmed: what all gateways forget when all of them end at once must stand in
the object store.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.directory import (
    ContainedRequest,
    GatewayDirectory,
    GatewayEntry,
    decode_entry,
)
from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.runtime.clock import wall_seconds

LIST_WAIT_SECONDS = 0.5
"""The list is waited for this long, to see whether the entry of an earlier process stands."""
LOOK_SECONDS = 1.0
"""Longest time between two looks at what the entry should say."""
SHORTEST_LOOK = 0.5
"""As a share of it: when the store has lost the entries of all gateways, they aren't written again
all at once."""
WRITES_IN_A_ROW = 2
"""The second one goes on from what the first one found in the store."""
MAX_PAUSE_SECONDS = 2.0
"""While the store does nothing, the time between two tries doubles up to this: calls are priced."""


class Registration:
    """Writes the entry when it isn't right; an entry of an earlier process is mostly right."""

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        name: str,
        directory: GatewayDirectory,
        wanted: Callable[[], GatewayEntry],
        on_found: Callable[[GatewayEntry], None],
        listed_at: Callable[[], StorePosition | None],
        random_source: random.Random,
        on_written_again: Callable[[StorePosition], None],
    ) -> None:
        """Nothing written yet.

        Args:
            store: The object store.
            kind: Kind of the list of gateways.
            name: This gateway's name.
            directory: The list as it is known.
            wanted: Tells the entry as it should be.
            on_found: Told of an entry of an earlier process that the list didn't show.
            listed_at: State of the store that the list shows, None before the first one.
            random_source: Spreads the looks.
            on_written_again: Told when an entry that the store had lost is there again.
        """
        self._on_written_again = on_written_again
        self._was_lost = False
        self._listed_at = listed_at
        self._random = random_source
        self._store = store
        self._kind = kind
        self._name = name
        self._directory = directory
        self._wanted = wanted
        self._on_found = on_found
        self._pause_seconds = LOOK_SECONDS
        self._news = asyncio.Event()
        self._stored: GatewayEntry | None = None
        self._written_at: StorePosition | None = None

    async def run(self) -> None:
        """Keep the entry right until cancelled."""
        with suppress(TimeoutError):
            # Without the list the entry is written: that costs one call at most.
            await asyncio.wait_for(self._directory.is_listed.wait(), LIST_WAIT_SECONDS)
        self._stored, self._written_at = self._directory.own_entry, self._directory.own_place
        while True:
            self._take_listed()
            for _ in range(WRITES_IN_A_ROW):
                wanted = self._wanted()
                if self._is_right(wanted) or not await self._write(wanted):
                    break
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next look, or for news."""
        with suppress(TimeoutError):
            share = SHORTEST_LOOK + (1.0 - SHORTEST_LOOK) * self._random.random()
            await asyncio.wait_for(self._news.wait(), self._pause_seconds * share)
        self._news.clear()

    def _take_listed(self) -> None:
        """The store may have lost the entry, or hold an older one, since it was written."""
        listed_at, written_at = self._listed_at(), self._written_at
        if listed_at is None or written_at is None or listed_at < written_at:
            return
        entry, place = self._directory.own_entry, self._directory.own_place
        if place is None or listed_at.era > written_at.era:
            self._stored, self._written_at = entry, place
            self._was_lost = self._was_lost or place is None

    def on_news(self) -> None:
        """What the entry should say may have changed: all gateways may end at the next moment."""
        store_works = self._pause_seconds == LOOK_SECONDS
        if store_works and not self._is_right(self._wanted()):
            self._news.set()

    def _is_right(self, wanted: GatewayEntry) -> bool:
        stored = self._stored
        if stored is None or _location(stored) != _location(wanted):
            return False
        if stored.confirmed_era < wanted.confirmed_era:
            return False
        if stored.lost_configuration < wanted.lost_configuration:
            return False
        return _contents(stored.contained) == _contents(wanted.contained)

    async def _write(self, wanted: GatewayEntry) -> bool:
        """Write the entry; True when it turned out to be another one than was known."""
        stored = self._stored or _location(wanted)
        entry = msgspec.structs.replace(
            wanted,
            contained_at=wall_seconds() if wanted.contained else 0.0,
            confirmed_era=max(wanted.confirmed_era, stored.confirmed_era),
            lost_configuration=max(wanted.lost_configuration, stored.lost_configuration),
        )
        spec = msgspec.json.encode(entry)
        try:
            if self._written_at is None:
                written, _ = await self._store.create(self._kind, self._name, spec)
            else:
                written, _ = await self._store.replace(
                    self._kind, self._name, spec, self._written_at
                )
        except StoreError as error:
            return await self._on_refused(error)
        self._stored, self._written_at = entry, written.place
        self._pause_seconds = LOOK_SECONDS
        if self._was_lost:
            self._was_lost = False
            self._on_written_again(written.place)
        return False

    async def _on_refused(self, error: StoreError) -> bool:
        """The entry is there, has changed, or has gone: the next look goes on from that."""
        if error.problem is StoreProblem.CONFLICT:
            return await self._take_current(error.current)
        if error.problem is StoreProblem.NOT_FOUND:
            self._note_lost()
        else:
            self._pause_seconds = min(self._pause_seconds * 2, MAX_PAUSE_SECONDS)
        return False

    def _note_lost(self) -> None:
        """The store doesn't hold the entry: the next look writes it anew."""
        self._stored, self._written_at = None, None
        self._was_lost = True

    async def _take_current(self, current: StoredObject | None) -> bool:
        """Go on from the entry as it is; a store need not show it with a conflict."""
        if current is None:
            try:
                current, _ = await self._store.get(self._kind, self._name)
            except StoreError as error:
                if error.problem is StoreProblem.NOT_FOUND:
                    self._note_lost()
                return False
        self._stored, self._written_at = decode_entry(current.spec), current.place
        if self._stored is not None:
            self._on_found(self._stored)
        return True


def _location(entry: GatewayEntry) -> GatewayEntry:
    """Where the gateway is, without what it found."""
    return GatewayEntry(entry.address, entry.zone, entry.feed, entry.link_megabits)


def _contents(requests: list[ContainedRequest]) -> set[str]:
    return {request.content for request in requests}
