"""The rig of planned work finds known defects of real gateway processes, and none without one."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from soak.mutants import LIMIT_MUTANTS, MUTANTS, SIGNAL_MUTANTS, SILENCE_MUTANTS
from soak.planned import PlannedRun, planned_soak
from soak.seeds import Report

SECONDS = 8.0
"""Two or three stops."""
CLIENTS = 24
SEEDS = range(1, 7)
"""Played until the defect is found: on a starved machine a run has one stop, and few clients."""


SILENT_RUN = PlannedRun(gateways=2, clients=CLIENTS, seconds=SECONDS, stops=False)
RUNS = {
    "end-the-running-answer-first": replace(SILENT_RUN, pauses=0.3, full=0.5),
    "take-a-pause-for-silence": replace(SILENT_RUN, suspend_seconds=1.6),
}
LIMITED_RUN = PlannedRun(
    gateways=4, clients=CLIENTS, seconds=12.0, stops=False, limited=1.0, limit=1.0
)


SIGNAL_RUN = PlannedRun(
    gateways=4, clients=CLIENTS, seconds=12.0, stops=False, backing_off=0.3, draining=0.3
)

COPY_RUN = PlannedRun(gateways=4, clients=CLIENTS, seconds=14.0, stops=False, restores_store=True)


def run_mutant(folder: Path, mutant: str, seed: int) -> Report:
    """A short run of two gateways that stop in turn."""
    folder.mkdir()
    run = PlannedRun(
        gateways=2, clients=CLIENTS, seconds=SECONDS, at_a_time=1, direct=True, mutant=mutant
    )
    return asyncio.run(planned_soak(seed, folder, run))


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_known_defect_is_found(tmp_path: Path, mutant: str) -> None:
    """Each loses requests in its own way, some only when a client comes in the wrong moment."""
    assert any(run_mutant(tmp_path / str(seed), mutant, seed)["lost"] for seed in SEEDS)


@pytest.mark.parametrize("mutant", SILENCE_MUTANTS)
def test_a_defect_in_judging_silence_is_found(tmp_path: Path, mutant: str) -> None:
    """A stream is cut while its server works, or a server is blamed for the gateway's pause."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        run = replace(RUNS[mutant], mutant=mutant)
        report = asyncio.run(planned_soak(seed, folder, run))
        return bool(report["lost"] or report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


@pytest.mark.parametrize("mutant", LIMIT_MUTANTS)
def test_a_defect_in_keeping_limits_is_found(tmp_path: Path, mutant: str) -> None:
    """A server gets more than it bears."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(LIMITED_RUN, mutant=mutant)))
        return any(item.startswith("limit: ") for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


@pytest.mark.parametrize("mutant", SIGNAL_MUTANTS)
def test_a_defect_in_heeding_what_servers_say_is_found(tmp_path: Path, mutant: str) -> None:
    """A server that leaves or rests gets requests on."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(SIGNAL_RUN, mutant=mutant)))
        return any(item.startswith(("rest: ", "leaving: ")) for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


def test_a_defect_in_placing_the_store_s_states_is_found(tmp_path: Path) -> None:
    """Gateways that take a revision for a place in the history don't know what the store holds."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(COPY_RUN, mutant="know-no-era")))
        return any(item.startswith("store: ") for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


def test_sound_gateways_know_a_store_that_comes_back_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, beside stops."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(COPY_RUN, stops=True)))
    assert report["store"] and not report["lost"] and not report["violations"]


def test_sound_gateways_heed_what_servers_say_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, beside stops."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(SIGNAL_RUN, stops=True)))
    assert report["signals"] and not report["lost"] and not report["violations"]


def test_sound_gateways_keep_limits_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, beside stops."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(LIMITED_RUN, stops=True)))
    assert report["limits"] and not report["lost"] and not report["violations"]


@pytest.mark.parametrize("mutant", SILENCE_MUTANTS)
def test_a_sound_gateway_hands_streams_on_and_blames_nobody(tmp_path: Path, mutant: str) -> None:
    """The same runs without the defect."""
    report = asyncio.run(planned_soak(1, tmp_path, RUNS[mutant]))
    assert report["requests"] and not report["lost"] and not report["violations"]


def test_a_sound_gateway_loses_nothing(tmp_path: Path) -> None:
    """The same run without a defect."""
    report = run_mutant(tmp_path / "sound", "", 1)
    assert report["stops"] and not report["lost"] and not report["violations"]
