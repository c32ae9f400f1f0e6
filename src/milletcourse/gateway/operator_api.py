"""Operator API of one gateway: metrics, limits, server signals, store state, contained requests.

It listens on a port of the machine that clients can't reach.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec

from milletcourse.errors import NotFound
from milletcourse.exchange.evidence.containment import KIND_NAMES
from milletcourse.exchange.evidence.request_identity import identity_text
from milletcourse.exchange.limits.client_memory import MemoryReport
from milletcourse.exchange.limits.tenant_limits import LimitState
from milletcourse.exchange.load.signal_record import (
    ServerLimitState,
    ServerSignalState,
    ServerSlotState,
)
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.gateway.clients.client_connection import ClientConnection
from milletcourse.gateway.clients.refusals import refuse
from milletcourse.gateway.clients.request_reader import ClientRequest
from milletcourse.gateway.state.context import MAX_SHOWN_AGE_SECONDS, GatewayContext
from milletcourse.gateway.store.store_comparison import StoreState

if TYPE_CHECKING:
    from milletcourse.gateway.telemetry.metrics import GatewayMetrics

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"
JSON_CONTENT_TYPE = b"application/json"
CONTAINED_PATH = "/contained"
LIMITS_PATH = "/limits"
SIGNALS_PATH = "/signals"
STORE_STATE_PATH = "/store-state"


class ContainmentView(msgspec.Struct, frozen=True):
    """A contained feature, whose requests aren't sent to servers, as shown to operators.

    Attributes:
        content: Its identity, as in log lines.
        kind: What it is: the whole content of a request, or a part of prompts.
        ends: Number of servers that crashed, one after the other, under requests with it.
        seconds_since_last_end: Seconds since the latest of these crashes.
        seconds_left: Seconds until the containment expires.
    """

    content: str
    kind: str
    ends: int
    seconds_since_last_end: float
    seconds_left: float


class LimitsView(msgspec.Struct, frozen=True):
    """All limits that the gateways enforce together, as one of them knows them.

    Attributes:
        servers: Servers with a request limit.
        tenants: Tenants with a limit; `refused` counts since the latest log line about the tenant.
        slots: Servers whose slots are leased, since they crash when they must reject too much.
    """

    servers: list[ServerLimitState]
    tenants: list[LimitState]
    slots: list[ServerSlotState] = []


class OperatorApi:
    """Handles requests on the operators' port."""

    def __init__(
        self,
        context: GatewayContext,
        metrics: GatewayMetrics | None,
        metrics_path: str,
        set_gauges: Callable[[GatewayMetrics], None],
        store_state: Callable[[], Awaitable[StoreState]],
    ) -> None:
        """Create the API of one gateway.

        Args:
            context: Shared state of the gateway.
            metrics: Its metrics, None when none are kept.
            metrics_path: Path of the metrics.
            set_gauges: Updates the gauges.
            store_state: Compares the gateway's replica with the object store.
        """
        self._context = context
        self._metrics = metrics
        self._metrics_path = metrics_path
        self._set_gauges = set_gauges
        self._store_state = store_state

    async def handle(self, request: ClientRequest, client: ClientConnection) -> None:
        """Answer one request; this is the handler of `ClientConnection`."""
        path = request.target.decode("latin-1")
        if request.method == b"GET" and path == self._metrics_path and self._metrics is not None:
            self._set_gauges(self._metrics)
            _answer(client, METRICS_CONTENT_TYPE, self._metrics.render())
        elif request.method == b"GET" and path == CONTAINED_PATH:
            _answer(client, JSON_CONTENT_TYPE, msgspec.json.encode(self._contained()))
        elif request.method == b"GET" and path == LIMITS_PATH:
            _answer(client, JSON_CONTENT_TYPE, msgspec.json.encode(self._limits()))
        elif request.method == b"GET" and path == SIGNALS_PATH:
            _answer(client, JSON_CONTENT_TYPE, msgspec.json.encode(self._signals()))
        elif request.method == b"GET" and path == STORE_STATE_PATH:
            _answer(client, JSON_CONTENT_TYPE, msgspec.json.encode(await self._store_state()))
        elif request.method == b"DELETE" and path.startswith(CONTAINED_PATH + "/"):
            self._release_contained(path.removeprefix(CONTAINED_PATH + "/"), client)
        else:
            refuse(
                client,
                NotFound("only metrics, limits, signals, store state and contained requests"),
            )

    def _contained(self) -> list[ContainmentView]:
        now = self._context.now()
        return [
            ContainmentView(
                identity_text(item.identity),
                KIND_NAMES[item.kind],
                item.crashes,
                round(now - item.last_crash_at, 3),
                round(item.seconds_left, 1),
            )
            for item in self._context.crash_evidence.containments(now)
        ]

    def _limits(self) -> LimitsView:
        context = self._context
        instances = sorted(context.instances, key=lambda instance: instance.name)
        servers = [context.permits.state(instance) for instance in instances]
        slots = [context.permits.slots.state(instance) for instance in instances]
        return LimitsView(
            [item for item in servers if item is not None],
            context.tenant_limits.states(context.now()),
            [item for item in slots if item is not None],
        )

    def _signals(self) -> list[ServerSignalState]:
        context = self._context
        now = context.now()
        states = [
            context.server_signals.state(instance.key, instance.name, instance.record.service, now)
            for instance in context.instances
        ]
        return sorted(
            (state for state in states if state is not None), key=lambda item: item.instance
        )

    def _release_contained(self, content: str, client: ClientConnection) -> None:
        """Release a contained request at all gateways, which are notified as of an answer to it."""
        if content not in {item.content for item in self._contained()}:
            refuse(client, NotFound("no contained request has this content"))
            return
        self._context.crash_detector.release(int(content, 16))
        client.send_whole(204, b"", [], b"")


def set_gauges(context: GatewayContext, metrics: GatewayMetrics) -> None:
    """Set the gauges, whose values are read at the time of the scrape."""
    now = context.now()
    metrics.configuration.set(context.configuration_version)
    metrics.configuration_behind.set(context.lag.is_behind)
    metrics.proof_age.set(min(context.freshness.age(now), MAX_SHOWN_AGE_SECONDS))
    metrics.ready.set(context.is_ready())
    metrics.instances.set(len(list(context.instances)))
    metrics.reads_store.set(context.reads_store)
    metrics.contained.set(len(context.crash_evidence.containments(now)))
    metrics.limited_servers.set(len(context.server_signals.limited()))
    keys = [instance.key for instance in context.instances]
    metrics.signalling_servers.set(len(context.server_signals.active_signals(keys, now)))
    metrics.log_lines_left_out.set(context.log.left_out)
    _set_memory_gauges(context.client_memory.report(), metrics)


def _set_memory_gauges(memory: MemoryReport, metrics: GatewayMetrics) -> None:
    metrics.received_memory.set(memory.received_bytes)
    metrics.served_memory.set(memory.served_bytes)
    metrics.memory_capacity.set(memory.capacity_bytes)
    metrics.memory_evictions.set(memory.evictions)
    metrics.memory_refusals.set(memory.refusals)
    metrics.answer_memory.set(memory.answer_bytes)
    metrics.answer_evictions.set(memory.answer_evictions)


def _answer(client: ClientConnection, content_type: bytes, body: bytes) -> None:
    client.send_whole(200, b"", [HeaderField(b"Content-Type", content_type)], body)
