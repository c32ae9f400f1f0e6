"""Simulation scenarios, one module for each type of fault."""

from __future__ import annotations

from milletcourse.simulation.runner import Scenario
from milletcourse.simulation.scenarios import (
    crashes,
    partitions,
    platform,
    random_faults,
    steady,
    stops,
)

SCRIPTED_SCENARIOS = (
    *steady.SCENARIOS,
    *crashes.SCENARIOS,
    *platform.SCENARIOS,
    *partitions.SCENARIOS,
    *stops.SCENARIOS,
)
"""Scenarios with a fixed fault script; the command line runs them with `all`."""

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario for scenario in (*SCRIPTED_SCENARIOS, random_faults.SCENARIO)
}
