"""Origins of streams as they are recorded in the store, which outlasts all gateways.

No input/output. The readers of the zones record the streams that are reported to them while
servers of several software versions serve. A gateway that starts meanwhile reads all records.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from milletcourse.exchange.resumption.stream_origins import StreamOrigin

MAX_RECORDED_ORIGINS = 8_192
"""Maximum number of streams in one record; beyond it the oldest are dropped. Each takes about 30 of
the 1,048,576 bytes that an object may have."""
_AMBIGUOUS = ""
"""Stands for the version of streams that began at several versions under one request id."""


class RecordedOrigins(msgspec.Struct, frozen=True):
    """A record as it is stored.

    Attributes:
        streams: By service and software version, the keys of streams, and for how many milliseconds
            after it was written clients may resume them. Keys are text, since JSON numbers lose
            digits beyond 53 bits.
    """

    streams: dict[str, dict[str, dict[str, int]]] = {}

    def origins(self, now: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Keys and origins; raises `ValueError` for a malformed key.

        It isn't known when the record was written, so they are kept as long as at that time.
        """
        for service, versions in self.streams.items():
            for version, remaining in versions.items():
                for key, milliseconds in remaining.items():
                    expires_at = now + max(milliseconds, 0) / 1000.0
                    yield (
                        int(key, 16),
                        StreamOrigin(service, version or None, expires_at, is_own=False),
                    )


class OriginRecord:
    """The streams that this gateway records, in the order in which it learned of them."""

    def __init__(self) -> None:
        self._origins: dict[int, StreamOrigin] = {}
        self._is_changed = False

    def add(self, key: int, origin: StreamOrigin) -> None:
        """Record a stream, or renew its record."""
        known = self._origins.pop(key, None)
        self._origins[key] = origin
        if len(self._origins) > MAX_RECORDED_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._is_changed = self._is_changed or known != origin

    def add_stored(self, key: int, origin: StreamOrigin) -> None:
        """Keep a stream that the stored record names, so that the next write doesn't drop it."""
        self._origins.setdefault(key, origin)

    def to_write(self, now: float) -> RecordedOrigins | None:
        """The record as it should be; None when it is stored already."""
        if not self._is_changed:
            return None
        self._is_changed = False
        self._origins = {
            key: origin for key, origin in self._origins.items() if now < origin.expires_at
        }
        streams: dict[str, dict[str, dict[str, int]]] = {}
        for key, origin in self._origins.items():
            versions = streams.setdefault(origin.service, {})
            remaining = versions.setdefault(origin.software_version or _AMBIGUOUS, {})
            remaining[f"{key:x}"] = round((origin.expires_at - now) * 1000.0)
        return RecordedOrigins(streams)

    def on_not_written(self) -> None:
        """The latest record could not be written."""
        self._is_changed = True
