"""Who may share kept prompt state, and the rank of a request; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.records import RouteRecord, TenantRecord

PRIORITY_STEP = 3
"""Ranks of a route within one rank of a tenant."""
LOWEST_RANK = 9
_ONE_TENANT = ":tenant:"


def reuse_scope(model: str, tenant: TenantRecord | None) -> str:
    """Scope in which prompt state is shared; an isolated tenant has one of its own.

    The weight version is added for each server by `cache_salt`.
    """
    escaped = model.replace(":", "%3A")
    if tenant is not None and tenant.isolated:
        return f"{escaped}{_ONE_TENANT}{tenant.name}"
    return f"{escaped}:shared"


def is_of_one_tenant(scope: str) -> bool:
    """Whether only one tenant's requests share prompt state in a scope."""
    return _ONE_TENANT in scope


def cache_salt(scope: str, weight_version: int | None) -> str:
    """Text under which servers keep prompt state: nothing is found across versions."""
    return f"{scope}@{weight_version}"


def request_rank(route: RouteRecord, tenant: TenantRecord | None) -> int:
    """Rank of a request, 0 first; the tenant's goes before the route's."""
    of_tenant = tenant.priority if tenant is not None else 0
    of_route = min(route.priority, PRIORITY_STEP - 1)
    return min(of_tenant * PRIORITY_STEP + of_route, LOWEST_RANK)
