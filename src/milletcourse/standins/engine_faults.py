"""Faults that tests can inject into the engine stand-in."""

from __future__ import annotations

import msgspec


class EngineFaults(msgspec.Struct):
    """Faults of one engine; by default only small reporting delays.

    Attributes:
        event_delay_seconds: Delay before a cache event becomes visible.
        event_loss: Share of cache events that never become visible.
        load_lag_seconds: Age of the load reports.
        duplicate_tokens: Whether every stream event is sent twice.
        cross_tokens: Whether streams also contain events of other requests.
        stall_seconds: Time added to the duration of each step.
    """

    event_delay_seconds: float = 0.1
    event_loss: float = 0.0
    load_lag_seconds: float = 0.2
    duplicate_tokens: bool = False
    cross_tokens: bool = False
    stall_seconds: float = 0.0
