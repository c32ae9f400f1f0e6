"""Measures how often each search finds its known defect: `tests/defect_searches.py [--runs N]`.

A search draws examples until one reveals its defect. Each run has a different seed. All modules of
the project are loaded, since Hypothesis may draw from constants of the loaded modules.
"""

from __future__ import annotations

import argparse
import importlib
import json
import pkgutil
import sys
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

from hypothesis import Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

import conftest  # noqa: F401
import milletcourse
import test_claims
from exchange import test_at_most_once_machine
from exchange.attempts import test_stop_machine
from exchange.evidence import test_crash_machine
from exchange.limits import test_tenant_limits
from exchange.rollout import test_lease_machine
from gateway import test_sleep_machines
from gateway.servers import test_signal_machine
from gateway.store import test_feed_contents_machine

PROCESSES = 4
DEFAULT_RUNS = 50


@dataclass(frozen=True)
class Search:
    """Search for a known defect with a state machine.

    Attributes:
        machine: State machine, which draws examples as in its test.
        search_settings: Hypothesis settings of its test.
        defect: Context that injects the defect if the machine itself does not contain it.
    """

    machine: type[RuleBasedStateMachine]
    search_settings: settings
    defect: Callable[[], AbstractContextManager[None]] = nullcontext


def searches() -> dict[str, Search]:
    """All searches by name."""
    signals = test_signal_machine
    contents = test_feed_contents_machine
    leases = test_lease_machine
    found = {
        "stop: CarelessMachine": Search(
            test_stop_machine.CarelessMachine, test_stop_machine.SEARCH
        ),
        "crash: ForgetfulFleet": Search(
            test_crash_machine.ForgetfulFleet, test_crash_machine.SEARCH
        ),
        "sleep: SteadyClockFleet": Search(
            test_sleep_machines.SteadyClockFleet, test_sleep_machines.FIRST_FAULT
        ),
        "limits: whole grants": Search(
            test_tenant_limits.GrantsWholeMachine, test_tenant_limits.SEARCH
        ),
    }
    for rule in (test_claims.VotesAtOnce, test_claims.IgnoresClockDifference):
        found[f"claims: {rule.__name__}"] = Search(rule, test_claims.SEARCH)
    at_most_once = test_at_most_once_machine
    for history in at_most_once.KNOWN_BAD:
        found[f"at-most-once: {history.__name__}"] = Search(
            at_most_once.machine_with(history), at_most_once.SEARCH
        )
    for mutant in signals.MUTANTS:
        found[f"signals: {mutant.__name__}"] = Search(signals.machine_with(mutant), signals.SEARCH)
    for defect in contents.DEFECTS:
        name = f"contents: {defect.__name__.strip('_')}"
        found[name] = Search(contents.ToldContents, contents.FINDING_RUNS, defect)
    for tracker in leases.MUTANTS:
        found[f"lease: {tracker.__name__}"] = Search(leases.machine_with(tracker), leases.SEARCH)
    return found


def _load_all_modules() -> None:
    for module in pkgutil.walk_packages(milletcourse.__path__, "milletcourse."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def run_search(task: tuple[str, int]) -> tuple[str, bool, float]:
    """Run a search once; returns its name, whether it found the defect, and its duration."""
    name, number = task
    _load_all_modules()
    search = searches()[name]
    search_settings = settings(
        search.search_settings,
        phases=(Phase.generate,),
        derandomize=False,
        report_multiple_bugs=False,
    )
    began_at = time.monotonic()
    machine: Any = seed(number)(type(search.machine.__name__, (search.machine,), {}))
    is_found = False
    with search.defect():
        try:
            run_state_machine_as_test(machine, settings=search_settings)
        except AssertionError:
            is_found = True
    return name, is_found, time.monotonic() - began_at


def main() -> int:
    """Run all searches; returns 1 if one missed its defect."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=DEFAULT_RUNS)
    parser.add_argument("--search", default="", help="prefix of the names of searches to run")
    arguments = parser.parse_args()
    names = [name for name in searches() if name.startswith(arguments.search)]
    tasks = [(name, number) for name in names for number in range(1, arguments.runs + 1)]
    done: dict[str, list[tuple[bool, float]]] = {name: [] for name in names}
    with get_context("spawn").Pool(PROCESSES) as pool:
        for name, is_found, seconds in pool.imap_unordered(run_search, tasks):
            done[name].append((is_found, seconds))
    missed = 0
    for name, runs in done.items():
        found = sum(is_found for is_found, _ in runs)
        missed += len(runs) - found
        longest = max(seconds for _, seconds in runs)
        print(json.dumps({"search": name, "found": found, "of": len(runs), "longest": longest}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
