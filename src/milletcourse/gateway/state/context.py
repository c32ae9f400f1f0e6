"""State and services that all parts of one gateway share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from milletcourse.exchange.counting.weighted_choice import WeightedChoice
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.limits.answer_memory import AnswerMemory
from milletcourse.exchange.limits.client_memory import ClientMemory
from milletcourse.exchange.limits.connection_share import connection_share
from milletcourse.exchange.limits.peer_usage import SummedPeerUsage
from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.limits.tenant_limits import TenantLimits
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.records import EdgeLimits, InstanceRecord, TenantRecord
from milletcourse.exchange.placement.cache_store_plan import CacheStorePlan
from milletcourse.exchange.placement.instance_selector import InstanceSelector
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.replication.configuration_effect import EffectHistory
from milletcourse.exchange.replication.configuration_lag import ConfigurationLag
from milletcourse.exchange.replication.confirmed_era import ConfirmedEra, EraEvidence
from milletcourse.exchange.replication.freshness import (
    ProofOfFreshness,
    ReplicationTimes,
    replication_times,
)
from milletcourse.exchange.replication.lost_configuration import LostConfiguration
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.exchange.servers.relay_selector import RelaySelector
from milletcourse.exchange.servers.server_paths import ServerPaths
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.crash_detector import CrashDetector
from milletcourse.gateway.servers.descriptors import descriptor_plan
from milletcourse.gateway.servers.path_monitor import PathMonitor
from milletcourse.gateway.servers.relay_client import RelayClient
from milletcourse.gateway.servers.server_links import ServerLinks
from milletcourse.gateway.servers.server_permits import ServerPermits
from milletcourse.gateway.servers.signal_monitor import SignalMonitor
from milletcourse.gateway.state.answer_rates import ServerAnswerRates
from milletcourse.gateway.state.cache_store_availability import CacheStoreAvailability
from milletcourse.gateway.state.gateway_stop import GatewayStop
from milletcourse.gateway.state.memory_plan import client_memory_bytes
from milletcourse.gateway.state.retry_budgets import RetryBudgets
from milletcourse.gateway.state.server_states import ServerStates
from milletcourse.gateway.state.settings import GatewaySettings
from milletcourse.gateway.state.stream_resumption import StreamResumption
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.gateway.telemetry.recorder import Recorder
from milletcourse.gateway.telemetry.unanswered import UnansweredRequest
from milletcourse.runtime.clock import SuspensionDetector, elapsed_seconds
from milletcourse.runtime.responsive_clock import ResponsiveClock
from milletcourse.runtime.turn_scheduler import PARSER_WORK_PER_ITERATION, TurnScheduler

FRESHNESS_MARGIN_SECONDS = 0.4
"""Keys are refused this long before the bound on revocation."""
ASSUMED_GATEWAYS = 10
"""Number of gateways that share the budgets and limits, assumed until the list is known."""
MAX_SHOWN_AGE_SECONDS = 999.0
"""Age shown when there has never been a proof."""
RETRY_AFTER_SECONDS = 0.2
RETRY_AFTER_SPREAD_SECONDS = 0.4
"""Random addition, so that refused clients don't all retry at the same time."""


