"""`/apps/{application}/...`: reads may be retried; writes run at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import falcon.asgi
from returns.pipeline import is_successful

from milletcourse.backends.app_client import AppAnswer, AppClient
from milletcourse.edge.context import EdgeContext, bearer_tenant
from milletcourse.edge.inference import CLASS_HEADER
from milletcourse.errors import (
    BackendLost,
    BackendUnreachable,
    ConfigurationStale,
    Failure,
    FailureError,
    IdempotencyKeyReused,
    InvalidIdempotencyKey,
    NoEngineAvailable,
    NotFound,
    OperationNotRun,
    OperationNotSent,
    RunState,
)
from milletcourse.operations.coordinator import Write, WriteResult
from milletcourse.policy.compiled import RequestFacts
from milletcourse.policy.objects import AppServerSpec

READ_METHODS = frozenset({"GET", "HEAD"})
WRITE_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})
READ_TIMEOUT_SECONDS = 5.0
KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"

FINAL_OPERATION_FAILURES = (InvalidIdempotencyKey, IdempotencyKeyReused, OperationNotRun)
"""Refusals that apply to every attempt with the same idempotency key."""

IsLeaving = Callable[[str], bool]
"""Whether the platform lists a machine as leaving or removed."""


class ApplicationsSink:
    """Falcon sink for all paths below `/apps`."""

    def __init__(
        self, context: EdgeContext, apps: AppClient, own_place: str, is_leaving: IsLeaving
    ) -> None:
        self._context = context
        self._apps = apps
        self._own_place = own_place
        self._is_leaving = is_leaving

    async def __call__(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **params: str
    ) -> None:
        """Handle one request."""
        assert resp is not None
        try:
            await self._serve(req, resp, **params)
        except FailureError as error:
            if req.method in WRITE_METHODS and req.get_header(KEY_HEADER):
                raise FailureError(_as_operation_failure(error.failure)) from error
            raise

    async def _serve(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, **params: str
    ) -> None:
        self._context.check_serving()
        tenant = bearer_tenant(req, self._context.policy)
        application = params["application"]
        path = "/" + (params.get("path") or "")
        if req.query_string:
            path = f"{path}?{req.query_string}"
        servers = self._servers(req, tenant, application)
        if req.method in READ_METHODS:
            self._render(resp, await self._read(servers, path))
        elif req.method in WRITE_METHODS:
            await self._write(req, resp, tenant, application, path, servers)
        else:
            raise FailureError(NotFound(f"applications do not support {req.method}"))

    def _servers(
        self, request: falcon.asgi.Request, tenant: str, application: str
    ) -> tuple[AppServerSpec, ...]:
        """Permitted servers that are not shutting down, those in the local place first."""
        request_class = request.get_header(CLASS_HEADER) or "default"
        facts = RequestFacts(tenant, application=application, request_class=request_class)
        policy = self._context.policy
        result = policy.permit(facts)
        if not is_successful(result):
            raise FailureError(result.failure())
        permission = result.unwrap()
        if permission.rules.regulated and not self._context.is_fresh():
            raise FailureError(ConfigurationStale("the configuration may be out of date", 1.0))
        usable = [
            name
            for name in permission.backend_set.names
            if not policy.app_servers[name].leaving and not self._is_leaving(name)
        ]
        if not usable:
            raise FailureError(NoEngineAvailable("no permitted server is in service", 1.0))
        usable.sort(key=lambda name: policy.app_servers[name].place != self._own_place)
        return tuple(policy.app_servers[name] for name in usable)

    async def _read(self, servers: tuple[AppServerSpec, ...], path: str) -> AppAnswer:
        for server in servers:
            try:
                return await self._apps.read(server.address, path, READ_TIMEOUT_SECONDS)
            except FailureError as error:
                if not isinstance(error.failure, BackendUnreachable | BackendLost):
                    raise
        raise FailureError(NoEngineAvailable("no server of the application answers", 1.0))

    async def _write(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        tenant: str,
        application: str,
        path: str,
        servers: tuple[AppServerSpec, ...],
    ) -> None:
        write = Write(
            tenant=tenant,
            application=application,
            method=request.method,
            path=path,
            body=await request.stream.read(),
            content_type=request.content_type or "application/octet-stream",
            key_text=request.get_header(KEY_HEADER) or "",
            servers=servers,
        )
        task = self._context.tasks.spawn(self._run(write), "operation")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, FailureError):
            self._context.metrics.requests.labels(outcome.failure.code).inc()
            raise outcome
        self._context.metrics.requests.labels("served").inc()
        response.set_header(KEY_HEADER, outcome.key)
        response.set_header(REPLAYED_HEADER, "true" if outcome.replayed else "false")
        self._render(response, outcome.answer)

    async def _run(self, write: Write) -> WriteResult | FailureError:
        """Runs to completion even if the client disconnects, so that the outcome is recorded."""
        try:
            return await self._context.coordinator.run(write)
        except FailureError as error:
            return error

    def _render(self, response: falcon.asgi.Response, answer: AppAnswer) -> None:
        response.status = answer.status
        response.content_type = answer.content_type
        response.data = answer.body
        if self._context.is_draining():
            response.set_header("Connection", "close")


def _as_operation_failure(failure: Failure) -> Failure:
    """Failure to report when an operation with a client-chosen key is refused before its claim."""
    if failure.run_state is not RunState.NOT_RUN or isinstance(failure, FINAL_OPERATION_FAILURES):
        return failure
    return OperationNotSent(failure.detail, failure.retry_after_seconds, failure)
