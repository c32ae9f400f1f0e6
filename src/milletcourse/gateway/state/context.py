"""What all parts of one gateway share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from milletcourse.admission.retry_budget import RetryBudget, shared_retry_budget
from milletcourse.exchange.attempts.planned_stop import PlannedStop, StopPhase
from milletcourse.exchange.counting.weighted_choice import WeightedChoice
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.limits.ask_pauses import AskPauses
from milletcourse.exchange.limits.connection_part import connection_part
from milletcourse.exchange.limits.known_use import SummedUse
from milletcourse.exchange.limits.tenant_limits import TenantLimits
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.messages.peer_messages import InstanceLoad
from milletcourse.exchange.messages.records import EdgeLimits, TenantRecord
from milletcourse.exchange.placement.cache_store_plan import CacheStorePlan
from milletcourse.exchange.placement.instance_selector import InstanceSelector
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.reading.configuration_effect import EffectHistory
from milletcourse.exchange.reading.configuration_lag import ConfigurationLag
from milletcourse.exchange.reading.confirmed_era import ConfirmedEra, EraEvidence
from milletcourse.exchange.reading.freshness import ProofOfFreshness, ReadingTimes, reading_times
from milletcourse.exchange.reading.lost_configuration import LostConfiguration
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.servers.connection_pool import ConnectionPool
from milletcourse.gateway.servers.crash_watch import CrashWatch
from milletcourse.gateway.servers.descriptors import descriptor_plan
from milletcourse.gateway.servers.server_permits import ServerPermits
from milletcourse.gateway.servers.signal_watch import SignalWatch
from milletcourse.gateway.state.answer_rates import ServerAnswerRates
from milletcourse.gateway.state.cache_store_availability import CacheStoreAvailability
from milletcourse.gateway.state.settings import GatewaySettings
from milletcourse.gateway.telling.event_log import EventLog
from milletcourse.gateway.telling.figures import Figures
from milletcourse.gateway.telling.recorder import Recorder
from milletcourse.gateway.telling.unanswered import UnansweredRequest
from milletcourse.runtime.attended_clock import AttendedClock
from milletcourse.runtime.clock import SleepDetector, elapsed_seconds

FRESHNESS_MARGIN_SECONDS = 0.4
"""Keys are refused this long before the bound on revocation."""
RETRY_BUDGET_SHARE = 0.8
"""Share of the allowed retries that the gateways use; the rest covers uneven windows."""
ASSUMED_GATEWAYS = 10
"""Divides what all gateways share until the list of them is known."""
MAX_SHOWN_AGE_SECONDS = 999.0
"""Shown for a proof that there never was."""
RETRY_AFTER_SECONDS = 0.2
RETRY_AFTER_SPREAD_SECONDS = 0.4
"""Returns are spread, so that refused clients don't come back together."""


