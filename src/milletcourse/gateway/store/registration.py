"""Keeps this gateway's own entry in the list of gateways up to date.

The entry holds the gateway's addresses, the requests that it found to crash servers, and the
latest era of the store that it found confirmed. Gateways keep this state in memory, so it has to be
in the object store to survive a restart of all of them at once.
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

LIST_TIMEOUT_SECONDS = 0.5
"""Time to wait for the list, which shows whether the entry of an earlier process is still there."""
CHECK_INTERVAL_SECONDS = 1.0
"""Longest time between two comparisons of the stored entry with the desired one."""
MIN_CHECK_INTERVAL_SHARE = 0.5
"""Shortest interval, as a share of the longest. The interval is random, so that gateways whose
entries the store has lost don't all write them again at once."""
MAX_CONSECUTIVE_WRITES = 2
"""The second write is based on the entry that the first one found in the store."""
MAX_BACK_OFF_SECONDS = 2.0
"""While the store fails, the time between two attempts doubles up to this, since each call to the
store has a cost."""


class Registration:
    """Writes the entry when it is out of date; that of an earlier process is mostly current."""

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        name: str,
        directory: GatewayDirectory,
        desired: Callable[[GatewayEntry | None], GatewayEntry],
        on_entry_found: Callable[[GatewayEntry], None],
        listed_position: Callable[[], StorePosition | None],
        random_source: random.Random,
        on_rewritten: Callable[[StorePosition], None],
    ) -> None:
        """Create a registration that has written nothing yet.

        Args:
            store: The object store.
            kind: Kind of the list of gateways.
            name: This gateway's name.
            directory: The known list of gateways.
            desired: Returns the entry as it should be, given the stored one.
            on_entry_found: Called with an entry of an earlier process that the list didn't show.
            listed_position: Returns the store position of the list, None before the first list.
            random_source: Spreads the checks.
            on_rewritten: Called after an entry that the store had lost has been written again.
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
        self._written_position: StorePosition | None = None

    async def run(self) -> None:
        """Keep the entry up to date until cancelled."""
        with suppress(TimeoutError):
            # Without the list the entry is written, which costs one unneeded call at most.
            await asyncio.wait_for(self._directory.is_listed.wait(), LIST_TIMEOUT_SECONDS)
        self._stored, self._written_position = (
            self._directory.own_entry,
            self._directory.own_position,
        )
        while True:
            self._compare_with_list()
            for _ in range(MAX_CONSECUTIVE_WRITES):
                desired = self._desired(self._stored)
                if self._is_up_to_date(desired) or not await self._write(desired):
                    break
            await self._wait()

    async def _wait(self) -> None:
        """Wait for the next check, or for a change of the desired entry."""
        with suppress(TimeoutError):
            share = (
                MIN_CHECK_INTERVAL_SHARE + (1.0 - MIN_CHECK_INTERVAL_SHARE) * self._random.random()
            )
            await asyncio.wait_for(self._changed.wait(), self._interval_seconds * share)
        self._changed.clear()

    def _compare_with_list(self) -> None:
        """Detect from the list that the store has lost the entry, or holds an older one."""
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
        """Write a changed entry without delay, since all gateways may stop at any moment."""
        is_store_available = self._interval_seconds == CHECK_INTERVAL_SECONDS
        if is_store_available and not self._is_up_to_date(self._desired(self._stored)):
            self._changed.set()

    def _is_up_to_date(self, desired: GatewayEntry) -> bool:
        stored = self._stored
        if stored is None or _location(stored) != _location(desired):
            return False
        if stored.confirmed_era < desired.confirmed_era:
            return False
        if stored.lost_configuration < desired.lost_configuration:
            return False
        if stored.rejection_limits != desired.rejection_limits:
            return False
        return _content_identities(stored.contained) == _content_identities(desired.contained)

    async def _write(self, desired: GatewayEntry) -> bool:
        """Write the entry; True when the store turned out to hold another one than was known."""
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
        """Set the base of the next write to the state of the entry that the error reports.

        The entry may exist already, may have changed, or may have been deleted.
        """
        if error.problem is StoreProblem.CONFLICT:
            return await self._adopt_current(error.current)
        if error.problem is StoreProblem.NOT_FOUND:
            self._mark_lost()
        else:
            self._interval_seconds = min(self._interval_seconds * 2, MAX_BACK_OFF_SECONDS)
        return False

    def _mark_lost(self) -> None:
        """Note that the store doesn't hold the entry, so that the next check creates it."""
        self._stored, self._written_position = None, None
        self._is_lost = True

    async def _adopt_current(self, current: StoredObject | None) -> bool:
        """Set the base of the next write to the stored entry.

        It is read when the reply to the conflicting write doesn't include it.
        """
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
    """The entry with the gateway's location only, without what the gateway found."""
    return GatewayEntry(entry.address, entry.zone, entry.feed, entry.link_megabits)


def _content_identities(requests: list[ContainedRequest]) -> set[str]:
    return {request.content for request in requests}
