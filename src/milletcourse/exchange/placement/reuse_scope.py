"""Scope in which KV cache of prompts may be shared, and the rank of a request; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.records import RouteRecord, TenantRecord

PRIORITY_STEP = 3
"""Number of route ranks within one tenant rank."""
LOWEST_RANK = 9
_ONE_TENANT = ":tenant:"


def reuse_scope(model: str, tenant: TenantRecord | None) -> str:
    """Scope in which KV cache is shared; an isolated tenant has a scope of its own.

    The weight version is added for each server by `cache_salt`.
    """
    escaped = model.replace(":", "%3A")
    if tenant is not None and tenant.isolated:
        return f"{escaped}{_ONE_TENANT}{tenant.name}"
    return f"{escaped}:shared"


def is_of_one_tenant(scope: str) -> bool:
    """Whether a scope belongs to a single tenant."""
    return _ONE_TENANT in scope


def cache_salt(scope: str, weight_version: int | None) -> str:
    """Salt of cache keys at servers: nothing is shared across weight versions."""
    return f"{scope}@{weight_version}"


def request_rank(route: RouteRecord, tenant: TenantRecord | None) -> int:
    """Rank of a request, 0 for the most urgent; tenant priority outweighs route priority."""
    of_tenant = tenant.priority if tenant is not None else 0
    of_route = min(route.priority, PRIORITY_STEP - 1)
    return min(of_tenant * PRIORITY_STEP + of_route, LOWEST_RANK)
