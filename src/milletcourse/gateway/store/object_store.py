"""Client of the object store: objects by kind and name with revisions, lists, watches and
compare-and-set. A dialect knows one store's paths and formats; this client sends the calls.
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
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.gateway.servers.call_client import STATE_REPLY, Call, CallClient, Reply
from milletcourse.runtime.clock import elapsed_seconds

CALL_TIMEOUT_SECONDS = 1.0
"""A call whose answer hasn't started after this time is aborted."""
MAX_PAGE_ATTEMPTS = 4
MIN_ATTEMPT_SECONDS = 0.1
"""Shortest timeout for the start of the answer to a page request."""
INITIAL_PAGE_BACK_OFF_SECONDS = 0.05
"""Wait before a refused page is requested again; doubled each time, with jitter."""
SERVER_ERROR_STATUS = 500
"""From this status on, a reply means that the store didn't process the call."""
WATCH_MARGIN_SECONDS = 0.6
"""A watch whose answer is this much later than its requested wait counts as hung."""


class StoredObject(msgspec.Struct, frozen=True):
    """One object.

    Attributes:
        name: Unique within its kind.
        position: Position of its last change.
        spec: Its content as JSON.
    """

    name: str
    position: StorePosition
    spec: bytes


class ObjectPage(msgspec.Struct, frozen=True):
    """A page of a list.

    Attributes:
        objects: Objects with a name and a revision.
        position: Store position that it shows.
        more: Further pages follow.
        unreadable: Number of objects without a name or a revision.
    """

    objects: tuple[StoredObject, ...]
    position: StorePosition
    more: bool
    unreadable: int = 0


class ObjectChange(msgspec.Struct, frozen=True):
    """An object that was changed or deleted.

    Attributes:
        stored: The object; with its last content if it was deleted.
        deleted: It was deleted.
        patch: Builds its content from the one before; None when no patch has been made yet.
    """

    stored: StoredObject
    deleted: bool
    patch: ContentPatch | None = None


class ObjectChanges(msgspec.Struct, frozen=True):
    """Changes up to a store position.

    Attributes:
        changes: Changes of objects with a name and a revision.
        position: Store position after them.
        unreadable: Number of changes of objects without them.
    """

    changes: tuple[ObjectChange, ...]
    position: StorePosition
    unreadable: int = 0


class StoreProblem(Enum):
    """Why a call had no result."""

    UNAVAILABLE = "unavailable"
    HISTORY_LOST = "history-gone"
    """The requested position, or the answer, belongs to a history that the store has lost."""
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"


class StoreError(Exception):
    """A failed call to the store.

    Attributes:
        problem: What went wrong.
        current: The stored object, when the reply to a conflicting write includes it.
    """

    def __init__(self, problem: StoreProblem, current: StoredObject | None = None) -> None:
        super().__init__(problem.value)
        self.problem = problem
        self.current = current


class StoreDialect(Protocol):
    """Paths and formats of one store; `read_*` methods raise `StoreError` for a failed reply."""

    def read_era(self, reply: Reply) -> int:
        """The era in any reply, also in a refusal; `UNKNOWN_ERA` when there is none.

        Raises `ValueError` when the era is malformed.
        """

    def list_call(self, kind: str, after: str, stale: bool) -> Call:
        """Build the call for a page of a kind's objects after a name; empty for the first page.

        A stale page may be seconds old, is cheap, and doesn't count toward the store's rate limit.
        """

    def read_page(self, reply: Reply) -> ObjectPage:
        """Decode a page."""

    def watch_call(self, kind: str, position: StorePosition, wait_seconds: float) -> Call:
        """Build the call for changes of a kind after a position; the store waits for one."""

    def read_changes(self, reply: Reply) -> ObjectChanges:
        """Decode changes."""

    def get_call(self, kind: str, name: str) -> Call:
        """Build the call that reads one object."""

    def create_call(self, kind: str, name: str, spec: bytes) -> Call:
        """Build the call that creates an object which doesn't exist yet."""

    def replace_call(self, kind: str, name: str, spec: bytes, position: StorePosition) -> Call:
        """Build the call that replaces an object if its last change is at this position."""

    def read_object(self, reply: Reply) -> StoredObject:
        """Decode one object."""


