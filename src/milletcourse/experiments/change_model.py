"""Model of how a changed configuration reaches the gateways of one zone over narrow links.

One gateway reads the store, the others follow it. Links share what they carry evenly between the
transfers that pass them, in both directions together. Callers' traffic isn't modelled: the links'
widths are what is left by it.
"""

from __future__ import annotations

import math
import random
from enum import Enum

import msgspec
import numpy as np

TICK_SECONDS = 0.01
STORE_MEGABITS = 1000.0
SMALL_BYTES = 300
"""A question and its answer without content."""
HOLD_SECONDS = 0.8
ANSWER_SECONDS = 1.2
"""A held question, or a watch, was given up after this time, whatever had come of its answer."""
KEYS_SECONDS = 4.6
"""A gateway refuses keys when its latest proof is older."""
COMPRESSION = 15
"""Of configurations with many routes, as `content_patch` compresses them."""
TREE_WIDTH = 3
MOST_SECONDS = 60.0
STORE, READER = 0, 1
NOBODY = -1


class ChangeWay(Enum):
    """How followers learn a change."""

    COPIES = "copies"
    """Each gets the whole content within the time of one answer, and asks the store when not."""
    COMPRESSED = "compressed"
    """Each gets the whole content, compressed, from the reader, however long that takes."""
    PATCHES = "patches"
    """Each gets what has changed, from the reader."""
    TREE = "tree"
    """Each gets what has changed, from the reader or from a gateway that has it."""


