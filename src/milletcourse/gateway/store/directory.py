"""The list of gateways in the object store, in which each gateway writes its own entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.peer_messages import CrashReport, FeatureKind, ReportedCrash
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.replication.reader_selection import GatewayRecord
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.object_store import ObjectChange, StoredObject
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.runtime.addresses import split_address
from milletcourse.runtime.clock import elapsed_seconds
from milletcourse.runtime.decode_errors import DECODE_ERRORS

MAX_IDENTITY = 2**64 - 1
MAX_GATEWAYS = 512
"""Further gateways are neither reported to listeners nor followed."""
MISSING_ENTRY_RETENTION_SECONDS = 5.0
"""Gateways that are missing after the store was restored from an older snapshot are kept this long:
running ones write their entries again within two seconds, and shared limits are divided by the
number of gateways."""


class ContainedRequest(msgspec.Struct, frozen=True):
    """A feature whose requests crash servers and aren't sent to them, as in the object store.

    Attributes:
        content: Its identity as text, since JSON numbers lose digits beyond 53 bits.
        ends: Servers that crashed under it, with ages as of `GatewayEntry.contained_at`.
        kind: What the feature is.
    """

    content: str
    ends: list[ReportedCrash]
    kind: FeatureKind = FeatureKind.CONTENT

    @classmethod
    def from_report(cls, report: CrashReport) -> ContainedRequest:
        """The stored form of a report."""
        return cls(identity_text(report.identity), report.crashes, report.kind)

    def to_report(self) -> CrashReport:
        """The report; raises `ValueError` when the identity is malformed."""
        identity = int(self.content, 16)
        if not 0 <= identity <= MAX_IDENTITY:
            raise ValueError("request identity is out of range")
        return CrashReport(identity, self.ends, kind=self.kind)


class GatewayEntry(msgspec.Struct, frozen=True):
    """A gateway in the object store.

    Attributes:
        address: `host:port` that receives datagrams.
        zone: Zone of its machine.
        feed: `host:port` that serves the contents of the store to followers.
        link_megabits: Bandwidth of its machine's link in Mbit/s.
        contained: Requests that it found to crash servers, and that aren't sent to them. Only this
            entry outlasts a restart of all gateways.
        contained_at: Wall-clock seconds at which `contained` was written.
        confirmed_era: Latest era of the store that this gateway was the first to find confirmed;
            used by a gateway that starts after all others have stopped.
        lost_configuration: Version of a configuration that was in force, and that the store had
            lost when this entry was written; 0 for none.
        rejection_limits: Rejections per second that the servers of a service bear, by service; used
            by a gateway that has just started and got no answer of a server yet.
    """

    address: str
    zone: str = ""
    feed: str = ""
    link_megabits: float = 0.0
    contained: list[ContainedRequest] = []
    contained_at: float = 0.0
    confirmed_era: int = UNKNOWN_ERA
    lost_configuration: int = 0
    rejection_limits: dict[str, float] = {}


class GatewayDirectory(NoOpEventHandler):
    """Tracks the list; the known gateways stay known while the store is unavailable.

    Attributes:
        is_listed: Set once the list is known; the first list may be some seconds old.
        own_entry: This gateway's entry in the list; at first, that of an earlier process.
        own_position: Position of its latest change, None without an entry.
        was_registered: The first list had an entry of an earlier process of this gateway.
    """

    def __init__(
        self,
        own_name: str,
        log: EventLog,
        on_entry: Callable[[GatewayEntry, bool], None] | None = None,
        now: Callable[[], float] = elapsed_seconds,
    ) -> None:
        """Create an empty directory.

        Args:
            own_name: Name of this gateway.
            log: Gets a line for each malformed entry.
            on_entry: Called with each entry, and whether it is this gateway's own.
            now: Returns monotonic time in seconds.
        """
        self._now = now
        self._on_entry = on_entry
        self._own_name = own_name
        self._log = log
        self.is_listed = asyncio.Event()
        self.own_entry: GatewayEntry | None = None
        self.own_position: StorePosition | None = None
        self.was_registered = False
        self._others: dict[str, GatewayRecord] = {}
        self._missing: dict[str, GatewayRecord] = {}
        self._confirmed_eras: dict[str, int] = {}
        self._retained_until = float("-inf")
        self._listeners: list[Callable[[list[GatewayRecord]], None]] = []

    @property
    def confirmed_era(self) -> int:
        """Latest confirmed era of the store in any entry."""
        return max(self._confirmed_eras.values(), default=UNKNOWN_ERA)

    def add_listener(self, listener: Callable[[list[GatewayRecord]], None]) -> None:
        """Add a function that is called with the other gateways whenever the list changes."""
        self._listeners.append(listener)

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindEventHandler`."""
        before = self._others
        self._others = {}
        self._confirmed_eras = {}
        self.own_entry, self.own_position = None, None
        for stored in objects:
            self._apply_entry(stored)
        if not self.is_listed.is_set():
            self.was_registered = self.own_entry is not None
        for name, record in before.items():
            if name not in self._others:
                self._retain(record)
        self._notify()
        self.is_listed.set()

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindEventHandler`."""
        if not changes:
            return
        for change in changes:
            if change.deleted:
                self._remove(change.stored.name)
            else:
                self._apply_entry(change.stored)
        self._notify()

    def on_new_era(self, position: StorePosition, before: StorePosition | None) -> None:
        """See `KindEventHandler`: gateways whose entries the store lost may still be running."""
        if before is not None:
            self._retained_until = self._now() + MISSING_ENTRY_RETENTION_SECONDS

    def expire_missing(self, now: float) -> None:
        """Remove gateways that haven't written their entries again in time."""
        if self._missing and now >= self._retained_until:
            self._missing.clear()
            self._notify()

    def _remove(self, name: str) -> None:
        self._confirmed_eras.pop(name, None)
        if name == self._own_name:
            self.own_entry, self.own_position = None, None
        record = self._others.pop(name, None)
        if record is not None:
            self._retain(record)

    def _retain(self, record: GatewayRecord) -> None:
        if self._now() < self._retained_until:
            self._missing[record.name] = record

    def _notify(self) -> None:
        others = [*self._others.values(), *self._missing.values()]
        for listener in self._listeners:
            listener(others)

    def _apply_entry(self, stored: StoredObject) -> None:
        entry = decode_entry(stored.spec)
        self._others.pop(stored.name, None)
        self._confirmed_eras.pop(stored.name, None)
        self._missing.pop(stored.name, None)
        if entry is not None and self._on_entry is not None:
            self._on_entry(entry, stored.name == self._own_name)
        if entry is not None and entry.confirmed_era > UNKNOWN_ERA:
            self._confirmed_eras[stored.name] = entry.confirmed_era
        if stored.name == self._own_name:
            self.own_entry, self.own_position = entry, stored.position
            return
        if len(self._others) >= MAX_GATEWAYS:
            return
        if entry is None:
            self._log.emit("object-malformed", name=stored.name)
            return
        self._others[stored.name] = GatewayRecord(
            stored.name, entry.zone, entry.address, entry.feed, entry.link_megabits
        )


def decode_entry(spec: bytes) -> GatewayEntry | None:
    """Decode an entry; None when it is malformed."""
    try:
        entry = msgspec.json.decode(spec, type=GatewayEntry)
        split_address(entry.address)
        if entry.feed:
            split_address(entry.feed)
    except DECODE_ERRORS:
        return None
    return entry
