"""Formats of the platform's documents: settings, configuration, servers' entries, versions."""

from __future__ import annotations

from typing import Any

import msgspec

from milletcourse.exchange.messages.records import (
    EdgeLimits,
    ExchangeConfiguration,
    InstanceRecord,
    LimitUnit,
    ModelTarget,
    RouteKind,
    RouteRecord,
    ServiceRecord,
    TenantLimit,
    TenantRecord,
    WeightedService,
)
from milletcourse.gateway.state.settings import GatewayBounds, GatewaySettings
from milletcourse.runtime.addresses import split_address

SECONDS_PER_MILLISECOND = 0.001
BYTES_PER_MEGABYTE = 1000 * 1000


class _Document(msgspec.Struct, frozen=True, rename="pascal"):
    """Base of all documents; unknown fields are ignored."""


# -- settings -----------------------------------------------------------------------------------


class _Listen(_Document, frozen=True):
    frontend: str
    readiness: str


class _Platform(_Document, frozen=True):
    address: str


class _MachineLimits(_Document, frozen=True):
    link_mbps: float = 0.0
    max_fds: float | None = None
    memory_mb: float | None = None


_BOUND_NAMES = {
    "RevokeMs": "revoke",
    "FailClosed": "fail_closed",
    "ConfigApplyMs": "config_apply",
    "GraceS": "grace",
    "LeaseMs": "lease",
    "VersionMs": "version",
    "RetryBudgetRatio": "retry_ratio",
    "RetrySlack": "retry_slack",
    "BudgetWindowS": "budget_window",
    "RetryAfterS": "reuse",
    "QuotaWindowS": "limit_window",
    "QuotaOverage": "limit_overage",
    "QuotaSlack": "limit_slack",
}
"""Bounds in the platform's settings that a gateway enforces, with the fields of `GatewayBounds`."""


class _Settings(_Document, frozen=True):
    node_name: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Platform
    internal_ports: list[int] = []
    bounds: dict[str, Any] = {}
    limits: _MachineLimits = _MachineLimits()


def read_settings(content: bytes) -> GatewaySettings:
    """Decode the settings file, which the deploy template writes as JSON."""
    document = msgspec.json.decode(content, type=_Settings)
    ports = document.internal_ports
    return GatewaySettings(
        name=document.node_name,
        zone=document.zone,
        host=document.ip,
        frontend=document.listen.frontend,
        readiness=document.listen.readiness,
        store=document.platform.address,
        internal_ports=(ports[0], ports[-1]) if ports else (0, 0),
        bounds=_bounds(document.bounds),
        link_megabits=document.limits.link_mbps,
        max_descriptors=int(document.limits.max_fds or 0),
        memory_bytes=int((document.limits.memory_mb or 0) * BYTES_PER_MEGABYTE),
    )


def _bounds(values_by_name: dict[str, Any]) -> GatewayBounds:
    """Bounds in seconds; those that the settings lack keep their defaults."""
    values = {
        field: values_by_name[name] * SECONDS_PER_MILLISECOND
        if name.endswith("Ms")
        else values_by_name[name]
        for name, field in _BOUND_NAMES.items()
        if values_by_name.get(name) is not None
    }
    return msgspec.convert(values, GatewayBounds)


# -- configuration ------------------------------------------------------------------------------


_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAMING,
}
"""Requests of an unknown route kind run at most once, as unsafe ones."""


class _Backend(_Document, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_Document, frozen=True):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


_ROUTE_DECODER = msgspec.json.Decoder(_Route)


class _Model(_Document, frozen=True):
    name: str


class _Engine(_Document, frozen=True):
    models: list[_Model] = []
    slots: int = 0
    kv_capacity: int = 0


class _Service(_Document, frozen=True):
    name: str
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity: int = 0
    max_connections: int = 0


class _Limits(_Document, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 15000


_REQUESTS_UNIT = "requests"
_LIMIT_UNITS = {_REQUESTS_UNIT: LimitUnit.REQUESTS, "tokens": LimitUnit.TOKENS}


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    isolated: bool = False
    rate_per_s: Any = 0
    burst: Any = 0
    unit: Any = _REQUESTS_UNIT
    uncached_tokens: Any = 0


class _Configuration(_Document, frozen=True):
    version: int
    routes: list[msgspec.Raw] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class ConfigurationDecoder:
    """Decodes the configuration's object, and reuses the records of unchanged routes.

    With many routes of which few have changed, this takes a tenth of the time and almost no memory.
    """

    def __init__(self) -> None:
        self._routes: dict[bytes, RouteRecord] = {}

    def decode(self, spec: bytes) -> ExchangeConfiguration:
        """Decode a configuration; raises `msgspec.MsgspecError` when it is invalid."""
        document = msgspec.json.decode(spec, type=_Configuration)
        raw_routes = [bytes(route) for route in document.routes]
        routes = {
            route: self._routes.get(route) or _route(_ROUTE_DECODER.decode(route))
            for route in raw_routes
        }
        self._routes = routes
        return _configuration(document, tuple(routes[route] for route in raw_routes))


def decode_configuration(spec: bytes) -> ExchangeConfiguration:
    """Decode the configuration's object, without reuse of earlier records."""
    return ConfigurationDecoder().decode(spec)


def _configuration(
    document: _Configuration, routes: tuple[RouteRecord, ...]
) -> ExchangeConfiguration:
    limits = document.limits
    return ExchangeConfiguration(
        version=document.version,
        routes=routes,
        services=tuple(_service(service) for service in document.services),
        limits=EdgeLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_seconds=limits.header_timeout_ms * SECONDS_PER_MILLISECOND,
            idle_timeout_seconds=limits.idle_timeout_ms * SECONDS_PER_MILLISECOND,
        ),
        tenants=tuple(_tenant(tenant) for tenant in document.tenants),
    )