class ChangeSetting(msgspec.Struct, frozen=True):
    """What is compared.

    Attributes:
        gateways: Gateways of the zone.
        content_bytes: The whole configuration.
        changed_bytes: What each change replaces of it.
        reader_megabits: Link of the reader.
        megabits: Link of each other gateway.
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
    """What some changes in a row cost.

    Attributes:
        way: How followers learn them.
        reader_megabytes: Bytes over the reader's link.
        store_megabytes: Bytes over the store's link.
        known_after: Seconds until all had the last change, infinite when not all ever did.
        refused_share: Part of all gateways' time in which their proofs were too old for keys.
    """

    way: ChangeWay
    reader_megabytes: float
    store_megabytes: float
    known_after: float
    refused_share: float


class ChangeModel:
    """One zone; transfers go from one machine to another, machine 0 is the store."""

    def __init__(self, way: ChangeWay, setting: ChangeSetting, seed: int) -> None:
        self._way = way
        self._setting = setting
        self._random = random.Random(seed)
        machines = setting.gateways + 1
        widths = np.full(machines, setting.megabits * 1e6 / 8)
        widths[STORE] = STORE_MEGABITS * 1e6 / 8
        widths[READER] = setting.reader_megabits * 1e6 / 8
        self._widths = widths
        self._source = np.full(machines, NOBODY)
        self._left = np.zeros(machines)
        self._gives_up_at = np.full(machines, math.inf)
        self._wants = np.zeros(machines, dtype=int)
        """Version that a transfer brings."""
        self._has = np.zeros(machines, dtype=int)
        self._proved_at = np.zeros(machines)
        self._carried = np.zeros(machines)

    def run(self) -> ChangeFigures:
        """All changes, until everybody has the last one or nobody will."""
        setting = self._setting
        now, version, refused, last_at = 0.0, 0, 0.0, 0.0
        while now < MOST_SECONDS:
            if version < setting.changes and now >= version * setting.interval:
                version += 1
                last_at = now
            self._begin(now, version)
            self._carry(now)
            self._note_proofs(now, version)
            refused += float(np.mean(now - self._proved_at[READER:] > KEYS_SECONDS)) * TICK_SECONDS
            if version == setting.changes and bool(np.all(self._has[READER:] == version)):
                break
            now += TICK_SECONDS
        is_known = bool(np.all(self._has[READER:] == version))
        return ChangeFigures(
            **msgspec.structs.asdict(setting),
            way=self._way,
            reader_megabytes=round(float(self._carried[READER]) / 1e6, 2),
            store_megabytes=round(float(self._carried[STORE]) / 1e6, 2),
            known_after=round(now - last_at, 2) if is_known else math.inf,
            refused_share=round(refused / max(now, TICK_SECONDS), 4),
        )

    def _begin(self, now: float, version: int) -> None:
        """Machines without a transfer that lack a version ask for it."""
        for machine in range(READER, len(self._has)):
            if self._source[machine] != NOBODY or self._has[machine] >= version:
                continue
            if machine == READER:
                self._start(machine, STORE, version, self._setting.content_bytes, math.inf)
                continue
            source = self._source_of(machine)
            if self._has[source] > self._has[machine]:
                found = int(self._has[source])
                size = self._bytes_between(int(self._has[machine]), found)
                self._start(machine, source, found, size, self._time_of_answer(now))

    def _source_of(self, machine: int) -> int:
        if self._way is ChangeWay.TREE:
            return READER + (machine - READER - 1) // TREE_WIDTH
        return READER

    def _bytes_between(self, known: int, version: int) -> float:
        setting = self._setting
        if self._way is ChangeWay.COPIES:
            return setting.content_bytes + SMALL_BYTES
        changed = setting.changed_bytes * (version - known)
        whole = self._way is ChangeWay.COMPRESSED
        size = setting.content_bytes if whole else min(changed, setting.content_bytes)
        return size / COMPRESSION + SMALL_BYTES

    def _time_of_answer(self, now: float) -> float:
        if self._way is not ChangeWay.COPIES:
            return math.inf
        # The question had been held for some time when the change came.
        return now + ANSWER_SECONDS - HOLD_SECONDS * self._random.random()

    def _start(
        self, machine: int, source: int, version: int, size: float, gives_up_at: float
    ) -> None:
        self._source[machine] = source
        self._left[machine] = size
        self._wants[machine] = version
        self._gives_up_at[machine] = gives_up_at

    def _carry(self, now: float) -> None:
        active = self._source != NOBODY
        passing = np.bincount(self._source[active], minlength=len(self._widths)) + active
        share = self._widths / np.maximum(passing, 1)
        receivers = np.flatnonzero(active)
        sources = self._source[receivers]
        moved = np.minimum(share[receivers], share[sources]) * TICK_SECONDS
        moved = np.minimum(moved, self._left[receivers])
        self._left[receivers] -= moved
        self._carried[receivers] += moved
        np.add.at(self._carried, sources, moved)
        for machine in map(int, receivers):
            if self._left[machine] <= 0:
                self._has[machine] = self._wants[machine]
                self._source[machine] = NOBODY
            elif now >= self._gives_up_at[machine]:
                # All that came is thrown away, and the other side is asked.
                source = STORE if self._source[machine] == READER else READER
                if self._has[READER] <= self._has[machine]:
                    source = STORE
                size = self._setting.content_bytes + SMALL_BYTES
                self._start(machine, source, int(self._wants[machine]), size, now + ANSWER_SECONDS)

    def _note_proofs(self, now: float, version: int) -> None:
        """Whoever waits for nothing is proved; with announcements, so is who waits for content."""
        reader_is_current = self._has[READER] == version
        for machine in range(READER, len(self._has)):
            has_all = self._has[machine] == version
            told = self._way is not ChangeWay.COPIES and machine != READER
            if has_all or (told and reader_is_current):
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
"""Zones of 27 (79 gateways), 65 (195) and 140 (420), and the rig's of twelve."""


def compare_changes(seed: int) -> list[ChangeFigures]:
    """Figures of each way in each setting.

    Args:
        seed: Of all that is random.
    """
    return [ChangeModel(way, setting, seed).run() for setting in SETTINGS for way in ChangeWay]


def arithmetic_seconds(setting: ChangeSetting) -> float:
    """The least time over the reader's link, for patches from the reader alone."""
    patch = setting.changed_bytes / COMPRESSION + SMALL_BYTES
    carried = setting.content_bytes + patch * (setting.gateways - 1)
    return carried * 8 / (setting.reader_megabits * 1e6)
