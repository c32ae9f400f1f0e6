"""Runs the standard days of a site with several seeds, and compares two such runs pairwise.

Usage:
    python3 scripts/play_standard_days.py play BENCH SITE --out FILE [--seeds 0,11,12] [--days A,B]
        [--checkout DIR] [--jobs N] [--small] [--why TEXT]
    python3 scripts/play_standard_days.py compare BEFORE AFTER

BENCH is the path of the bench's program and SITE that of a site file; both are outside this
repository. Seed 0 selects the day's own seed. Days are run without accounting for processor time,
which makes runs mostly reproducible. `play` writes one JSON document; `compare` prints each day's
mean score difference with its standard error, and the parts and prices that changed most. The exit
code is 1 if a rule was violated or a day could not be run.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
import tomllib
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

DEFAULT_JOBS = 5
DEFAULT_SEEDS = "0,11,12"
DAY_SECONDS = 900
SHOWN_CHANGES = 4
"""Number of parts and prices that a comparison shows."""


def run_day(args: argparse.Namespace, day: str, seed: int) -> dict[str, Any]:
    """Run one day and return its report, with the day's name and seed."""
    with tempfile.TemporaryDirectory(prefix="days-") as folder:
        report = Path(folder) / "report.json"
        command = [args.bench, "run", args.site, day, "--no-cpu", "--report", str(report)]
        command += ["--why", args.why]
        if args.small:
            command.append("--small")
        if seed:
            command += ["--seed", str(seed)]
        done = subprocess.run(
            command, cwd=args.checkout, capture_output=True, text=True, timeout=DAY_SECONDS
        )
        if not report.exists():
            return {"day": day, "seed": seed, "error": (done.stdout + done.stderr)[-2000:]}
        return {"day": day, "seed": seed, **json.loads(report.read_text())}


def run_days(args: argparse.Namespace) -> int:
    """Run all days with all seeds, and write the reports."""
    names = [day["name"] for day in tomllib.loads(Path(args.site).read_text())["day"]]
    days = args.days.split(",") if args.days else names
    seeds = [int(seed) for seed in args.seeds.split(",")]
    args.bench, args.site = os.path.abspath(args.bench), os.path.abspath(args.site)
    # Build once before all runs: concurrent builds would corrupt each other's sources.
    subprocess.run([args.bench, "build"], cwd=args.checkout, check=True, capture_output=True)
    with ThreadPoolExecutor(args.jobs) as pool:
        jobs = [pool.submit(run_day, args, day, seed) for day in days for seed in seeds]
        all_reports = [job.result() for job in jobs]
    Path(args.out).write_text(json.dumps(all_reports))
    return describe(all_reports)


def describe(all_reports: list[dict[str, Any]]) -> int:
    """Print each day's mean score; returns 1 if a rule was violated or a day could not be run."""
    by_day = defaultdict(list)
    for report in all_reports:
        by_day[report["day"]].append(report)
    for day, reports in by_day.items():
        whole = [report for report in reports if "error" not in report]
        worths = " ".join(f"{report['G']:.3f}" for report in whole)
        mean = statistics.mean(report["G"] for report in whole) if whole else math.nan
        print(f"{day:12} worth {mean:.3f} ({worths})")
    scores = [report["G"] for report in all_reports if "error" not in report]
    print(f"mean of {len(scores)} plays {statistics.mean(scores):.4f}" if scores else "nothing")
    broken = [report for report in all_reports if report.get("breaks") or "error" in report]
    for report in broken:
        print("FAILED", report["day"], report["seed"], report.get("breaks") or report["error"])
    return 1 if broken else 0


def figures(report: dict[str, Any]) -> dict[str, float]:
    """Weighted parts of a report's score, and prices as negative values."""
    parts = {f"part: {name}": weight * value for name, weight, value in report["parts"]}
    prices = {f"price: {name}": -price for name, _, price in report["prices"]}
    return {**parts, **prices}


def compare(args: argparse.Namespace) -> int:
    """Print the differences between two runs of the same days and seeds."""
    before, after = (
        {(r["day"], r["seed"]): r for r in json.loads(Path(name).read_text()) if "error" not in r}
        for name in (args.before, args.after)
    )
    pairs = [key for key in before if key in after]
    by_day = defaultdict(list)
    for key in pairs:
        by_day[key[0]].append(key)
    for day, keys in by_day.items():
        print_differences(day, keys, before, after)
    print_differences("all", pairs, before, after)
    return 0


def print_differences(
    label: str,
    keys: list[tuple[str, int]],
    before: dict[tuple[str, int], dict[str, Any]],
    after: dict[tuple[str, int], dict[str, Any]],
) -> None:
    """Print one line: mean score, mean difference, standard error and the largest changes."""
    differences = [after[key]["G"] - before[key]["G"] for key in keys]
    error = statistics.stdev(differences) / math.sqrt(len(keys)) if len(keys) > 1 else math.nan
    changes: dict[str, float] = defaultdict(float)
    for key in keys:
        for sign, report in ((-1, before[key]), (1, after[key])):
            for name, value in figures(report).items():
                changes[name] += sign * value / len(keys)
    largest = sorted(changes.items(), key=lambda item: -abs(item[1]))[:SHOWN_CHANGES]
    shown = ", ".join(f"{name} {value:+.4f}" for name, value in largest)
    old = statistics.mean(before[key]["G"] for key in keys)
    print(f"{label:12} {old:.4f} {statistics.mean(differences):+.4f} +- {error:.4f} | {shown}")


def main() -> int:
    """Parse the command line and run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    verbs = parser.add_subparsers(required=True)
    run_parser = verbs.add_parser("play")
    run_parser.add_argument("bench")
    run_parser.add_argument("site")
    run_parser.add_argument("--out", required=True)
    run_parser.add_argument("--seeds", default=DEFAULT_SEEDS)
    run_parser.add_argument("--days", default="")
    run_parser.add_argument("--checkout", default=".")
    run_parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    run_parser.add_argument("--small", action="store_true")
    run_parser.add_argument("--why", default="standard days under several seeds")
    run_parser.set_defaults(run=run_days)
    compare_parser = verbs.add_parser("compare")
    compare_parser.add_argument("before")
    compare_parser.add_argument("after")
    compare_parser.set_defaults(run=compare)
    args = parser.parse_args()
    return int(args.run(args))


if __name__ == "__main__":
    sys.exit(main())
