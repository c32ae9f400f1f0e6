"""`milletcourse contained`: requests that gateways don't send, since servers ended under them."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import msgspec
import typer

from milletcourse.cli.operator_port import GatewayOption, call_gateway
from milletcourse.gateway.operator_api import CONTAINED_PATH, ContainmentView

app = typer.Typer(
    help="Requests that gateways don't send, since servers ended under them.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.command("list")
def list_contained(gateway: GatewayOption) -> None:
    """One JSON line each: content, servers that ended, age of the latest end, time left."""
    body = asyncio.run(call_gateway("GET", gateway, CONTAINED_PATH, 200))
    for item in msgspec.json.decode(body, type=list[ContainmentView]):
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")


@app.command("release")
def release(
    content: Annotated[str, typer.Argument(help="As `list` and log lines show it.")],
    gateway: GatewayOption,
) -> None:
    """Send a request again, at all gateways."""
    asyncio.run(call_gateway("DELETE", gateway, f"{CONTAINED_PATH}/{content}", 204))
    sys.stdout.write(f"released {content}\n")
