"""`milletcourse router`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from milletcourse.logs import configure_logs
from milletcourse.router_process import RouterServer
from milletcourse.runtime.process import (
    ReadyLine,
    print_ready,
    run_process,
    wait_for_stop_signal,
)
from milletcourse.settings import RouterSettings, load_settings


def run_router(
    config: Annotated[Path | None, typer.Option(help="Settings file (TOML).")] = None,
    name: Annotated[str | None, typer.Option(help="Unique name of this router.")] = None,
    place: Annotated[str | None, typer.Option(help="Zone of this machine.")] = None,
    host: Annotated[str | None, typer.Option(help="IP number to listen on.")] = None,
    port: Annotated[int | None, typer.Option(help="HTTP port; 0 selects a free one.")] = None,
    datagram_port: Annotated[
        int | None, typer.Option(help="UDP port; 0 selects a free one.")
    ] = None,
    platform: Annotated[str | None, typer.Option(help="host:port of the object API.")] = None,
    peer: Annotated[
        list[str] | None, typer.Option(help="HTTP host:port of another router; repeatable.")
    ] = None,
    cluster_key: Annotated[
        str | None,
        typer.Option(help="Secret shared by all routers; prefer the environment variable."),
    ] = None,
    log_level: Annotated[str | None, typer.Option(help="debug, info, warning or error.")] = None,
) -> None:
    """Run one router until SIGTERM.

    Flags override MILLETCOURSE_* variables, which override the file. One JSON line on standard
    output reports the addresses once the router is ready.
    """
    flags = {
        "name": name,
        "place": place,
        "host": host,
        "port": port,
        "datagram_port": datagram_port,
        "platform": platform,
        "peers": tuple(peer) if peer else None,
        "cluster_key": cluster_key,
        "log_level": log_level,
    }
    settings = load_settings(config, flags)
    configure_logs(settings.log_level)
    run_process(lambda: _serve(settings))


async def _serve(settings: RouterSettings) -> None:
    router = RouterServer(settings)
    await router.start()
    print_ready(ReadyLine("router", settings.name, router.address, router.datagram_address))
    await wait_for_stop_signal()
    await router.stop()
