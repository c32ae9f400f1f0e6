"""Scope in which KV cache of prompts may be shared, and the rank of a request; no input/output."""

from __future__ import annotations

from collections.abc import Iterable

from blake3 import blake3

from milletcourse.exchange.messages.records import RouteRecord, TenantRecord

PRIORITY_STEP = 3
"""Number of route ranks within one tenant rank."""
HIGHEST_RANK = 0
LOWEST_RANK = 9
SET_DIGEST_BYTES = 16
"""Tenants choose their names, so that a shorter digest could be made to collide."""
_ONE_TENANT = ":tenant:"


class ReuseScopes:
    """Scopes in which KV cache is shared under one configuration.

    Each isolated tenant has a scope of its own. All others share one, which is named after the set
    of isolated tenants: no member of that set has ever run in it. When a tenant becomes isolated,
    those that still share therefore leave the parts behind that it has made. The scope depends on
    nothing else, so that any gateway derives it from the newest configuration alone, and a tenant
    that joins finds what others have made.

    Attributes:
        isolated: Names of the isolated tenants.
    """

    def __init__(self, tenants: Iterable[TenantRecord]) -> None:
        """Create the scopes of a configuration's tenants."""
        known = list(tenants)
        self.isolated = frozenset(tenant.name for tenant in known if tenant.isolated)
        self._sharing = frozenset(tenant.name for tenant in known) - self.isolated
        self._shared_suffix = f":{_set_digest(self.isolated)}" if self.isolated else ""

    def scope(self, model: str, tenant: TenantRecord | None) -> str:
        """Scope of a request's prompt state; `cache_salt` adds the weight version of the server.

        A tenant that the configuration doesn't name any more shares nothing.

        Args:
            model: Model of the request.
            tenant: Its tenant, None on public routes.
        """
        if tenant is None or tenant.name in self._sharing:
            return f"{_shared(model)}{self._shared_suffix}"
        return _own(model, tenant)


def sharing_group(model: str, tenant: TenantRecord | None) -> str:
    """Whose requests may have prompt parts in common; unaffected by the isolation of others.

    What is known of a part itself is kept by this group; its cached state is kept by scope.
    """
    return _own(model, tenant) if tenant is not None and tenant.isolated else _shared(model)


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


def _shared(model: str) -> str:
    return f"{_escaped(model)}:shared"


def _own(model: str, tenant: TenantRecord) -> str:
    return f"{_escaped(model)}{_ONE_TENANT}{tenant.name}"


def _escaped(model: str) -> str:
    return model.replace(":", "%3A")


def _set_digest(names: frozenset[str]) -> str:
    """Hex digest of a set of names."""
    digest = blake3()
    for name in sorted(names):
        encoded = name.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.hexdigest(length=SET_DIGEST_BYTES)
