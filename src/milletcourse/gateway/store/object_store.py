"""The object-store port: objects by kind and name with revisions, lists, watches and
compare-and-set. A dialect knows one store's paths and formats; this client does the calls.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from milletcourse.gateway.servers.call_client import Call, CallClient, Reply

CALL_TIMEOUT_SECONDS = 1.0
PAGE_ATTEMPTS = 4
FIRST_PAGE_PAUSE_SECONDS = 0.05
"""Before a refused page is asked for again; doubled each time, with jitter."""
SERVER_ERROR_STATUS = 500
"""From this status on a reply says that the store did nothing."""
WATCH_MARGIN_SECONDS = 0.6
"""A watch that answers this much later than asked for is taken as hung."""


UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
"""What decoders raise for content that another writer may have put into the store."""


class StoredObject(msgspec.Struct, frozen=True):
    """One object.

    Attributes:
        name: Unique within its kind.
        revision: Revision of its last change.
        spec: Its content as JSON.
    """

    name: str
    revision: int
    spec: bytes


class ObjectPage(msgspec.Struct, frozen=True):
    """A page of a list at a revision of the store.

    Attributes:
        objects: Those that can be told apart.
        revision: Revision of the store.
        more: Further pages follow.
        unreadable: Objects that can't: without a name or a revision.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    more: bool
    unreadable: int = 0


class ObjectChange(msgspec.Struct, frozen=True):
    """An object that changed or went."""

    stored: StoredObject
    gone: bool


class ObjectChanges(msgspec.Struct, frozen=True):
    """Changes up to a revision.

    Attributes:
        changes: Those whose object can be told apart.
        revision: Revision of the store.
        unreadable: Changes whose object can't.
    """

    changes: tuple[ObjectChange, ...]
    revision: int
    unreadable: int = 0


class StoreProblem(Enum):
    """Why a call gave nothing."""

    UNAVAILABLE = "unavailable"
    HISTORY_GONE = "history-gone"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"


class StoreError(Exception):
    """A call to the store that did not succeed.

    Attributes:
        problem: What went wrong.
        current: The object as it is, after a conflict that shows it.
    """

    def __init__(self, problem: StoreProblem, current: StoredObject | None = None) -> None:
        super().__init__(problem.value)
        self.problem = problem
        self.current = current


class StoreDialect(Protocol):
    """Paths and formats of one store; every reader raises `StoreError` for a failed reply."""

    def read_era(self, reply: Reply) -> int:
        """The era of any reply, also of a refusal; `UNKNOWN_ERA` when it isn't told.

        Raises `ValueError` when it can't be understood.
        """

    def list_call(self, kind: str, after: str, stale: bool) -> Call:
        """A page of a kind's objects behind a name; empty for the first page.

        A stale page may be seconds old, is cheap, and isn't counted against the store's rate.
        """

    def read_page(self, reply: Reply) -> ObjectPage:
        """Understand a page."""

    def watch_call(self, kind: str, revision: int, wait_seconds: float) -> Call:
        """Changes of a kind after a revision; waits for one."""

    def read_changes(self, reply: Reply) -> ObjectChanges:
        """Understand changes."""

    def get_call(self, kind: str, name: str) -> Call:
        """One object."""

    def create_call(self, kind: str, name: str, spec: bytes) -> Call:
        """Make an object that isn't there."""

    def replace_call(self, kind: str, name: str, spec: bytes, revision: int) -> Call:
        """Replace an object that is at a revision."""

    def read_object(self, reply: Reply) -> StoredObject:
        """Understand one object."""


OnCall = Callable[[str, bool], None]
"""Told of each call: the kind of its objects, and whether the store did it."""
OnUnreadable = Callable[[str, int], None]
"""Told of objects without a name or a revision: their kind, and how many."""


class EraListener(Protocol):
    """Told what answers say of the store's history."""

    def era(self, before: int | None, era: int) -> None:
        """A later era than before; None before the first answer."""

    def era_unreadable(self) -> None:
        """An answer's era can't be understood."""


