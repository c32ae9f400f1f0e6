"""Keeps the record of software versions in the store up to date; one object for all gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

import msgspec

from milletcourse.exchange.resumption.version_record import StoredVersions, VersionRecord
from milletcourse.gateway.store.object_store import ObjectStoreClient, StoredObject
from milletcourse.gateway.store.object_writer import ObjectWriter, WriteOutcome
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.resumption_recorder import ResumptionRecorder
from milletcourse.runtime.decode_errors import DECODE_ERRORS

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
        self._writer = ObjectWriter(store, kind, RECORD_NAME)
        self._record = record
        self._now = now
        self._random = random_source
        self._log = log
        self._recorder = recorder
        self.on_read: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()
        self._interval_seconds = CHECK_INTERVAL_SECONDS

    # -- reading --------------------------------------------------------------------------------

    def on_era(self, era: int) -> None:
        """The store was found in another era."""
        self._record.on_era(era)

    def on_object(self, found: StoredObject | None) -> None:
        """The object was listed, changed or written; None when there is none."""
        self._writer.stored = found
        self._on_stored()

    def _on_stored(self) -> None:
        self._record.on_stored(self._decode(self._writer.stored), self._now())

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
        """Write the record, and continue from the stored one."""
        outcome = await self._writer.write(msgspec.json.encode(desired))
        if outcome is WriteOutcome.UNAVAILABLE:
            self._interval_seconds = min(self._interval_seconds * 2, MAX_BACK_OFF_SECONDS)
            return
        self._on_stored()
        if outcome is WriteOutcome.WRITTEN:
            self._interval_seconds = CHECK_INTERVAL_SECONDS
        else:
            self._changed.set()
