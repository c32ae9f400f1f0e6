"""Fault plans, the second axis of the routing experiments."""

from __future__ import annotations

from dataclasses import dataclass

FAULT_NAMES = ("none", "events", "engine-crash", "hot-shift", "store-down", "zone-cut")
CRASH_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults injected in one run.

    Attributes:
        event_delay_seconds: Delay of cache events.
        event_loss: Share of lost cache events.
        shift: Whether hot prefixes shift.
        crash: Whether an engine crashes, twice.
        store_down: Whether the KV store is down for the middle third.
        zone_cut: Whether one zone's engines are unreachable for the middle third.
    """

    event_delay_seconds: float = 0.3
    event_loss: float = 0.0
    shift: bool = False
    crash: bool = False
    store_down: bool = False
    zone_cut: bool = False


PLANS = {
    "none": FaultPlan(),
    "events": FaultPlan(event_delay_seconds=5.0, event_loss=0.1),
    "engine-crash": FaultPlan(crash=True),
    "hot-shift": FaultPlan(shift=True),
    "store-down": FaultPlan(store_down=True),
    "zone-cut": FaultPlan(zone_cut=True),
}
