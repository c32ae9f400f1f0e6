"""Lifecycle of a real process: readiness line, signals and planned shutdown."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import msgspec
import uvloop


class ReadyLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """The single JSON line that a process prints when it is ready to serve.

    Attributes:
        program: E.g. `router` or `standin-engine`.
        name: Name of the process.
        http: `host:port` of its HTTP server.
        datagram: `host:port` of its UDP socket, if any.
        ready: Always true.
    """

    program: str
    name: str
    http: str
    datagram: str = ""
    ready: bool = True


def print_ready(line: ReadyLine) -> None:
    """Print the readiness line for the parent process."""
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def wait_for_stop_signal() -> None:
    """Return at SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run_process(main: Callable[[], Awaitable[None]]) -> None:
    """Run a process's main coroutine on uvloop."""

    async def body() -> None:
        await main()

    uvloop.run(body())
