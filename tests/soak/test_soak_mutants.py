"""Planned-maintenance runs detect known defects of real gateways, and report none without one."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from soak.mutants import LIMIT_MUTANTS, MUTANTS, SIGNAL_MUTANTS, SILENCE_MUTANTS
from soak.planned import PlannedRun, planned_soak
from soak.seeds import Report

SECONDS = 8.0
"""Time for two or three gateway stops."""
CLIENTS = 24
SEEDS = range(1, 7)
"""Run in this order until the defect is found: on an overloaded machine a run may have only one
stop and few requests."""


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

RESTORE_RUN = PlannedRun(
    gateways=4, clients=CLIENTS, seconds=14.0, stops=False, restores_store=True
)


def run_mutant(folder: Path, mutant: str, seed: int) -> Report:
    """Run two gateways that stop in turn for a short time."""
    folder.mkdir()
    run = PlannedRun(
        gateways=2, clients=CLIENTS, seconds=SECONDS, at_a_time=1, direct=True, mutant=mutant
    )
    return asyncio.run(planned_soak(seed, folder, run))


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_known_defect_is_found(tmp_path: Path, mutant: str) -> None:
    """Each defect loses requests, some only if a client's timing is unfortunate."""
    assert any(run_mutant(tmp_path / str(seed), mutant, seed)["lost"] for seed in SEEDS)


@pytest.mark.parametrize("mutant", SILENCE_MUTANTS)
def test_a_defect_in_judging_silence_is_found(tmp_path: Path, mutant: str) -> None:
    """A stream is aborted while its server works, or a server is ejected for a gateway's pause."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        run = replace(RUNS[mutant], mutant=mutant)
        report = asyncio.run(planned_soak(seed, folder, run))
        return bool(report["lost"] or report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


@pytest.mark.parametrize("mutant", LIMIT_MUTANTS)
def test_a_defect_in_keeping_limits_is_found(tmp_path: Path, mutant: str) -> None:
    """A server receives more requests than it tolerates."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(LIMITED_RUN, mutant=mutant)))
        return any(item.startswith("limit: ") for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


@pytest.mark.parametrize("mutant", SIGNAL_MUTANTS)
def test_a_defect_in_honouring_server_signals_is_found(tmp_path: Path, mutant: str) -> None:
    """A draining or backing-off server still receives requests."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(SIGNAL_RUN, mutant=mutant)))
        return any(item.startswith(("rest: ", "leaving: ")) for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


def test_a_defect_in_ordering_store_positions_is_found(tmp_path: Path) -> None:
    """Gateways that compare revisions without their era miss contents of a restored store."""

    def is_found(seed: int) -> bool:
        folder = tmp_path / str(seed)
        folder.mkdir()
        report = asyncio.run(planned_soak(seed, folder, replace(RESTORE_RUN, mutant="know-no-era")))
        return any(item.startswith("store: ") for item in report["violations"])

    assert any(is_found(seed) for seed in SEEDS)


def test_correct_gateways_know_a_restored_store_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, with gateway stops in addition."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(RESTORE_RUN, stops=True)))
    assert report["store"] and not report["lost"] and not report["violations"]


def test_correct_gateways_honour_server_signals_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, with gateway stops in addition."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(SIGNAL_RUN, stops=True)))
    assert report["signals"] and not report["lost"] and not report["violations"]


def test_correct_gateways_keep_limits_and_lose_nothing(tmp_path: Path) -> None:
    """The same run without a defect, with gateway stops in addition."""
    report = asyncio.run(planned_soak(1, tmp_path, replace(LIMITED_RUN, stops=True)))
    assert report["limits"] and not report["lost"] and not report["violations"]


@pytest.mark.parametrize("mutant", SILENCE_MUTANTS)
def test_a_correct_gateway_hands_streams_over_and_ejects_no_server(
    tmp_path: Path, mutant: str
) -> None:
    """The same runs without the defect."""
    report = asyncio.run(planned_soak(1, tmp_path, RUNS[mutant]))
    assert report["requests"] and not report["lost"] and not report["violations"]


def test_a_correct_gateway_loses_nothing(tmp_path: Path) -> None:
    """The same run without a defect."""
    report = run_mutant(tmp_path / "sound", "", 1)
    assert report["stops"] and not report["lost"] and not report["violations"]
