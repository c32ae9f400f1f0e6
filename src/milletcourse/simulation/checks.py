"""Invariant checks over the ground truth that the stand-ins record, not over routers' state."""

from __future__ import annotations

import asyncio

from returns.pipeline import is_successful

from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.policy.objects import ObjectKey, parse_spec
from milletcourse.simulation.clients import ClientTotals
from milletcourse.simulation.cluster_records import AcceptRecord, SimulatedRouter
from milletcourse.simulation.deployment import MODEL
from milletcourse.simulation.world import World

CONFIGURATION_BOUND_SECONDS = 5.0
"""An accepted change is in force at every router within this time, at current cluster sizes."""
DRAINING_BOUND_SECONDS = 3.0
"""A draining back end must get no new work later than this after routers can see the drain."""
ACCEPT_DELAY_SECONDS = 0.5
"""Time from a router's decision to the engine's acceptance, for connecting and retries."""
REFUSAL_BOUND_SECONDS = 0.02
"""Network time of a refusal that needs no back end; the router adds no delay of its own."""
MONITOR_INTERVAL_SECONDS = 0.1
FAULT_RECOVERY_SECONDS = 6.0


class PolicyHistory:
    """The policy at each revision, compiled from the platform's journal of changes."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._policies: dict[int, CompiledPolicy] = {}

    def at_revision(self, revision: int) -> CompiledPolicy:
        """Return the policy of one revision."""
        policy = self._policies.get(revision)
        if policy is None:
            policy = CompiledPolicy()
            for change in self._world.platform.core.journal:
                if change.revision > revision:
                    break
                key = ObjectKey(change.kind, change.name)
                if change.spec is None:
                    policy.apply(key, None)
                    continue
                parsed = parse_spec(change.kind, change.name, change.spec)
                policy.apply(key, parsed.unwrap() if is_successful(parsed) else None)
            self._policies[revision] = policy
        return policy

    def current_within(self, start: float, end: float) -> list[CompiledPolicy]:
        """Return the policies that were the latest committed one at some time in an interval."""
        commits = sorted(self._world.truth.commits.items())
        policies = []
        for index, (revision, at_seconds) in enumerate(commits):
            superseded_at = commits[index + 1][1] if index + 1 < len(commits) else float("inf")
            if at_seconds <= end and superseded_at >= start:
                policies.append(self.at_revision(revision))
        return policies


class ConfigurationMonitor:
    """Checks the routers' configuration revisions while a scenario runs."""

    def __init__(self, world: World, check_bound: bool = True) -> None:
        self._world = world
        self._check_bound = check_bound
        self._highest: dict[tuple[str, int], int] = {}

    async def run(self) -> None:
        """Check all running routers periodically until cancelled."""
        while True:
            for router in self._world.routers:
                if router.host.alive:
                    self._check(router)
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)

    def _check(self, router: SimulatedRouter) -> None:
        revision = router.node.store.revision
        key = (router.name, router.node.incarnation)
        if revision < self._highest.get(key, 0):
            self._world.record_violation(
                "configuration-never-reverts", f"{router.name} at {revision}"
            )
        self._highest[key] = max(revision, self._highest.get(key, 0))
        if self._check_bound and not self._is_affected_by_fault(router):
            self._check_in_force(router, revision)

    def _is_affected_by_fault(self, router: SimulatedRouter) -> bool:
        world = self._world
        now = world.now()
        if router.host.frozen or now - router.last_fault_at < FAULT_RECOVERY_SECONDS:
            return True
        faults = world.platform.faults
        if (
            faults.down
            or faults.slow_seconds
            or world.platform.visible_core is not world.platform.core
        ):
            return True
        if now - world.platform_last_fault_at < FAULT_RECOVERY_SECONDS:
            return True
        return any(
            world.network.is_partitioned(router.host, other)
            or world.network.is_partitioned(other, router.host)
            for other in world.all_hosts()
        )

    def _check_in_force(self, router: SimulatedRouter, revision: int) -> None:
        deadline = self._world.now() - CONFIGURATION_BOUND_SECONDS
        due_revisions = [
            number for number, at in self._world.truth.commits.items() if at <= deadline
        ]
        if due_revisions and revision < max(due_revisions):
            self._world.record_violation(
                "configuration-in-force",
                f"{router.name} at {revision}, {max(due_revisions)} accepted before {deadline:.1f}",
            )


