"""`milletcourse standin ...`: deterministic stand-ins of the external systems."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from milletcourse.configuration.files import load_objects
from milletcourse.errors import FailureError, InvalidObject
from milletcourse.logs import configure_logs
from milletcourse.runtime.process import (
    ReadyLine,
    print_ready,
    run_process,
    wait_for_stop_signal,
)
from milletcourse.standins.application import AppLedger
from milletcourse.standins.engine_core import EngineProfile
from milletcourse.standins.processes import (
    ApplicationServer,
    EngineServer,
    KvStoreServer,
    PlatformServer,
    StandinServer,
    WeightStoreServer,
)

DEFAULT_LOAD_SECONDS = 0.5

app = typer.Typer(
    help="Run a stand-in of an external system until SIGTERM.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

Host = Annotated[str, typer.Option(help="IP number to listen on.")]
Port = Annotated[int, typer.Option(help="TCP port; 0 selects a free one.")]
Name = Annotated[str, typer.Option(help="Name shown in the ready line.")]


def _run(program: str, name: str, build: Callable[[], StandinServer]) -> None:
    configure_logs("warning")

    async def main() -> None:
        server = build()
        await server.start()
        print_ready(ReadyLine(f"standin-{program}", name, server.address))
        await wait_for_stop_signal()
        await server.stop()

    run_process(main)


@app.command("platform")
def run_platform(
    host: Host = "127.0.0.1",
    port: Port = 0,
    name: Name = "platform",
    objects: Annotated[
        Path | None, typer.Option(help="TOML file with initial policy objects.")
    ] = None,
) -> None:
    """Run the object API with versions, watches, leases and the list of machines."""
    documents = load_objects(objects) if objects is not None else ()

    def build() -> PlatformServer:
        server = PlatformServer(host, port)
        server.app.core.load([(item.kind, item.name, item.spec) for item in documents])
        return server

    _run("platform", name, build)


@app.command("engine")
def run_engine(
    host: Host = "127.0.0.1",
    port: Port = 0,
    name: Name = "engine",
    model: Annotated[
        list[str] | None, typer.Option(help="NAME=VERSION of loaded weights; repeatable.")
    ] = None,
    weight_store: Annotated[str, typer.Option(help="host:port of the weight store.")] = "",
    capacity_blocks: Annotated[int, typer.Option(help="KV blocks of 1,024 tokens.")] = 512,
    prefill_tokens_per_second: Annotated[
        float, typer.Option(help="Prefill speed in tokens per second.")
    ] = 12_000.0,
) -> None:
    """Run a model engine with continuous batching and a prefix cache."""
    models = dict(_model_version(item) for item in model or [])
    profile = EngineProfile(
        capacity_blocks=capacity_blocks, prefill_tokens_per_second=prefill_tokens_per_second
    )
    _run("engine", name, lambda: EngineServer(name, host, port, profile, models, weight_store))


def _model_version(text: str) -> tuple[str, str]:
    model, _, version = text.partition("=")
    if not model or not version:
        raise FailureError(InvalidObject("model", None, "model", text, "NAME=VERSION"))
    return model, version


@app.command("kv-store")
def run_kv_store(host: Host = "127.0.0.1", port: Port = 0, name: Name = "kv-store") -> None:
    """Run a store of exported KV cache blocks."""
    _run("kv-store", name, lambda: KvStoreServer(host, port))


@app.command("weight-store")
def run_weight_store(
    host: Host = "127.0.0.1",
    port: Port = 0,
    name: Name = "weight-store",
    load_seconds: Annotated[
        float, typer.Option(help="Seconds per load while the store is not rate-limiting.")
    ] = DEFAULT_LOAD_SECONDS,
) -> None:
    """Run the rate-limited weight store."""
    _run("weight-store", name, lambda: WeightStoreServer(host, port, load_seconds))


@app.command("app")
def run_application(host: Host = "127.0.0.1", port: Port = 0, name: Name = "app") -> None:
    """Run an application server that counts the executions of each operation."""
    _run("app", name, lambda: ApplicationServer(host, port, AppLedger()))
