"""A derandomized test draws the same values regardless of the modules that its worker loaded."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

PROGRAM = """
import importlib, pkgutil, sys
sys.path.insert(0, {tests!r})
from hypothesis import given, settings, strategies as st
from hypothesis_draws import draw_independently_of_modules
import milletcourse
if {is_independent}:
    draw_independently_of_modules()
if {loads_all}:
    for module in pkgutil.walk_packages(milletcourse.__path__, "milletcourse."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
drawn = []

@settings(max_examples=300, derandomize=True, database=None)
@given(st.floats(0.0, 1e6), st.integers(0, 10_000))
def draw(number, count):
    drawn.append((number, count))

draw()
print(drawn)
"""


def _drawn(is_independent: bool, loads_all: bool) -> str:
    program = PROGRAM.format(
        tests=str(Path(__file__).parent), is_independent=is_independent, loads_all=loads_all
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    return done.stdout


def test_draws_do_not_depend_on_loaded_modules() -> None:
    """Constants of modules that other tests had loaded can make a search miss its known defect."""
    assert _drawn(is_independent=False, loads_all=False) != _drawn(False, loads_all=True)
    assert _drawn(is_independent=True, loads_all=False) == _drawn(True, loads_all=True)
