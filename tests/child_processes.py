"""Child processes of tests, which never outlive the process that started them."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
from pathlib import Path
from typing import Any

PR_SET_PDEATHSIG = 1
"""Option of prctl(2): signal that a process receives when the thread that started it exits."""
_LIBC = ctypes.CDLL(None)


def _kill_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_child(arguments: list[str], **options: Any) -> subprocess.Popen[Any]:
    """Start a process that is killed when this one exits for any reason.

    An orphaned gateway would keep connecting to the ports that it knows. The kernel assigns these
    to servers of later tests, and the gateway would then register in their store.

    Args:
        arguments: Program and arguments.
        options: Further arguments of `subprocess.Popen`.
    """
    return subprocess.Popen(arguments, preexec_fn=_kill_with_parent, **options)


def running_children() -> list[str]:
    """Command lines of running child processes of this process."""
    pids = [
        int(pid)
        for thread in Path("/proc/self/task").iterdir()
        for pid in _read_if_alive(thread / "children").split()
    ]
    return [line for line in map(_command_line, pids) if line]


def _command_line(pid: int) -> str:
    """Command line of a process; empty if it has exited."""
    return _read_if_alive(Path(f"/proc/{pid}/cmdline")).replace("\0", " ").strip()


def _read_if_alive(path: Path) -> str:
    """Contents of a /proc file of a thread or process; empty if that has exited."""
    try:
        return path.read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ""


def is_running(pid: int) -> bool:
    """Whether a process is running."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return bool(_command_line(pid))
