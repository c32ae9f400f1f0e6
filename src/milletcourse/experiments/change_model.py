"""Model of the distribution of configuration changes to the gateways of one zone over slow links.

One gateway reads the store, and the others follow it. Each link divides its bandwidth evenly among
its transfers, both directions combined. Client traffic is not modelled: the bandwidths are those
that it leaves over.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec
import numpy as np

TICK_SECONDS = 0.01
STORE_MEGABITS = 1000.0
EMPTY_ANSWER_BYTES = 300
"""Size of a request and its response without content."""
HOLD_SECONDS = 0.8
ANSWER_TIMEOUT_SECONDS = 1.2
"""A long-poll request or a watch times out after this time, even with a partial response."""
MAX_PROOF_AGE_SECONDS = 4.6
"""A gateway refuses API keys when its latest proof of freshness is older."""
COMPRESSION_RATIO = 15
"""Compression ratio of `content_patch` for configurations with many routes."""
TREE_FAN_OUT = 3
MAX_RUN_SECONDS = 60.0
STORE, READER = 0, 1
NO_SOURCE = -1


class ChangeStrategy(Enum):
    """How a change is distributed to followers."""

    COPIES = "copies"
    """Each fetches the whole content within one response timeout, and else asks the store."""
    COMPRESSED = "compressed"
    """Each fetches the whole content, compressed, from the reader, without a timeout."""
    PATCHES = "patches"
    """Each fetches the changed parts from the reader."""
    TREE = "tree"
    """Each fetches the changed parts from the reader or from a gateway that has them."""


class ChangeSetting(msgspec.Struct, frozen=True):
    """Parameters of a run.

    Attributes:
        gateways: Number of gateways in the zone.
        content_bytes: Size of the whole configuration.
        changed_bytes: Bytes replaced by each change.
        reader_megabits: Bandwidth of the reader's link in Mbit/s.
        megabits: Bandwidth of each other gateway's link in Mbit/s.
        interval: Seconds between changes.
        changes: Number of changes.
    """

    gateways: int
    content_bytes: int
    changed_bytes: int
    reader_megabits: float
    megabits: float
    interval: float = 3.4
    changes: int = 4


class ChangeFigures(ChangeSetting, frozen=True, kw_only=True):
    """Results for a series of changes.

    Attributes:
        way: Strategy that distributes the changes.
        reader_megabytes: Bytes over the reader's link.
        store_megabytes: Bytes over the store's link.
        known_after: Seconds until all gateways have the last change; infinite if some never do.
        refused_share: Share of gateway time in which the proof was too old to accept API keys.
    """

    way: ChangeStrategy
    reader_megabytes: float
    store_megabytes: float
    known_after: float
    refused_share: float


class ChangeModel:
    """One zone; transfers run between machines, of which machine 0 is the store."""

    def __init__(self, strategy: ChangeStrategy, setting: ChangeSetting, seed: int) -> None:
        self._strategy = strategy
        self._setting = setting
        self._random = random.Random(seed)
        machines = setting.gateways + 1
        bandwidths = np.full(machines, setting.megabits * 1e6 / 8)
        bandwidths[STORE] = STORE_MEGABITS * 1e6 / 8
        bandwidths[READER] = setting.reader_megabits * 1e6 / 8
        self._bandwidths = bandwidths
        self._source = np.full(machines, NO_SOURCE)
        self._remaining_bytes = np.zeros(machines)
        self._deadline = np.full(machines, math.inf)
        self._wanted_version = np.zeros(machines, dtype=int)
        """Version that a transfer delivers."""
        self._held_version = np.zeros(machines, dtype=int)
        self._proved_at = np.zeros(machines)
        self._transferred_bytes = np.zeros(machines)

    def run(self) -> ChangeFigures:
        """Run until all gateways have the last change, or the time limit is reached."""
        setting = self._setting
        now, version, refused, last_at = 0.0, 0, 0.0, 0.0
        while now < MAX_RUN_SECONDS:
            if version < setting.changes and now >= version * setting.interval:
                version += 1
                last_at = now
            self._start_missing_transfers(now, version)
            self._transfer(now)
            self._update_proofs(now, version)
            refused += (
                float(np.mean(now - self._proved_at[READER:] > MAX_PROOF_AGE_SECONDS))
                * TICK_SECONDS
            )
            if version == setting.changes and bool(np.all(self._held_version[READER:] == version)):
                break
            now += TICK_SECONDS
        all_current = bool(np.all(self._held_version[READER:] == version))
        return ChangeFigures(
            **msgspec.structs.asdict(setting),
            way=self._strategy,
            reader_megabytes=round(float(self._transferred_bytes[READER]) / 1e6, 2),
            store_megabytes=round(float(self._transferred_bytes[STORE]) / 1e6, 2),
            known_after=round(now - last_at, 2) if all_current else math.inf,
            refused_share=round(refused / max(now, TICK_SECONDS), 4),
        )

    def _start_missing_transfers(self, now: float, version: int) -> None:
        """Start a transfer to each idle machine that lacks the current version."""
        for machine in range(READER, len(self._held_version)):
            if self._source[machine] != NO_SOURCE or self._held_version[machine] >= version:
                continue
            if machine == READER:
                self._start(machine, STORE, version, self._setting.content_bytes, math.inf)
                continue
            source = self._source_of(machine)
            if self._held_version[source] > self._held_version[machine]:
                found = int(self._held_version[source])
                size = self._bytes_between(int(self._held_version[machine]), found)
                self._start(machine, source, found, size, self._answer_deadline(now))

    def _source_of(self, machine: int) -> int:
        if self._strategy is ChangeStrategy.TREE:
            return READER + (machine - READER - 1) // TREE_FAN_OUT
        return READER

    def _bytes_between(self, known: int, version: int) -> float:
        setting = self._setting
        if self._strategy is ChangeStrategy.COPIES:
            return setting.content_bytes + EMPTY_ANSWER_BYTES
        changed = setting.changed_bytes * (version - known)
        whole = self._strategy is ChangeStrategy.COMPRESSED
        size = setting.content_bytes if whole else min(changed, setting.content_bytes)
        return size / COMPRESSION_RATIO + EMPTY_ANSWER_BYTES

    def _answer_deadline(self, now: float) -> float:
        if self._strategy is not ChangeStrategy.COPIES:
            return math.inf
        # The long-poll request had already been pending for some time when the change arrived.
        return now + ANSWER_TIMEOUT_SECONDS - HOLD_SECONDS * self._random.random()

    def _start(self, machine: int, source: int, version: int, size: float, deadline: float) -> None:
        self._source[machine] = source
        self._remaining_bytes[machine] = size
        self._wanted_version[machine] = version
        self._deadline[machine] = deadline

    def _transfer(self, now: float) -> None:
        active = self._source != NO_SOURCE
        passing = np.bincount(self._source[active], minlength=len(self._bandwidths)) + active
        share = self._bandwidths / np.maximum(passing, 1)
        receivers = np.flatnonzero(active)
        sources = self._source[receivers]
        moved = np.minimum(share[receivers], share[sources]) * TICK_SECONDS
        moved = np.minimum(moved, self._remaining_bytes[receivers])
        self._remaining_bytes[receivers] -= moved
        self._transferred_bytes[receivers] += moved
        np.add.at(self._transferred_bytes, sources, moved)
        for machine in map(int, receivers):
            if self._remaining_bytes[machine] <= 0:
                self._held_version[machine] = self._wanted_version[machine]
                self._source[machine] = NO_SOURCE
            elif now >= self._deadline[machine]:
                # The partial response is discarded, and the other source is asked.
                source = STORE if self._source[machine] == READER else READER
                if self._held_version[READER] <= self._held_version[machine]:
                    source = STORE
                size = self._setting.content_bytes + EMPTY_ANSWER_BYTES
                self._start(
                    machine,
                    source,
                    int(self._wanted_version[machine]),
                    size,
                    now + ANSWER_TIMEOUT_SECONDS,
                )

    def _update_proofs(self, now: float, version: int) -> None:
        """Renew proofs of current gateways and, with announcements, of those awaiting content."""
        reader_is_current = self._held_version[READER] == version
        for machine in range(READER, len(self._held_version)):
            has_all = self._held_version[machine] == version
            is_announced = self._strategy is not ChangeStrategy.COPIES and machine != READER
            if has_all or (is_announced and reader_is_current):
                self._proved_at[machine] = now


SETTINGS = (
    ChangeSetting(27, 418_000, 418_000, 100.0, 5.0),
    ChangeSetting(27, 418_000, 300, 100.0, 5.0),
    ChangeSetting(12, 418_000, 418_000, 5.0, 5.0),
    ChangeSetting(12, 1_670_000, 1_670_000, 10.0, 10.0),
    ChangeSetting(65, 418_000, 418_000, 100.0, 5.0),
    ChangeSetting(140, 418_000, 418_000, 100.0, 5.0),
    ChangeSetting(140, 418_000, 418_000, 100.0, 100.0, 0.5),
    ChangeSetting(140, 30_000_000, 300, 100.0, 100.0, 10.0),
    ChangeSetting(140, 30_000_000, 30_000_000, 100.0, 100.0, 10.0),
    ChangeSetting(27, 1_000, 1_000, 100.0, 5.0),
)
"""Zones of 27 (of 79 gateways), 65 (195) and 140 (420), and the test rig's zone of 12."""


def compare_changes(seed: int) -> list[ChangeFigures]:
    """Results of each strategy in each setting.

    Args:
        seed: Seed of all random draws.
    """
    return [
        ChangeModel(strategy, setting, seed).run()
        for setting in SETTINGS
        for strategy in ChangeStrategy
    ]


def min_transfer_seconds(setting: ChangeSetting) -> float:
    """Lower bound of the time over the reader's link, if the reader alone sends patches."""
    patch = setting.changed_bytes / COMPRESSION_RATIO + EMPTY_ANSWER_BYTES
    transferred = setting.content_bytes + patch * (setting.gateways - 1)
    return transferred * 8 / (setting.reader_megabits * 1e6)
