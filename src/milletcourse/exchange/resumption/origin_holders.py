"""Which gateways keep the origin of a stream, and which record it; no input/output.

They are found by rendezvous hashing over the list of gateways, so that the gateway that begins a
stream and the one at which its client resumes it agree without exchanging messages.
"""

from __future__ import annotations

from heapq import nlargest

import xxhash

HOLDERS_PER_STREAM = 5
"""With half of the gateways lost at once, 1 in 32 streams loses all its holders."""
RECORDERS_PER_STREAM = 2
"""Readers that record it in the store; one of them may have ended without having left the list."""
MAX_CACHED_STREAMS = 4096
"""Ranking 79 gateways takes 45 microseconds, and a gateway that joins has all streams ranked."""


class OriginHolders:
    """Holders of all streams, as seen by one gateway."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._members: list[str] = []
        self._readers: list[str] = []
        self._holders: dict[int, list[str]] = {}

    def set_peers(self, others: list[str]) -> None:
        """Replace the list of the other gateways."""
        self._members = [self._own_name, *others]
        self._holders.clear()

    def set_readers(self, readers: list[str]) -> None:
        """Replace the list of the zones' readers, which may include this gateway."""
        self._readers = readers

    @property
    def peers(self) -> list[str]:
        """Names of the other gateways."""
        return self._members[1:]

    @property
    def is_alone(self) -> bool:
        """Whether the list of gateways is known and has no other one."""
        return self._members == [self._own_name]

    @property
    def are_known(self) -> bool:
        """Whether the list of gateways is known."""
        return bool(self._members)

    def of_stream(self, key: int) -> list[str]:
        """Names of the holders of a stream, which may include this gateway."""
        holders = self._holders.get(key)
        if holders is None:
            if len(self._holders) >= MAX_CACHED_STREAMS:
                self._holders.clear()
            holders = nlargest(HOLDERS_PER_STREAM, self._members, lambda name: _weight(key, name))
            self._holders[key] = holders
        return holders

    def _recorders(self, key: int) -> list[str]:
        """Names of the readers that record a stream in the store."""
        return nlargest(RECORDERS_PER_STREAM, self._readers, lambda name: _weight(key, name))

    def is_recorder(self, key: int) -> bool:
        """Whether this gateway records a stream in the store."""
        return self._own_name in self._recorders(key)

    def receivers(self, key: int) -> list[str]:
        """Names of the gateways that keep or record a stream, without this one."""
        names = dict.fromkeys([*self.of_stream(key), *self._recorders(key)])
        return [name for name in names if name != self._own_name]


def _weight(key: int, name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode(), seed=key), name
