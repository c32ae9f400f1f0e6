"""Runs a gateway as a process: settings, signals, planned stop."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from milletcourse.exchange.mechanisms import ALL_MECHANISMS, Mechanism
from milletcourse.gateway.adapter import PlatformAdapter
from milletcourse.gateway.node import GatewayNode
from milletcourse.gateway.telemetry.event_log import EventLog, NonBlockingWriter

if TYPE_CHECKING:
    from milletcourse.gateway.telemetry.metrics import GatewayMetrics

STDOUT_FD = 1
TASK_FAILED_EXIT_CODE = 70
"""Exit code (EX_SOFTWARE) of a gateway that stopped because a background task had failed."""
SETTINGS_POLL_SECONDS = 1.0
GC_THRESHOLD_ALLOCATIONS = 20_000
"""Allocations between garbage collections. Fewer collections mean fewer pauses, and requests
leave no reference cycles that would need them."""


def run_gateway(
    settings_path: Path,
    adapter: PlatformAdapter,
    metrics_port: int,
    metrics_path: str,
    mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
) -> None:
    """Serve until a stop signal or the failure of a background task, then stop gracefully.

    Args:
        settings_path: Settings file.
        adapter: The platform's names and formats.
        metrics_port: Port of the operator API with the metrics; 0 for none.
        metrics_path: Path of the metrics.
        mechanisms: Mechanisms that are switched on.

    Raises:
        SystemExit: A background task failed.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 20, 20)
    uvloop.run(_serve(settings_path, adapter, metrics_port, metrics_path, mechanisms))


async def _serve(
    settings_path: Path,
    adapter: PlatformAdapter,
    metrics_port: int,
    metrics_path: str,
    mechanisms: frozenset[Mechanism],
) -> None:
    content = settings_path.read_bytes()
    settings = adapter.read_settings(content)
    log = EventLog(settings.name, NonBlockingWriter(STDOUT_FD))
    metrics = _new_metrics() if metrics_port else None
    node = GatewayNode(settings, adapter, random.Random(), log, metrics, mechanisms)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    reloader = SettingsReloader(settings_path, content, adapter, node, log)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await node.start()
    if metrics is not None:
        await node.listen_for_operators(metrics_port, metrics_path)
    watcher = asyncio.create_task(reloader.watch_file())
    await _wait_for_any(stopped, node.task_failed)
    watcher.cancel()
    await node.stop()
    if node.task_failed.is_set():
        raise SystemExit(TASK_FAILED_EXIT_CODE)


async def _wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    tasks = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _new_metrics() -> GatewayMetrics:
    # Imported only where it is used, since memory and start-up time are priced.
    from milletcourse.gateway.telemetry.metrics import GatewayMetrics

    return GatewayMetrics()


class SettingsReloader:
    """Applies changed settings while the process serves."""

    def __init__(
        self,
        path: Path,
        content: bytes,
        adapter: PlatformAdapter,
        node: GatewayNode,
        log: EventLog,
    ) -> None:
        self._path = path
        self._content = content
        self._adapter = adapter
        self._node = node
        self._log = log

    def reload(self) -> None:
        """Read and apply the settings; if they are invalid, the former ones stay in force."""
        try:
            content = self._path.read_bytes()
            settings = self._adapter.read_settings(content)
        except (OSError, ValueError) as error:
            self._log.emit("settings-rejected", error=str(error)[:200])
            return
        if content == self._content:
            return
        self._content = content
        self._node.context.apply_settings(settings)
        self._log.emit("settings-reloaded")

    async def watch_file(self) -> None:
        """Poll the file for changes without a signal, including those made during start-up."""
        last_modified_at = 0
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            modified_at = self._modified_at()
            if modified_at != last_modified_at:
                last_modified_at = modified_at
                self.reload()

    def _modified_at(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0
