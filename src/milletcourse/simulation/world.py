"""A simulated cluster: production routers and stand-ins of back ends on an in-memory network."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable

from milletcourse.backends.engine_messages import EngineCompletion
from milletcourse.backends.platform_messages import MachineState
from milletcourse.node import RouterNode
from milletcourse.policy.objects import StoredObject
from milletcourse.runtime.memory_http import MemoryHttpClient
from milletcourse.runtime.memory_network import (
    HostClock,
    MemoryHost,
    MemoryNetwork,
    open_memory_datagrams,
)
from milletcourse.runtime.random_source import derived_random_source
from milletcourse.settings import RouterSettings
from milletcourse.simulation.cluster_records import (
    AcceptRecord,
    GroundTruth,
    SimulatedEngine,
    SimulatedRouter,
)
from milletcourse.simulation.crashing_prompts import CrashingPrompts
from milletcourse.simulation.deployment import MODEL, PLACES, policy_documents
from milletcourse.simulation.outcome import Trace, Violation
from milletcourse.standins.application import AppLedger, ApplicationApp
from milletcourse.standins.engine_app import EngineApp
from milletcourse.standins.engine_core import EngineCore, EngineProfile, ReuseRecord
from milletcourse.standins.engine_resources import engine_application
from milletcourse.standins.kv_store import KvStoreApp, KvStoreCore
from milletcourse.standins.platform_app import PlatformApp
from milletcourse.standins.platform_core import PlatformCore

EPOCH_SECONDS = 1_800_000_000.0
CLUSTER_KEY = "simulation-cluster-key"
MAX_SKEW_SECONDS = 0.2
"""Largest offset of a host's clock, within the skew that the routers assume."""
ENGINE_POOLS = ("shared", "shared", "shared", "guarded", "guarded")
ROUTERS = 3
APP_SERVERS = 2
REPLICA_WARM_UP_SECONDS = 2.0
"""Wait before sending writes: replicas vote only on keys minted some time after their start."""
ENGINE_PROFILE = EngineProfile(
    capacity_blocks=48,
    prefill_tokens_per_second=30_000.0,
    import_seconds_per_block=0.004,
    load_seconds=0.5,
)


NodeFactory = Callable[..., RouterNode]


