"""`milletcourse bench`."""

from __future__ import annotations

import sys
from typing import Annotated

import msgspec
import typer
import uvloop

from milletcourse.benchmarks.decision import measure_decision
from milletcourse.benchmarks.relay import measure_relay
from milletcourse.logs import configure_logs

app = typer.Typer(
    help="Measure the overhead of the router on this machine.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.command("decision")
def decision(
    engines: Annotated[str, typer.Option(help="Numbers of engines.")] = "15,1700",
    blocks: Annotated[str, typer.Option(help="Prompt lengths in blocks.")] = "10,60",
) -> None:
    """Measure the microseconds per routing decision, including its feedback."""
    for length in blocks.split(","):
        for count in engines.split(","):
            row = measure_decision(int(count), int(length))
            sys.stdout.write(msgspec.json.encode(row).decode() + "\n")


@app.command("relay")
def relay() -> None:
    """Measure tokens per second through a router over loopback and over a direct connection."""
    configure_logs("error")
    result = uvloop.run(measure_relay())
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
