"""Plays sites without one mechanism at a time, and writes what each is worth as a table.

Usage: python3 scripts/ablate.py BENCH SITE... --scratch DIR [--seeds 0,11] [--jobs N] [--only A,B]

Each mechanism is switched off in a copy of this checkout below DIR (not below /tmp: the bench plays
nothing from there), by `--without=NAME` in the copy's deploy file, and the standard days are played
pair by pair against a copy that has them all. A worth above 0 is what the mechanism gives. Journal
entries stay in the copies' `journal/`. The exit code is 1 when a day broke a rule.
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

from play_standard_days import play

CHECKOUT = Path(__file__).parent.parent
RUN_LINE_END = "9464/metrics"
"""End of the program's arguments in the deploy file."""


def mechanism_names() -> list[str]:
    """Names as the command line lists them."""
    listed = subprocess.run(
        [str(CHECKOUT / ".venv" / "bin" / "milletcourse"), "mechanisms"],
        check=True,
        capture_output=True,
        text=True,
    )
    return [line.split()[0] for line in listed.stdout.splitlines()]


def copy_without(scratch: Path, name: str) -> Path:
    """A copy of the checkout's commit that runs without a mechanism; with all for an empty name."""
    target = scratch / (name or "with-all")
    if target.exists():
        shutil.rmtree(target)
    subprocess.run(["git", "clone", "-q", str(CHECKOUT), str(target)], check=True)
    if name:
        deploy = target / "deploy" / "system.toml"
        text = deploy.read_text()
        changed = text.replace(f'{RUN_LINE_END}"', f'{RUN_LINE_END} --without={name}"', 1)
        assert changed != text, "the deploy file's run line has changed"
        deploy.write_text(changed)
    return target


def worths(args: argparse.Namespace, site: str, name: str) -> tuple[dict[str, float], bool]:
    """Worth of each day and seed, and whether a rule was broken."""
    scratch = Path(args.scratch)
    checkout = scratch / (name or "with-all")
    out = scratch / f"{name or 'with-all'}-{Path(site).stem}.json"
    playing = argparse.Namespace(
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
    is_broken = bool(play(playing))
    reports = [report for report in json.loads(out.read_text()) if "error" not in report]
    return {f"{report['day']} {report['seed']}": report["G"] for report in reports}, is_broken


def cell(whole: dict[str, float], without: dict[str, float]) -> str:
    """Mean difference with its standard error."""
    differences = [whole[key] - without[key] for key in whole if key in without]
    if len(differences) < 2:
        return "-"
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return f"{statistics.mean(differences):+.4f} ± {error:.4f}"


def main() -> int:
    """Command line."""
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
        copy_without(Path(args.scratch), name)
    is_broken = False
    cells: dict[str, list[str]] = {name: [] for name in names}
    for site in args.sites:
        whole, broken = worths(args, site, "")
        is_broken |= broken
        for name in names:
            without, broken = worths(args, site, name)
            is_broken |= broken
            cells[name].append(cell(whole, without))
    print("| mechanism | " + " | ".join(Path(site).stem for site in args.sites) + " |")
    print("| --- |" + " --- |" * len(args.sites))
    for name, row in cells.items():
        print(f"| `{name}` | " + " | ".join(row) + " |")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
