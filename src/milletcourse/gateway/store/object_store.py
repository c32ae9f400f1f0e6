"""The object-store port: objects by kind and name with revisions, lists, watches and
compare-and-set. A dialect knows one store's paths and formats; this client does the calls.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from milletcourse.exchange.messages.content_patch import ContentPatch
from milletcourse.exchange.messages.store_place import UNKNOWN_ERA, StorePlace
from milletcourse.gateway.servers.call_client import Call, CallClient, Reply
from milletcourse.runtime.clock import elapsed_seconds

CALL_TIMEOUT_SECONDS = 1.0
"""A call whose answer doesn't begin by now is given up."""
MAX_PAGE_ATTEMPTS = 4
MIN_ATTEMPT_SECONDS = 0.1
"""A page that is asked for at all may begin to come for so long."""
INITIAL_PAGE_BACKOFF_SECONDS = 0.05
"""Before a refused page is asked for again; doubled each time, with jitter."""
SERVER_ERROR_STATUS = 500
"""From this status on a reply says that the store did nothing."""
WATCH_MARGIN_SECONDS = 0.6
"""A watch that answers this much later than asked for is taken as hung."""


DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""What decoders raise for content that another writer may have put into the store."""


class StoredObject(msgspec.Struct, frozen=True):
    """One object.

    Attributes:
        name: Unique within its kind.
        place: Its last change.
        spec: Its content as JSON.
    """

    name: str
    position: StorePlace
    spec: bytes


class ObjectPage(msgspec.Struct, frozen=True):
    """A page of a list.

    Attributes:
        objects: Those that can be told apart.
        place: State of the store that it shows.
        more: Further pages follow.
        unreadable: Objects that can't: without a name or a revision.
    """

    objects: tuple[StoredObject, ...]
    position: StorePlace
    more: bool
    unreadable: int = 0


class ObjectChange(msgspec.Struct, frozen=True):
    """An object that changed or went.

    Attributes:
        stored: The object; its last content for one that went.
        gone: It went.
        patch: Makes its content from the one before; None when nobody has made one yet.
    """

    stored: StoredObject
    deleted: bool
    patch: ContentPatch | None = None


class ObjectChanges(msgspec.Struct, frozen=True):
    """Changes up to a state of the store.

    Attributes:
        changes: Those whose object can be told apart.
        place: State of the store after them.
        unreadable: Changes whose object can't.
    """

    changes: tuple[ObjectChange, ...]
    position: StorePlace
    unreadable: int = 0


class StoreProblem(Enum):
    """Why a call gave nothing."""

    UNAVAILABLE = "unavailable"
    HISTORY_LOST = "history-gone"
    """What was asked for, or was told, belongs to a history that the store has lost."""
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

    def watch_call(self, kind: str, position: StorePlace, wait_seconds: float) -> Call:
        """Changes of a kind after a state of the store; waits for one."""

    def read_changes(self, reply: Reply) -> ObjectChanges:
        """Understand changes."""

    def get_call(self, kind: str, name: str) -> Call:
        """One object."""

    def create_call(self, kind: str, name: str, spec: bytes) -> Call:
        """Make an object that isn't there."""

    def replace_call(self, kind: str, name: str, spec: bytes, position: StorePlace) -> Call:
        """Replace an object whose last change is known."""

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
        """An answer's era is missing after others with one, or can't be understood."""

    def answer_outdated(self, kind: str, era: int, known: int) -> None:
        """An answer about a kind is of a former era than one before it."""