class World:
    """The simulated cluster and the faults that scenarios inject.

    Args:
        seed: Seed of all random sources.
        node_factory: Creates routers; tests pass known-bad variants.
        engine_pools: Label `pool` of each engine.
    """

    def __init__(
        self,
        seed: int,
        node_factory: NodeFactory = RouterNode,
        engine_pools: tuple[str, ...] = ENGINE_POOLS,
        profile: EngineProfile = ENGINE_PROFILE,
    ) -> None:
        self.seed = seed
        self.trace = Trace()
        self.truth = GroundTruth()
        self.violations: list[Violation] = []
        self.crashing_prompts = CrashingPrompts(self._kill_engine_named, self._restart_engine_named)
        self.random = derived_random_source(seed, "world")
        self.network = MemoryNetwork(derived_random_source(seed, "network"))
        self.routers: list[SimulatedRouter] = []
        self.engines: list[SimulatedEngine] = []
        self.ledger = AppLedger()
        self.platform_last_fault_at = float("-inf")
        self._node_factory = node_factory
        self._pools = engine_pools
        self._profile = profile
        self._incarnations = 0

    # -- building -------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start all processes and wait until all routers are ready."""
        self.platform_host = self.network.add_host("platform", PLACES[0])
        self.platform = PlatformApp(PlatformCore(), self._clock(self.platform_host))
        self.platform.core.on_commit = self._on_commit
        self.platform_host.application = self.platform.application
        self.store_host = self.network.add_host("kv-store", PLACES[0])
        self.store = KvStoreApp(KvStoreCore(), self._clock(self.store_host))
        self.store_host.application = self.store.application
        self.client_host = self.network.add_host("clients", PLACES[0])
        self._start_applications()
        for index, pool in enumerate(self._pools):
            host = self.network.add_host(f"engine-{index}", PLACES[index % len(PLACES)])
            self.engines.append(await self._start_engine(host, "1", pool))
        hosts = [
            self.network.add_host(f"router-{index}", PLACES[index % len(PLACES)])
            for index in range(ROUTERS)
        ]
        self.platform.core.load(self._documents(hosts))
        for host in hosts:
            self.routers.append(await self._start_router(host))
        await self.wait_until(
            lambda: all(item.node.store.revision and item.node.is_fresh() for item in self.routers)
        )
        await asyncio.sleep(REPLICA_WARM_UP_SECONDS)

    def _documents(self, routers: list[MemoryHost]) -> list[tuple[str, str, dict[str, object]]]:
        engines = {
            item.name: (item.host.address, item.host.place, pool)
            for item, pool in zip(self.engines, self._pools, strict=True)
        }
        servers = {host.name: (host.address, host.place) for host in self.app_hosts}
        members = [
            {"name": host.name, "address": host.address, "place": host.place} for host in routers
        ]
        return policy_documents(engines, self.store_host.address, servers, members)

    def _start_applications(self) -> None:
        self.app_hosts = []
        self.applications = []
        for index in range(APP_SERVERS):
            host = self.network.add_host(f"app-{index}", PLACES[index])
            application = ApplicationApp(self.ledger, self._clock(host))
            host.application = application.application
            self.app_hosts.append(host)
            self.applications.append(application)

    async def _start_engine(self, host: MemoryHost, version: str, pool: str) -> SimulatedEngine:
        self._incarnations += 1
        core = EngineCore(self._profile, f"{host.name}/{self._incarnations}")
        core.loaded[MODEL] = version
        app = EngineApp(
            host.name,
            core,
            self._clock(host),
            MemoryHttpClient(host),
            self._random_for(host.name),
        )
        app.on_accept = functools.partial(self._on_accept, host.name)
        host.application = engine_application(app)
        await app.start()
        return SimulatedEngine(host.name, host, app, version)

    async def _start_router(self, host: MemoryHost) -> SimulatedRouter:
        self._incarnations += 1
        peers = tuple(item.host.address for item in self.routers if item.host is not host)
        settings = RouterSettings(
            name=host.name,
            place=host.place,
            platform=self.platform_host.address,
            peers=peers,
            cluster_key=CLUSTER_KEY,
        )
        node = self._node_factory(
            settings, self._clock(host), MemoryHttpClient(host), self._random_for(host.name)
        )
        host.application = node.application
        await node.start(host.address, functools.partial(open_memory_datagrams, host))
        now = self.now()
        return SimulatedRouter(host.name, host, node, now, now)

    def _clock(self, host: MemoryHost) -> HostClock:
        skew = derived_random_source(self.seed, "skew", host.name)
        return HostClock(host, EPOCH_SECONDS, skew.uniform(-MAX_SKEW_SECONDS, MAX_SKEW_SECONDS))

    def _random_for(self, name: str) -> random.Random:
        return derived_random_source(self.seed, name, str(self._incarnations))

    # -- time and observation -------------------------------------------------------------------

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the wall time of a clock without skew, in seconds."""
        return EPOCH_SECONDS + self.now()

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float = 60) -> None:
        """Poll a condition on the virtual clock until it holds."""
        async with asyncio.timeout(timeout_seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def record_event(self, text: str) -> None:
        """Add an event to the trace."""
        self.trace.add(self.now(), text)

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violated invariant."""
        self.violations.append(Violation(invariant, round(self.now(), 3), detail))
        self.record_event(f"violation {invariant} {detail}")

    def _on_accept(self, engine: str, completion: EngineCompletion) -> None:
        self.crashing_prompts.on_accept(engine, completion.prompt)
        self.truth.accepts.append(
            AcceptRecord(self.now(), engine, completion.tenant, completion.request_id)
        )

    def _kill_engine_named(self, name: str) -> None:
        self.kill_engine(self._engine_index(name))

    async def _restart_engine_named(self, name: str) -> None:
        index = self._engine_index(name)
        if not self.engines[index].host.alive:
            await self.restart_engine(index)

    def _engine_index(self, name: str) -> int:
        return [engine.name for engine in self.engines].index(name)

    def _on_commit(self, revision: int) -> None:
        self.truth.commits[revision] = self.now()

    # -- faults ---------------------------------------------------------------------------------

    def kill_router(self, index: int) -> None:
        """Simulate a SIGKILL of a router process."""
        router = self.routers[index]
        if not router.host.alive:
            return
        self.record_event(f"kill {router.name}")
        router.node.tasks.cancel_all()
        router.host.kill()

    async def restart_router(self, index: int) -> None:
        """Start a new router process at the same address, after a kill if the former one runs."""
        former = self.routers[index]
        if former.host.alive:
            self.kill_router(index)
        self.record_event(f"start {former.name}")
        self.routers[index] = await self._start_router(self.network.replace_host(former.host))

    async def stop_router(self, index: int) -> None:
        """Drain a router and stop it."""
        router = self.routers[index]
        self.record_event(f"stop {router.name}")
        await router.node.drain()
        await router.host.finish_requests()
        await router.node.close()
        router.host.kill()

    def kill_engine(self, index: int) -> None:
        """Simulate a SIGKILL of an engine process."""
        engine = self.engines[index]
        if not engine.host.alive:
            return
        self.record_event(f"kill {engine.name}")
        self._collect_reuse(engine)
        engine.app.kill()
        engine.host.kill()

    def _collect_reuse(self, engine: SimulatedEngine) -> None:
        self.truth.reuse.extend(engine.app.core.counters.reuse)
        engine.reuse_collected = True

    async def restart_engine(self, index: int) -> None:
        """Start a new engine process with an empty cache at the same address."""
        former = self.engines[index]
        if former.host.alive:
            self.kill_engine(index)
        self.record_event(f"start {former.name}")
        host = self.network.replace_host(former.host)
        version = self.desired_version()
        self.engines[index] = await self._start_engine(host, version, "")
        self.truth.draining_since.pop(former.name, None)

    async def stop_engine(self, index: int) -> None:
        """Drain and stop an engine; the engine and the platform's machine list report the drain."""
        engine = self.engines[index]
        self.record_event(f"stop {engine.name}")
        self.mark_machine_leaving(engine.name)
        await engine.app.stop()
        await engine.host.finish_requests()
        self._collect_reuse(engine)
        engine.host.kill()

    def mark_machine_leaving(self, name: str) -> None:
        """Mark a machine as leaving in the platform's list, which shows it after its lag."""
        self.platform.core.set_machine(name, MachineState.DRAINING, self.now())
        shown_at = self.now() + self.platform.machine_lag_seconds
        self.truth.draining_since.setdefault(name, shown_at)

    def freeze(self, router: SimulatedRouter) -> None:
        """Suspend the host of a router."""
        self.record_event(f"freeze {router.name}")
        router.host.freeze()

    def thaw(self, router: SimulatedRouter) -> None:
        """Resume the host of a router."""
        self.record_event(f"thaw {router.name}")
        router.host.thaw()
        router.last_fault_at = self.now()

    def partition_router(self, router: SimulatedRouter, inbound: bool, outbound: bool) -> None:
        """Partition a router from all hosts except the clients."""
        self.record_event(f"cut {router.name} in={inbound} out={outbound}")
        others = [item for item in self.all_hosts() if item not in (router.host, self.client_host)]
        if inbound:
            self.network.partition(others, [router.host])
        if outbound:
            self.network.partition([router.host], others)

    def heal(self) -> None:
        """Remove all network partitions."""
        self.record_event("heal")
        self.network.heal()
        for router in self.routers:
            router.last_fault_at = self.now()

    def all_hosts(self) -> list[MemoryHost]:
        """Return all hosts."""
        hosts = [self.platform_host, self.store_host, self.client_host, *self.app_hosts]
        hosts += [item.host for item in self.engines]
        return hosts + [item.host for item in self.routers]

    def set_platform_fault(self, down: bool = False, slow_seconds: float = 0.0) -> None:
        """Make the platform unavailable or slow; the default values clear the fault."""
        self.record_event(f"platform down={down} slow={slow_seconds}")
        self.platform.faults.down = down
        self.platform.faults.slow_seconds = slow_seconds
        self.platform.notify_watches()
        self.platform_last_fault_at = self.now()

    def desired_version(self) -> str:
        """Return the weight version in the platform's Model object."""
        stored: StoredObject | None = self.platform.core.get("Model", MODEL)
        return str(stored.spec["weight_version"]) if stored else "1"

    # -- end ------------------------------------------------------------------------------------

    def all_reuse(self) -> list[ReuseRecord]:
        """Return the reuse records of all engines, running and stopped."""
        records = list(self.truth.reuse)
        for engine in self.engines:
            if not engine.reuse_collected:
                records.extend(engine.app.core.counters.reuse)
        return records

    async def stop(self) -> None:
        """Stop all processes and cancel their tasks."""
        for router in self.routers:
            if router.host.alive:
                await router.node.close()
        for engine in self.engines:
            engine.app.kill()
        for host in self.all_hosts():
            if host.alive:
                host.kill()
        await asyncio.sleep(0.1)
