"""Paths and formats of the platform's metadata store."""

from __future__ import annotations

import re
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.gateway.servers.call_client import Call, Reply
from milletcourse.gateway.store.object_store import (
    ObjectChange,
    ObjectChanges,
    ObjectPage,
    StoredObject,
    StoreError,
    StoreProblem,
)
from milletcourse.platform.names import OBJECTS_PATH, STORE_ERA_HEADER
from milletcourse.runtime.decode_errors import DECODE_ERRORS
from milletcourse.runtime.json_members import decode_document, is_readable

_PROBLEMS = {
    404: StoreProblem.NOT_FOUND,
    409: StoreProblem.CONFLICT,
    410: StoreProblem.HISTORY_LOST,
}


UNREADABLE_SPEC = b"null"
"""Takes the place of a content that not all gateways can decode: it names nothing usable, and can
be passed on to them."""
_ERA = re.compile(rb"[0-9]{1,15}")


class _Metadata(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, frozen=True, rename="pascal"):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, frozen=True):
    items: list[msgspec.Raw]
    at: int = msgspec.field(name="At")
    more: bool = msgspec.field(name="More", default=False)


class _Event(msgspec.Struct, frozen=True, rename="pascal"):
    object: msgspec.Raw
    gone: bool = False


class _Changes(msgspec.Struct, frozen=True, rename="pascal"):
    at: int
    events: list[msgspec.Raw] = []


_Document = TypeVar("_Document", bound=msgspec.Struct)


class PlatformStoreDialect:
    """Implements `StoreDialect`."""

    def read_era(self, reply: Reply) -> int:
        """See `StoreDialect`."""
        return _read_era(reply)

    def list_call(self, kind: str, after: str, stale: bool) -> Call:
        """See `StoreDialect`."""
        parameters = []
        if after:
            parameters.append(f"after={quote(after, safe='')}")
        if stale:
            parameters.append("Stale=1")
        query = "?" + "&".join(parameters) if parameters else ""
        return Call("GET", f"{OBJECTS_PATH}/{kind}{query}")

    def read_page(self, reply: Reply) -> ObjectPage:
        """See `StoreDialect`."""
        page = _decode(reply, _Page)
        era = _read_era(reply)
        found = [_decode_listed_object(item, era) for item in page.items]
        objects = tuple(stored for stored in found if stored is not None)
        position = StorePosition(era, page.at)
        return ObjectPage(objects, position, page.more, len(found) - len(objects))

    def watch_call(self, kind: str, position: StorePosition, wait_seconds: float) -> Call:
        """See `StoreDialect`."""
        wait = int(wait_seconds * 1000)
        return Call("GET", f"{OBJECTS_PATH}/{kind}?Watch={position.revision}&WaitMs={wait}")

    def read_changes(self, reply: Reply) -> ObjectChanges:
        """See `StoreDialect`."""
        changes = _decode(reply, _Changes)
        era = _read_era(reply)
        found = [_decode_change(event, era) for event in changes.events]
        readable = tuple(change for change in found if change is not None)
        position = StorePosition(era, changes.at)
        return ObjectChanges(readable, position, len(found) - len(readable))

    def get_call(self, kind: str, name: str) -> Call:
        """See `StoreDialect`."""
        return Call("GET", f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}")

    def create_call(self, kind: str, name: str, spec: bytes) -> Call:
        """See `StoreDialect`."""
        body = _body({"Name": name}, spec)
        return Call("POST", f"{OBJECTS_PATH}/{kind}", body)

    def replace_call(self, kind: str, name: str, spec: bytes, position: StorePosition) -> Call:
        """See `StoreDialect`."""
        body = _body({"Name": name, "Revision": position.revision}, spec)
        return Call("PUT", f"{OBJECTS_PATH}/{kind}/{quote(name, safe='')}", body)

    def read_object(self, reply: Reply) -> StoredObject:
        """See `StoreDialect`."""
        return _stored(_decode(reply, _Object), _read_era(reply))


def _body(metadata: dict[str, Any], spec: bytes) -> bytes:
    return msgspec.json.encode({"Metadata": metadata, "Spec": msgspec.Raw(spec)})


def _stored(document: _Object, era: int) -> StoredObject:
    position = StorePosition(era, document.metadata.revision)
    spec = bytes(document.spec)
    return StoredObject(
        document.metadata.name, position, spec if is_readable(spec) else UNREADABLE_SPEC
    )


def _decode_listed_object(item: msgspec.Raw, era: int) -> StoredObject | None:
    """An object of a list; None when it has no name, so that the others are still used."""
    try:
        return _stored(decode_document(item, _Object), era)
    except DECODE_ERRORS:
        return None


def _decode_change(item: msgspec.Raw, era: int) -> ObjectChange | None:
    try:
        event = decode_document(item, _Event)
    except DECODE_ERRORS:
        return None
    stored = _decode_listed_object(event.object, era)
    return ObjectChange(stored, event.gone) if stored is not None else None


def _read_era(reply: Reply) -> int:
    fields = reply.head.fields if reply.head is not None else []
    values = [field.value for field in fields if field.name.lower() == STORE_ERA_HEADER]
    if not values:
        return UNKNOWN_ERA
    if len(values) > 1 or not _ERA.fullmatch(values[0]):
        raise ValueError("store era is malformed or repeated")
    return int(values[0])


def _decode(reply: Reply, document_type: type[_Document]) -> _Document:
    if reply.status not in (200, 201):
        problem = _PROBLEMS.get(reply.status, StoreProblem.UNAVAILABLE)
        current = None
        if problem is StoreProblem.CONFLICT:
            current = _conflicting_object(reply.body, _read_era(reply))
        raise StoreError(problem, current)
    try:
        return decode_document(reply.body, document_type)
    except DECODE_ERRORS as error:
        raise StoreError(StoreProblem.UNAVAILABLE) from error


def _conflicting_object(body: bytes, era: int) -> StoredObject | None:
    try:
        return _stored(decode_document(body, _Object), era)
    except DECODE_ERRORS:
        return None
