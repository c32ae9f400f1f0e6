"""Computes the effect of changing one object before the change is made."""

from __future__ import annotations

import msgspec

from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.policy.objects import ObjectKey, Spec


class PolicyEffect(msgspec.Struct, frozen=True):
    """Back ends that a workload gains or loses.

    Attributes:
        workload: Name of the workload.
        gains: Back ends permitted only after the change.
        loses: Back ends permitted only before the change.
    """

    workload: str
    gains: tuple[str, ...]
    loses: tuple[str, ...]


def effect_of(
    policy: CompiledPolicy, kind: str, name: str, spec: Spec | None
) -> tuple[PolicyEffect, ...]:
    """Effects of putting (or with None deleting) one object, by workload."""
    before = permitted_backends(policy)
    changed = CompiledPolicy()
    for key, present in policy.objects():
        if key.kind != "Tenant":
            changed.apply(key, present)
    changed.apply(ObjectKey(kind, name), spec)
    after = permitted_backends(changed)
    effects = []
    for workload in sorted(before.keys() | after.keys()):
        old = before.get(workload, frozenset())
        new = after.get(workload, frozenset())
        if old != new:
            effects.append(
                PolicyEffect(workload, tuple(sorted(new - old)), tuple(sorted(old - new)))
            )
    return tuple(effects)


def permitted_backends(policy: CompiledPolicy) -> dict[str, frozenset[str]]:
    """Permitted back ends by workload, over all its models and applications."""
    permitted = {}
    for workload, rules in policy.workloads.items():
        names = set()
        for name, engine in policy.engines.items():
            serves = any(model in rules.match.models for model in engine.models)
            if serves and not engine.leaving and policy.mismatch(rules, engine) is None:
                names.add(name)
        for name, server in policy.app_servers.items():
            serves = server.application in rules.match.applications
            if serves and not server.leaving and policy.mismatch(rules, server) is None:
                names.add(name)
        permitted[workload] = frozenset(names)
    return permitted
