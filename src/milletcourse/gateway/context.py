"""What all parts of one gateway share."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from milletcourse.admission.retry_budget import RetryBudget
from milletcourse.errors import Failure
from milletcourse.exchange.attempt_plan import NextStep
from milletcourse.exchange.dialect import HeaderDialect
from milletcourse.exchange.freshness import ProofOfFreshness, watch_wait
from milletcourse.exchange.instance_selector import InstanceSelector
from milletcourse.exchange.instance_table import Instance, InstanceTable
from milletcourse.exchange.messages import AttemptResult, ExchangeRequest
from milletcourse.exchange.peer_messages import InstanceLoad, PeerLoads
from milletcourse.exchange.records import EdgeLimits, RouteRecord
from milletcourse.exchange.roll_out import INITIAL_LOAD_SECONDS
from milletcourse.exchange.route_table import RouteTable
from milletcourse.exchange.version_gate import VersionGate
from milletcourse.exchange.weighted_choice import WeightedChoice
from milletcourse.gateway.client_connection import ClientRequest
from milletcourse.gateway.connection_pool import ConnectionPool
from milletcourse.gateway.event_log import EventLog
from milletcourse.gateway.figures import Figures
from milletcourse.gateway.settings import GatewaySettings

FRESHNESS_MARGIN_SECONDS = 0.4
"""Keys are refused this long before the bound on revocation."""
BUDGET_SHARE = 0.8
"""Share of the allowed retries that the gateways use; the rest covers uneven windows."""
UNKNOWN_GATEWAYS = 10
"""Divides the slack of the retry budget until the list of gateways is known."""
SLACK_PARTS = 3
"""The slack is spent as a burst, as a rate over the window, and as saved-up earnings."""
RETRY_AFTER_SECONDS = 0.2
RETRY_AFTER_SPREAD_SECONDS = 0.4
"""Returns are spread, so that refused clients don't come back together."""


