"""Runs sites without one mechanism at a time, and prints a table of each mechanism's benefit.

Usage: python3 scripts/ablate.py BENCH SITE... --scratch DIR [--seeds 0,11] [--jobs N] [--only A,B]

Each mechanism is disabled by `--without=NAME` in the deploy file of a copy of this checkout below
DIR (not below /tmp, from which the bench runs nothing). The standard days are run pairwise against
a copy with all mechanisms. A positive difference is the mechanism's benefit to the score. Journal
entries stay in the copies' `journal/`. The exit code is 1 if a day violated a rule.
"""

from __future__ import annotations

import argparse
import json
import math
import shutil
import statistics
import subprocess
import sys
from pathlib import Path

from play_standard_days import run_days

CHECKOUT = Path(__file__).parent.parent
RUN_LINE_END = "9464/metrics"
"""Last of the program's arguments in the deploy file."""


def mechanism_names() -> list[str]:
    """Names of mechanisms as listed by the command line."""
    listed = subprocess.run(
        [str(CHECKOUT / ".venv" / "bin" / "milletcourse"), "mechanisms"],
        check=True,
        capture_output=True,
        text=True,
    )
    return [line.split()[0] for line in listed.stdout.splitlines()]


def clone_without(scratch: Path, name: str) -> Path:
    """Clone the checkout with one mechanism disabled; with all enabled if the name is empty."""
    target = scratch / (name or "with-all")
    if target.exists():
        shutil.rmtree(target)
    subprocess.run(["git", "clone", "-q", str(CHECKOUT), str(target)], check=True)
    if name:
        deploy = target / "deploy" / "system.toml"
        text = deploy.read_text()
        changed = text.replace(f'{RUN_LINE_END}"', f'{RUN_LINE_END} --without={name}"', 1)
        assert changed != text, "the run line of the deploy file does not end as expected"
        deploy.write_text(changed)
    return target


def run_scores(args: argparse.Namespace, site: str, name: str) -> tuple[dict[str, float], bool]:
    """Score of each day and seed, and whether a rule was violated."""
    scratch = Path(args.scratch)
    checkout = scratch / (name or "with-all")
    out = scratch / f"{name or 'with-all'}-{Path(site).stem}.json"
    run_arguments = argparse.Namespace(
        bench=args.bench,
        site=site,
        out=str(out),
        seeds=args.seeds,
        days="",
        checkout=str(checkout),
        jobs=args.jobs,
        small=False,
        why=f"Ablation: without {name or 'nothing'}",
    )
    is_broken = bool(run_days(run_arguments))
    reports = [report for report in json.loads(out.read_text()) if "error" not in report]
    return {f"{report['day']} {report['seed']}": report["G"] for report in reports}, is_broken


def cell(whole: dict[str, float], without: dict[str, float]) -> str:
    """Table cell with the mean difference and its standard error."""
    differences = [whole[key] - without[key] for key in whole if key in without]
    if len(differences) < 2:
        return "-"
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return f"{statistics.mean(differences):+.4f} ± {error:.4f}"


def main() -> int:
    """Run all sites without each mechanism and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--scratch", required=True)
    parser.add_argument("--seeds", default="0,11")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    args = parser.parse_args()
    names = args.only.split(",") if args.only else mechanism_names()
    Path(args.scratch).mkdir(parents=True, exist_ok=True)
    for name in ["", *names]:
        clone_without(Path(args.scratch), name)
    is_broken = False
    cells: dict[str, list[str]] = {name: [] for name in names}
    for site in args.sites:
        whole, broken = run_scores(args, site, "")
        is_broken |= broken
        for name in names:
            without, broken = run_scores(args, site, name)
            is_broken |= broken
            cells[name].append(cell(whole, without))
    print("| mechanism | " + " | ".join(Path(site).stem for site in args.sites) + " |")
    print("| --- |" + " --- |" * len(args.sites))
    for name, row in cells.items():
        print(f"| `{name}` | " + " | ".join(row) + " |")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
