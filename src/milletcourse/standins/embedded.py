"""A small deployment in one process over loopback, for the demo and for tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from milletcourse.policy.compiled import hash_key
from milletcourse.router_process import RouterServer
from milletcourse.settings import RouterSettings
from milletcourse.standins.application import AppLedger
from milletcourse.standins.engine_core import EngineProfile
from milletcourse.standins.processes import (
    ApplicationServer,
    EngineServer,
    KvStoreServer,
    PlatformServer,
)

CLUSTER_KEY = "embedded-cluster-key-0123456789"
HOST = "127.0.0.1"
READY_POLL_SECONDS = 0.02
MODEL = "roster-large"
WEIGHT_VERSION = "1"
PLACES = ("bangkok-a", "bangkok-b", "bangkok-c")
TENANT_KEYS = {"nurses": "key-nurses", "security": "key-security"}
OPERATOR_KEY = "key-operator"

Document = tuple[str, str, dict[str, Any]]


@dataclass(slots=True)
class EmbeddedCluster:
    """Platform, KV store, three engines, an application server and routers."""

    profile: EngineProfile = field(
        default_factory=lambda: EngineProfile(prefill_tokens_per_second=40_000.0)
    )
    router_count: int = 2
    platform: PlatformServer = field(init=False)
    kv_store: KvStoreServer = field(init=False)
    engines: list[EngineServer] = field(init=False)
    application: ApplicationServer = field(init=False)
    routers: list[RouterServer] = field(init=False, default_factory=list)
    ledger: AppLedger = field(init=False, default_factory=AppLedger)

    async def start(self) -> None:
        """Start all servers and wait until the routers are ready."""
        self.platform = PlatformServer(HOST, 0)
        self.kv_store = KvStoreServer(HOST, 0)
        self.application = ApplicationServer(HOST, 0, self.ledger)
        self.engines = [
            EngineServer(f"engine-{index}", HOST, 0, self.profile, {MODEL: WEIGHT_VERSION})
            for index in range(len(PLACES))
        ]
        servers = [self.platform, self.kv_store, self.application, *self.engines]
        await asyncio.gather(*(server.start() for server in servers))
        for index in range(self.router_count):
            self.routers.append(RouterServer(self.router_settings(index)))
        self.platform.app.core.load(self.documents())
        await asyncio.gather(*(router.start() for router in self.routers))
        while not all(
            router.node.store.revision and router.node.is_fresh() for router in self.routers
        ):
            await asyncio.sleep(READY_POLL_SECONDS)

    def router_settings(self, index: int) -> RouterSettings:
        """Return the settings of one router."""
        return RouterSettings(
            name=f"router-{index}",
            place=PLACES[index % len(PLACES)],
            platform=self.platform.address,
            peers=tuple(router.address for router in self.routers),
            cluster_key=CLUSTER_KEY,
            drain_seconds=0.1,
        )

    def documents(self) -> list[Document]:
        """Return the policy objects of the deployment."""
        members = [
            {"name": f"router-{index}", "address": router.address, "place": PLACES[index % 3]}
            for index, router in enumerate(self.routers)
        ]
        return deployment_documents(
            engines=[server.address for server in self.engines],
            kv_store=self.kv_store.address,
            application=self.application.address,
            members=members,
        )

    async def stop(self) -> None:
        """Stop all servers gracefully, routers first."""
        for router in self.routers:
            await router.stop()
        for engine in self.engines:
            await engine.stop()
        for server in (self.application, self.kv_store, self.platform):
            await server.stop()


def deployment_documents(
    engines: list[str], kv_store: str, application: str, members: list[dict[str, str]]
) -> list[Document]:
    """Return policy objects: nurses share prefixes in two places, security runs in a third.

    Args:
        engines: Engine addresses, one for each of `PLACES`.
        kv_store: Address of the KV store.
        application: Address of the roster application.
        members: Members of the router set.
    """
    documents: list[Document] = [
        ("Place", name, {"labels": {"zone": name}, "region": "central"}) for name in PLACES
    ]
    documents.append(("Model", MODEL, {"weight_version": WEIGHT_VERSION}))
    for tenant, key in TENANT_KEYS.items():
        spec = {"labels": {"group": tenant}, "key_hashes": [hash_key(key)]}
        documents.append(("Tenant", tenant, spec))
    operator = {"key_hashes": [hash_key(OPERATOR_KEY)], "operator": True}
    documents.append(("Tenant", "operators", operator))
    for index, address in enumerate(engines):
        spec = {
            "address": address,
            "place": PLACES[index],
            "models": [MODEL],
            "labels": {"pool": "shared" if index < 2 else "guarded"},
        }
        documents.append(("Engine", f"engine-{index}", spec))
    documents.append(("KvStore", "kv-store", {"address": kv_store, "place": PLACES[0]}))
    roster = {"application": "roster", "address": application, "place": PLACES[0]}
    documents.append(("AppServer", "roster-0", roster))
    documents.extend(_workloads())
    documents.append(("RouterSet", "default", {"epoch": 1, "members": members}))
    return documents


def _workloads() -> list[Document]:
    nurses = {"matchLabels": {"group": "nurses"}}
    security = {"matchLabels": {"group": "security"}}
    return [
        (
            "Workload",
            "nurse-checks",
            {
                "match": {"tenants": nurses, "models": [MODEL]},
                "run": {"engines": {"matchLabels": {"pool": "shared"}}},
                "reuse": {"tenants": nurses},
            },
        ),
        (
            "Workload",
            "security-checks",
            {
                "match": {"tenants": security, "models": [MODEL]},
                "run": {"engines": {"matchLabels": {"pool": "guarded"}}},
            },
        ),
        (
            "Workload",
            "swaps",
            {"match": {"tenants": nurses, "applications": ["roster"]}, "repeatable": False},
        ),
    ]
