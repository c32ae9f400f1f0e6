"""Explains which back ends a tenant's request may use, with the reason for each refusal."""

from __future__ import annotations

import msgspec
from returns.result import Result

from milletcourse.errors import Failure
from milletcourse.policy.compiled import CompiledPolicy, Permission, RequestFacts


class BackendVerdict(msgspec.Struct, frozen=True):
    """Whether a request may run on one back end.

    Attributes:
        name: Engine or application server.
        place: Its place.
        permitted: The verdict.
        reason: Reason of a refusal; empty when permitted.
    """

    name: str
    place: str
    permitted: bool
    reason: str


class Explanation(msgspec.Struct, frozen=True):
    """The policy's decision for one request of a tenant."""

    tenant: str
    workload: str
    backends: tuple[BackendVerdict, ...]
    reuse_tenants: tuple[str, ...]
    reuse_scope: str


def explain(policy: CompiledPolicy, facts: RequestFacts) -> Result[Explanation, Failure]:
    """Explain the result of `CompiledPolicy.permit`, with the reason for each refused back end."""
    return policy.permit(facts).map(lambda permission: _explanation(policy, facts, permission))


def _explanation(
    policy: CompiledPolicy, facts: RequestFacts, permission: Permission
) -> Explanation:
    return Explanation(
        tenant=facts.tenant,
        workload=permission.workload,
        backends=tuple(_verdicts(policy, facts, permission)),
        reuse_tenants=tuple(sorted(policy.scope_tenants(facts.tenant, permission.rules))),
        reuse_scope=permission.reuse_scope.hex(),
    )


def _verdicts(
    policy: CompiledPolicy, facts: RequestFacts, permission: Permission
) -> list[BackendVerdict]:
    verdicts = []
    if facts.application:
        for name, server in sorted(policy.app_servers.items()):
            reason = policy.mismatch(permission.rules, server) or ""
            if server.application != facts.application:
                reason = f"serves application {server.application}"
            verdicts.append(BackendVerdict(name, server.place, not reason, reason))
        return verdicts
    for name, engine in sorted(policy.engines.items()):
        reason = policy.mismatch(permission.rules, engine) or ""
        if facts.model not in engine.models:
            reason = f"does not serve model {facts.model}"
        verdicts.append(BackendVerdict(name, engine.place, not reason, reason))
    return verdicts
