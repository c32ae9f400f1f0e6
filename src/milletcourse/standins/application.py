"""Stand-in of the roster and booking applications, which counts executions per operation."""

from __future__ import annotations

import asyncio

import falcon.asgi
import msgspec

from milletcourse.edge.asgi import RequestGuard, new_application, respond_json
from milletcourse.errors import FailureError, NotFound
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.server import AsgiApplication
from milletcourse.runtime.tasks import TaskSet

OPERATION_KEY_HEADER = "Idempotency-Key"


class AppExecution(msgspec.Struct, frozen=True):
    """One executed write."""

    key: str
    path: str
    body: str


class AppLedger:
    """Ground truth of executed writes; like a database, all servers of an application share it."""

    def __init__(self) -> None:
        self.executions: dict[str, list[AppExecution]] = {}

    def execute(self, execution: AppExecution) -> int:
        """Record a write and return the number of executions of its key."""
        runs = self.executions.setdefault(execution.key, [])
        runs.append(execution)
        return len(runs)


class AppFaults(msgspec.Struct):
    """Faults that tests can inject.

    Attributes:
        slow_seconds: Delay before a write takes effect.
        crash_before: Number of next writes whose connection drops before they take effect.
        crash_after: Number of next writes whose connection drops after they take effect.
    """

    slow_seconds: float = 0.0
    crash_before: int = 0
    crash_after: int = 0


class _DropConnectionError(Exception):
    """Makes the server drop the connection without an answer."""


class ApplicationApp:
    """HTTP application: every write is an operation; reads return the number of operations."""

    def __init__(self, ledger: AppLedger, clock: Clock) -> None:
        self.ledger = ledger
        self.clock = clock
        self.faults = AppFaults()
        self._tasks = TaskSet("application")
        falcon_app = new_application()
        falcon_app.add_error_handler(_DropConnectionError, self._drop_connection)
        falcon_app.add_route("/standin/faults", self, suffix="faults")
        falcon_app.add_route("/standin/executions", self, suffix="executions")
        falcon_app.add_route("/operations/{key}", self, suffix="operation")
        falcon_app.add_route("/livez", self, suffix="live")
        falcon_app.add_sink(self._handle_any_path, prefix="/")
        self.application: AsgiApplication = RequestGuard(falcon_app)

    @staticmethod
    async def _drop_connection(*_: object, **__: object) -> None:
        raise ConnectionAbortedError("injected fault: the server drops the connection")

    async def _handle_any_path(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: object
    ) -> None:
        assert resp is not None
        if req.method in ("GET", "HEAD"):
            respond_json(resp, {"path": req.path, "operations": len(self.ledger.executions)})
            return
        await self._write(req, resp)

    async def _write(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        body = (await request.stream.read()).decode()
        key = request.get_header(OPERATION_KEY_HEADER) or ""
        if self.faults.crash_before:
            self.faults.crash_before -= 1
            raise _DropConnectionError
        execution = AppExecution(key, request.path, body)
        running = self._tasks.spawn(self._execute(execution, self.faults.slow_seconds), "write")
        runs = await asyncio.shield(running)
        if self.faults.crash_after:
            self.faults.crash_after -= 1
            raise _DropConnectionError
        respond_json(response, {"operation": key, "runs": runs}, status=201)

    async def _execute(self, execution: AppExecution, slow_seconds: float) -> int:
        """Execute a write to its end even if the caller disconnects, as real applications do."""
        if slow_seconds:
            await self.clock.sleep(slow_seconds)
        return self.ledger.execute(execution)

    async def on_get_operation(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, key: str
    ) -> None:
        """Return the outcome of an operation."""
        if key not in self.ledger.executions:
            raise FailureError(NotFound("no operation with this key has been executed"))
        respond_json(response, {"operation": key, "runs": len(self.ledger.executions[key])})

    async def on_put_faults(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Set the injected faults."""
        self.faults = msgspec.json.decode(await request.stream.read(), type=AppFaults)
        respond_json(response, self.faults)

    async def on_get_executions(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Return the number of executions of each key, as ground truth."""
        respond_json(
            response, {key: len(runs) for key, runs in sorted(self.ledger.executions.items())}
        )

    async def on_get_live(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond to a liveness probe."""
        respond_json(response, {"live": True})
