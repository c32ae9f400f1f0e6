"""Model of the calls and the recovery time after a restore of the object store.

The store was restored from an older snapshot. Readers detect this at their next call, list each
kind again, and replicate the result to their followers. Gateways whose entries the store has lost
register again. Replicated data goes through the production mirrors; only calls and their times are
simulated.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from enum import Enum
from itertools import count

import msgspec

from milletcourse.exchange.messages.store_position import StorePosition
from milletcourse.gateway.store.kind_event_handler import NoOpEventHandler
from milletcourse.gateway.store.kind_mirror import KindMirror
from milletcourse.gateway.store.kind_watch import (
    INITIAL_BACK_OFF_SECONDS,
    MAX_BACK_OFF_SECONDS,
    RESUME_SPREAD_SECONDS,
)
from milletcourse.gateway.store.object_store import StoredObject
from milletcourse.gateway.store.registration import (
    CHECK_INTERVAL_SECONDS,
    MIN_CHECK_INTERVAL_SHARE,
)
from milletcourse.gateway.store.registration import (
    MAX_BACK_OFF_SECONDS as MAX_WRITE_BACK_OFF_SECONDS,
)

ZONES = 4
KINDS = 4
SERVERS_PER_GATEWAY = 4
PAGE_OBJECTS = 500
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
CALL_SECONDS = 0.004
REPLICATION_DELAY_SECONDS = 0.02
"""Delay until a follower receives an update from its reader."""
RUN_SECONDS = 30.0
WINDOW_SECONDS = 1.0


class RestoreStrategy(Enum):
    """Which gateways read the store after a restore, and when lost entries are written again."""

    ALL_READ = "all read, written at once"
    """All gateways read, as if no reader could attest the state of a new era."""
    AT_ONCE = "readers read, written at once"
    AT_NEXT_CHECK = "readers read, written at the next look"
    """The checks of gateways that started together are spread over time."""


class StoreRestoreFigures(msgspec.Struct, frozen=True):
    """Results of one restore, or of two in succession.

    Attributes:
        way: Strategy for reads and writes.
        gateways: Number of gateways.
        away: Duration of the store's outage in seconds.
        lost_entries: Number of gateways whose entries the store lost.
        returns: Number of successive restores.
        reads: Read calls after the first restore.
        writes: Write calls after the first restore.
        worst_reads: Most read calls in a second.
        worst_writes: Most write calls in a second.
        refused: Calls refused because of the store's rate limits.
        known_after: Seconds from the last restore until all gateways have the store's state.
        listed_after: Seconds from the last restore until the store lists all gateways.
        told_bytes: Bytes replicated to followers.
    """

    way: RestoreStrategy
    gateways: int
    away: float
    lost_entries: int
    returns: int
    reads: int
    writes: int
    worst_reads: int
    worst_writes: int
    refused: int
    known_after: float
    listed_after: float
    told_bytes: int


class _RateLimit:
    """Rate limit of the store; calls beyond it are refused."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._taken: Counter[int] = Counter()
        self.times: list[float] = []
        self.refused = 0

    def try_call(self, now: float) -> bool:
        """Record a call and return whether the store accepts it."""
        self.times.append(now)
        if self._taken[math.floor(now)] >= self._per_second:
            self.refused += 1
            return False
        self._taken[math.floor(now)] += 1
        return True

    def max_per_second(self) -> int:
        """Most calls in any interval of one second."""
        times = sorted(self.times)
        most = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most


