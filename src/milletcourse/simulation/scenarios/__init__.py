"""Simulation scenarios, one module for each family of faults."""

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
"""Scenarios with a fixed script; `all` on the command line."""

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario for scenario in (*SCRIPTED_SCENARIOS, random_faults.SCENARIO)
}
