"""The list of gateways, which each of them enters itself into; kept in the object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import msgspec

from milletcourse.exchange.store_reading import GatewayRecord
from milletcourse.gateway.event_log import EventLog
from milletcourse.gateway.object_store import (
    ObjectChange,
    ObjectStoreClient,
    StoredObject,
    StoreError,
    StoreProblem,
)

REGISTER_RETRY_SECONDS = 1.0
"""Until a gateway is listed it only serves alone, so a refused entry may wait a second."""
LIST_WAIT_SECONDS = 0.5
"""The list is waited for this long, to see whether the entry of an earlier process stands."""
MAX_GATEWAYS = 512
"""Further ones are neither told nor followed."""


class GatewayEntry(msgspec.Struct, frozen=True):
    """A gateway in the object store.

    Attributes:
        address: `host:port` that takes datagrams.
        zone: Zone of its machine.
        feed: `host:port` that tells what the store holds.
        link_megabits: Bandwidth of its machine's link in Mbit/s.
    """

    address: str
    zone: str = ""
    feed: str = ""
    link_megabits: float = 0.0


class GatewayDirectory:
    """Follows the list; a `KindSink`.

    Attributes:
        is_listed: Set when the list is known, which may be some seconds old at first.
        own_entry: What the list says of this gateway: of an earlier process, right after a start.
    """

    def __init__(self, own_name: str, log: EventLog) -> None:
        self._own_name = own_name
        self._log = log
        self.is_listed = asyncio.Event()
        self.own_entry: GatewayEntry | None = None
        self._others: dict[str, GatewayRecord] = {}
        self._listeners: list[Callable[[list[GatewayRecord]], None]] = []

    def add_listener(self, listener: Callable[[list[GatewayRecord]], None]) -> None:
        """Call this with the other gateways whenever the list changes."""
        self._listeners.append(listener)

    def on_list(self, objects: list[StoredObject], sent_at: float) -> None:
        """See `KindSink`."""
        self._others.clear()
        for stored in objects:
            self._note(stored)
        self._tell()
        self.is_listed.set()

    def on_changes(self, changes: tuple[ObjectChange, ...], sent_at: float) -> None:
        """See `KindSink`."""
        if not changes:
            return
        for change in changes:
            if change.gone:
                self._others.pop(change.stored.name, None)
            else:
                self._note(change.stored)
        self._tell()

    def on_unavailable(self) -> None:
        """See `KindSink`: the known gateways stay known."""

    def _tell(self) -> None:
        others = list(self._others.values())
        for listener in self._listeners:
            listener(others)

    def _note(self, stored: StoredObject) -> None:
        entry = _decode_entry(stored.spec)
        if stored.name == self._own_name:
            self.own_entry = entry
            return
        if len(self._others) >= MAX_GATEWAYS:
            return
        if entry is None or not entry.address.rpartition(":")[2].isdigit():
            self._log.emit("object-malformed", name=stored.name)
            return
        self._others[stored.name] = GatewayRecord(
            stored.name, entry.zone, entry.address, entry.feed, entry.link_megabits
        )


def _decode_entry(spec: bytes) -> GatewayEntry | None:
    """Understand an entry; None when it is none."""
    try:
        return msgspec.json.decode(spec, type=GatewayEntry)
    except msgspec.MsgspecError:
        return None


async def register(
    store: ObjectStoreClient, kind: str, name: str, entry: GatewayEntry, directory: GatewayDirectory
) -> None:
    """Enter a gateway into the list, once the store takes it.

    The entry of an earlier process is mostly the same, and needs no call then.
    """
    with suppress(TimeoutError):
        # Without the list the entry is written: that costs one call at most.
        await asyncio.wait_for(directory.is_listed.wait(), LIST_WAIT_SECONDS)
    if directory.own_entry == entry:
        return
    spec = msgspec.json.encode(entry)
    while True:
        try:
            await store.create(kind, name, spec)
            return
        except StoreError as error:
            current = error.current if error.problem is StoreProblem.CONFLICT else None
            if current is not None and await _correct(store, kind, current, entry):
                return
        await asyncio.sleep(REGISTER_RETRY_SECONDS)


async def _correct(
    store: ObjectStoreClient, kind: str, current: StoredObject, entry: GatewayEntry
) -> bool:
    """The entry of an earlier process is there: keep it when it is the same."""
    if _decode_entry(current.spec) == entry:
        return True
    try:
        await store.replace(kind, current.name, msgspec.json.encode(entry), current.revision)
    except StoreError:
        return False
    return True
