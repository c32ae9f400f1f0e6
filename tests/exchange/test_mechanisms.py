"""Switching mechanisms off: their names, and gateways that serve without any one of them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from typer.testing import CliRunner

from gateway_harness import Harness, run_with_gateway
from gateway_standin import serve_whole
from milletcourse.cli.main import app
from milletcourse.exchange.mechanisms import (
    ALL_MECHANISMS,
    Mechanism,
    UnknownMechanismError,
    mechanisms_without,
)
from milletcourse.platform.start import start

SOURCES = Path(__file__).parents[2] / "src" / "milletcourse"
DEPLOYMENT_WORDS = re.compile(
    r"vodomjer|whitcombe-lessons|phaenkan|rosterapp|rulecache|kanlm|tutor-models|lesson-desk"
    r"|jezik|pamcenje|mjerila|quiet-1|trouble-[123]|scale-[12]|fleetbench",
    re.IGNORECASE,
)
"""Names of the users' deployments, services and recorded days, and of their benchmark."""


def test_names_switch_off_what_they_name() -> None:
    """Each name disables its own mechanism and no other one."""
    assert mechanisms_without([]) == ALL_MECHANISMS
    left = mechanisms_without(["store-room", "home-servers"])
    assert ALL_MECHANISMS - left == {Mechanism.STORE_CAPACITY, Mechanism.HOME_SERVERS}


def test_an_unknown_name_is_refused_with_the_known_ones() -> None:
    """The function refuses it, and the program does before it reads anything else."""
    with pytest.raises(UnknownMechanismError, match="store-room"):
        mechanisms_without(["store-rooms"])
    with pytest.raises(SystemExit, match="no mechanism is called 'nothing'"):
        start(["0/metrics", "--without=store-room,nothing"])


def test_the_command_line_lists_each_with_what_it_does() -> None:
    """Users need not look up the names in the source."""
    shown = CliRunner().invoke(app, ["mechanisms"]).stdout
    for mechanism in Mechanism:
        assert mechanism.label in shown and mechanism.description in shown


@pytest.mark.parametrize("mechanism", list(Mechanism), ids=lambda item: item.label)
def test_a_gateway_serves_without_any_one_of_them(mechanism: Mechanism) -> None:
    """The guarantees of a gateway don't depend on any mechanism."""

    async def scenario(harness: Harness) -> None:
        harness.mechanisms = mechanisms_without([mechanism.label])
        await harness.add_server("app-1", "app", serve_whole)
        await harness.start()
        got = await (await harness.client()).ask("/unsafe/")
        assert (got.status, got.whole) == (200, True)

    run_with_gateway(scenario)


def test_no_deployment_day_or_bench_is_named_in_the_sources() -> None:
    """The sources must not depend on any particular deployment of the users."""
    named = [
        f"{path.relative_to(SOURCES)}: {found.group()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if (found := DEPLOYMENT_WORDS.search(path.read_text()))
    ]
    assert not named
