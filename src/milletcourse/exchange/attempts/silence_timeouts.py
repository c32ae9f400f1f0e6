"""How long a silent server is waited for; no input/output."""

from __future__ import annotations

from milletcourse.exchange.messages.records import RouteRecord

FIRST_EVENT_TARGET_FACTOR = 2.5
"""A repeatable request leaves a server that is silent for this many target latencies."""
MIN_SILENCE_SECONDS = 1.0
"""A shorter silence tells nothing about a server."""
LIVE_SERVER_FACTOR = 1.4
"""A server that answers others is given this much longer: it has a queue, or reads prompts, and a
request that is sent again elsewhere is read again, which makes an overload worse."""
EVENT_GAP_FACTOR = 2.0
"""A resumable stream leaves a server that is silent for this many allowed gaps."""


def first_event_timeout(route: RouteRecord) -> float:
    """Longest silence before an answer begins."""
    return max(route.target_latency_seconds * FIRST_EVENT_TARGET_FACTOR, MIN_SILENCE_SECONDS)


def event_gap_timeout(route: RouteRecord) -> float:
    """Longest silence between events; a stream that can't go on elsewhere is waited for."""
    if not route.repeatable:
        return float("inf")
    return max(route.gap_seconds * EVENT_GAP_FACTOR, MIN_SILENCE_SECONDS)


def extra_silence_seconds(
    usual_seconds: float, silent_seconds: float, answers_others: bool
) -> float:
    """How much longer a server is waited for that was silent for as long as usual.

    Args:
        usual_seconds: Silence after which a server is left.
        silent_seconds: How long it has been silent.
        answers_others: Whether it lately answered other requests.
    """
    if not answers_others or usual_seconds == float("inf"):
        return 0.0
    return usual_seconds * LIVE_SERVER_FACTOR - silent_seconds
