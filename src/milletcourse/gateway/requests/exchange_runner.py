"""Admits client requests by route, key and configuration freshness, and runs their exchanges."""

from __future__ import annotations

from dataclasses import dataclass

from milletcourse.errors import (
    ConfigurationStale,
    Draining,
    Failure,
    FailureError,
    NotFound,
    NotReady,
    StreamNotResumable,
    TenantLimitExceeded,
    Unauthenticated,
)
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import RouteRecord, TenantRecord
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.replication.configuration_lag import LagVerdict
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.requests.exchange import Exchange
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.state.stream_resumption import ResumePoint

CONFIGURATION_PENDING_DETAIL = "this gateway has not applied the newest configuration yet"


@dataclass(frozen=True)
class _AdmittedRequest:
    """A request that the configuration in force allows."""

    table: RouteTable
    request: ExchangeRequest
    route: RouteRecord
    tenant: TenantRecord | None


class ExchangeRunner:
    """Serves the requests of all client connections."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def handle(self, received: ClientRequest, client: ClientConnection) -> None:
        """Serve one request; the handler of `ClientConnection`."""
        try:
            admitted = self._admit(received)
            resume_point = await self._resume_point(admitted)
            if isinstance(resume_point, StreamNotResumable):
                self._refuse_resumption(resume_point, admitted, client)
                return
            exchange = self._open(admitted, resume_point, client)
        except FailureError as error:
            self._record_refusal(error.failure, received)
            refuse(client, error.failure)
            return
        await exchange.run()

    def check_head(self, head: ClientRequest) -> Failure | None:
        """Why a request whose body has not been received cannot be served; None if it may be."""
        try:
            self._admit(head)
        except FailureError as error:
            self._record_refusal(error.failure, head)
            return error.failure
        return None

    def _record_refusal(self, failure: Failure, received: ClientRequest) -> None:
        request_id = self._context.dialect.request_id_of(received.fields)
        self._context.record.refusal(failure, request_id, received.target)

    def _admit(self, received: ClientRequest) -> _AdmittedRequest:
        context = self._context
        context.handle_suspension()
        if context.refusing:
            raise FailureError(Draining("this gateway is shutting down", context.retry_after()))
        table = context.route_table
        if table is None:
            raise FailureError(NotReady("no configuration is loaded yet", context.retry_after()))
        request = context.dialect.read_request(
            received.method, received.target, received.fields, received.received_at
        )
        request.body = received.body
        self._refuse_stale(request)
        route = self._find_route(table, request)
        return _AdmittedRequest(table, request, route, self._find_tenant(table, route, request))

    def _refuse_resumption(
        self, failure: StreamNotResumable, admitted: _AdmittedRequest, client: ClientConnection
    ) -> None:
        record = self._context.record
        request = admitted.request
        record.resumption.resumption_refused(request.request_id, request.resumes, failure.code)
        record.failure(failure, request, admitted.route, {})
        refuse(client, failure)

    async def _resume_point(
        self, admitted: _AdmittedRequest
    ) -> ResumePoint | StreamNotResumable | None:
        """Where a stream goes on that the client resumes; None for other requests.

        A failure when it isn't known.
        """
        context = self._context
        request, route, tenant = admitted.request, admitted.route, admitted.tenant
        if not route.streaming or not request.last_event_id:
            return None
        preferred = context.weights.choose(route)
        services = dict.fromkeys((preferred, *(backend.service for backend in route.backends)))
        resume_point = await context.stream_resumption.resolve(
            tenant.name if tenant is not None else "", request.resumes, list(services)
        )
        if resume_point is None:
            detail = "no gateway knows which software version began the stream"
            return StreamNotResumable(detail, context.retry_after())
        context.record.resumption.stream_resumed(
            request.request_id,
            request.resumes,
            resume_point.software_version,
            resume_point.evidence.value,
        )
        return resume_point

    def _open(
        self,
        admitted: _AdmittedRequest,
        resume_point: ResumePoint | None,
        client: ClientConnection,
    ) -> Exchange:
        tenant = admitted.tenant
        if tenant is not None:
            self._enforce_limit(tenant, admitted.request)
        return Exchange(
            self._context,
            admitted.table,
            admitted.request,
            admitted.route,
            tenant,
            client,
            resume_point,
        )

    def _refuse_stale(self, request: ExchangeRequest) -> None:
        """Refuse a request that an overdue configuration change may affect."""
        context = self._context
        verdict = context.lag.judge(context.now(), request.host, request.path, request.key)
        if verdict is LagVerdict.STALE:
            raise FailureError(
                ConfigurationStale(CONFIGURATION_PENDING_DETAIL, context.retry_after())
            )

    def _is_definitely_unknown(self, request: ExchangeRequest) -> bool:
        """Whether a route or key that is not found here is certain not to exist."""
        context = self._context
        may_be_new = context.lag.may_affect(request.host, request.path, request.key)
        return context.freshness.allows_not_found(context.now()) and not may_be_new

    def _is_revoked(self, request: ExchangeRequest) -> bool:
        context = self._context
        verdict = context.lag.judge(context.now(), request.host, request.path, request.key)
        return verdict is LagVerdict.REVOKED

    def _enforce_limit(self, tenant: TenantRecord, request: ExchangeRequest) -> None:
        context = self._context
        wait = context.tenant_limits.try_spend(tenant, request, context.now())
        if wait is None:
            return
        detail = f"tenant {tenant.name} has reached its rate limit"
        raise FailureError(TenantLimitExceeded(detail, context.retry_after() + wait))

    def _find_route(self, table: RouteTable, request: ExchangeRequest) -> RouteRecord:
        route = table.find_route(request.host, request.path)
        if route is not None:
            return route
        if not self._is_definitely_unknown(request):
            raise FailureError(ConfigurationStale("unknown route", self._context.retry_after()))
        raise FailureError(NotFound("no route matches this host and path"))

    def _find_tenant(
        self, table: RouteTable, route: RouteRecord, request: ExchangeRequest
    ) -> TenantRecord | None:
        if route.public or not table.requires_keys:
            return None
        context = self._context
        now = context.now()
        if not context.freshness.allows_keys(now):
            raise FailureError(ConfigurationStale("keys cannot be verified", context.retry_after()))
        tenant = table.find_tenant(request.key) if request.key else None
        if tenant is not None and not self._is_revoked(request):
            return tenant
        if tenant is None and not self._is_definitely_unknown(request):
            raise FailureError(ConfigurationStale("unknown key", context.retry_after()))
        raise FailureError(Unauthenticated("no tenant has this key"))