class GatewayContext:
    """State and services of one gateway.

    Attributes:
        mechanisms: Those that are switched on.
        planned_stop: The planned stop that is under way, None before.
        replication_times: How often the state of the object store is asked for.
        descriptors: Who may have how many of this process' descriptors.
        short_of_room_until: Clients waited to be accepted a moment before this time.
        responsive_clock: Time by which the silence of others is judged.
        lag: Which requests the configuration in force may decide while a newer one is on its way.
        effects: What the latest configurations changed.
        confirmed_era: Whether the configuration in the store may be believed after a return.
        lost_configuration: Which version the store holds, and which later one it has lost.
        reads_store: This gateway reads the store itself, so that it may vouch for what it knows.
        followed_reader: Name of the gateway that it follows instead; empty for none.
        cache_store_reach: Which stores of kept prompt state answer.
        on_instance_ended: Called when an answer showed that an incarnation has ended.
        restart_listeners: Called with the incarnation before when a server has started again.
        wake_listeners: Called when the machine has woken from a suspension.
        news_listeners: Called when there is news that the other gateways need at once.
        on_return_news: Called when something is known of a return of the store that gateways need
            which start after the end of all others.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HeaderDialect,
        random_source: random.Random,
        log: EventLog,
        figures: Figures,
        mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
    ) -> None:
        self.settings = settings
        self.mechanisms = mechanisms
        self.dialect = dialect
        self.random = random_source
        self.log = log
        self.record = Recorder(log, figures, self._reported_state, self.now)
        self.route_table: RouteTable | None = None
        self.planned_stop: PlannedStop | None = None
        self.loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self.replication_times = self._replication_times_of(settings)
        self.reads_store = False
        self.followed_reader = ""
        self.freshness = ProofOfFreshness(
            self._key_bound(settings), bounds.fail_closed, self.replication_times.calm_age
        )
        self.lag = ConfigurationLag(bounds.config_apply)
        self.effects = EffectHistory()
        self.on_restore_update: Callable[[], None] = lambda: None
        self.confirmed_era = ConfirmedEra(self._on_era_confirmed)
        self.lost_configuration = LostConfiguration(lambda: self.configuration_version)
        self.instances = InstanceTable()
        self.on_instance_ended: Callable[[Instance], None] | None = None
        self.restart_listeners: list[Callable[[Instance], None]] = []
        self.instances.on_restarted = self._on_restarted
        self.wake_listeners: set[Callable[[], None]] = set()
        self._sleep_detector = SleepDetector()
        self.responsive_clock = AttendedClock()
        self.update_listeners: list[Callable[[], None]] = []
        self.server_signals = ServerSignals()
        pauses = AskPauses()
        self.signal_watch = SignalWatch(
            self.server_signals,
            pauses,
            self.instances,
            self.record,
            self._announce_update,
            self._on_draining,
        )
        self.permits = ServerPermits(
            settings.name,
            self.server_signals,
            pauses,
            self.signal_watch.on_reports,
            random_source,
            self.responsive_clock,
            self.now,
            lambda: self.members,
            figures,
        )
        self.gate = VersionGate(bounds.version)
        self.crash_evidence = CrashEvidence()
        self.loads = LoadExchange(settings.name, self.crash_evidence, self.server_signals)
        self.server_answer_rates = ServerAnswerRates(self.loads, mechanisms, self.now)
        self.tenant_limits = TenantLimits(
            SummedUse(self.loads, lambda: self.members), bounds.limit_tolerance
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
            pauses,
        )
        self.weights = WeightedChoice(random_source)
        self.short_of_descriptors_until = float("-inf")
        self.descriptors = descriptor_plan(settings.max_descriptors)
        self.pool = ConnectionPool(
            dialect,
            self._on_opened,
            self.responsive_clock,
            self.descriptors.idle_servers,
            self._connection_quota,
        )
        self.crash_watch = CrashWatch(
            self.crash_evidence, self.pool, self.record, self._announce_update
        )
        self.gateways = 0
        self._budgets: dict[str, RetryBudget] = {}
        self._suspected: set[str] = set()

    def now(self) -> float:
        """Monotonic seconds, those of a suspended machine included."""
        return elapsed_seconds()

    def handle_suspension(self) -> None:
        """Notice that the machine was suspended, before anything is served, sent or renewed.

        All that ends by time is kept by a clock that counts the sleep, so it has ended already;
        timers have stood still, and are set anew.
        """
        slept = self._sleep_detector.take_sleep()
        if not slept:
            return
        self.record.woke(slept)
        for listener in list(self.wake_listeners):
            listener()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take changed bounds into force; addresses stay as they are until a restart."""
        bounds = settings.bounds
        self.settings = settings
        self.replication_times = self._replication_times_of(settings)
        self.freshness.set_bound(
            self._key_bound(settings), bounds.fail_closed, self.replication_times.calm_age
        )
        self.lag.apply_seconds = bounds.config_apply
        self.gate.bound_seconds = bounds.version
        self.tenant_limits.set_tolerance(bounds.limit_tolerance)
        self._budgets.clear()

    @staticmethod
    def _key_bound(settings: GatewaySettings) -> float:
        return settings.bounds.revoke - FRESHNESS_MARGIN_SECONDS

    def _replication_times_of(self, settings: GatewaySettings) -> ReadingTimes:
        return reading_times(self._key_bound(settings), settings.bounds.config_apply)

    def own_loads(self) -> list[InstanceLoad]:
        """This gateway's load on each server that has some, and how it went there lately."""
        now = self.now()
        loads = []
        for instance in self.instances:
            tally = instance.health.tally(now)
            load = InstanceLoad(
                instance.key,
                instance.in_flight_tokens,
                instance.in_flight,
                tally.bad,
                tally.good,
                instance.memory_tokens,
            )
            if not load.is_nothing:
                loads.append(load)
        return loads

    def set_gateways(self, count: int) -> None:
        """The number of gateways that share the retry budget, this one included."""
        if count != self.gateways:
            self.gateways = count
            self._budgets.clear()

    @property
    def members(self) -> int:
        """Gateways that share what is bounded for all of them together."""
        return self.gateways or ASSUMED_GATEWAYS

    def limits(self) -> EdgeLimits:
        """Bounds on what clients send; defaults before the first configuration."""
        return self.route_table.limits if self.route_table is not None else EdgeLimits()

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.planned_stop is not None

    @property
    def refusing(self) -> bool:
        """Whether a planned stop has come so far that new requests are refused."""
        stop = self.planned_stop
        return stop is not None and stop.phase(self.now()) is not StopPhase.LEAVING

    def asks_clients_to_leave(self) -> bool:
        """Whether answers ask clients to close their connections: others need the room."""
        return self.stopping or self.now() < self.short_of_descriptors_until

    @property
    def configuration_version(self) -> int:
        """Version in force, 0 before the first."""
        return self.route_table.version if self.route_table is not None else 0

    def _on_era_confirmed(self, era: int, evidence: EraEvidence) -> None:
        self.record.store.era_confirmed(era, evidence)
        self.on_restore_update()

    def on_lost_configuration(self, version: int) -> None:
        """A version that is in force at another gateway isn't in the store.

        Until it, or a later one, is written again, no proof says that a key still holds.
        """
        if not self.lost_configuration.on_told(version):
            return
        self.freshness.forget()
        if self.route_table is not None:
            self.record.store.configuration_lost(version, self.configuration_version)

    def on_unanswered(self, request: UnansweredRequest) -> None:
        """A request that was read ends without a whole answer."""
        self.record.unanswered(request, self.dialect.request_id_of(request.fields), self.stopping)

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        knows_all = self.route_table is not None and self.instances.is_listed
        return knows_all and not self.stopping and self.freshness.allows_keys(self.now())

    def budget(self, service: str) -> RetryBudget:
        """This node's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._budgets[service] = shared_retry_budget(
                self.now(),
                ratio=bounds.retry_ratio * RETRY_BUDGET_SHARE,
                slack=bounds.retry_slack * RETRY_BUDGET_SHARE,
                window_seconds=bounds.budget_window,
                members=self.members,
            )
        return budget

    def report_limits(self) -> None:
        """Say which tenants were refused over their limits since the last call."""
        for state in self.tenant_limits.due_notes(self.now()):
            self.record.limited(state)

    def retry_after(self) -> float:
        """When a refused client may come back."""
        return RETRY_AFTER_SECONDS + self.random.random() * RETRY_AFTER_SPREAD_SECONDS

    def may_use_keys(self, tenant: TenantRecord | None) -> bool:
        """Whether a request of a tenant may be sent on now; public ones always."""
        return tenant is None or self.freshness.allows_keys(self.now())

    def note_result(self, instance: Instance, result: AttemptResult) -> None:
        """A sign of a server's health; says when it is ejected or back."""
        now = self.now()
        was_ejected = instance.health.is_ejected(now)
        instance.health.on_result(result, now)
        is_ejected = instance.health.is_ejected(now)
        if is_ejected and not was_ejected:
            self.record.ejection(instance.name, result)
        elif was_ejected and not is_ejected:
            self.record.return_of(instance.name, result)

    def note_successor(self, instance: Instance, successor: str) -> None:
        """Another server answered at the address of one, so that incarnation has ended."""
        is_new = self.retire_instance(instance.name, successor, instance.record.started_ms)
        if is_new and self.on_instance_ended is not None:
            self.on_instance_ended(instance)

    def _connection_quota(self, address: str) -> int:
        """Connections to a server that this gateway keeps at most."""
        service = (
            self.route_table.service(self.instances.service_at(address))
            if self.route_table
            else None
        )
        takes = service.max_connections if service is not None else 0
        return connection_part(takes, self.members, self.settings.name, address)

    def _on_draining(self, instance: Instance) -> None:
        """A server leaves: it closes its connections after their next answer."""
        self.pool.close_to(instance.record.address)

    def _on_restarted(self, before: Instance) -> None:
        """A server has started again under its name: what it had at work ended with it."""
        self.record.instance_restarted(before.name)
        self.crash_watch.on_instance_ended(before.name)
        for listener in self.restart_listeners:
            listener(before)

    def retire_instance(self, name: str, successor: str, started_ms: int) -> bool:
        """Take an incarnation out of use; True when this wasn't known.

        Args:
            name: The server.
            successor: Who answers in its place, or who says so.
            started_ms: Start of the incarnation that has ended, 0 when it isn't known.
        """
        known = self.instances.get(name)
        if known is not None and started_ms and started_ms < known.record.started_ms:
            # It has started again since.
            return False
        if Mechanism.ENDED_INCARNATIONS not in self.mechanisms or not self.instances.end(name):
            return False
        self.record.instance_ended(name, successor)
        self.crash_watch.on_instance_ended(name)
        return True

    def _announce_update(self) -> None:
        """Let the other gateways know at once."""
        self.loads.on_news()
        for listener in self.update_listeners:
            listener()

    def report_suspicions(self) -> None:
        """Say which servers all gateways together found sick or well since the last call."""
        now = self.now()
        suspected = {
            instance.name
            for instance in self.instances
            if self.selector.candidates.is_suspected(instance, now)
        }
        for name in sorted(suspected ^ self._suspected):
            self.record.suspicion(name, name in suspected)
        self._suspected = suspected

    def _on_opened(self, address: str) -> None:
        if address != self.settings.store:
            self.record.tally.on_connection()

    def _reported_state(self) -> dict[str, Any]:
        return {
            "configuration": self.route_table.version if self.route_table is not None else None,
            "proof_age": round(min(self.freshness.age(self.now()), MAX_SHOWN_AGE_SECONDS), 3),
        }
