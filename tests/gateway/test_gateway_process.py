"""A gateway as a real process: signals, changed settings, imports."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

from gateway_harness import WAIT_SECONDS, Harness, settings_document
from gateway_process import GatewayProcess, run_with_process
from gateway_standin import Client

HEAVY_MODULES = (
    "falcon",
    "aiohttp",
    "numpy",
    "pydantic",
    "uvicorn",
    "typer",
    "returns",
    "prometheus_client",
)


def test_signals_and_changed_settings(tmp_path: Path) -> None:
    """SIGHUP with an invalid file doesn't stop it; SIGTERM stops it gracefully with exit code 0."""

    async def scenario(harness: Harness, gateway: GatewayProcess, path: Path) -> None:
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        client = await Client.connect(str(started["frontend"]))
        assert (await client.ask("/safe/", "id-1")).status == 200
        path.write_text("no settings")
        gateway.process.send_signal(signal.SIGHUP)
        await gateway.wait_for("settings-rejected")
        path.write_text(json.dumps(settings_document(harness.store.address, RevokeMs=4000)))
        await gateway.wait_for("settings-reloaded")
        assert (await client.ask("/safe/", "id-2")).status == 200
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.wait_for("stopping")
        got = await client.ask("/safe/", "id-3")
        assert (got.status, got.headers["connection"]) == (200, "close")
        await gateway.wait_for("stopped")
        assert await asyncio.to_thread(gateway.process.wait, WAIT_SECONDS) == 0

    run_with_process(tmp_path, scenario)


def test_a_full_log_pipe_does_not_block(tmp_path: Path) -> None:
    """Requests are still served when nothing reads the log."""

    async def scenario(harness: Harness, gateway: GatewayProcess, path: Path) -> None:
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        client = await Client.connect(str(started["frontend"]))
        for number in range(2000):
            assert (await client.ask("/nowhere/", f"id-{number}")).status == 404
        assert (await client.ask("/safe/", "last")).status == 200

    run_with_process(tmp_path, scenario)


def test_a_gateway_imports_only_what_it_uses() -> None:
    """Memory and start-up time are priced; prometheus_client is imported at the first scrape."""
    code = (
        "import sys, milletcourse.platform.start, milletcourse.gateway.telemetry.metrics\n"
        "milletcourse.gateway.telemetry.metrics.GatewayMetrics()\n"
        f"print([name for name in {HEAVY_MODULES!r} if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_a_reload_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP arrives during the imports, which take most of the start-up time."""

    async def scenario(harness: Harness, gateway: GatewayProcess, path: Path) -> None:
        status = Path(f"/proc/{gateway.process.pid}/status")
        async with asyncio.timeout(WAIT_SECONDS):
            while not ignores_hang_up(status.read_text()):
                await asyncio.sleep(0)
        for _ in range(20):
            gateway.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        started = await gateway.wait_for("started")
        await gateway.wait_for("instances-listed")
        client = await Client.connect(str(started["frontend"]))
        assert (await client.ask("/safe/", "id-1")).status == 200

    run_with_process(tmp_path, scenario)


def ignores_hang_up(status: str) -> bool:
    """Whether a process ignores SIGHUP, by its status in /proc."""
    lines = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    return bool(int(lines["SigIgn"], 16) & 1 << (signal.SIGHUP - 1))
