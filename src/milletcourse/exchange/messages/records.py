"""Records of a gateway's configuration, of server instances and of weight versions.

An adapter reads all of them from an object store. Times are in seconds, sizes in bytes, cache sizes
in tokens.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class RouteKind(Enum):
    """Whether requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service with its weight among the backends of a route."""

    service: str
    weight: float = 1.0


class RouteRecord(msgspec.Struct, frozen=True):
    """A route: requests for one host below one path prefix.

    Attributes:
        name: Unique name.
        host: Value of the Host header.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may run more than once.
        timeout_seconds: Longest time that the gateway keeps a request.
        target_latency_seconds: Target for the time to the first byte; later answers count as late.
        priority: Priority, 0 the highest.
        backends: Services with weights, at least one.
        max_attempts: Maximum number of servers that one request may run on.
        public: No API key is required.
        resumable: Another server may resume a stream.
        gap_seconds: Longest pause between events of a stream that still counts as in time; 0 for
            no target.
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
        """Whether answers are event streams."""
        return self.kind is RouteKind.STREAMING


class ServiceRecord(msgspec.Struct, frozen=True):
    """A service: servers of requests, or one store of cached prompt state.

    Attributes:
        name: Unique name.
        models: Models that its servers run; empty for plain applications.
        store_address: `host:port` of the store of cached prompt state; empty for servers.
        zone: Zone of the store.
        capacity_tokens: Capacity of the store, or of each server, in tokens of prompt state; 0 when
            not given.
        slots: Requests that each server processes concurrently; 0 when not given.
        max_connections: Connections that each server accepts from all gateways together; 0 when not
            given.
    """

    name: str
    models: tuple[str, ...] = ()
    store_address: str = ""
    zone: str = ""
    capacity_tokens: int = 0
    slots: int = 0
    max_connections: int = 0


class EdgeLimits(msgspec.Struct, frozen=True):
    """Limits on the size of client requests, and on the time to send headers and to stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 5.0
    idle_timeout_seconds: float = 30.0


class LimitUnit(Enum):
    """Unit of a tenant's limit."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """Prompt tokens plus the maximum number of generated tokens."""


class TenantLimit(msgspec.Struct, frozen=True):
    """A tenant's rate limit, over all gateways together.

    Attributes:
        per_second: Units per second, above 0.
        burst: Burst capacity in units.
        unit: Unit that is counted.
        undeclared_tokens: Tokens charged for a request that doesn't declare its own.
    """

    per_second: float
    burst: float = 0.0
    unit: LimitUnit = LimitUnit.REQUESTS
    undeclared_tokens: int = 0


class LimitTolerance(msgspec.Struct, frozen=True):
    """How far all gateways together may exceed a limit.

    Attributes:
        window_seconds: Length of the windows in which usage is compared with the limit.
        overage: Fraction of a window's limit by which it may be exceeded.
        slack: Additional units by which it may be exceeded.
    """

    window_seconds: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


class TenantRecord(msgspec.Struct, frozen=True):
    """A tenant with its keys.

    Attributes:
        name: Unique name.
        keys: API keys that are currently valid.
        priority: Priority, 0 the highest; overrides a route's.
        isolated: Shares no cached prompt state with other tenants.
        limit: Rate limit, None for no limit.
        limit_problem: Why the operator's limit can't be enforced; empty for none.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int = 0
    isolated: bool = False
    limit: TenantLimit | None = None
    limit_problem: str = ""


class ExchangeConfiguration(msgspec.Struct, frozen=True):
    """One complete version of the operator's configuration."""

    version: int
    routes: tuple[RouteRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    limits: EdgeLimits = EdgeLimits()
    tenants: tuple[TenantRecord, ...] = ()


class InstanceRecord(msgspec.Struct, frozen=True):
    """One incarnation of a server as reported by service discovery.

    Attributes:
        name: Name of the server; a restarted server may have the same one.
        service: Service that it belongs to.
        address: `host:port`.
        zone: Zone of its machine.
        draining: It is about to shut down.
        weight_versions: Model -> version of the weights that it has loaded.
        started_ms: Start time by its own clock, in Unix milliseconds; 0 when not given. A later
            start is another incarnation, which has no state of the previous one.
        software_version: Version of the server's software, not of its weights; empty when not
            given, None while only a restart is known.
        slots: Requests that it processes concurrently; 0 when not given.
    """

    name: str
    service: str
    address: str
    zone: str = ""
    draining: bool = False
    weight_versions: dict[str, int] = {}
    started_ms: int = 0
    software_version: str | None = ""
    slots: int = 0


class ModelTarget(msgspec.Struct, frozen=True):
    """The latest released version of a model's weights."""

    model: str
    version: int