class GatewayContext:
    """State and services of one gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HeaderDialect,
        random_source: random.Random,
        log: EventLog,
        figures: Figures,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.random = random_source
        self.log = log
        self.figures = figures
        self.table: RouteTable | None = None
        self.stopping = False
        self.refusing = False
        self.loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self.freshness = ProofOfFreshness(
            self._key_bound(settings), bounds.fail_closed, self.watch_wait()
        )
        self.instances = InstanceTable()
        self.gate = VersionGate(bounds.version)
        self.peer_loads = PeerLoads()
        self.load_seconds = INITIAL_LOAD_SECONDS
        self.unreachable_store = ""
        self.selector = InstanceSelector(
            self.instances, self.gate, self.peer_loads, settings.zone, random_source
        )
        self.weights = WeightedChoice(random_source)
        self.pool = ConnectionPool(dialect)
        self.gateways = 0
        self._budgets: dict[str, RetryBudget] = {}
        self._reachable: dict[str, bool] = {}

    def now(self) -> float:
        """Monotonic seconds."""
        return self.loop.time()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take changed bounds into force; addresses stay as they are until a restart."""
        bounds = settings.bounds
        self.settings = settings
        self.freshness.set_bound(self._key_bound(settings), bounds.fail_closed, self.watch_wait())
        self.gate.bound_seconds = bounds.version
        self._budgets.clear()

    @staticmethod
    def _key_bound(settings: GatewaySettings) -> float:
        return settings.bounds.revoke - FRESHNESS_MARGIN_SECONDS

    def watch_wait(self) -> float:
        """How long a watch of the configuration waits."""
        return watch_wait(self._key_bound(self.settings), self.settings.bounds.config_apply)

    def own_loads(self) -> list[InstanceLoad]:
        """This gateway's load on each server that has some."""
        return [
            InstanceLoad(instance.key, instance.in_flight_tokens, instance.in_flight)
            for instance in self.instances
            if instance.in_flight
        ]

    def set_gateways(self, count: int) -> None:
        """The number of gateways that share the retry budget, this one included."""
        if count != self.gateways:
            self.gateways = count
            self._budgets.clear()

    def limits(self) -> EdgeLimits:
        """Bounds on what clients send; defaults before the first configuration."""
        return self.table.limits if self.table is not None else EdgeLimits()

    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return (
            self.table is not None and not self.stopping and self.freshness.allows_keys(self.now())
        )

    def budget(self, service: str) -> RetryBudget:
        """This node's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            gateways = self.gateways or UNKNOWN_GATEWAYS
            part = bounds.retry_slack * BUDGET_SHARE / gateways / SLACK_PARTS
            budget = self._budgets[service] = RetryBudget(
                self.now(),
                ratio=bounds.retry_ratio * BUDGET_SHARE,
                floor_per_second=part / bounds.budget_window,
                floor_burst=part,
                max_saved=part,
            )
        return budget

    def retry_after(self) -> float:
        """When a refused client may come back."""
        return RETRY_AFTER_SECONDS + self.random.random() * RETRY_AFTER_SPREAD_SECONDS

    # -- what is recorded -----------------------------------------------------------------------

    def record_refusal(self, failure: Failure, received: ClientRequest) -> None:
        """A request was refused before it was routed."""
        self.figures.on_end(failure.code)
        self.log.emit(
            "request-refused",
            request_id=self.dialect.request_id_of(received.fields),
            code=failure.code,
            detail=failure.detail,
            target=received.target.decode("latin-1"),
            **self._belief(),
        )

    def record_failure(
        self, failure: Failure, request: ExchangeRequest, route: RouteRecord
    ) -> None:
        """A routed request ended with this gateway's own failure."""
        self.figures.on_end(failure.code)
        self.log.emit(
            "request-failed",
            route=route.name,
            code=failure.code,
            detail=failure.detail,
            **self._about(request),
            **self._belief(),
        )

    def record_attempt(
        self, request: ExchangeRequest, instance: Instance, result: AttemptResult, step: NextStep
    ) -> None:
        """An attempt ended; only those without an answer get a line."""
        self.figures.on_attempt(result)
        if result is AttemptResult.ANSWERED:
            return
        self.log.emit(
            "attempt-failed",
            instance=instance.name,
            result=result.value,
            step=step.value,
            **self._about(request),
        )

    def record_served(self, request: ExchangeRequest, instance: Instance, sends: int) -> None:
        """A whole answer was passed on."""
        self.figures.on_end("served")
        self.log.emit("request-served", instance=instance.name, sends=sends, **self._about(request))

    def record_cut(self, request: ExchangeRequest, instance: Instance) -> None:
        """A stream that a client had begun to read could not be completed."""
        self.figures.on_end("cut")
        self.log.emit("stream-cut", instance=instance.name, **self._about(request))

    def record_client_left(
        self, request: ExchangeRequest, instance: Instance, stream_begun: bool
    ) -> None:
        """A client closed its connection before the answer was whole."""
        self.figures.on_end("client-left")
        self.log.emit(
            "client-left",
            instance=instance.name,
            stream_begun=stream_begun,
            **self._about(request),
        )

    def record_store(self, kind: str, reachable: bool) -> None:
        """A call about a kind of objects succeeded or failed; says when that changes."""
        if not reachable:
            self.figures.on_store_failure()
        if self._reachable.get(kind) == reachable:
            return
        self._reachable[kind] = reachable
        self.log.emit("store-reached" if reachable else "store-lost", kind=kind, **self._belief())

    def record_result(self, instance: Instance, result: AttemptResult) -> None:
        """A sign of a server's health; says when it is ejected or back."""
        now = self.now()
        ejected_before = instance.health.is_ejected(now)
        instance.on_result(result, now)
        ejected = instance.health.is_ejected(now)
        if ejected == ejected_before:
            return
        if ejected:
            self.figures.on_ejection()
        self.log.emit(
            "instance-ejected" if ejected else "instance-back",
            instance=instance.name,
            result=result.value,
        )

    def _about(self, request: ExchangeRequest) -> dict[str, Any]:
        seconds = round(self.now() - request.received_at, 3)
        return {"request_id": request.request_id, "seconds": seconds}

    def _belief(self) -> dict[str, Any]:
        return {
            "configuration": self.table.version if self.table is not None else None,
            "proof_age": round(min(self.freshness.age(self.now()), 999.0), 3),
        }
