"""`milletcourse mechanisms`: optional mechanisms of a gateway."""

from __future__ import annotations

import typer

from milletcourse.exchange.mechanisms import Mechanism


def list_mechanisms() -> None:
    """List the mechanisms that `--without=NAME` disables, with a description of each."""
    for mechanism in Mechanism:
        typer.echo(f"{mechanism.label:20} {mechanism.description}")
