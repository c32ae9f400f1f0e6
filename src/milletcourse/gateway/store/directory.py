"""The list of gateways, which each of them enters itself into; kept in the object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.messages.peer_messages import CrashReport, ReportedCrash
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.reading.store_reading import GatewayRecord
from milletcourse.gateway.store.kind_mirror import IgnoringSink
from milletcourse.gateway.store.object_store import UNREADABLE, ObjectChange, StoredObject
from milletcourse.gateway.telling.event_log import EventLog
from milletcourse.runtime.addresses import split_address
from milletcourse.runtime.clock import elapsed_seconds

MAX_IDENTITY = 2**64 - 1
MAX_GATEWAYS = 512
"""Further ones are neither told nor followed."""
KEPT_SECONDS = 5.0
"""Gateways that are missing in an older copy of the list are kept this long: those that live write
their entries again within two seconds, and what all share is divided by their number."""


class ContainedRequest(msgspec.Struct, frozen=True):
    """A request that isn't sent to servers, as it stands in the object store.

    Attributes:
        content: Identity of its content as text: numbers in JSON lose digits beyond 53 bits.
        ends: Servers that ended under it, with ages as of `GatewayEntry.contained_at`.
    """

    content: str
    ends: list[ReportedCrash]

    @classmethod
    def of(cls, report: CrashReport) -> ContainedRequest:
        """The stored form of a report."""
        return cls(identity_text(report.identity), report.crashes)

    def report(self) -> CrashReport:
        """The report; raises `ValueError` when the identity is none."""
        identity = int(self.content, 16)
        if not 0 <= identity <= MAX_IDENTITY:
            raise ValueError("no identity of a request")
        return CrashReport(identity, self.ends)


class GatewayEntry(msgspec.Struct, frozen=True):
    """A gateway in the object store.

    Attributes:
        address: `host:port` that takes datagrams.
        zone: Zone of its machine.
        feed: `host:port` that tells what the store holds.
        link_megabits: Bandwidth of its machine's link in Mbit/s.
        contained: Requests that aren't sent to servers, as it found: they outlast the end of all
            gateways only here.
        contained_at: Wall-clock seconds at which `contained` was so.
        confirmed_era: Latest era of the store that this gateway was the first to find confirmed: a
            gateway that starts after the end of all others goes by it.
        lost_configuration: Version of a configuration that was in force, and that the store had
            lost when this was written; 0 for none.
    """

    address: str
    zone: str = ""
    feed: str = ""
    link_megabits: float = 0.0
    contained: list[ContainedRequest] = []
    contained_at: float = 0.0
    confirmed_era: int = UNKNOWN_ERA
    lost_configuration: int = 0


class GatewayDirectory(IgnoringSink):
    """Follows the list; the known gateways stay known while the store is away.

    Attributes:
        is_listed: Set when the list is known, which may be some seconds old at first.
        own_entry: What the list says of this gateway: of an earlier process, right after a start.
        own_place: Its latest change, None without one.
    """

    def __init__(
        self,
        own_name: str,
        log: EventLog,
        on_entry: Callable[[GatewayEntry, bool], None] | None = None,
        now: Callable[[], float] = elapsed_seconds,
    ) -> None:
        """No gateway known yet.

        Args:
            own_name: Name of this gateway.
            log: For entries that can't be understood.
            on_entry: Told of each entry, and whether it is this gateway's own.
            now: Monotonic time.
        """
        self._now = now
        self._on_entry = on_entry
        self._own_name = own_name
        self._log = log
        self.is_listed = asyncio.Event()
        self.own_entry: GatewayEntry | None = None
        self.own_place: StorePosition | None = None
        self._others: dict[str, GatewayRecord] = {}
        self._missing: dict[str, GatewayRecord] = {}
        self._confirmed_eras: dict[str, int] = {}
        self._kept_until = float("-inf")
        self._listeners: list[Callable[[list[GatewayRecord]], None]] = []

    @property
    def confirmed_era(self) -> int:
        """Latest era of the store that some entry says to be confirmed."""
        return max(self._confirmed_eras.values(), default=UNKNOWN_ERA)

    def add_listener(self, listener: Callable[[list[GatewayRecord]], None]) -> None:
        """Call this with the other gateways whenever the list changes."""
        self._listeners.append(listener)

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""
        before = self._others
        self._others = {}
        self._confirmed_eras = {}
        self.own_entry, self.own_place = None, None
        for stored in objects:
            self._note(stored)
        for name, record in before.items():
            if name not in self._others:
                self._miss(record)
        self._tell()
        self.is_listed.set()

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""
        if not changes:
            return
        for change in changes:
            if change.gone:
                self._drop(change.stored.name)
            else:
                self._note(change.stored)
        self._tell()

    def on_era(self, place: StorePosition, before: StorePosition | None) -> None:
        """See `KindSink`: what the store lost isn't gone yet."""
        if before is not None:
            self._kept_until = self._now() + KEPT_SECONDS

    def expire_missing(self, now: float) -> None:
        """Drop gateways that did not write their entries again."""
        if self._missing and now >= self._kept_until:
            self._missing.clear()
            self._tell()

    def _drop(self, name: str) -> None:
        self._confirmed_eras.pop(name, None)
        if name == self._own_name:
            self.own_entry, self.own_place = None, None
        record = self._others.pop(name, None)
        if record is not None:
            self._miss(record)

    def _miss(self, record: GatewayRecord) -> None:
        if self._now() < self._kept_until:
            self._missing[record.name] = record

    def _tell(self) -> None:
        others = [*self._others.values(), *self._missing.values()]
        for listener in self._listeners:
            listener(others)

    def _note(self, stored: StoredObject) -> None:
        entry = decode_entry(stored.spec)
        self._others.pop(stored.name, None)
        self._confirmed_eras.pop(stored.name, None)
        self._missing.pop(stored.name, None)
        if entry is not None and self._on_entry is not None:
            self._on_entry(entry, stored.name == self._own_name)
        if entry is not None and entry.confirmed_era > UNKNOWN_ERA:
            self._confirmed_eras[stored.name] = entry.confirmed_era
        if stored.name == self._own_name:
            self.own_entry, self.own_place = entry, stored.place
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
    """Understand an entry; None when it is none."""
    try:
        entry = msgspec.json.decode(spec, type=GatewayEntry)
        split_address(entry.address)
        if entry.feed:
            split_address(entry.feed)
    except UNREADABLE:
        return None
    return entry
