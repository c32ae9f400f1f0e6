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

from milletcourse.exchange.messages.store_place import StorePlace
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

LIST_TIMEOUT_SECONDS = 0.5
"""The list is waited for this long, to see whether the entry of an earlier process stands."""
CHECK_INTERVAL_SECONDS = 1.0
"""Longest time between two looks at what the entry should say."""
MIN_CHECK_INTERVAL_SHARE = 0.5
"""As a share of it: when the store has lost the entries of all gateways, they aren't written again
all at once."""
MAX_CONSECUTIVE_WRITES = 2
"""The second one goes on from what the first one found in the store."""
MAX_BACKOFF_SECONDS = 2.0
"""While the store does nothing, the time between two tries doubles up to this: calls are priced."""


class Registration:
    """Writes the entry when it isn't right; an entry of an earlier process is mostly right."""

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        name: str,
        directory: GatewayDirectory,
        desired: Callable[[], GatewayEntry],
        on_entry_found: Callable[[GatewayEntry], None],
        listed_position: Callable[[], StorePlace | None],
        random_source: random.Random,
        on_rewritten: Callable[[StorePlace], None],
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
        self._on_rewritten = on_rewritten
        self._is_lost = False
        self._listed_position = listed_position
        self._random = random_source
        self._store = store
        self._kind = kind
        self._name = name
        self._directory = directory
        self._desired = desired
        self._on_entry_found = on_entry_found
        self._interval_seconds = CHECK_INTERVAL_SECONDS
        self._changed = asyncio.Event()
        self._stored: GatewayEntry | None = None
        self._written_position: StorePlace | None = None

    async def run(self) -> None:
        """Keep the entry right until cancelled."""
        with suppress(TimeoutError):
            # Without the list the entry is written: that costs one call at most.
            await asyncio.wait_for(self._directory.is_listed.wait(), LIST_TIMEOUT_SECONDS)
        self._stored, self._written_position = (
            self._directory.own_entry,
            self._directory.own_position,
        )
        while True:
            self._compare_with_list()
            for _ in range(MAX_CONSECUTIVE_WRITES):
                desired = self._desired()
                if self._is_up_to_date(desired) or not await self._write(desired):
                    break
            await self._wait()

    async def _wait(self) -> None:
        """Wait for the next look, or for news."""
        with suppress(TimeoutError):
            share = (
                MIN_CHECK_INTERVAL_SHARE + (1.0 - MIN_CHECK_INTERVAL_SHARE) * self._random.random()
            )
            await asyncio.wait_for(self._changed.wait(), self._interval_seconds * share)
        self._changed.clear()

    def _compare_with_list(self) -> None:
        """The store may have lost the entry, or hold an older one, since it was written."""
        listed_position, written_position = self._listed_position(), self._written_position
        if (
            listed_position is None
            or written_position is None
            or listed_position < written_position
        ):
            return
        entry, position = self._directory.own_entry, self._directory.own_position
        if position is None or listed_position.era > written_position.era:
            self._stored, self._written_position = entry, position
            self._is_lost = self._is_lost or position is None

    def on_change(self) -> None:
        """What the entry should say may have changed: all gateways may end at the next moment."""
        is_store_available = self._interval_seconds == CHECK_INTERVAL_SECONDS
        if is_store_available and not self._is_up_to_date(self._desired()):
            self._changed.set()

    def _is_up_to_date(self, desired: GatewayEntry) -> bool:
        stored = self._stored
        if stored is None or _location(stored) != _location(desired):
            return False
        if stored.confirmed_era < desired.confirmed_era:
            return False
        if stored.lost_configuration < desired.lost_configuration:
            return False
        return _content_identities(stored.contained) == _content_identities(desired.contained)

    async def _write(self, desired: GatewayEntry) -> bool:
        """Write the entry; True when it turned out to be another one than was known."""
        stored = self._stored or _location(desired)
        entry = msgspec.structs.replace(
            desired,
            contained_at=wall_seconds() if desired.contained else 0.0,
            confirmed_era=max(desired.confirmed_era, stored.confirmed_era),
            lost_configuration=max(desired.lost_configuration, stored.lost_configuration),
        )
        spec = msgspec.json.encode(entry)
        try:
            if self._written_position is None:
                written, _ = await self._store.create(self._kind, self._name, spec)
            else:
                written, _ = await self._store.replace(
                    self._kind, self._name, spec, self._written_position
                )
        except StoreError as error:
            return await self._on_store_error(error)
        self._stored, self._written_position = entry, written.position
        self._interval_seconds = CHECK_INTERVAL_SECONDS
        if self._is_lost:
            self._is_lost = False
            self._on_rewritten(written.position)
        return False

    async def _on_store_error(self, error: StoreError) -> bool:
        """The entry is there, has changed, or has gone: the next look goes on from that."""
        if error.problem is StoreProblem.CONFLICT:
            return await self._adopt_current(error.current)
        if error.problem is StoreProblem.NOT_FOUND:
            self._mark_lost()
        else:
            self._interval_seconds = min(self._interval_seconds * 2, MAX_BACKOFF_SECONDS)
        return False

    def _mark_lost(self) -> None:
        """The store doesn't hold the entry: the next look writes it anew."""
        self._stored, self._written_position = None, None
        self._is_lost = True

    async def _adopt_current(self, current: StoredObject | None) -> bool:
        """Go on from the entry as it is; a store need not show it with a conflict."""
        if current is None:
            try:
                current, _ = await self._store.get(self._kind, self._name)
            except StoreError as error:
                if error.problem is StoreProblem.NOT_FOUND:
                    self._mark_lost()
                return False
        self._stored, self._written_position = decode_entry(current.spec), current.position
        if self._stored is not None:
            self._on_entry_found(self._stored)
        return True


def _location(entry: GatewayEntry) -> GatewayEntry:
    """Where the gateway is, without what it found."""
    return GatewayEntry(entry.address, entry.zone, entry.feed, entry.link_megabits)


def _content_identities(requests: list[ContainedRequest]) -> set[str]:
    return {request.content for request in requests}
