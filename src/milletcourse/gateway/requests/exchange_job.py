"""What all attempts of one request share."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from milletcourse.exchange.evidence.request_identity import request_identity
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import RouteRecord, ServiceRecord, TenantRecord
from milletcourse.exchange.placement.reuse_scope import request_rank
from milletcourse.exchange.placement.route_table import RouteTable


@dataclass(frozen=True)
class ExchangeJob:
    """One request with what it was admitted under.

    Attributes:
        request: The request.
        route: Its route.
        tenant: Its tenant, None on public routes.
        service: The service that it goes to.
        scope: Reuse scope of its prompt state, without the weight version.
        table: The configuration that it was admitted under.
        end_at: Monotonic time at which it must have its final answer.
    """

    request: ExchangeRequest
    route: RouteRecord
    tenant: TenantRecord | None
    service: ServiceRecord
    scope: str
    table: RouteTable
    deadline_at: float

    @property
    def rank(self) -> int:
        """Its rank, 0 for the most urgent."""
        return request_rank(self.route, self.tenant)

    @cached_property
    def identity(self) -> int:
        """Identity of its content; worked out when it is first asked for."""
        request = self.request
        caller = self.tenant.name if self.tenant is not None else ""
        return request_identity(request.host, request.target, caller, request.body)
