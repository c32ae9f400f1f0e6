"""Reads and writes the records of where streams began; one object for the readers of each zone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.resumption.origin_record import RecordedOrigins
from milletcourse.exchange.resumption.stream_origins import StreamOrigin
from milletcourse.gateway.state.stream_resumption import StreamResumption
from milletcourse.gateway.store.object_store import ObjectStoreClient, StoredObject, StoreError
from milletcourse.gateway.store.object_writer import ObjectWriter, WriteOutcome
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.runtime.decode_errors import DECODE_ERRORS

WRITE_INTERVAL_SECONDS = 0.25
"""Streams that began this recently are lost when all gateways end at once."""
MAX_BACK_OFF_SECONDS = 4.0
"""While the store fails, the time between two attempts doubles up to this."""
UNNAMED_ZONE = "unnamed"


class OriginStore:
    """Writes the streams that this gateway records, and restores those of all after a start."""

    def __init__(
        self,
        store: ObjectStoreClient,
        kind: str,
        zone: str,
        resumption: StreamResumption,
        now: Callable[[], float],
        log: EventLog,
    ) -> None:
        """Create a store that has read nothing yet.

        Args:
            store: The object store.
            kind: Kind of the records.
            zone: Zone of this gateway; empty when it isn't known.
            resumption: Streams that clients may resume.
            now: Monotonic time.
            log: Gets a line for a malformed record, and for what is restored.
        """
        self._store = store
        self._kind = kind
        self._name = zone or UNNAMED_ZONE
        self._resumption = resumption
        self._now = now
        self._log = log
        self._writer = ObjectWriter(store, kind, self._name)
        self._interval_seconds = WRITE_INTERVAL_SECONDS

    # -- reading --------------------------------------------------------------------------------

    async def restore(self) -> None:
        """Read all records once, repeatedly until the store answers."""
        back_off = WRITE_INTERVAL_SECONDS
        while True:
            try:
                records, _, _ = await self._store.list_all(self._kind)
                break
            except StoreError:
                await asyncio.sleep(back_off)
                back_off = min(back_off * 2, MAX_BACK_OFF_SECONDS)
        count = 0
        for stored in records:
            count += self._adopt(stored)
        self._resumption.end_restore()
        self._log.emit("origins-restored", records=len(records), count=count)

    def _adopt(self, stored: StoredObject) -> int:
        """Take the origins of a record; the number of its streams."""
        is_own = stored.name == self._name
        if is_own:
            self._writer.stored = stored
        origins = self._decode(stored)
        for key, origin in origins:
            self._resumption.on_restored(key, origin, is_recorded_here=is_own)
        return len(origins)

    def _decode(self, stored: StoredObject) -> list[tuple[int, StreamOrigin]]:
        try:
            recorded = msgspec.json.decode(stored.spec, type=RecordedOrigins)
            return list(recorded.origins(self._now()))
        except DECODE_ERRORS as error:
            self._log.emit("object-malformed", name=stored.name, error=str(error)[:200])
            return []

    # -- writing --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Keep the record of this zone up to date until cancelled."""
        while True:
            await asyncio.sleep(self._interval_seconds)
            desired = self._resumption.origin_record.to_write(self._now())
            if desired is not None:
                await self._write(msgspec.json.encode(desired))

    async def _write(self, spec: bytes) -> None:
        """Write the record; what another gateway of the zone has written is merged first."""
        outcome = await self._writer.write(spec)
        if outcome is WriteOutcome.WRITTEN:
            self._interval_seconds = WRITE_INTERVAL_SECONDS
            return
        self._resumption.origin_record.on_not_written()
        if outcome is WriteOutcome.CHANGED and self._writer.stored is not None:
            self._adopt(self._writer.stored)
        elif outcome is WriteOutcome.UNAVAILABLE:
            self._interval_seconds = min(self._interval_seconds * 2, MAX_BACK_OFF_SECONDS)
