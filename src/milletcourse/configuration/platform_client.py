"""Client of the platform's object API; the only module that defines its paths."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import msgspec

from milletcourse.backends.platform_messages import (
    Machine,
    MachineList,
    ObjectList,
    PutObject,
    RevisionAnswer,
    WatchLine,
)
from milletcourse.errors import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
    ChangeUnknown,
    FailureError,
    HistoryExpired,
    InvalidObject,
    PlatformUnavailable,
    TooManyWatches,
    VersionConflict,
)
from milletcourse.policy.objects import StoredObject
from milletcourse.runtime.http import HttpClient, HttpRequest, json_request, send_for_body
from milletcourse.runtime.record_splitter import RecordSplitter

MAX_WATCH_LINE_BYTES = 4 * 1024 * 1024
PLATFORM_TIMEOUT_SECONDS = 3.0
WATCH_IDLE_SECONDS = 5.0
"""A watch without a bookmark for this long is closed; bookmarks arrive twice per second."""
SETTLE_ATTEMPTS = 3


class _Problem(msgspec.Struct):
    detail: str = ""
    current_version: int = 0
    current: Any = None


class PlatformClient:
    """Reads, writes and watches platform objects."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._address = address
        self._client = client

    async def list_objects(self) -> ObjectList:
        """Return all objects of the configuration.

        Raises:
            FailureError: `PlatformUnavailable`.
        """
        return msgspec.json.decode(await self._get("/v1/objects"), type=ObjectList)

    async def revision(self) -> int:
        """Return the platform's revision at some time between the request and the response."""
        return msgspec.json.decode(await self._get("/v1/revision"), type=RevisionAnswer).revision

    async def machines(self) -> tuple[Machine, ...]:
        """Return the platform's list of machines, which lags behind their actual state."""
        return msgspec.json.decode(await self._get("/v1/machines"), type=MachineList).machines

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""
        status, body = await self._request(
            json_request("GET", self._address, f"/v1/objects/{kind}/{name}")
        )
        if status == 404:
            return None
        if status != 200:
            raise FailureError(PlatformUnavailable(f"the platform answered {status}", 2.0))
        return msgspec.json.decode(body, type=StoredObject)

    async def put(self, kind: str, name: str, write: PutObject) -> StoredObject:
        """Compare-and-set one object; a lost response is resolved by reading the object back.

        Raises:
            FailureError: `VersionConflict`, `InvalidObject`, `PlatformUnavailable` (not sent), or
                `ChangeUnknown` when reading back did not resolve it.
        """
        path = f"/v1/objects/{kind}/{name}"
        request = json_request("PUT", self._address, path, write, is_dedicated=True)
        try:
            status, body = await send_for_body(self._client, request, PLATFORM_TIMEOUT_SECONDS)
        except FailureError as error:
            if isinstance(error.failure, BackendUnreachable):
                raise FailureError(
                    PlatformUnavailable("the platform can't be reached", 2.0)
                ) from error
            return await self._settle(kind, name, write)
        if status == 200:
            return msgspec.json.decode(body, type=StoredObject)
        raise FailureError(_write_failure(status, body))

    async def _settle(self, kind: str, name: str, write: PutObject) -> StoredObject:
        """Determine by reading back whether a write took effect.

        An object that still has the expected version does not prove that the write was lost, since
        the write may still be in transit. Only the change id, or another version without it, is
        conclusive.
        """
        for _ in range(SETTLE_ATTEMPTS):
            try:
                current = await self.get(kind, name)
            except FailureError:
                continue
            if current is not None and write.change_id in current.change_ids:
                return current
            if current is not None and current.version != write.expected_version:
                shown = msgspec.json.encode(current).decode()
                raise FailureError(
                    VersionConflict(
                        "another change was accepted first", None, current.version, shown
                    )
                )
        raise FailureError(ChangeUnknown(f"change {write.change_id} has an unknown outcome", 2.0))

    async def watch(self, after: int) -> AsyncIterator[WatchLine]:
        """Yield the changes after a revision, with bookmarks between them.

        Raises:
            FailureError: `HistoryExpired`, `TooManyWatches` or `PlatformUnavailable`.
        """
        request = json_request("GET", self._address, f"/v1/watch?after={after}")
        try:
            response = await self._client.send(request, PLATFORM_TIMEOUT_SECONDS)
        except FailureError as error:
            raise FailureError(PlatformUnavailable("the watch can't be opened")) from error
        try:
            if response.status == 410:
                raise FailureError(
                    HistoryExpired("the platform's history no longer reaches back to the revision")
                )
            if response.status == 429:
                raise FailureError(TooManyWatches("the platform accepts no further watch", 5.0))
            if response.status != 200:
                raise FailureError(
                    PlatformUnavailable(f"the watch was refused with status {response.status}")
                )
            splitter = RecordSplitter(b"\n", MAX_WATCH_LINE_BYTES)
            async for chunk in response.chunks():
                for line in splitter.feed(chunk):
                    yield msgspec.json.decode(line, type=WatchLine)
                if splitter.is_oversized:
                    raise FailureError(PlatformUnavailable("the watch sent a line without end"))
        except FailureError as error:
            if isinstance(error.failure, BackendLost):
                raise FailureError(
                    PlatformUnavailable("the connection of the watch was lost")
                ) from error
            raise
        finally:
            await response.close()

    async def _get(self, path: str) -> bytes:
        status, body = await self._request(json_request("GET", self._address, path))
        if status != 200:
            raise FailureError(PlatformUnavailable(f"the platform answered {status}", 2.0))
        return body

    async def _request(self, request: HttpRequest) -> tuple[int, bytes]:
        try:
            return await send_for_body(self._client, request, PLATFORM_TIMEOUT_SECONDS)
        except FailureError as error:
            raise FailureError(PlatformUnavailable("the platform can't be reached", 2.0)) from error


def _write_failure(
    status: int, body: bytes
) -> VersionConflict | InvalidObject | PlatformUnavailable | BackendRefused:
    problem = msgspec.json.decode(body, type=_Problem)
    if status == 409:
        shown = msgspec.json.encode(problem.current).decode()
        return VersionConflict(problem.detail, None, problem.current_version, shown)
    if status == 422:
        return InvalidObject(problem.detail)
    if status == 503:
        return PlatformUnavailable(problem.detail, 2.0)
    return BackendRefused(problem.detail, None, status)
