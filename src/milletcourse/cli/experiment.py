"""`milletcourse experiment`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from milletcourse.errors import FailureError, InvalidObject
from milletcourse.experiments.backoff_model import compare_backoffs
from milletcourse.experiments.backoff_plot import plot_backoffs
from milletcourse.experiments.brittle_server_model import compare_brittle_servers
from milletcourse.experiments.change_model import compare_changes
from milletcourse.experiments.cluster_model import FarImports
from milletcourse.experiments.containment_model import compare_containment
from milletcourse.experiments.crashing_part_model import compare_crashing_parts
from milletcourse.experiments.faults import PLANS
from milletcourse.experiments.limit_model import compare_limit_strategies
from milletcourse.experiments.parameters import load_deployment
from milletcourse.experiments.relay_model import compare_relays
from milletcourse.experiments.report import plot, summarize, table
from milletcourse.experiments.run import POLICIES, ExperimentRun
from milletcourse.experiments.server_quota_model import compare_server_quotas
from milletcourse.experiments.store_restore_model import compare_store_restores
from milletcourse.experiments.stream_origin_model import compare_origin_strategies

DEFAULT_LOAD = 0.8

app = typer.Typer(
    help="Compare strategies and routing policies on identical arrivals.",
    no_args_is_help=True,
    rich_markup_mode=None,
)


@app.callback()
def _group() -> None:
    """Compare strategies and routing policies on identical arrivals."""


def parse_sizes(text: str) -> list[int]:
    """Parse positive integers, separated by commas.

    Raises:
        FailureError: `InvalidObject` when an item is not a whole number above 0.
    """
    sizes = [item.strip() for item in text.split(",")]
    if not all(size.isdigit() and int(size) > 0 for size in sizes):
        raise FailureError(InvalidObject(text, None, "gateways", text, "whole numbers above 0"))
    return [int(size) for size in sizes]


@app.command("limits")
def limits(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "8,79",
    seed: Annotated[
        int, typer.Option(help="Seed of the requests, the same for each strategy.")
    ] = 1,
) -> None:
    """Compare strategies that enforce a tenant's limit across many gateways."""
    for result in compare_limit_strategies(parse_sizes(gateways), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("relays")
def relays(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "7,79,420",
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
) -> None:
    """Compare how gateways that reach no server find one that does."""
    for result in compare_relays(parse_sizes(gateways), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("changes")
def changes(
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
) -> None:
    """Compare strategies that distribute configuration changes over links of given bandwidth."""
    for result in compare_changes(seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("allowances")
def allowances(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "5,79",
    per_second: Annotated[str, typer.Option(help="Limits in requests per second.")] = "1,8",
    seed: Annotated[
        int, typer.Option(help="Seed of the requests, the same for each strategy.")
    ] = 1,
) -> None:
    """Compare strategies that enforce a limit announced by a server."""
    for result in compare_server_quotas(parse_sizes(gateways), parse_sizes(per_second), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("brittle")
def brittle(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "5,79",
    demand: Annotated[str, typer.Option(help="Requests, as shares of what servers run.")] = "2.5",
    borne: Annotated[str, typer.Option(help="Rejections per second that a server bears.")] = "1,5",
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
) -> None:
    """Compare strategies that keep servers from rejecting more requests than they bear."""
    demands = [float(item) for item in demand.split(",")]
    limits = [float(item) for item in borne.split(",")]
    for result in compare_brittle_servers(parse_sizes(gateways), demands, limits, seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("rests")
def rests(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "5,79",
    seed: Annotated[
        int, typer.Option(help="Seed of the requests, the same for each strategy.")
    ] = 1,
    out: Annotated[Path | None, typer.Option(help="Directory for a PNG plot.")] = None,
) -> None:
    """Compare strategies for servers that request a back-off, and for the requests they refuse."""
    results = compare_backoffs(parse_sizes(gateways), seed)
    for item in results:
        sys.stdout.write(msgspec.json.encode(item).decode() + "\n")
    if out is not None:
        sys.stderr.write(f"wrote {plot_backoffs(results, out)}\n")


@app.command("returns")
def returns(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "5,79",
    seed: Annotated[
        int, typer.Option(help="Seed of all random draws, the same for each strategy.")
    ] = 1,
) -> None:
    """Compare strategies of recovery after the object store was restored from an older snapshot."""
    for result in compare_store_restores(parse_sizes(gateways), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("stream-origins")
def stream_origins(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "7,79,420",
    seed: Annotated[
        int, typer.Option(help="Seed of all random draws, the same for each strategy.")
    ] = 1,
) -> None:
    """Compare strategies that keep where streams began, while gateways are killed."""
    for result in compare_origin_strategies(parse_sizes(gateways), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("containment")
def containment(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "8,79",
    crashing: Annotated[str, typer.Option(help="Numbers of requests that crash servers.")] = "1,5",
    seed: Annotated[
        int, typer.Option(help="Seed of all random draws, the same for each strategy.")
    ] = 1,
) -> None:
    """Compare strategies that contain requests which crash the servers that run them."""
    for result in compare_containment(parse_sizes(gateways), parse_sizes(crashing), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("crashing-parts")
def crashing_parts(
    gateways: Annotated[str, typer.Option(help="Numbers of gateways.")] = "5",
    seed: Annotated[int, typer.Option(help="Seed of all random draws, the same for each way.")] = 1,
) -> None:
    """Compare ways to find a prompt part that crashes the servers that run it."""
    for result in compare_crashing_parts(parse_sizes(gateways), seed):
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


@app.command("routing")
def routing(
    deployment: Annotated[str, typer.Option(help="roster-desk or whitcombe.")],
    faults: Annotated[str, typer.Option(help="One of: " + ", ".join(PLANS) + ".")] = "none",
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds; medians are shown.")] = 5,
    load: Annotated[
        float, typer.Option(min=0.01, help="Arrival rate relative to the file's rates.")
    ] = DEFAULT_LOAD,
    policies: Annotated[
        str, typer.Option(help="Policies to run, separated by commas; default all.")
    ] = "",
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    out: Annotated[Path | None, typer.Option(help="Directory for PNG plots.")] = None,
) -> None:
    """Run each routing policy on the same arrivals, permissions and engine model."""
    if faults not in PLANS:
        raise FailureError(InvalidObject(faults, None, "faults", faults, ", ".join(PLANS)))
    names = policies.split(",") if policies else list(POLICIES)
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        allowed = ", ".join(POLICIES)
        raise FailureError(InvalidObject(unknown[0], None, "policies", unknown[0], allowed))
    loaded = load_deployment(deployment)
    rows: dict[str, Any] = {}
    for name in names:
        results = []
        for seed in range(1, seeds + 1):
            sys.stderr.write(f"{name} seed {seed}/{seeds}\n")
            results.append(ExperimentRun(loaded, POLICIES[name], PLANS[faults], load, seed).run())
        rows[name] = summarize(results)
    if json:
        document = {
            "deployment": deployment,
            "faults": faults,
            "load": load,
            "seeds": seeds,
            "policies": rows,
        }
        sys.stdout.write(msgspec.json.encode(document).decode() + "\n")
    else:
        sys.stdout.write(table(rows) + "\n")
    if out is not None:
        for path in plot(rows, f"{deployment} {faults} load {load}", out):
            sys.stderr.write(f"wrote {path}\n")


@app.command("far-imports")
def far_imports(
    deployment: Annotated[str, typer.Option(help="roster-desk or whitcombe.")],
    latencies: Annotated[
        str, typer.Option(help="Latencies between places in milliseconds.")
    ] = "1,10,30,100",
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds; medians are shown.")] = 5,
    load: Annotated[float, typer.Option(min=0.01, help="Arrival rate.")] = DEFAULT_LOAD,
) -> None:
    """Compare strategies for importing blocks that only a store in another place holds."""
    loaded = load_deployment(deployment)
    for milliseconds in latencies.split(","):
        rows: dict[str, Any] = {}
        for mode in FarImports:
            results = []
            for seed in range(1, seeds + 1):
                sys.stderr.write(f"{milliseconds} ms {mode} seed {seed}/{seeds}\n")
                factory = POLICIES["milletcourse"]
                run = ExperimentRun(loaded, factory, PLANS["none"], load, seed)
                run.place_store(float(milliseconds) / 1000, mode)
                results.append(run.run())
            rows[str(mode)] = summarize(results)
        sys.stdout.write(f"{milliseconds} ms\n\n{table(rows)}\n\n")
