"""Selectors, permissions, reuse scopes, explanations and typed refusals of invalid objects."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from milletcourse.errors import NoMatchingWorkload, Unauthenticated, UnknownModel
from milletcourse.policy.compiled import CompiledPolicy, RequestFacts, hash_key
from milletcourse.policy.effect import effect_of
from milletcourse.policy.explain import explain
from milletcourse.policy.objects import ObjectKey, parse_spec
from milletcourse.policy.selectors import Expression, Operator, Selector
from milletcourse.simulation.deployment import care_workload, policy_documents


def compiled(documents: list[tuple[str, str, dict[str, Any]]]) -> CompiledPolicy:
    """Compile documents."""
    policy = CompiledPolicy()
    for kind, name, spec in documents:
        policy.apply(ObjectKey(kind, name), parse_spec(kind, name, spec).unwrap())
    return policy


def deployment() -> CompiledPolicy:
    """The simulated deployment's policy."""
    engines = {
        "engine-0": ("10.0.0.1:80", "place-a", "shared"),
        "engine-1": ("10.0.0.2:80", "place-b", "guarded"),
    }
    members = [{"name": "router-0", "address": "10.0.0.9:80", "place": "place-a"}]
    return compiled(
        policy_documents(engines, "10.0.0.3:80", {"app-0": ("10.0.0.4:80", "place-a")}, members)
    )


def test_selector_semantics() -> None:
    """In requires the label, NotIn matches an absent one, as in the Kubernetes API."""
    expressions = (
        Expression("tier", Operator.IN, ("a", "b")),
        Expression("zone", Operator.NOT_IN, ("x",)),
        Expression("gpu", Operator.EXISTS),
        Expression("old", Operator.DOES_NOT_EXIST),
    )
    selector = Selector({"team": "care"}, expressions)
    good = {"team": "care", "tier": "a", "gpu": ""}
    assert selector.matches(good)
    for change in ({"team": "x"}, {"tier": "c"}, {"zone": "x"}, {"old": "1"}):
        assert not selector.matches({**good, **change})
    assert not selector.matches({key: value for key, value in good.items() if key != "gpu"})


def test_permissions_are_closed_by_default() -> None:
    """Unknown keys, unknown models and tenants without a workload get their own failure types."""
    policy = deployment()
    assert policy.authenticate("key-care-a").unwrap() == "care-a"
    assert isinstance(policy.authenticate("nope").failure(), Unauthenticated)
    permission = policy.permit(RequestFacts("care-a", "planner")).unwrap()
    assert permission.backend_set.names == ("engine-0",)
    assert isinstance(policy.permit(RequestFacts("care-a", "nope")).failure(), UnknownModel)
    refused = policy.permit(RequestFacts("operators", "planner"))
    assert isinstance(refused.failure(), NoMatchingWorkload)


def test_explanation_names_each_engine() -> None:
    """The verdict and reason per engine, and the tenants whose prefixes may be reused."""
    explanation = explain(deployment(), RequestFacts("care-a", "planner")).unwrap()
    verdicts = {item.name: item for item in explanation.backends}
    assert verdicts["engine-0"].permitted
    assert "pool" in verdicts["engine-1"].reason
    assert explanation.reuse_tenants == ("care-a", "care-b", "care-c")


def test_effect_shows_gained_and_lost_engines() -> None:
    """A dry run reports the engines that a wider selector would permit."""
    spec = parse_spec("Workload", "care-checks", care_workload(("shared", "guarded"))).unwrap()
    (effect,) = effect_of(deployment(), "Workload", "care-checks", spec)
    assert (effect.gains, effect.loses) == (("engine-1",), ())


def test_invalid_objects_are_refused_with_the_key() -> None:
    """Unknown kinds, unknown fields and wrong types name the invalid key."""
    for kind, spec, key in (
        ("Nope", {}, "kind"),
        ("Engine", {"address": "x", "place": "p", "colour": 1}, "Engine.e"),
        ("Tenant", {"weight": "heavy"}, "Tenant.e.weight"),
    ):
        result = parse_spec(kind, "e", spec)
        assert not is_successful(result)
        assert result.failure().key == key


TENANTS = ("one", "two", "three")


@given(st.lists(st.tuples(st.sampled_from(TENANTS), st.booleans()), max_size=12))
def test_incremental_scope_equals_a_rebuild(steps: list[tuple[str, bool]]) -> None:
    """The scope depends only on the current set of tenants, not on the order of changes."""
    policy = deployment()
    state: dict[str, bool] = {}
    for name, member in steps:
        state[name] = member
        labels = {"group": "care"} if member else {}
        spec = parse_spec("Tenant", name, {"labels": labels, "key_hashes": [hash_key(name)]})
        policy.apply(ObjectKey("Tenant", name), spec.unwrap())
    rebuilt = deployment()
    for name, member in sorted(state.items()):
        labels = {"group": "care"} if member else {}
        spec = parse_spec("Tenant", name, {"labels": labels, "key_hashes": [hash_key(name)]})
        rebuilt.apply(ObjectKey("Tenant", name), spec.unwrap())
    rules = policy.workloads["care-checks"]
    for tenant in ("care-a", *state):
        assert policy.reuse_scope(tenant, rules) == rebuilt.reuse_scope(tenant, rules)
        shares = state.get(tenant, True)
        assert (tenant in policy.scope_tenants("care-a", rules)) == shares


def test_scope_changes_when_a_tenant_is_removed() -> None:
    """The remaining tenants can't reuse prefixes cached under the previous set."""
    policy = deployment()
    rules = policy.workloads["care-checks"]
    before = policy.reuse_scope("care-a", rules)
    policy.apply(ObjectKey("Tenant", "care-c"), parse_spec("Tenant", "care-c", {}).unwrap())
    assert policy.reuse_scope("care-a", rules) != before
