"""Ways to tell requests that end servers from those beside them, for `containment_model`."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from enum import Enum

from milletcourse.exchange.evidence.crash_record import (
    CONTAINMENT_CRASHES,
    ContainmentRule,
    ServerCrash,
    sequential_crashes,
)

PRIOR_CRASHES_PER_SECOND = 1 / 600
"""Rate at which a server ends by itself, before any was seen to."""
MIN_RUN_SECONDS = 0.05
"""Shorter runs are taken for this long: messages take some time."""
CONTAINMENT_LOG_LIKELIHOOD = math.log(1e4)
"""Evidence at which a request is taken to end servers: ten thousand to one."""
CERTAIN_CRASHES = 6
"""With this many ends in a row no rate of crashes is an excuse."""


class Strategy(Enum):
    """How gateways take what ran on servers that ended."""

    NONE = "none"
    """Nothing is remembered."""
    COUNT = "count of ends"
    """Three servers that ended under it, whatever was answered in between."""
    CONSECUTIVE = "in turn"
    """What the product does: three without an answer in between, two begun after the first."""
    LIKELIHOOD = "likelihood ratio"
    """Ends in a row against those expected from the rate of all crashes and the time it ran."""
    ISOLATION = "isolation"
    """As in turn, but after a first end it runs at one server only, until it is cleared."""


def containment_rule(
    strategy: Strategy, crashes_per_second: Callable[[], float]
) -> ContainmentRule:
    """The rule of a way.

    Args:
        way: The way.
        ends_a_second: Tells the rate at which a server ends, as it was seen of late.
    """
    if strategy is Strategy.COUNT:
        return lambda crashes, _: len(crashes) >= CONTAINMENT_CRASHES
    if strategy is Strategy.LIKELIHOOD:
        return lambda crashes, was_answered: _is_unlikely(
            crashes, was_answered, crashes_per_second()
        )
    if strategy is Strategy.NONE:
        return lambda crashes, _: False
    return sequential_crashes


def _is_unlikely(
    crashes: Collection[ServerCrash], was_answered: bool, crashes_per_second: float
) -> bool:
    """Whether the ends are too many for a request that has nothing to do with them."""
    if not sequential_crashes(crashes, was_answered):
        return False
    if len(crashes) >= CERTAIN_CRASHES:
        return True
    rate = PRIOR_CRASHES_PER_SECOND + crashes_per_second
    expected = (rate * max(crash.ended_at - crash.sent_at, MIN_RUN_SECONDS) for crash in crashes)
    return (
        sum(-math.log(min(probability, 1.0)) for probability in expected)
        >= CONTAINMENT_LOG_LIKELIHOOD
    )
