"""Records that a gateway works by: configuration, instances, weight versions.

All of them come from an object store through an adapter; times are in seconds, sizes in bytes,
cache sizes in tokens.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class RouteKind(Enum):
    """What a route says about repeating its requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service with its share of a route's requests."""

    service: str
    weight: float = 1.0


class RouteRecord(msgspec.Struct, frozen=True):
    """Requests of one host below one path prefix.

    Attributes:
        name: Unique name.
        host: Value of the Host header.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may run more than once.
        timeout_seconds: Longest time a request is held.
        target_latency_seconds: Time within which an answer earns its full worth.
        priority: Rank, 0 the highest.
        backends: Services with weights, at least one.
        max_attempts: Most servers that one request may run on.
        public: No key is asked for.
        resumable: A stream may go on at another server.
        gap_seconds: Longest pause between events at which a stream is in time; 0 if none is set.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    target_latency_seconds: float
    priority: int
    backends: tuple[WeightedService, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_seconds: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAMING and self.resumable)

    @property
    def streaming(self) -> bool:
        """Whether answers are series of events."""
        return self.kind is RouteKind.STREAMING


class ServiceRecord(msgspec.Struct, frozen=True):
    """A service: servers of requests, or one store of kept prompt state.

    Attributes:
        name: Unique name.
        models: Models that its servers run; empty for plain applications.
        store_address: `host:port` of the store of kept prompt state; empty for servers.
        zone: Zone of the store.
        capacity_tokens: Tokens of prompt state that the store, or each server, has room for; 0 when
            it isn't told.
        slots: Requests that each server works on at the same time; 0 when it isn't told.
        max_connections: Connections that each server takes from all gateways together; 0 when it
            isn't told.
    """

    name: str
    models: tuple[str, ...] = ()
    store_address: str = ""
    zone: str = ""
    capacity_tokens: int = 0
    slots: int = 0
    max_connections: int = 0


class EdgeLimits(msgspec.Struct, frozen=True):
    """Bounds on what a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 30.0


class LimitUnit(Enum):
    """What a tenant's limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """Prompt tokens and the most that may be generated."""


class TenantLimit(msgspec.Struct, frozen=True):
    """What a tenant may use, over all gateways together.

    Attributes:
        per_second: Units a second, above 0.
        burst: Units that may be saved up beside that.
        unit: What is counted.
        undeclared_tokens: Tokens of a request that doesn't declare its own.
    """

    per_second: float
    burst: float = 0.0
    unit: LimitUnit = LimitUnit.REQUESTS
    undeclared_tokens: int = 0


class LimitTolerance(msgspec.Struct, frozen=True):
    """How far all gateways together may go beyond a limit.

    Attributes:
        window_seconds: What is used is judged in each window of this length.
        overage: Share of a window's limit by which it may be exceeded.
        slack: Units beyond that.
    """

    window_seconds: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


class TenantRecord(msgspec.Struct, frozen=True):
    """A tenant with its keys.

    Attributes:
        name: Unique name.
        keys: Keys that are valid now.
        priority: Rank, 0 the highest; goes before a route's.
        isolated: Shares no kept prompt state with other tenants.
        limit: What it may use, None for no limit.
        limit_problem: Why a limit that the operator gave can't be kept; empty for none.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    isolated: bool = False
    limit: TenantLimit | None = None
    limit_problem: str = ""


class ExchangeConfiguration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration, whole."""

    version: int
    routes: tuple[RouteRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    limits: EdgeLimits = EdgeLimits()
    tenants: tuple[TenantRecord, ...] = ()


class InstanceRecord(msgspec.Struct, frozen=True):
    """One incarnation of a server as the discovery shows it.

    Attributes:
        name: Name of the server; it may start again under it.
        service: Service that it belongs to.
        address: `host:port`.
        zone: Zone of its machine.
        draining: It is about to leave.
        weight_versions: Model -> version of the weights that it has.
        started_ms: Moment of its start by its own clock, in Unix milliseconds; 0 when it isn't
            told. A later one is another incarnation, which knows nothing of the one before.
    """

    name: str
    service: str
    address: str
    zone: str = ""
    draining: bool = False
    weight_versions: dict[str, int] = {}
    started_ms: int = 0


class ModelTarget(msgspec.Struct, frozen=True):
    """The newest named version of a model's weights."""

    model: str
    version: int
