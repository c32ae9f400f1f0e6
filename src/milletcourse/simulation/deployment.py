"""Policy objects of the simulated deployment."""

from __future__ import annotations

from typing import Any

from milletcourse.policy.compiled import hash_key

MODEL = "planner"
CARE_TENANTS = ("care-a", "care-b", "care-c")
GUARD_TENANT = "guard"
OPERATOR = "operators"
APPLICATION = "roster"
PLACES = ("place-a", "place-b", "place-c")
REGION = "central"

Document = tuple[str, str, dict[str, Any]]


def key_of(tenant: str) -> str:
    """Return the bearer key of a tenant."""
    return f"key-{tenant}"


def care_workload(pools: tuple[str, ...] = ("shared",)) -> dict[str, Any]:
    """Return the workload spec of the care tenants, which permits the given engine pools."""
    care = {"matchLabels": {"group": "care"}}
    expression = {"key": "pool", "operator": "In", "values": list(pools)}
    return {
        "match": {"tenants": care, "models": [MODEL]},
        "run": {"engines": {"matchExpressions": [expression]}},
        "reuse": {"tenants": care},
    }


def policy_documents(
    engines: dict[str, tuple[str, str, str]],
    kv_store: str,
    app_servers: dict[str, tuple[str, str]],
    members: list[dict[str, str]],
) -> list[Document]:
    """Return all policy objects of the deployment.

    Args:
        engines: Address, place and pool of each engine, by name.
        kv_store: Address of the KV store.
        app_servers: Address and place of each application server, by name.
        members: Members of the router set.
    """
    documents: list[Document] = [
        ("Place", name, {"labels": {"zone": name}, "region": REGION}) for name in PLACES
    ]
    documents.append(("Model", MODEL, {"weight_version": "1"}))
    for tenant in CARE_TENANTS:
        spec = {"labels": {"group": "care"}, "key_hashes": [hash_key(key_of(tenant))]}
        documents.append(("Tenant", tenant, spec))
    guard = {"labels": {"group": "guard"}, "key_hashes": [hash_key(key_of(GUARD_TENANT))]}
    documents.append(("Tenant", GUARD_TENANT, guard))
    operator = {"key_hashes": [hash_key(key_of(OPERATOR))], "operator": True}
    documents.append(("Tenant", OPERATOR, operator))
    for name, (address, place, pool) in engines.items():
        spec = {"address": address, "place": place, "models": [MODEL], "labels": {"pool": pool}}
        documents.append(("Engine", name, spec))
    documents.append(("KvStore", "kv-store", {"address": kv_store, "place": PLACES[0]}))
    for name, (address, place) in app_servers.items():
        server = {"application": APPLICATION, "address": address, "place": place}
        documents.append(("AppServer", name, server))
    documents.append(("Workload", "care-checks", care_workload()))
    documents.append(
        (
            "Workload",
            "guard-checks",
            {
                "match": {"tenants": {"matchLabels": {"group": "guard"}}, "models": [MODEL]},
                "run": {"engines": {"matchLabels": {"pool": "guarded"}}},
            },
        )
    )
    swaps = {"match": {"applications": [APPLICATION]}, "repeatable": False}
    documents.append(("Workload", "swaps", swaps))
    documents.append(("RouterSet", "default", {"epoch": 1, "members": members}))
    return documents
