"""A gateway's own entry in the list of gateways, with a store that loses it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.directory import GatewayDirectory, GatewayEntry
from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.gateway.store.registration import Registration
from milletcourse.gateway.telemetry.event_log import EventLog

WAIT_SECONDS = 5.0
FIRST_ENTRY = GatewayEntry("127.0.0.1:1")
LATER_ENTRY = GatewayEntry("127.0.0.1:1", confirmed_era=1)


class LosingStore:
    """Holds one entry, and loses it on demand."""

    def __init__(self) -> None:
        self.era = 0
        self.entry: StoredObject | None = None

    async def create(self, kind: str, name: str, spec: bytes) -> tuple[StoredObject, float]:
        """Create the entry."""
        if self.entry is not None:
            raise StoreError(StoreProblem.CONFLICT, self.entry)
        self.entry = StoredObject(name, StorePosition(self.era, 1), spec)
        return self.entry, 0.0

    async def replace(
        self, kind: str, name: str, spec: bytes, position: StorePosition
    ) -> tuple[StoredObject, float]:
        """Replace the entry; a position of an era that has ended is a conflict in any case."""
        if position.era < self.era:
            raise StoreError(StoreProblem.CONFLICT)
        if self.entry is None:
            raise StoreError(StoreProblem.NOT_FOUND)
        self.entry = StoredObject(name, StorePosition(self.era, position.revision + 1), spec)
        return self.entry, 0.0

    async def get(self, kind: str, name: str) -> tuple[StoredObject, float]:
        """The stored entry."""
        if self.entry is None:
            raise StoreError(StoreProblem.NOT_FOUND)
        return self.entry, 0.0

    def restore_without(self) -> None:
        """Restore the store from a snapshot that is older than the entry."""
        self.era += 1
        self.entry = None


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("wanted_after", [FIRST_ENTRY, LATER_ENTRY])
def test_an_entry_that_changes_during_a_restore_is_written_again(
    wanted_after: GatewayEntry,
) -> None:
    """Guards against an entry that is taken as written although the store lost it.

    The read after the conflict found no entry, and the gateway never wrote it again.
    """

    async def scenario() -> None:
        store = LosingStore()
        wanted = [FIRST_ENTRY]
        listed: list[StorePosition | None] = [None]
        written_again: list[StorePosition] = []
        directory = GatewayDirectory("front-1", EventLog("front-1", None))
        directory.on_list([], 0.0)
        registration = Registration(
            cast(ObjectStoreClient, store),
            "gateways",
            "front-1",
            directory,
            lambda stored: wanted[0],
            lambda _: None,
            lambda: listed[0],
            random.Random(1),
            written_again.append,
        )
        task: asyncio.Task[Any] = asyncio.create_task(registration.run())
        await _until(lambda: store.entry is not None)
        store.restore_without()
        if wanted_after is FIRST_ENTRY:
            # Only the list shows the loss then.
            listed[0] = StorePosition(1, 1)
        wanted[0] = wanted_after
        registration.on_change()
        await _until(lambda: store.entry is not None and bool(written_again))
        task.cancel()

    asyncio.run(scenario())