class GatewayContext:
    """State and services of one gateway.

    Attributes:
        mechanisms: Mechanisms that are switched on.
        stop: The planned stop of this gateway.
        replication_times: Wait times and proof ages for replication of the object store.
        retry_budgets: Retries that this gateway may spend.
        descriptors: Partition of the file descriptors of this process.
        client_memory: What this process holds for its clients, and which requests give way.
        answer_memory: What it holds of answers, and which of them give way.
        parsing_turns: Shares the time for parsing requests and answers among all connections.
        paths: Which servers this gateway reaches itself.
        relays: The gateways through which it reaches the others.
        server_links: Connections to servers, direct ones and others.
        relayed_at: Monotonic time at which a connection was last relayed for another gateway.
        short_of_descriptors_until: Until this monotonic time client connections count as waiting to
            be accepted for lack of descriptors.
        responsive_clock: Time during which the event loop ran, by which timeouts on the silence of
            peers and servers are measured.
        lag: Which requests may be decided by the configuration in force while a newer one is being
            received.
        effects: Effects of the latest configuration changes.
        confirmed_era: Whether the configuration in the store is confirmed after a restore.
        lost_configuration: Which version the store holds, and which later one it has lost.
        reads_store: This gateway reads the store itself, so that it may serve followers.
        followed_reader: Name of the gateway that it follows instead; empty when there is none.
        cache_store_availability: Which prompt-cache stores answer.
        server_states: What this gateway has found out about the servers.
        stream_resumption: At which software version streams go on that clients resume.
        resume_listeners: Called when the machine has resumed from suspension.
        update_listeners: Called when there is an update that the other gateways need at once.
        on_restore_update: Called when this gateway has new information about a restore of the store
            that must be persisted for gateways that start after all others have stopped.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HeaderDialect,
        random_source: random.Random,
        log: EventLog,
        metrics: MetricsSink,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
    ) -> None:
        self.settings = settings
        self.mechanisms = mechanisms
        self.dialect = dialect
        self.random = random_source
        self.log = log
        self.record = Recorder(log, metrics, self._reported_state, self.now)
        self.route_table: RouteTable | None = None
        self.stop = GatewayStop(self.now)
        self.loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self.replication_times = self._replication_times_of(settings)
        self.reads_store = False
        self.followed_reader = ""
        self.freshness = ProofOfFreshness(
            self._key_bound(settings), bounds.fail_closed, self.replication_times.steady_state_age
        )
        self.lag = ConfigurationLag(bounds.config_apply)
        self.effects = EffectHistory()
        self.on_restore_update: Callable[[], None] = lambda: None
        self.confirmed_era = ConfirmedEra(self._on_era_confirmed)
        self.lost_configuration = LostConfiguration(lambda: self.configuration_version)
        self.instances = InstanceTable()
        self.resume_listeners: set[Callable[[], None]] = set()
        self._suspension_detector = SuspensionDetector()
        self.responsive_clock = ResponsiveClock()
        self.update_listeners: list[Callable[[], None]] = []
        self.server_signals = ServerSignals()
        retry_delays = PermitRetryDelays()
        self.signal_monitor = SignalMonitor(
            self.server_signals,
            retry_delays,
            self.instances,
            self.record,
            self._announce_update,
            self._on_draining,
        )
        self.gate = VersionGate(bounds.version)
        self.crash_evidence = CrashEvidence()
        self.loads = LoadExchange(settings.name, self.crash_evidence, self.server_signals)
        self.permits = ServerPermits(
            settings.name,
            self.server_signals,
            retry_delays,
            self.signal_monitor.on_reports,
            random_source,
            self.responsive_clock,
            self.now,
            lambda: self.members,
            metrics,
            self.instances,
            self.loads,
            lambda: self.refusing,
        )
        self.server_answer_rates = ServerAnswerRates(self.loads, mechanisms, self.now)
        self.tenant_limits = TenantLimits(
            SummedPeerUsage(self.loads, lambda: self.members), bounds.limit_tolerance
        )
        self.cache_stores = CacheStorePlan()
        self.cache_store_availability = CacheStoreAvailability(self.cache_stores, log)
        self.selector = InstanceSelector(
            self.instances,
            self.gate,
            self.loads,
            settings.zone,
            random_source,
            mechanisms,
            retry_delays,
        )
        self.weights = WeightedChoice(random_source)
        self.relayed_at = float("-inf")
        self.short_of_descriptors_until = float("-inf")
        self.descriptors = descriptor_plan(settings.max_descriptors)
        self.parsing_turns = TurnScheduler(PARSER_WORK_PER_ITERATION)
        self.client_memory = ClientMemory(client_memory_bytes(settings.memory_bytes))
        self.answer_memory = AnswerMemory(self.client_memory)
        self.pool = ConnectionPool(
            dialect,
            self._on_opened,
            self.record.paths.surplus_data,
            self.responsive_clock,
            self.descriptors.idle_servers,
            self._connection_quota,
            self.answer_memory,
            self.parsing_turns,
        )
        self.paths = ServerPaths()
        self.relays = RelaySelector(settings.zone, random_source)
        relay_client = RelayClient(
            settings.name,
            self.relays,
            dialect,
            self.responsive_clock,
            metrics,
            self.record.paths.surplus_data,
            self.answer_memory,
            self.parsing_turns,
        )
        path_monitor = PathMonitor(
            self.pool, self.paths, self.record.paths, self.instances.services_by_address
        )
        self.server_links = ServerLinks(self.pool, self.paths, path_monitor, relay_client)
        self.crash_detector = CrashDetector(
            self.crash_evidence, self.server_links, self.record, self._announce_update
        )
        self.server_states = ServerStates(
            self.instances,
            self.selector.candidates,
            self.paths,
            self.crash_detector,
            self.record,
            mechanisms,
        )
        self.stream_resumption = StreamResumption(
            settings.name,
            self._knows_servers,
            self.freshness.view_seconds,
            self.instances.has_software,
            self.responsive_clock,
            self.now,
            self.record.resumption,
        )
        self.instances.on_seen = self._on_server_seen
        self.gateways = 0
        self.retry_budgets = RetryBudgets(bounds, lambda: self.members, self.now)

    def now(self) -> float:
        """Monotonic seconds, including the time while the machine is suspended."""
        return elapsed_seconds()

    def handle_suspension(self) -> None:
        """Detect that the machine was suspended, before anything is served, sent or renewed.

        Deadlines are kept on a clock that includes the suspension, so they have passed already;
        timers were stopped, and are set again by the listeners.
        """
        suspended_seconds = self._suspension_detector.take_suspension_seconds()
        if not suspended_seconds:
            return
        self.record.resumed_after_suspension(suspended_seconds)
        for listener in list(self.resume_listeners):
            listener()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed bounds; addresses stay as they are until a restart."""
        bounds = settings.bounds
        self.settings = settings
        self.replication_times = self._replication_times_of(settings)
        self.freshness.set_bound(
            self._key_bound(settings), bounds.fail_closed, self.replication_times.steady_state_age
        )
        self.stream_resumption.versions.hold_seconds = self.freshness.view_seconds
        self.lag.apply_seconds = bounds.config_apply
        self.gate.bound_seconds = bounds.version
        self.tenant_limits.set_tolerance(bounds.limit_tolerance)
        self.client_memory.capacity_bytes = client_memory_bytes(settings.memory_bytes)
        self.retry_budgets.set_bounds(bounds)

    @staticmethod
    def _key_bound(settings: GatewaySettings) -> float:
        return settings.bounds.revoke - FRESHNESS_MARGIN_SECONDS

    def _replication_times_of(self, settings: GatewaySettings) -> ReplicationTimes:
        return replication_times(self._key_bound(settings), settings.bounds.config_apply)

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways that share the retry budget, including this one."""
        if count != self.gateways:
            self.gateways = count
            self.retry_budgets.reset()

    @property
    def members(self) -> int:
        """Number of gateways among which global bounds are divided."""
        return self.gateways or ASSUMED_GATEWAYS

    def limits(self) -> EdgeLimits:
        """Bounds on client requests; defaults before the first configuration."""
        return self.route_table.limits if self.route_table is not None else EdgeLimits()

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has started."""
        return self.stop.has_begun

    @property
    def refusing(self) -> bool:
        """Whether a planned stop has reached the phase that refuses new requests."""
        return self.stop.refuses_requests

    def asks_clients_to_disconnect(self) -> bool:
        """Whether answers ask clients to close their connections.

        They do during a planned stop, and while other clients wait for descriptors.
        """
        return self.stopping or self.now() < self.short_of_descriptors_until

    @property
    def configuration_version(self) -> int:
        """Version in force, 0 before the first one."""
        return self.route_table.version if self.route_table is not None else 0

    def _on_era_confirmed(self, era: int, evidence: EraEvidence) -> None:
        self.record.store.era_confirmed(era, evidence)
        self.on_restore_update()

    def on_lost_configuration(self, version: int) -> None:
        """Handle a version that is in force at another gateway, but missing in the store.

        Until it or a later one is written again, nothing proves that a key is still valid.
        """
        if not self.lost_configuration.on_peer_version(version):
            return
        self.freshness.forget()
        if self.route_table is not None:
            self.record.store.configuration_lost(version, self.configuration_version)

    def on_unanswered(self, request: UnansweredRequest) -> None:
        """Record a request that was read but ended without a complete answer."""
        self.record.unanswered(request, self.dialect.request_id_of(request.fields), self.stopping)

    def is_cache_store(self, address: str) -> bool:
        """Whether a prompt-cache store of the configuration is at an address."""
        stores = self.route_table.cache_stores if self.route_table is not None else []
        return any(store.store_address == address for store in stores)

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        knows_all = self.route_table is not None and self.instances.is_listed
        return knows_all and not self.stopping and self.freshness.allows_keys(self.now())

    def report_limits(self) -> None:
        """Log the tenants, and the large bodies, that were refused over limits."""
        for state in self.tenant_limits.due_reports(self.now()):
            self.record.limited(state)
        memory = self.client_memory.due_report(self.now())
        if memory is not None:
            self.record.client_memory_short(memory)

    def retry_after(self) -> float:
        """Seconds after which a refused client may retry."""
        return RETRY_AFTER_SECONDS + self.random.random() * RETRY_AFTER_SPREAD_SECONDS

    def may_use_keys(self, tenant: TenantRecord | None) -> bool:
        """Whether a request of a tenant may be forwarded now; public ones always may."""
        return tenant is None or self.freshness.allows_keys(self.now())

    def _knows_servers(self) -> bool:
        """Whether no server can have been listed for long without being known here."""
        return self.instances.is_listed and self.freshness.allows_not_found(self.now())

    def _on_server_seen(self, record: InstanceRecord) -> None:
        self.stream_resumption.versions.on_seen(record.service, record.software_version, self.now())

    def _connection_quota(self, address: str) -> int:
        """Most connections to a server that this gateway may keep."""
        service = (
            self.route_table.service(self.instances.service_at(address))
            if self.route_table
            else None
        )
        takes = service.max_connections if service is not None else 0
        return connection_share(takes, self.members, self.settings.name, address)

    def _on_draining(self, instance: Instance) -> None:
        """Close connections to a server that is draining, each after its next answer."""
        self.pool.close_to(instance.record.address)

    def _announce_update(self) -> None:
        """Send an update to the other gateways at once."""
        self.loads.on_update()
        for listener in self.update_listeners:
            listener()

    def _on_opened(self, address: str) -> None:
        if address != self.settings.store:
            self.record.tally.on_connection()

    def _reported_state(self) -> dict[str, Any]:
        return {
            "configuration": self.route_table.version if self.route_table is not None else None,
            "proof_age": round(min(self.freshness.age(self.now()), MAX_SHOWN_AGE_SECONDS), 3),
        }
