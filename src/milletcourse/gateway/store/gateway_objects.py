"""Distributes the objects of the gateways' kind: their entries, and the record that they share."""

from __future__ import annotations

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.directory import GatewayDirectory
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.object_store import ObjectChange, StoredObject
from milletcourse.gateway.store.version_record_store import RECORD_NAME, VersionRecordStore


class GatewayObjectsEventHandler(NoOpEventHandler):
    """Passes entries to the directory and the record of software versions to its store."""

    def __init__(self, directory: GatewayDirectory, version_record: VersionRecordStore) -> None:
        self._directory = directory
        self._version_record = version_record

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""
        record = next((stored for stored in objects if stored.name == RECORD_NAME), None)
        self._version_record.on_object(record)
        self._directory.on_list([item for item in objects if item.name != RECORD_NAME], sent_at)

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""
        for change in changes:
            if change.stored.name == RECORD_NAME:
                self._version_record.on_object(None if change.deleted else change.stored)
        entries = tuple(item for item in changes if item.stored.name != RECORD_NAME)
        self._directory.on_changes(entries, sent_at)

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """See `KindEventHandler`."""
        self._version_record.on_era(position.era)
        self._directory.on_new_era(position, before)

    def on_caught_up(self) -> None:
        """See `KindEventHandler`."""
        self._version_record.on_caught_up(self._directory.was_registered)
