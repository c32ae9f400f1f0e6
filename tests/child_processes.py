"""Processes that tests start: none of them outlives the one that started it."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
from pathlib import Path
from typing import Any

PR_SET_PDEATHSIG = 1
"""Of prctl(2): the signal that a process gets when the thread that started it ends."""
_LIBC = ctypes.CDLL(None)


def _kill_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_child(arguments: list[str], **options: Any) -> subprocess.Popen[Any]:
    """Start a process that ends with this one, however this one ends.

    One that is left behind calls the ports that it knew for good. The kernel gives these to the
    servers of later tests, whose store it then enters itself into.

    Args:
        arguments: Program and arguments.
        how: Further arguments of `subprocess.Popen`.
    """
    return subprocess.Popen(arguments, preexec_fn=_kill_with_parent, **options)


def running_children() -> list[str]:
    """Command lines of this process' children that still run."""
    pids = [
        int(pid)
        for thread in Path("/proc/self/task").iterdir()
        for pid in _read_if_alive(thread / "children").split()
    ]
    return [line for line in map(_command_line, pids) if line]


def _command_line(pid: int) -> str:
    """Of a process; empty for one that has ended."""
    return _read_if_alive(Path(f"/proc/{pid}/cmdline")).replace("\0", " ").strip()


def _read_if_alive(path: Path) -> str:
    """What a file of a thread or process says; empty when that has ended meanwhile."""
    try:
        return path.read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""


def is_running(pid: int) -> bool:
    """Whether a process runs."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return bool(_command_line(pid))
