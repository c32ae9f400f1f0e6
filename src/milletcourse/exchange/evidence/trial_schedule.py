"""When a gateway may try a held feature again, so that few gateways try it at once; no I/O.

All gateways learn of a crash within moments. From then on they take their turns in an order that is
drawn for each feature by rendezvous hashing, so that they agree on it without exchanging messages.
The first one that gets a request with the feature notifies the others of its trial, whose result
shows all of them whether the feature still crashes servers.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from milletcourse.exchange.evidence.crash_record import CrashRecord

REPORT_SECONDS = 0.3
"""Time in which all gateways learn of a crash or of a trial; also the length of a turn."""
MAX_RUN_SECONDS = 2.0
"""A longer time from a request to the crash of its server is that of work which another request
interrupted."""
ALL_TURNS_SECONDS = 10.0
"""In a large fleet turns are shorter, so that after this time any gateway may try."""
MAX_CACHED_RANKS = 1024


class TrialSchedule:
    """Turns of one gateway."""

    def __init__(self) -> None:
        """Start without other gateways."""
        self._own_name = ""
        self._others: tuple[str, ...] = ()
        self._ranks: dict[int, int] = {}

    def set_gateways(self, own_name: str, others: Iterable[str]) -> None:
        """Set the names of this gateway and of the others."""
        self._own_name = own_name
        self._others = tuple(others)
        self._ranks.clear()

    def next_trial_at(self, identity: int, record: CrashRecord, delay_seconds: float) -> float:
        """Monotonic time from which on this gateway may send a request with a feature.

        Args:
            identity: Identity of the feature.
            record: Its record.
            delay_seconds: Time from its latest crash until the first gateway may try it.
        """
        # What was sent before must have shown its effect.
        effect_seconds = min(record.longest_run_seconds, MAX_RUN_SECONDS) + REPORT_SECONDS
        turn_seconds = min(REPORT_SECONDS, ALL_TURNS_SECONDS / (1 + len(self._others)))
        first_at = record.last_crash_at + max(delay_seconds, effect_seconds)
        turn_at = first_at + self._rank(identity) * turn_seconds
        return max(turn_at, record.tried_at + effect_seconds)

    def _rank(self, identity: int) -> int:
        rank = self._ranks.get(identity)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            own = _weight(identity, self._own_name)
            rank = sum(_weight(identity, name) > own for name in self._others)
            self._ranks[identity] = rank
        return rank


def _weight(identity: int, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode(), seed=identity), name