class ObjectStoreClient:
    """Calls one store, and takes no answer of an era that has ended.

    Attributes:
        era: The latest era that an answer told, None before the first answer.
    """

    def __init__(
        self,
        address: str,
        dialect: StoreDialect,
        calls: CallClient,
        random_source: random.Random,
        on_call: OnCall,
        on_unreadable: OnUnreadable,
        era_listener: EraListener,
    ) -> None:
        self._address = address
        self._random = random_source
        self._dialect = dialect
        self._calls = calls
        self._on_call = on_call
        self._on_unreadable = on_unreadable
        self._listener = era_listener
        self.era: int | None = None
        self._watches: set[asyncio.Task[Reply]] = set()
        self._cancelled_watches: set[asyncio.Task[Reply]] = set()

    async def list_all(
        self,
        kind: str,
        stale: bool = False,
        attempts_seconds: float = math.inf,
        on_content: Callable[[], None] | None = None,
    ) -> tuple[list[StoredObject], StorePlace, float]:
        """All objects of a kind: (objects, place to watch from, time of the first call).

        The place is the earliest of all pages, so that changes between pages are seen again. A
        page that the store refuses is asked for again, since beginning anew would add to its load.
        Pages of two eras make no list: raises `HISTORY_LOST`.

        Args:
            kind: Kind of the objects.
            stale: The list may be seconds old.
            attempts_seconds: An answer that doesn't begin by now isn't waited for, and no page is
                asked for again after it; what comes is taken however long it takes.
            on_content: Told when a page that is coming carries content.
        """
        attempts_end_at = elapsed_seconds() + attempts_seconds
        objects: list[StoredObject] = []
        after = ""
        position: StorePlace | None = None
        sent_at = 0.0
        while True:
            page, page_sent_at = await self._page(kind, after, stale, attempts_end_at, on_content)
            objects.extend(page.objects)
            if page.unreadable:
                self._on_unreadable(kind, page.unreadable)
            if page.more and page.unreadable and not page.objects:
                # Nothing tells where the next page begins.
                raise StoreError(StoreProblem.UNAVAILABLE)
            if position is None:
                position, sent_at = page.position, page_sent_at
            if page.position.era != position.era:
                raise StoreError(StoreProblem.HISTORY_LOST)
            position = min(position, page.position)
            if not page.more or not page.objects:
                return objects, position, sent_at
            after = page.objects[-1].name

    async def _page(
        self,
        kind: str,
        after: str,
        stale: bool,
        attempts_end_at: float,
        on_content: Callable[[], None] | None,
    ) -> tuple[ObjectPage, float]:
        backoff = INITIAL_PAGE_BACKOFF_SECONDS
        call = self._dialect.list_call(kind, after, stale)
        attempts = 1
        while True:
            remaining = max(attempts_end_at - elapsed_seconds(), MIN_ATTEMPT_SECONDS)
            try:
                reply = await self._send(
                    kind, call, min(CALL_TIMEOUT_SECONDS, remaining), on_content
                )
                return self._dialect.read_page(reply), reply.sent_at
            except StoreError as error:
                is_last = (
                    attempts >= MAX_PAGE_ATTEMPTS or elapsed_seconds() + backoff > attempts_end_at
                )
                if is_last or error.problem is StoreProblem.HISTORY_LOST:
                    raise
                await asyncio.sleep(backoff * (0.5 + self._random.random()))
                backoff *= 2
                attempts += 1

    async def watch(
        self,
        kind: str,
        position: StorePlace,
        wait_seconds: float,
        on_content: Callable[[], None] | None = None,
    ) -> tuple[ObjectChanges, float]:
        """Changes after a state of the store, and the time at which the call was sent.

        `on_content` is told when the answer that is coming carries some.

        Raises `HISTORY_LOST` when the store has come back from an older copy since that state, also
        while the call waits: what comes after the same revision then is another history.
        """
        if self._is_past_era(position.era):
            raise StoreError(StoreProblem.HISTORY_LOST)
        call = self._dialect.watch_call(kind, position, wait_seconds)
        first_byte_seconds = wait_seconds + WATCH_MARGIN_SECONDS
        reply = await self._send_within_era(kind, call, first_byte_seconds, on_content)
        changes = self._dialect.read_changes(reply)
        if changes.position.era != position.era:
            raise StoreError(StoreProblem.HISTORY_LOST)
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
        self, kind: str, name: str, spec: bytes, position: StorePlace
    ) -> tuple[StoredObject, float]:
        """Replace an object; raises a conflict when its last change is another one.

        A change of an era that has ended is a conflict without a call: its revision may have been
        given out again. The store may end an era while the call is on its way, so the place of the
        result tells whether the condition was still worth anything.
        """
        if self._is_past_era(position.era):
            raise StoreError(StoreProblem.CONFLICT)
        reply = await self._send(kind, self._dialect.replace_call(kind, name, spec, position))
        return self._dialect.read_object(reply), reply.sent_at

    def _is_past_era(self, era: int) -> bool:
        return self.era is not None and era < self.era

    async def _send_within_era(
        self,
        kind: str,
        call: Call,
        first_byte_seconds: float,
        on_content: Callable[[], None] | None,
    ) -> Reply:
        """Send a call that waits; given up when another one shows that the era has ended."""
        task = asyncio.ensure_future(self._send(kind, call, first_byte_seconds, on_content))
        self._watches.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if task not in self._cancelled_watches or _is_being_cancelled():
                raise
            raise StoreError(StoreProblem.HISTORY_LOST) from None
        finally:
            self._watches.discard(task)
            self._cancelled_watches.discard(task)

    async def _send(
        self,
        kind: str,
        call: Call,
        first_byte_seconds: float = CALL_TIMEOUT_SECONDS,
        on_content: Callable[[], None] | None = None,
    ) -> Reply:
        reply = await self._calls.call(
            self._address, call, first_byte_seconds, on_content=on_content
        )
        self._on_call(kind, reply is not None and reply.status < SERVER_ERROR_STATUS)
        if reply is None:
            raise StoreError(StoreProblem.UNAVAILABLE)
        self._check_era(kind, reply)
        return reply

    def _check_era(self, kind: str, reply: Reply) -> None:
        """Take the era of an answer; raises `HISTORY_LOST` for one of an era that has ended.

        One without a readable era, after others with it, gives nothing.
        """
        try:
            era = self._dialect.read_era(reply)
        except ValueError as error:
            self._listener.era_unreadable()
            raise StoreError(StoreProblem.UNAVAILABLE) from error
        if era == UNKNOWN_ERA and self.era is not None and self.era > UNKNOWN_ERA:
            self._listener.era_unreadable()
            raise StoreError(StoreProblem.UNAVAILABLE)
        if self.era is not None and era < self.era:
            self._listener.answer_outdated(kind, era, self.era)
            raise StoreError(StoreProblem.HISTORY_LOST)
        if self.era is None or era > self.era:
            before, self.era = self.era, era
            self._listener.era(before, era)
            if before is not None:
                self._cancel_watches()

    def _cancel_watches(self) -> None:
        """Watches that wait do so for changes of a history that is gone."""
        current = asyncio.current_task()
        for task in list(self._watches):
            if task is not current:
                self._cancelled_watches.add(task)
                task.cancel()


def _is_being_cancelled() -> bool:
    """Whether the running task itself is to end, not just what it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
