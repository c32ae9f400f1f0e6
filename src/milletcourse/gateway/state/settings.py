"""Settings of a gateway process: what it must know before it has a configuration."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.messages.records import LimitTolerance


class GatewayBounds(msgspec.Struct, frozen=True):
    """Time bounds that operators hold a gateway to, in seconds unless named otherwise.

    Attributes:
        revoke: A revoked key is refused everywhere after this time.
        fail_closed: Refuse keys when it can't be proved that they still hold.
        config_apply: A configuration is in force after this time.
        grace: Time between the stop signal and the kill.
        lease: Duration of a lease.
        version: A named weight version is the only one that starts work after this time.
        retry_ratio: Sends past the first of a request, as a share of requests, over all gateways.
        retry_slack: Sends past the first that are allowed beside the share, over all gateways.
        budget_window: Window in which both are counted.
        limit_window: Window in which a tenant's use is held against its limit.
        limit_overage: Share of a window's limit by which all gateways together may exceed it.
        limit_slack: Units of a limit beyond that.
        reuse: A part of a prompt is expected to be asked for again within this time, if at all.
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
        """How far all gateways together may go beyond a tenant's limit."""
        return LimitTolerance(self.limit_window, self.limit_overage, self.limit_slack)


class GatewaySettings(msgspec.Struct, frozen=True):
    """One gateway process.

    Attributes:
        name: Unique name of the machine.
        zone: Its zone.
        host: IP number of the machine.
        frontend: `host:port` that clients reach.
        readiness: `host:port` that the entry asks whether it is ready.
        store: `host:port` of the object store.
        internal_ports: First and last port that gateways may use among themselves.
        bounds: Time bounds.
        link_megabits: Bandwidth of the machine's link in Mbit/s; 0 when it isn't known.
        max_descriptors: Most descriptors of the process; 0 when only the system bounds them.
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
