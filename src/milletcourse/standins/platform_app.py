"""HTTP application of the platform stand-in, with fault injection."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import AsyncIterator

import falcon.asgi
import msgspec
from returns.pipeline import is_successful

from milletcourse.backends.platform_messages import (
    Machine,
    MachineList,
    MachineState,
    PutObject,
    RevisionAnswer,
    WatchLine,
)
from milletcourse.edge.asgi import (
    RequestGuard,
    decode_json,
    new_application,
    respond_json,
)
from milletcourse.errors import (
    FailureError,
    NotFound,
    PlatformUnavailable,
    TooManyWatches,
)
from milletcourse.policy.objects import parse_spec
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.server import AsgiApplication
from milletcourse.standins.platform_core import LEASE_KIND, PlatformCore

BOOKMARK_SECONDS = 0.5
DEFAULT_MAX_WATCHES = 16
DEFAULT_MACHINE_LAG_SECONDS = 2.0
LOST_ANSWER_DELAY_SECONDS = 3600.0


class PlatformFaults(msgspec.Struct):
    """Faults that tests can inject.

    Attributes:
        down: Every request fails.
        slow_seconds: Delay before each answer.
        lose_answers: Number of following writes whose answer is lost after they take effect.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0


class PlatformApp:
    """HTTP interface of the platform: objects, watches, machine list and fault injection."""

    def __init__(
        self,
        core: PlatformCore,
        clock: Clock,
        max_watches: int = DEFAULT_MAX_WATCHES,
        machine_lag_seconds: float = DEFAULT_MACHINE_LAG_SECONDS,
    ) -> None:
        self.core = core
        self.clock = clock
        self.faults = PlatformFaults()
        self.max_watches = max_watches
        self.machine_lag_seconds = machine_lag_seconds
        self.watches = 0
        self._older_state: PlatformCore | None = None
        self._changed = asyncio.Event()
        self.application: AsgiApplication = RequestGuard(self._routes())

    def _routes(self) -> falcon.asgi.App:
        application = new_application()
        application.add_route("/v1/objects", _Objects(self))
        application.add_route("/v1/objects/{kind}/{name}", _Object(self))
        application.add_route("/v1/revision", _Revision(self))
        application.add_route("/v1/watch", _Watch(self))
        application.add_route("/v1/machines", _Machines(self))
        application.add_route("/standin/faults", _Faults(self))
        application.add_route("/livez", _Live())
        return application

    @property
    def visible_core(self) -> PlatformCore:
        """The state that reads return: an older one while `serve_older_state` is active."""
        return self._older_state or self.core

    def serve_older_state(self, older: PlatformCore | None) -> None:
        """Fault: reads return an older state; None clears the fault."""
        self._older_state = older
        self.notify_watches()

    def snapshot(self) -> PlatformCore:
        """Return a copy of the current state, for `serve_older_state`."""
        hook, self.core.on_commit = self.core.on_commit, None
        try:
            return copy.deepcopy(self.core)
        finally:
            self.core.on_commit = hook

    def notify_watches(self) -> None:
        """Wake all watches, so that they send new changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for a change or until the next bookmark is due."""
        try:
            async with asyncio.timeout(BOOKMARK_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    async def apply_request_faults(self) -> None:
        """Apply the faults that precede the handling of a request."""
        if self.faults.down:
            raise FailureError(PlatformUnavailable("down"))
        if self.faults.slow_seconds:
            await self.clock.sleep(self.faults.slow_seconds)

    async def apply_answer_faults(self) -> None:
        """Apply the fault that follows a write that took effect."""
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await self.clock.sleep(LOST_ANSWER_DELAY_SECONDS)


class _Objects:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await self._app.apply_request_faults()
        respond_json(response, self._app.visible_core.list_objects())


class _Revision:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await self._app.apply_request_faults()
        respond_json(response, RevisionAnswer(self._app.visible_core.revision))


class _Object:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, kind: str, name: str
    ) -> None:
        await self._app.apply_request_faults()
        stored = self._app.visible_core.get(kind, name)
        if stored is None:
            raise FailureError(NotFound(f"{kind} {name}"))
        respond_json(response, stored)

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, kind: str, name: str
    ) -> None:
        await self._app.apply_request_faults()
        write = decode_json(await request.stream.read(), PutObject)
        if write.spec is not None and kind != LEASE_KIND:
            checked = parse_spec(kind, name, write.spec)
            if not is_successful(checked):
                raise FailureError(checked.failure())
        result = self._app.core.put(kind, name, write)
        if not is_successful(result):
            raise FailureError(result.failure())
        self._app.notify_watches()
        await self._app.apply_answer_faults()
        respond_json(response, result.unwrap())


class _Watch:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await self._app.apply_request_faults()
        if self._app.watches >= self._app.max_watches:
            raise FailureError(TooManyWatches(f"{self._app.max_watches} watches are open", 5.0))
        after = request.get_param_as_int("after", default=0)
        result = self._app.visible_core.changes_after(after)
        if not is_successful(result):
            raise FailureError(result.failure())
        response.content_type = "application/jsonl"
        response.stream = self._lines(after)

    async def _lines(self, after: int) -> AsyncIterator[bytes]:
        self._app.watches += 1
        try:
            while not self._app.faults.down:
                if self._app.faults.slow_seconds:
                    await self._app.clock.sleep(self._app.faults.slow_seconds)
                result = self._app.visible_core.changes_after(after)
                if not is_successful(result):
                    return
                for change in result.unwrap():
                    yield msgspec.json.encode(WatchLine(change.revision, change)) + b"\n"
                    after = change.revision
                yield msgspec.json.encode(WatchLine(self._app.visible_core.revision)) + b"\n"
                await self._app.wait_for_change()
        finally:
            self._app.watches -= 1


class _Machines:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await self._app.apply_request_faults()
        now = self._app.clock.monotonic()
        machines = self._app.core.machines(now, self._app.machine_lag_seconds)
        respond_json(response, MachineList(tuple(machines)))

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        machine = decode_json(await request.stream.read(), Machine)
        now = self._app.clock.monotonic()
        self._app.core.set_machine(machine.name, MachineState(machine.state), now)
        respond_json(response, machine)


class _Faults:
    def __init__(self, app: PlatformApp) -> None:
        self._app = app

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        self._app.faults = decode_json(await request.stream.read(), PlatformFaults)
        self._app.notify_watches()
        respond_json(response, self._app.faults)


class _Live:
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        respond_json(response, {"live": True})