def _tenant(tenant: _Tenant) -> TenantRecord:
    problem = _limit_problem(tenant)
    return TenantRecord(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        priority=tenant.priority,
        isolated=tenant.isolated,
        limit=None if problem or not tenant.rate_per_s else _limit(tenant),
        limit_problem=problem,
    )


def _limit(tenant: _Tenant) -> TenantLimit:
    return TenantLimit(
        per_second=float(tenant.rate_per_s),
        burst=float(tenant.burst),
        unit=_LIMIT_UNITS[tenant.unit],
        undeclared_tokens=int(tenant.uncached_tokens),
    )


def _limit_problem(tenant: _Tenant) -> str:
    """Why a tenant's limit is invalid; empty when it is valid.

    An invalid limit must not block the whole configuration with its routes and keys.
    """
    if not isinstance(tenant.unit, str) or tenant.unit not in _LIMIT_UNITS:
        return f"unit {tenant.unit!r} is unknown"
    numbers = {
        "rate": tenant.rate_per_s,
        "burst": tenant.burst,
        "tokens of undeclared requests": tenant.uncached_tokens,
    }
    for name, value in numbers.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            return f"{name} {value!r} is not a non-negative number"
    return ""


def _route(route: _Route) -> RouteRecord:
    backends = tuple(WeightedService(item.service, item.weight) for item in route.backends)
    return RouteRecord(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS.get(route.route_type, RouteKind.UNSAFE),
        timeout_seconds=route.timeout_ms * SECONDS_PER_MILLISECOND,
        target_latency_seconds=route.target_latency_ms * SECONDS_PER_MILLISECOND,
        priority=route.priority,
        backends=backends or (WeightedService(route.service),),
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        gap_seconds=route.gap_aim_ms * SECONDS_PER_MILLISECOND,
    )


def _service(service: _Service) -> ServiceRecord:
    engine = service.engine or _Engine()
    return ServiceRecord(
        name=service.name,
        models=tuple(model.name for model in engine.models),
        store_address=service.kv_store_addr,
        zone=service.zone,
        capacity_tokens=service.kv_capacity or engine.kv_capacity,
        slots=engine.slots,
        max_connections=service.max_connections,
    )


# -- servers and versions -----------------------------------------------------------------------


class _ModelState(_Document, frozen=True):
    name: str
    version: int


MAX_SAFE_INTEGER = 2**53
"""Larger integers lose precision in JSON decoders that use doubles."""


def _whole_number(value: int, what: str) -> int:
    """Validate a count or a timestamp; raises `ValueError` when it is out of range."""
    if not 0 <= value <= MAX_SAFE_INTEGER:
        raise ValueError(f"{what} is out of range")
    return value


_DRAINING = "draining"
_STATES = frozenset({"ready", _DRAINING})


class _Server(_Document, frozen=True):
    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    models: list[_ModelState] = []
    slots: int = 0
    version: str | int | None = None
    """Of the server's software; weights have versions of their own in `models`."""
    born: int = msgspec.field(name="born", default=0)


class _Version(_Document, frozen=True):
    model: str
    version: int


def decode_instance(name: str, spec: bytes) -> InstanceRecord:
    """Decode a server's entry.

    Raises:
        msgspec.MsgspecError: The entry can't be decoded.
        ValueError: The address or the state is invalid, or a number is out of range.
    """
    document = msgspec.json.decode(spec, type=_Server)
    split_address(document.address)
    if document.state not in _STATES:
        raise ValueError("server state is unknown")
    return InstanceRecord(
        name=name,
        service=document.service,
        address=document.address,
        zone=document.zone,
        draining=document.state == _DRAINING,
        weight_versions={
            model.name: _whole_number(model.version, "weight version") for model in document.models
        },
        started_ms=_whole_number(document.born, "start time"),
        slots=_whole_number(document.slots, "slots"),
        software_version=str(document.version) if document.version is not None else "",
    )


def decode_target(spec: bytes) -> ModelTarget:
    """Decode a named version of a model's weights."""
    document = msgspec.json.decode(spec, type=_Version)
    return ModelTarget(document.model, _whole_number(document.version, "weight version"))
