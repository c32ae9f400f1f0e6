"""Entry point of the `milletcourse` command."""

from __future__ import annotations

import sys
from typing import Any

import typer
from pydantic import ValidationError

from milletcourse.cli import (
    bench,
    configuration,
    contained,
    demo,
    experiment,
    explain,
    explain_losses,
    explain_request,
    limits,
    mechanisms,
    router,
    signals,
    simulate,
    standin,
    store_state,
)
from milletcourse.errors import FailureError, InvalidObject

UsageError: Any = typer.BadParameter.__bases__[0]
"""Base class of all argument errors; typer does not export it."""
EXIT_REFUSED = 1
EXIT_USAGE = 2

app = typer.Typer(
    help="A router for language-model traffic that places work by policy, then by cached prefixes.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.command("router")(router.run_router)
app.add_typer(standin.app, name="standin")
app.command("demo")(demo.run_demo)
app.add_typer(configuration.app, name="config")
app.add_typer(contained.app, name="contained")
app.command("limits")(limits.list_limits)
app.command("signals")(signals.list_signals)
app.command("store-state")(store_state.compare_store)
app.command("explain")(explain.run_explain)
app.command("mechanisms")(mechanisms.list_mechanisms)
app.command("explain-losses")(explain_losses.explain_losses)
app.command("explain-request")(explain_request.explain_request)
app.command("simulate")(simulate.run_simulate)
app.add_typer(experiment.app, name="experiment")
app.add_typer(bench.app, name="bench")


def run() -> None:
    """Run the command line; a failure prints one typed line and sets a nonzero exit code."""
    try:
        result = app(standalone_mode=False)
    except FailureError as error:
        _fail(error)
    except UsageError as error:
        sys.stderr.write(f"invalid-argument: {_usage_line(error)}\n")
        sys.exit(EXIT_USAGE)
    except (typer.Abort, KeyboardInterrupt):
        sys.exit(EXIT_REFUSED)
    else:
        sys.exit(result if isinstance(result, int) else 0)


def _fail(error: FailureError) -> None:
    failure = error.failure
    if isinstance(failure, InvalidObject) and failure.key:
        sys.stderr.write(failure.line() + "\n")
        sys.exit(EXIT_USAGE)
    sys.stderr.write(f"{failure.code}: run_state={failure.run_state} {failure.detail}\n")
    sys.exit(EXIT_REFUSED)


def _usage_line(error: Exception) -> str:
    parameter = getattr(error, "param", None)
    key = parameter.name if parameter is not None else getattr(error, "option_name", "arguments")
    message = getattr(error, "message", str(error))
    cause = error.__cause__
    value = repr(cause.errors()[0]["input"]) if isinstance(cause, ValidationError) else ""
    return f"key={key} value={value} allowed={message}".replace("\n", " ")