class ObjectStoreClient:
    """Calls one store."""

    def __init__(
        self,
        address: str,
        dialect: StoreDialect,
        calls: CallClient,
        random_source: random.Random,
        on_call: OnCall,
        on_unreadable: OnUnreadable = lambda kind, count: None,
        era_listener: EraListener | None = None,
    ) -> None:
        self._address = address
        self._random = random_source
        self._dialect = dialect
        self._calls = calls
        self._on_call = on_call
        self._on_unreadable = on_unreadable
        self._era_listener = era_listener
        self._era: int | None = None

    async def list_all(
        self, kind: str, stale: bool = False
    ) -> tuple[list[StoredObject], int, float]:
        """All objects of a kind: (objects, revision to watch from, time of the first call).

        The revision is the lowest of all pages, so that changes between pages are seen again. A
        page that the store refuses is asked for again, since beginning anew would add to its load.
        """
        objects: list[StoredObject] = []
        after = ""
        revision = 0
        sent_at = 0.0
        while True:
            page, page_sent_at = await self._page(kind, after, stale)
            objects.extend(page.objects)
            if page.unreadable:
                self._on_unreadable(kind, page.unreadable)
            if page.more and page.unreadable and not page.objects:
                # Nothing tells where the next page begins.
                raise StoreError(StoreProblem.UNAVAILABLE)
            if not after:
                revision, sent_at = page.revision, page_sent_at
            revision = min(revision, page.revision)
            if not page.more or not page.objects:
                return objects, revision, sent_at
            after = page.objects[-1].name

    async def _page(self, kind: str, after: str, stale: bool) -> tuple[ObjectPage, float]:
        pause = FIRST_PAGE_PAUSE_SECONDS
        for _ in range(PAGE_ATTEMPTS - 1):
            try:
                reply = await self._send(kind, self._dialect.list_call(kind, after, stale))
                return self._dialect.read_page(reply), reply.sent_at
            except StoreError:
                await asyncio.sleep(pause * (0.5 + self._random.random()))
                pause *= 2
        reply = await self._send(kind, self._dialect.list_call(kind, after, stale))
        return self._dialect.read_page(reply), reply.sent_at

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> tuple[ObjectChanges, float]:
        """Changes after a revision, and the time at which the call was sent."""
        call = self._dialect.watch_call(kind, revision, wait_seconds)
        reply = await self._send(kind, call, wait_seconds + WATCH_MARGIN_SECONDS)
        changes = self._dialect.read_changes(reply)
        if changes.unreadable:
            self._on_unreadable(kind, changes.unreadable)
        return changes, reply.sent_at

    async def get(self, kind: str, name: str) -> tuple[StoredObject, float]:
        """One object, and the time at which the call was sent."""
        reply = await self._send(kind, self._dialect.get_call(kind, name))
        return self._dialect.read_object(reply), reply.sent_at

    async def create(self, kind: str, name: str, spec: bytes) -> tuple[StoredObject, float]:
        """Make an object; raises a conflict when it is there."""
        reply = await self._send(kind, self._dialect.create_call(kind, name, spec))
        return self._dialect.read_object(reply), reply.sent_at

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: int
    ) -> tuple[StoredObject, float]:
        """Replace an object; raises a conflict when its revision differs."""
        reply = await self._send(kind, self._dialect.replace_call(kind, name, spec, revision))
        return self._dialect.read_object(reply), reply.sent_at

    async def _send(
        self, kind: str, call: Call, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Reply:
        reply = await self._calls.call(self._address, call, timeout_seconds)
        self._on_call(kind, reply is not None and reply.status < SERVER_ERROR_STATUS)
        if reply is None:
            raise StoreError(StoreProblem.UNAVAILABLE)
        self._note_era(reply)
        return reply

    def _note_era(self, reply: Reply) -> None:
        if self._era_listener is None:
            return
        try:
            era = self._dialect.read_era(reply)
        except ValueError:
            self._era_listener.era_unreadable()
            return
        if self._era is None or era > self._era:
            self._era_listener.era(self._era, era)
            self._era = era
