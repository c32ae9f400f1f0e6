"""`milletcourse contained`: requests and prompt parts that gateways refuse: they crash servers."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import msgspec
import typer

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.gateway.operator_api import CONTAINED_PATH, ContainmentView

app = typer.Typer(
    help="Requests, and prompt parts, that gateways refuse to send since servers crashed on them.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.command("list")
def list_contained(gateway: GatewayOption) -> None:
    """List what is contained as JSON lines: identity, kind, crash count, last crash, time left."""
    body = asyncio.run(call_gateway("GET", gateway, CONTAINED_PATH, 200))
    for item in msgspec.json.decode(body, type=list[ContainmentView]):
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")


@app.command("release")
def release(
    content: Annotated[
        str,
        typer.Argument(
            help="Identity of a content or prompt part, as shown by `list` and in log lines."
        ),
    ],
    gateway: GatewayOption,
) -> None:
    """Release a request or prompt part at all gateways."""
    asyncio.run(call_gateway("DELETE", gateway, f"{CONTAINED_PATH}/{content}", 204))
    sys.stdout.write(f"released {content}\n")
