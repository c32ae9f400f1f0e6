"""`milletcourse simulate`."""

from __future__ import annotations

import sys
from typing import Annotated

import msgspec
import typer

from milletcourse.errors import FailureError, InvalidObject
from milletcourse.simulation.runner import run_scenario
from milletcourse.simulation.scenarios import SCENARIOS, SCRIPTED_SCENARIOS

ALL = "all"


def run_simulate(
    scenario: Annotated[
        str, typer.Argument(help="Scenario name, `all` for every named one, or `random`.")
    ] = "",
    seed: Annotated[int, typer.Option(help="Seed of a single run.")] = 1,
    seeds: Annotated[str, typer.Option(help="Range of seeds FIRST:LAST.")] = "",
    list_scenarios: Annotated[
        bool,
        typer.Option("--list", help="List the scenarios and the invariant that each verifies."),
    ] = False,
    trace: Annotated[bool, typer.Option(help="Print the trace to standard error.")] = False,
) -> None:
    """Simulate clusters with faults on a virtual clock and check the invariants.

    Prints one JSON line per run; the exit code is 1 if an invariant was violated.
    """
    if list_scenarios or not scenario:
        for item in SCENARIOS.values():
            sys.stdout.write(f"{item.name:26} {item.invariant}\n")
        return
    names = [item.name for item in SCRIPTED_SCENARIOS] if scenario == ALL else [scenario]
    if any(name not in SCENARIOS for name in names):
        allowed = ", ".join([ALL, *SCENARIOS])
        raise FailureError(InvalidObject(scenario, None, "scenario", scenario, allowed))
    broken = 0
    for name in names:
        for number in _seeds(seeds, seed):
            report, world = run_scenario(SCENARIOS[name], number, keep_trace=trace)
            broken += bool(report.violations)
            sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
            sys.stdout.flush()
            if trace:
                sys.stderr.write("".join(world.trace.lines))
    if broken:
        raise typer.Exit(1)


def _seeds(text: str, seed: int) -> range:
    if not text:
        return range(seed, seed + 1)
    first, _, last = text.partition(":")
    if not first.isdigit() or not last.isdigit() or int(first) > int(last):
        raise FailureError(InvalidObject(text, None, "seeds", text, "FIRST:LAST, e.g. 1:20"))
    return range(int(first), int(last) + 1)
