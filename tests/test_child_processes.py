"""No process that a test or a rig starts outlives it."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import pytest

from child_processes import is_running, running_children, start_child

WAIT_SECONDS = 10.0
PARENT = """
import sys, time
sys.path.insert(0, {tests!r})
from child_processes import start_child
child = start_child([sys.executable, "-c", "import time; time.sleep(60)"])
print(child.pid, flush=True)
time.sleep(60)
"""


def test_a_child_is_killed_with_its_rig() -> None:
    """Gateways of killed soaks kept connecting to ports that later tests had got."""
    program = PARENT.format(tests=str(Path(__file__).parent))
    with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE) as rig:
        assert rig.stdout is not None
        child = int(rig.stdout.readline())
        assert is_running(child)
        rig.kill()
        rig.wait()
        ends_at = time.monotonic() + WAIT_SECONDS
        while is_running(child) and time.monotonic() < ends_at:
            time.sleep(0.01)
        assert not is_running(child)


def test_running_children_are_listed() -> None:
    """The fixture that runs after each test relies on this list."""
    child = start_child([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        assert any("time.sleep(60)" in line for line in running_children())
    finally:
        child.kill()
        child.wait()
    assert not any("time.sleep(60)" in line for line in running_children())


def test_threads_that_exit_during_the_listing_are_no_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """A thread of the test's executor may exit while the children are being listed."""
    tasks = Path("/proc/self/task")
    listed = [*tasks.iterdir(), tasks / "0"]
    monkeypatch.setattr(Path, "iterdir", lambda _: iter(listed))
    assert running_children() == []
