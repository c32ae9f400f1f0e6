"""Strategies that identify requests which crash servers, compared by `containment_model`."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from enum import Enum

from milletcourse.exchange.evidence.containment_rules import (
    CONTAINMENT_CRASHES,
    ContainmentRule,
    ServerCrash,
    sequential_crashes,
)

PRIOR_CRASHES_PER_SECOND = 1 / 600
"""Assumed rate of spontaneous crashes of a server before any has been observed."""
MIN_RUN_SECONDS = 0.05
"""Shorter runs count as this long, because messages take some time."""
CONTAINMENT_LOG_LIKELIHOOD = math.log(1e4)
"""Evidence at which a request is contained: odds of ten thousand to one."""
CERTAIN_CRASHES = 6
"""This many consecutive crashes suffice, whatever the rate of all crashes."""


class Strategy(Enum):
    """How gateways judge requests that ran on crashed servers."""

    NONE = "none"
    """No evidence is kept."""
    COUNT = "count of ends"
    """Three crashes while running the request, regardless of answers in between."""
    CONSECUTIVE = "in turn"
    """The production rule: three crashes without an answer in between, at least two of them in
    runs that started after the first crash."""
    LIKELIHOOD = "likelihood ratio"
    """Consecutive crashes against those expected from the rate of all crashes and the run time."""
    ISOLATION = "isolation"
    """As `CONSECUTIVE`, but after its first crash a request runs on one server until cleared."""


def containment_rule(
    strategy: Strategy, crashes_per_second: Callable[[], float]
) -> ContainmentRule:
    """Containment rule of a strategy.

    Args:
        strategy: The strategy.
        crashes_per_second: Returns the recently observed crash rate of a server.
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
    """Whether an unrelated request is unlikely to have seen so many crashes."""
    if not sequential_crashes(crashes, was_answered):
        return False
    if len(crashes) >= CERTAIN_CRASHES:
        return True
    rate = PRIOR_CRASHES_PER_SECOND + crashes_per_second
    expected = (rate * max(crash.crashed_at - crash.sent_at, MIN_RUN_SECONDS) for crash in crashes)
    return (
        sum(-math.log(min(probability, 1.0)) for probability in expected)
        >= CONTAINMENT_LOG_LIKELIHOOD
    )
