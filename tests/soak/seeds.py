"""Plays a soak once for each seed of a range, and prints a JSON line for each."""

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
"""Fields of a report that are empty when a seed is sound."""


def run_seeds(seeds: str, keep: Path | None, run_seed: SeedRunner) -> int:
    """Play all seeds; returns the exit code, 1 when one of them was not sound.

    Args:
        seeds: FIRST:LAST, or one; empty for a fresh one.
        keep: Folder that keeps the logs, by seed; None drops them.
        play: Plays one seed with a folder for its logs.
    """
    # Stand-ins write to connections that a fault has closed.
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
