"""Settings of a gateway process, which it needs before it has a configuration."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.records import LimitTolerance


class GatewayBounds(msgspec.Struct, frozen=True):
    """Bounds that operators set for a gateway, times in seconds.

    Attributes:
        revoke: Time after which a revoked key is refused everywhere.
        fail_closed: Refuse keys while it can't be proven that they are still valid.
        config_apply: Time after which a new configuration is in force.
        grace: Time between the stop signal and the kill.
        lease: Duration of a lease.
        version: Time after which no requests start on another weight version than the target.
        retry_ratio: Sends beyond the first of a request, as a share of requests, over all gateways.
        retry_slack: Such sends that are allowed in addition to the share, over all gateways.
        budget_window: Window in which requests and these sends are counted.
        limit_window: Window in which a tenant's use is compared with its limit.
        limit_overage: Share of a window's limit by which all gateways together may exceed it.
        limit_slack: Units by which they may exceed a limit beyond that share.
        reuse: Time within which a prompt prefix is expected to be requested again, if at all.
    """

    revoke: float = 5.0
    fail_closed: bool = True
    config_apply: float = 2.0
    grace: float = 8.0
    lease: float = 3.0
    version: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    budget_window: float = 10.0
    reuse: float = 10.0
    limit_window: float = 8.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0

    @property
    def limit_tolerance(self) -> LimitTolerance:
        """How far all gateways together may exceed a tenant's limit."""
        return LimitTolerance(self.limit_window, self.limit_overage, self.limit_slack)


class GatewaySettings(msgspec.Struct, frozen=True):
    """One gateway process.

    Attributes:
        name: Unique name of the machine.
        zone: Its zone.
        host: IP number of the machine.
        frontend: `host:port` on which clients connect.
        readiness: `host:port` of the readiness check of the load balancer.
        store: `host:port` of the object store.
        internal_ports: First and last port for traffic between gateways.
        bounds: Time bounds.
        link_megabits: Bandwidth of the machine's link in Mbit/s; 0 when it isn't known.
        max_descriptors: Most file descriptors of the process; 0 when only the system bounds them.
        memory_bytes: Memory of the process; 0 when only the machine bounds it.
    """

    name: str
    zone: str
    host: str
    frontend: str
    readiness: str
    store: str
    internal_ports: tuple[int, int] = (0, 0)
    bounds: GatewayBounds = GatewayBounds()
    link_megabits: float = 0.0
    max_descriptors: int = 0
    memory_bytes: int = 0
