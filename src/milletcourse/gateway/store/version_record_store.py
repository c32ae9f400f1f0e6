"""Keeps the record of software versions in the store up to date; one object for all gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec

from milletcourse.exchange.resumption.version_record import StoredVersions, VersionRecord
from milletcourse.gateway.store.object_store import (
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.resumption_recorder import ResumptionRecorder
from milletcourse.runtime.json_members import DECODE_ERRORS

RECORD_NAME = "software-versions"
"""Name of the object, among the objects of the gateways' kind."""
CHECK_INTERVAL_SECONDS = 1.0
"""Longest time between two comparisons of the record with the versions that have been seen."""
MIN_CHECK_INTERVAL_SHARE = 0.5
"""Shortest interval, as a share of the longest; it is random, so that not all gateways write."""
MAX_BACK_OFF_SECONDS = 4.0
"""While the store fails, the time between two attempts doubles up to this."""


class VersionRecordStore:
    """Reads and writes the record; writers are ordered by compare-and-set.

    Attributes:
        on_read: Called once the record is known as it was after this gateway started.
    """

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        record: VersionRecord,
        now: Callable[[], float],
        random_source: random.Random,
        log: EventLog,
        recorder: ResumptionRecorder,
    ) -> None:
        """Create a store that has read nothing yet.

        Args:
            store: The object store.
            kind: Kind of the gateways' objects.
            record: What this gateway knows of the record.
            now: Monotonic time.
            random_source: Spreads the checks.
            log: Gets a line for a malformed record.
            recorder: Notified of an incomplete record.
        """
        self._store = store
        self._kind = kind
        self._record = record
        self._now = now
        self._random = random_source
        self._log = log
        self._recorder = recorder
        self.on_read: Callable[[], None] = lambda: None
        self._object: StoredObject | None = None
        self._changed = asyncio.Event()
        self._interval_seconds = CHECK_INTERVAL_SECONDS

    # -- reading --------------------------------------------------------------------------------

    def on_era(self, era: int) -> None:
        """The store was found in another era."""
        self._record.on_era(era)

    def on_object(self, found: StoredObject | None) -> None:
        """The object was listed, changed or written; None when there is none."""
        self._object = found
        self._record.on_stored(self._decode(found), self._now())

    def on_caught_up(self, has_run_before: bool) -> None:
        """The object is known as it was after this gateway started."""
        if not self._record.on_caught_up(has_run_before, self._now()):
            self._recorder.version_record_incomplete()
        self._changed.set()
        self.on_read()

    def _decode(self, found: StoredObject | None) -> StoredVersions | None:
        if found is None:
            return None
        try:
            return msgspec.json.decode(found.spec, type=StoredVersions)
        except DECODE_ERRORS as error:
            self._log.emit("object-malformed", name=found.name, error=str(error)[:200])
            return None

    # -- writing --------------------------------------------------------------------------------

    def write_soon(self) -> None:
        """Compare without delay, since all gateways may end at any moment."""
        if self._interval_seconds == CHECK_INTERVAL_SECONDS:
            self._changed.set()

    async def run(self) -> None:
        """Keep the record up to date until cancelled."""
        while True:
            await self._wait()
            desired = self._record.to_write(self._now())
            if desired is not None:
                await self._write(desired)

    async def _wait(self) -> None:
        share = MIN_CHECK_INTERVAL_SHARE + (1.0 - MIN_CHECK_INTERVAL_SHARE) * self._random.random()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), self._interval_seconds * share)
        self._changed.clear()

    async def _write(self, desired: StoredVersions) -> None:
        spec = msgspec.json.encode(desired)
        base = self._object
        try:
            if base is None:
                written, _ = await self._store.create(self._kind, RECORD_NAME, spec)
            else:
                written, _ = await self._store.replace(self._kind, RECORD_NAME, spec, base.position)
        except StoreError as error:
            await self._on_store_error(error)
            return
        self._interval_seconds = CHECK_INTERVAL_SECONDS
        self._adopt(written)

    async def _on_store_error(self, error: StoreError) -> None:
        """Continue from the stored object after a conflict, and back off otherwise."""
        current = error.current
        if error.problem is StoreProblem.CONFLICT and current is None:
            try:
                current, _ = await self._store.get(self._kind, RECORD_NAME)
            except StoreError as second:
                error = second
        if current is not None:
            self._adopt(current)
        elif error.problem is StoreProblem.NOT_FOUND:
            self.on_object(None)
        else:
            self._interval_seconds = min(self._interval_seconds * 2, MAX_BACK_OFF_SECONDS)
            return
        self._changed.set()

    def _adopt(self, stored: StoredObject) -> None:
        """Take an object that a call returned, unless a later one has been read meanwhile."""
        if self._object is None or stored.position > self._object.position:
            self.on_object(stored)
