"""The list of known failures lets only its tests fail, and shows which of them pass again."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SUITE = """
def test_healed(): pass
def test_fails(): assert False
def test_other(): assert {other}
"""
LIST = """test_suite.py::test_healed | command 1 | seen | 1
test_suite.py::test_fails | command 2 | seen | 1
a rig | command 3 | seen | 1
"""


def _run(folder: Path, other: bool, *options: str) -> subprocess.CompletedProcess[str]:
    (folder / "test_suite.py").write_text(SUITE.format(other=other))
    (folder / "listed.txt").write_text(LIST)
    plugin = ["-p", "known_red", "--known-red", "listed.txt", "--rootdir", "."]
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-c", "/dev/null", *plugin, *options, "test_suite.py"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
        env={"PYTHONPATH": str(Path(__file__).parent)},
    )


def test_listed_tests_run_and_are_reported_without_failing_the_run(tmp_path: Path) -> None:
    """If they were deselected, a listed test that passes again would go unnoticed."""
    done = _run(tmp_path, True)
    assert done.returncode == 0, done.stdout
    assert "known red, passed: test_suite.py::test_healed | command 1" in done.stdout
    assert "known red, failed: test_suite.py::test_fails | command 2" in done.stdout
    assert "known red, no test of this run: a rig | command 3" in done.stdout


def test_no_other_test_may_fail(tmp_path: Path) -> None:
    """Neither an unlisted test nor, with the strict option, a listed one."""
    assert _run(tmp_path, False).returncode == 1
    assert _run(tmp_path, True, "--strict-known-red").returncode == 1
