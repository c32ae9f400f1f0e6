"""`milletcourse explain-losses`: lost service, computed from the logs of the gateways."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from milletcourse.errors import FailureError
from milletcourse.reports.loss_report import LossReport, loss_report, table_lines
from milletcourse.reports.pyplot import load_pyplot


def explain_losses(
    as_json: Annotated[bool, typer.Option("--json", help="Print the report as JSON.")] = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Write a plot of the losses over time to this PNG file (extra `plots`)."),
    ] = None,
) -> None:
    """Summarise the logs of all gateways, read from standard input.

    Lines may have a prefix before the JSON object and may be in any order. The exit code is 1 if no
    line reports how requests ended.
    """
    report = loss_report(sys.stdin)
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
    else:
        typer.echo("\n".join(table_lines(report)))
    if plot is not None:
        _draw(report, plot)
    if not report.moments:
        typer.echo("no line reports how requests ended", err=True)
        raise typer.Exit(1)


def _draw(report: LossReport, path: Path) -> None:
    """Draw a stacked bar chart of the losses in each interval."""
    try:
        pyplot = load_pyplot("plot", path)
    except FailureError as error:
        typer.echo("plots require matplotlib: pip install 'milletcourse[plots]'", err=True)
        raise typer.Exit(2) from error
    starts = [moment.start for moment in report.moments]
    names = sorted({name for moment in report.moments for name in moment.ends} - {"in-time"})
    figure, axes = pyplot.subplots(figsize=(10, 4))
    below = [0] * len(starts)
    for name in names:
        heights = [moment.ends.get(name, 0) for moment in report.moments]
        axes.bar(starts, heights, bottom=below, width=4.0, align="edge", label=name)
        below = [low + height for low, height in zip(below, heights, strict=True)]
    superseded = [moment.superseded for moment in report.moments]
    axes.step(starts, superseded, where="post", color="black", label="on superseded weights")
    axes.set_xlabel("seconds since the first line")
    axes.set_ylabel("requests")
    axes.legend()
    figure.savefig(path, bbox_inches="tight")
