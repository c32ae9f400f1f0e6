"""Runs a soak once for each seed of a range, and prints one JSON line per seed."""

from __future__ import annotations

import asyncio
import json
import logging
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

Report = dict[str, object]
SeedRunner = Callable[[int, Path], Coroutine[Any, Any, Report]]
FAILURE_FIELDS = ("lost", "violations")
"""Report fields that are empty if a seed passed."""


def run_seeds(seeds: str, keep: Path | None, run_seed: SeedRunner) -> int:
    """Run all seeds; returns the exit code, 1 if one of them failed.

    Args:
        seeds: FIRST:LAST, or a single seed; empty for a new one.
        keep: Folder in which to keep the logs, by seed; None discards them.
        run_seed: Runs one seed with a folder for its logs.
    """
    # Stand-ins write to connections that a fault has closed, which asyncio would log.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    first, _, last = (seeds or str(int(time.time()))).partition(":")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as temporary:
            folder = keep / str(seed) if keep else Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(run_seed(seed, folder))
        failed += any(report.get(field) for field in FAILURE_FIELDS)
        print(json.dumps(report), flush=True)
    return 1 if failed else 0
