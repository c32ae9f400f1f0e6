"""Timeouts of silent servers; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.records import RouteRecord

FIRST_EVENT_TARGET_FACTOR = 2.5
"""Timeout of a repeatable request's first event, as a multiple of the route's target latency."""
MIN_SILENCE_SECONDS = 1.0
"""Lower bound of the timeouts: a shorter silence is no sign of a fault."""
LIVE_SERVER_FACTOR = 1.4
"""Factor on the timeout of a server that answers other requests: it has a queue or processes
prompts, and a retry elsewhere processes the prompt again, which makes an overload worse."""
EVENT_GAP_FACTOR = 2.0
"""Timeout between events of a resumable stream, as a multiple of the route's allowed gap."""


def first_event_timeout(route: RouteRecord) -> float:
    """Longest silence before an answer begins."""
    return max(route.target_latency_seconds * FIRST_EVENT_TARGET_FACTOR, MIN_SILENCE_SECONDS)


def event_gap_timeout(route: RouteRecord) -> float:
    """Longest silence between events; unlimited when no other server can continue the stream."""
    if not route.repeatable:
        return float("inf")
    return max(route.gap_seconds * EVENT_GAP_FACTOR, MIN_SILENCE_SECONDS)


def extra_silence_seconds(
    usual_seconds: float, silent_seconds: float, answers_others: bool
) -> float:
    """Further time to wait for a server that has reached its usual timeout.

    Args:
        usual_seconds: Silence after which a server usually times out.
        silent_seconds: How long it has been silent.
        answers_others: Whether it recently answered other requests.
    """
    if not answers_others or usual_seconds == float("inf"):
        return 0.0
    return usual_seconds * LIVE_SERVER_FACTOR - silent_seconds
