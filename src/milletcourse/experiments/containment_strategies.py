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

PRIOR_ENDS_A_SECOND = 1 / 600
"""Rate at which a server ends by itself, before any was seen to."""
MIN_RUN_SECONDS = 0.05
"""Shorter runs are taken for this long: messages take some time."""
LOG_LIKELIHOOD = math.log(1e4)
"""Evidence at which a request is taken to end servers: ten thousand to one."""
CERTAIN_ENDS = 6
"""With this many ends in a row no rate of crashes is an excuse."""


class Way(Enum):
    """How gateways take what ran on servers that ended."""

    NONE = "none"
    """Nothing is remembered."""
    COUNT = "count of ends"
    """Three servers that ended under it, whatever was answered in between."""
    IN_TURN = "in turn"
    """What the product does: three without an answer in between, two begun after the first."""
    LIKELIHOOD = "likelihood ratio"
    """Ends in a row against those expected from the rate of all crashes and the time it ran."""
    ISOLATION = "isolation"
    """As in turn, but after a first end it runs at one server only, until it is cleared."""


def rule_of(way: Way, ends_a_second: Callable[[], float]) -> ContainmentRule:
    """The rule of a way.

    Args:
        way: The way.
        ends_a_second: Tells the rate at which a server ends, as it was seen of late.
    """
    if way is Way.COUNT:
        return lambda ends, _: len(ends) >= CONTAINMENT_CRASHES
    if way is Way.LIKELIHOOD:
        return lambda ends, was_answered: _is_unlikely(ends, was_answered, ends_a_second())
    if way is Way.NONE:
        return lambda ends, _: False
    return sequential_crashes


def _is_unlikely(ends: Collection[ServerCrash], was_answered: bool, ends_a_second: float) -> bool:
    """Whether the ends are too many for a request that has nothing to do with them."""
    if not sequential_crashes(ends, was_answered):
        return False
    if len(ends) >= CERTAIN_ENDS:
        return True
    rate = PRIOR_ENDS_A_SECOND + ends_a_second
    expected = (rate * max(end.ended_at - end.sent_at, MIN_RUN_SECONDS) for end in ends)
    return sum(-math.log(min(chance, 1.0)) for chance in expected) >= LOG_LIKELIHOOD