def check_reuse(world: World, history: PolicyHistory) -> None:
    """No request reuses a KV block of another reuse scope or of another weight version."""
    policies = [history.at_revision(revision) for revision in world.truth.commits]
    for record in world.all_reuse():
        allowed: set[str] = set()
        for policy in policies:
            for rules in policy.workloads.values():
                if MODEL in rules.match.models and record.tenant in policy.tenants:
                    allowed |= policy.scope_tenants(record.tenant, rules)
        for source in record.sources:
            if source.weight_version != record.weight_version:
                world.record_violation("no-older-weights", f"{record.request_id} {source}")
            if source.tenant not in allowed:
                world.record_violation("no-other-tenant", f"{record.tenant} reused {source.tenant}")


def check_placement(world: World, history: PolicyHistory) -> None:
    """A policy in force within the configuration bound permits each accepted request."""
    for accept in world.truth.accepts:
        start = accept.at_seconds - CONFIGURATION_BOUND_SECONDS - ACCEPT_DELAY_SECONDS
        policies = history.current_within(start, accept.at_seconds)
        if not any(_permits(policy, accept) for policy in policies):
            world.record_violation(
                "placement", f"{accept.tenant} at {accept.engine}, {accept.at_seconds:.2f}"
            )


def _permits(policy: CompiledPolicy, accept: AcceptRecord) -> bool:
    tenant = policy.tenants.get(accept.tenant)
    engine = policy.engines.get(accept.engine)
    if tenant is None or engine is None:
        return False
    return any(
        MODEL in rules.match.models
        and rules.match.tenants.matches(tenant.labels)
        and policy.mismatch(rules, engine) is None
        for rules in policy.workloads.values()
    )


def check_draining(world: World) -> None:
    """A draining back end gets no new work after the bound."""
    for accept in world.truth.accepts:
        since = world.truth.draining_since.get(accept.engine)
        if since is not None and accept.at_seconds > since + DRAINING_BOUND_SECONDS:
            world.record_violation(
                "leaving-gets-no-work", f"{accept.engine} {accept.at_seconds - since:.1f}s after"
            )


def check_operations(world: World, totals: ClientTotals) -> None:
    """Writes ran at most once, acknowledged ones exactly once, and "not run" ones never."""
    executions = {key: len(runs) for key, runs in world.ledger.executions.items()}
    for key, count in executions.items():
        if count > 1:
            world.record_violation("at-most-once", f"{key} ran {count} times")
    for key in totals.done_keys:
        if executions.get(key, 0) != 1:
            world.record_violation("done-ran-once", f"{key} ran {executions.get(key, 0)} times")
    for key in totals.not_run_keys:
        if executions.get(key, 0):
            world.record_violation("not-run-is-true", f"write {key} ran")


def check_not_run_requests(world: World, totals: ClientTotals) -> None:
    """No inference request that was refused as not run reached an engine."""
    accepted = {accept.request_id for accept in world.truth.accepts}
    for request_id in totals.not_run_requests:
        if request_id in accepted:
            world.record_violation("not-run-is-true", f"request {request_id} reached an engine")


def check_refusals_immediate(world: World, totals: ClientTotals) -> None:
    """Refusals reach the client without delay."""
    for seconds in totals.refusal_seconds:
        if seconds > REFUSAL_BOUND_SECONDS:
            world.record_violation("refusal-immediate", f"took {seconds:.2f}s")


def check_all(world: World, totals: ClientTotals) -> None:
    """Run all checks that need the complete run."""
    history = PolicyHistory(world)
    check_reuse(world, history)
    check_placement(world, history)
    check_draining(world)
    check_operations(world, totals)
    check_not_run_requests(world, totals)
