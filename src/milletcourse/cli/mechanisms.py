"""`milletcourse mechanisms`: what a gateway can be run without."""

from __future__ import annotations

import typer

from milletcourse.exchange.mechanisms import Mechanism


def list_mechanisms() -> None:
    """List the mechanisms that `--without=NAME` switches off, with what each of them does."""
    for mechanism in Mechanism:
        typer.echo(f"{mechanism.label:20} {mechanism.description}")