OnCall = Callable[[str, bool], None]
"""Called after each call with the kind of its objects, and whether the store processed it."""
OnUnreadable = Callable[[str, int], None]
"""Called for objects without a name or a revision with their kind and number."""


class EraListener(Protocol):
    """Notified of what answers show of the store's history."""

    def era(self, before: int | None, era: int) -> None:
        """An answer shows a later era; `before` is None for the first answer."""

    def era_unreadable(self) -> None:
        """An answer's era is malformed, or missing although earlier answers had one."""

    def answer_outdated(self, kind: str, era: int, known: int) -> None:
        """An answer about a kind is from an earlier era than the latest known one."""


class ObjectStoreClient:
    """Calls one store, and rejects answers from an era that has ended.

    Attributes:
        era: The latest era in any answer, None before the first answer.
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
    ) -> tuple[list[StoredObject], StorePosition, float]:
        """All objects of a kind: (objects, position to watch from, time of the first call).

        The position is the earliest of all pages, so that a watch shows changes between pages. A
        page that the store refuses is requested again, since restarting the list would add to its
        load. Pages from two eras don't make a list: raises `HISTORY_LOST`.

        Args:
            kind: Kind of the objects.
            stale: The list may be seconds old.
            attempts_seconds: After this time no page is requested again, and an answer that hasn't
                started is aborted; one that has started is read however long it takes.
            on_content: Called when a page that is being received carries content.
        """
        attempts_end_at = elapsed_seconds() + attempts_seconds
        objects: list[StoredObject] = []
        after = ""
        position: StorePosition | None = None
        sent_at = 0.0
        while True:
            page, page_sent_at = await self._page(kind, after, stale, attempts_end_at, on_content)
            objects.extend(page.objects)
            if page.unreadable:
                self._on_unreadable(kind, page.unreadable)
            if page.more and page.unreadable and not page.objects:
                # The next page would begin after the last readable name, and there is none.
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
        back_off = INITIAL_PAGE_BACK_OFF_SECONDS
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
                    attempts >= MAX_PAGE_ATTEMPTS or elapsed_seconds() + back_off > attempts_end_at
                )
                if is_last or error.problem is StoreProblem.HISTORY_LOST:
                    raise
                await asyncio.sleep(back_off * (0.5 + self._random.random()))
                back_off *= 2
                attempts += 1

    async def watch(
        self,
        kind: str,
        position: StorePosition,
        wait_seconds: float,
        on_content: Callable[[], None] | None = None,
    ) -> tuple[ObjectChanges, float]:
        """Changes after a store position, and the time at which the call was sent.

        `on_content` is called when the answer that is being received carries content.

        Raises `HISTORY_LOST` when the store has been restored from an older snapshot since that
        position, also while the call waits: the same revision then belongs to another history.
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
        """Create an object; raises a conflict when it exists."""
        reply = await self._send(kind, self._dialect.create_call(kind, name, spec))
        return self._dialect.read_object(reply), reply.sent_at

    async def replace(
        self, kind: str, name: str, spec: bytes, position: StorePosition
    ) -> tuple[StoredObject, float]:
        """Replace an object; raises a conflict when its last change is another one.

        A position of an era that has ended is a conflict without a call, since the store may have
        reused its revision. The store may start a new era while the call is in flight, so the
        position of the result shows whether the condition was still valid.
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
        """Send a call that waits; it is cancelled when another one shows that the era has ended."""
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
            self._address, call, first_byte_seconds, on_content=on_content, bounds=STATE_REPLY
        )
        self._on_call(kind, reply is not None and reply.status < SERVER_ERROR_STATUS)
        if reply is None:
            raise StoreError(StoreProblem.UNAVAILABLE)
        self._check_era(kind, reply)
        return reply

    def _check_era(self, kind: str, reply: Reply) -> None:
        """Note the era of an answer; raises `HISTORY_LOST` for one from an era that has ended.

        An answer without a readable era, after others with one, counts as a failed call.
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
        """Cancel the watches that wait for changes of a history that the store has lost."""
        current = asyncio.current_task()
        for task in list(self._watches):
            if task is not current:
                self._cancelled_watches.add(task)
                task.cancel()


def _is_being_cancelled() -> bool:
    """Whether the running task itself is being cancelled, not only the call that it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
