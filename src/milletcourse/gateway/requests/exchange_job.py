"""Data shared by all attempts of one request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from milletcourse.exchange.evidence.request_identity import (
    MAX_PARTS,
    RequestFeatures,
    part_identity,
    request_identity,
)
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.records import RouteRecord, ServiceRecord, TenantRecord
from milletcourse.exchange.placement.reuse_scope import request_rank, sharing_group
from milletcourse.exchange.placement.route_table import RouteTable


@dataclass(frozen=True)
class ExchangeJob:
    """One request with the configuration under which it was admitted.

    Attributes:
        request: The request.
        route: The route that the request matched.
        tenant: The tenant of the request, None on public routes.
        service: The service that the request is sent to.
        table: The configuration under which the request was admitted.
        newest_table: Returns the configuration in force now.
        deadline_at: Monotonic time by which the final answer is due.
        client_deadline_at: Monotonic time until which the client waits, over all its attempts.
    """

    request: ExchangeRequest
    route: RouteRecord
    tenant: TenantRecord | None
    service: ServiceRecord
    table: RouteTable
    newest_table: Callable[[], RouteTable]
    deadline_at: float
    client_deadline_at: float

    @property
    def rank(self) -> int:
        """Rank of the request, 0 for the most urgent."""
        return request_rank(self.route, self.tenant)

    @property
    def scope(self) -> str:
        """Reuse scope of the prompt state, without the weight version.

        An attempt that begins after a tenant has become isolated may use only what the newest
        configuration lets it share.
        """
        return self.newest_table().reuse_scopes.scope(self.request.model, self.tenant)

    @cached_property
    def features(self) -> RequestFeatures:
        """What it may have in common with requests that crash servers; computed on first use."""
        request = self.request
        caller = self.tenant.name if self.tenant is not None else ""
        content = request_identity(request.host, request.target, caller, request.body)
        names = dict.fromkeys(part.name for part in request.prompt_parts[: request.shared_parts])
        service = self.service.name
        group = sharing_group(request.model, self.tenant)
        parts = (part_identity(service, group, name) for name in list(names)[:MAX_PARTS])
        return RequestFeatures(content, tuple(parts))
