"""A gateway as a process: settings, signals, planned stop."""

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

STANDARD_OUTPUT = 1
DUTY_FAILED_EXIT = 70
"""Exit code of a gateway that stopped since one of its duties had failed: an internal error."""
SETTINGS_POLL_SECONDS = 1.0
COLLECTION_THRESHOLD = 20_000
"""Allocations between garbage collections: fewer pauses, since requests leave no cycles."""


def run_gateway(
    settings_path: Path,
    adapter: PlatformAdapter,
    metrics_port: int,
    metrics_path: str,
    mechanisms: frozenset[Mechanism] = ALL_MECHANISMS,
) -> None:
    """Serve until a stop signal; returns after the planned stop.

    Args:
        settings_path: Settings file.
        adapter: The platform's names and formats.
        metrics_port: Port of the figures; 0 for none.
        metrics_path: Path of the figures.
        mechanisms: Those that are switched on.
    """
    gc.freeze()
    gc.set_threshold(COLLECTION_THRESHOLD, 20, 20)
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
    log = EventLog(settings.name, NonBlockingWriter(STANDARD_OUTPUT))
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
    following = asyncio.create_task(reloader.follow())
    await _first_of(stopped, node.duty_failed)
    following.cancel()
    await node.stop()
    if node.duty_failed.is_set():
        raise SystemExit(DUTY_FAILED_EXIT)


async def _first_of(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def _new_metrics() -> GatewayMetrics:
    # Imported only where it is used: memory and start-up are priced.
    from milletcourse.gateway.telemetry.metrics import GatewayMetrics

    return GatewayMetrics()


class SettingsReloader:
    """Takes changed settings into force while the process serves."""

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
        """Read the file; settings that can't be read leave the former ones in force."""
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

    async def follow(self) -> None:
        """Notice changes of the file that no signal tells of, also those during the start."""
        seen = 0
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            changed_at = self._changed_at()
            if changed_at != seen:
                seen = changed_at
                self.reload()

    def _changed_at(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0
