"""Runs this project's days on the users' bench: each kind of fault alone, then in pairs.

Usage: python3 scripts/play_days.py BENCH SITE... [--only TEXT] [--jobs N] [--why TEXT]

BENCH is the path of the bench's program and SITE that of a site file; both are outside this
repository. The days are defined in `bench/days.toml`. Prints one line per day with the served
share, the score and violated rules. The exit code is 1 if a rule was violated or a day could not be
run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CATALOGUE = Path(__file__).parent.parent / "bench" / "days.toml"
DEFAULT_JOBS = 4
TABLE_HEAD = (
    "# Troubles\n\n"
    "Each kind of trouble and variant alone, then pairs that meet, on both sites:\n"
    "`bench/days.toml` played by `scripts/play_days.py` without processor time. Weight versions\n"
    "and a change of the configuration come on each day. Worth is before marks; rules are kept or\n"
    "named.\n\n"
)
VERSION_BUMPS_AT_SECONDS = (2.0, 7.0, 12.0)
"""Times of new weight versions on each day, so that weight orders coincide with every fault."""
CONFIG_CHANGE_AT_SECONDS = 13.0


@dataclass(frozen=True)
class DayResult:
    """Result of one day."""

    site: str
    name: str
    served: float
    worth: float
    broken: str

    def line(self) -> str:
        """One line of the report."""
        return (
            f"{self.site:20} {self.name:36} served {self.served:.3f} worth {self.worth:.3f}"
            f" {self.broken or 'rules kept'}"
        )


def service_names(site: str) -> dict[str, str]:
    """A site's names for the services that days call `models` and `applications`."""
    services = tomllib.loads(Path(site).read_text()).get("services", [])
    models = next((item["name"] for item in services if item.get("model") == "llm"), "")
    applications = next((item["name"] for item in services if "model" not in item), "")
    return {"models": models, "applications": applications}


def day_document(entry: dict[str, Any], services: dict[str, str]) -> str:
    """Encode a day in the bench's TOML format."""
    plan = [{"at": at, "kind": "version_bump", "count": 0} for at in VERSION_BUMPS_AT_SECONDS]
    plan.append({"at": CONFIG_CHANGE_AT_SECONDS, "kind": "config_change", "how": "tenant"})
    plan.extend(entry.get("plan", []))
    lines = [f'name = "{entry["name"]}"', 'slot = "trouble"', f"seed = {entry.get('seed', 7)}"]
    lines.append("one = 1.0\nzero = 0.0\ngoal = { floor = 0.0 }\nlabels = []")
    if "closing" in entry:
        lines.append(f"closing = {_inline(entry['closing'])}")
    lines.append(f"plan = [{', '.join(_inline(item) for item in plan)}]")
    faults = [_at_service(fault, services) for fault in entry.get("faults", [])]
    lines.append(f"faults = [{', '.join(_inline(fault) for fault in faults)}]")
    return "\n".join(lines) + "\n"


def _at_service(fault: dict[str, Any], services: dict[str, str]) -> dict[str, Any]:
    named = fault.get("service")
    return {**fault, "service": services[named]} if named in services else fault


def _inline(table: dict[str, Any]) -> str:
    return "{ " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in table.items()) + " }"


def run_day(bench: str, site: str, entry: dict[str, Any], why: str) -> DayResult:
    """Run one day and read its report."""
    name = entry["name"]
    with tempfile.TemporaryDirectory() as folder:
        day = Path(folder) / "day.toml"
        day.write_text(day_document(entry, service_names(site)))
        report = Path(folder) / "report.json"
        command = [bench, "run", site, str(day), "--no-cpu", "--report", str(report)]
        run = subprocess.run([*command, "--why", f"{why}: {name}"], capture_output=True, text=True)
        if not report.exists():
            return DayResult(Path(site).stem, name, 0.0, 0.0, f"NOT PLAYED {run.stdout[-300:]}")
        document = json.loads(report.read_text())
    broken = json.dumps(document["breaks"]) if document["breaks"] else ""
    if document["fault"]:
        broken += f" FAULT {document['fault']}"
    return DayResult(Path(site).stem, name, document["served"], document["G"], broken)


def markdown_table(days: list[DayResult]) -> str:
    """A Markdown table with one row per day and three columns per site."""
    sites = list(dict.fromkeys(day.site for day in days))
    head = " | ".join(f"{site}: rules | served | worth" for site in sites)
    lines = [f"| trouble | {head} |", "| --- |" + " --- | --- | --- |" * len(sites)]
    for name in dict.fromkeys(day.name for day in days):
        cells = [name]
        for site in sites:
            day = next((day for day in days if (day.site, day.name) == (site, name)), None)
            if day is None:
                cells += ["not played", "", ""]
                continue
            cells += [day.broken or "kept", f"{day.served:.3f}", f"{day.worth:.3f}"]
        lines.append("| " + " | ".join(cells) + " |")
    return TABLE_HEAD + "\n".join(lines) + "\n"


def can_play(entry: dict[str, Any], site: str) -> bool:
    """Whether a site's contracts include the one that a day's fault needs."""
    contracts = tomllib.loads(Path(site).read_text()).get("contracts", [])
    return "needs" not in entry or entry["needs"] in contracts


def main() -> int:
    """Run all days on all sites."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--only", default="", help="run only days whose name contains this text")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--why", default="days of our own")
    parser.add_argument("--table", type=Path, help="file for a table of all days and sites")
    arguments = parser.parse_args()
    entries = tomllib.loads(CATALOGUE.read_text())["day"]
    chosen = [entry for entry in entries if arguments.only in entry["name"]]
    broken = 0
    days: list[DayResult] = []
    with ThreadPoolExecutor(arguments.jobs) as pool:
        futures = [
            pool.submit(run_day, arguments.bench, site, entry, arguments.why)
            for site in arguments.sites
            for entry in chosen
            if can_play(entry, site)
        ]
        for future in futures:
            day = future.result()
            days.append(day)
            broken += bool(day.broken)
            print(day.line(), flush=True)
    print(f"{len(futures)} days, {broken} with a violated rule or not run")
    if arguments.table:
        arguments.table.write_text(markdown_table(days))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