class StoreRestoreModel:
    """One run of one strategy."""

    def __init__(
        self,
        strategy: RestoreStrategy,
        gateways: int,
        outage_seconds: float,
        lost_share: float,
        restores: int,
        seed: int,
    ) -> None:
        """Initialise a run in which all entries are known and listed before the outage.

        Args:
            strategy: Strategy for reads and writes.
            gateways: Number of gateways.
            outage_seconds: Duration of each outage of the store.
            lost_share: Share of the gateways whose entries the store loses.
            restores: Number of successive restores.
            seed: Seed of all random draws.
        """
        self._strategy = strategy
        self._gateways = gateways
        self._outage_seconds = outage_seconds
        self._lost_entries = round(gateways * lost_share)
        self._restores = restores
        self._random = random.Random(seed)
        self._reads = _RateLimit(READS_PER_SECOND)
        self._writes = _RateLimit(WRITES_PER_SECOND)
        self._events: list[tuple[float, int, int, str]] = []
        self._order = count()
        self._written: set[int] = set()
        self._current_at: dict[int, float] = {}
        self._listed_at = 0.0
        self._replicated_bytes = 0
        self._readers = {min(zone, gateways - 1) for zone in range(ZONES)}

    def run(self) -> StoreRestoreFigures:
        """Run the simulation."""
        last = self._outage_seconds * self._restores
        for gateway in range(self._gateways):
            if gateway in self._readers or self._strategy is RestoreStrategy.ALL_READ:
                self._push(last + self._first_call(gateway), gateway, "list")
        while self._events and self._events[0][0] < RUN_SECONDS:
            now, _, gateway, kind = heapq.heappop(self._events)
            (self._list if kind == "list" else self._write)(gateway, now)
        return self._figures(last)

    def _push(self, at: float, gateway: int, kind: str) -> None:
        heapq.heappush(self._events, (at, next(self._order), gateway, kind))

    def _first_call(self, gateway: int) -> float:
        """Time from the restore until a gateway's next call; it backs off after a failed call."""
        pause = min(max(self._outage_seconds, INITIAL_BACK_OFF_SECONDS), MAX_BACK_OFF_SECONDS)
        return pause * self._random.random() + RESUME_SPREAD_SECONDS * self._random.random()

    def _list(self, gateway: int, now: float) -> None:
        """List all kinds; if the store refuses a page, list again after a back-off."""
        pages = KINDS - 2 + sum(math.ceil(size / PAGE_OBJECTS) for size in self._sizes())
        done = sum(self._reads.try_call(now + page * CALL_SECONDS) for page in range(pages))
        if done < pages:
            self._push(now + MAX_BACK_OFF_SECONDS * (0.5 + self._random.random()), gateway, "list")
            return
        current_at = now + pages * CALL_SECONDS
        self._on_current(gateway, current_at)
        if self._strategy is RestoreStrategy.ALL_READ:
            return
        followers = [item for item in range(self._gateways) if self._reader_of(item) == gateway]
        self._replicated_bytes += len(followers) * self._bytes_per_follower()
        for follower in followers:
            self._on_current(follower, current_at + REPLICATION_DELAY_SECONDS)

    def _sizes(self) -> tuple[int, int]:
        return self._gateways * SERVERS_PER_GATEWAY, self._gateways

    def _reader_of(self, gateway: int) -> int | None:
        return None if gateway in self._readers else gateway % len(self._readers)

    def _bytes_per_follower(self) -> int:
        """Size of the update that one follower receives for a gateway list with lost entries."""
        mirror = KindMirror("gateways", NoOpEventHandler())
        before, after = StorePosition(1, 900), StorePosition(2, 500)
        spec = b'{"address":"10.0.0.1:9000","zone":"zone-1","feed":"10.0.0.1:9000"}'
        names = [f"front-{number}" for number in range(self._gateways)]
        mirror.on_list([StoredObject(name, before, spec) for name in names], before, 0.0)
        kept = names[self._lost_entries :]
        mirror.on_list([StoredObject(name, after, spec) for name in kept], after, 0.0)
        return len(msgspec.json.encode(mirror.since(before)))

    def _on_current(self, gateway: int, now: float) -> None:
        if gateway in self._current_at:
            return
        self._current_at[gateway] = now
        if gateway >= self._lost_entries:
            return
        wait = 0.0
        if self._strategy is RestoreStrategy.AT_NEXT_CHECK:
            # The gateway is at a random point between two checks.
            wait = self._check_interval_seconds() * self._random.random()
        self._push(now + wait, gateway, "write")

    def _check_interval_seconds(self) -> float:
        return CHECK_INTERVAL_SECONDS * (
            MIN_CHECK_INTERVAL_SHARE + (1.0 - MIN_CHECK_INTERVAL_SHARE) * self._random.random()
        )

    def _write(self, gateway: int, now: float) -> None:
        if self._writes.try_call(now):
            self._written.add(gateway)
            self._listed_at = max(self._listed_at, now + CALL_SECONDS)
            return
        share = MIN_CHECK_INTERVAL_SHARE + (1.0 - MIN_CHECK_INTERVAL_SHARE) * self._random.random()
        self._push(now + MAX_WRITE_BACK_OFF_SECONDS * share, gateway, "write")

    def _figures(self, last: float) -> StoreRestoreFigures:
        all_current = len(self._current_at) == self._gateways
        listed = len(self._written) == self._lost_entries
        return StoreRestoreFigures(
            way=self._strategy,
            gateways=self._gateways,
            away=self._outage_seconds,
            lost_entries=self._lost_entries,
            returns=self._restores,
            reads=len(self._reads.times),
            writes=len(self._writes.times),
            worst_reads=self._reads.max_per_second(),
            worst_writes=self._writes.max_per_second(),
            refused=self._reads.refused + self._writes.refused,
            known_after=round(max(self._current_at.values()) - last, 3)
            if all_current
            else math.inf,
            listed_after=round(max(self._listed_at - last, 0.0), 3) if listed else math.inf,
            told_bytes=self._replicated_bytes,
        )


def compare_store_restores(sizes: list[int], seed: int) -> list[StoreRestoreFigures]:
    """Results of each strategy for short and long outages, with one restore and with two.

    Args:
        sizes: Numbers of gateways.
        seed: Seed of all random draws.
    """
    return [
        StoreRestoreModel(strategy, size, outage_seconds, lost_share, restores, seed).run()
        for size in sizes
        for outage_seconds, lost_share, restores in (
            (0.05, 0.1, 1),
            (1.5, 0.1, 1),
            (5.0, 1.0, 1),
            (1.5, 1.0, 2),
        )
        for strategy in RestoreStrategy
    ]
