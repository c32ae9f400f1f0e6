"""Which software version began a stream that its client may still resume; no input/output."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from blake3 import blake3

MAX_ORIGINS = 32_768
"""Maximum number of streams that are known; beyond it the oldest are dropped."""
KEY_BYTES = 8
"""Bytes kept of the hash. A cryptographic hash keeps a caller from forging the key of another
tenant's stream."""


def stream_key(tenant: str, request_id: str) -> int:
    """Key of a stream: equal for all tries that name the same first try of the same tenant.

    Args:
        tenant: Name of the tenant; empty on public routes.
        request_id: Id of the client's attempt that got its first event.
    """
    digest = blake3()
    for part in (tenant.encode(), request_id.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(length=KEY_BYTES), "big")


class StreamOrigin(msgspec.Struct, frozen=True):
    """Where a stream began.

    Attributes:
        service: Service whose server began it.
        software_version: Version of that server's software; None when it isn't known, or when
            streams of several versions began under the same request id.
        expires_at: Monotonic time after which no client resumes it.
        is_own: This gateway relayed its events itself.
    """

    service: str
    software_version: str | None
    expires_at: float
    is_own: bool


class StreamOrigins:
    """Origins by stream key, in the order in which they were recorded or renewed."""

    def __init__(self) -> None:
        self._origins: dict[int, StreamOrigin] = {}

    def __len__(self) -> int:
        """Number of known streams."""
        return len(self._origins)

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record or renew the origin of a stream.

        Another origin under the same key makes its version unknown: request ids may be reused.
        """
        known = self._origins.pop(key, None)
        if known is not None and now < known.expires_at:
            origin = _merged(known, origin)
        self._origins[key] = origin
        if len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """The origin of a stream, None when it isn't known."""
        origin = self._origins.get(key)
        return origin if origin is not None and now < origin.expires_at else None

    def own_of_service(self, service: str, now: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Keys and origins of the streams of a service that this gateway relayed itself."""
        for key, origin in self.unexpired(now):
            if origin.is_own and origin.service == service:
                yield key, origin

    def unexpired(self, now: float) -> Iterator[tuple[int, StreamOrigin]]:
        """Keys and origins of all streams that clients may still resume."""
        for key, origin in self._origins.items():
            if now < origin.expires_at:
                yield key, origin

    def drop_expired(self, now: float) -> None:
        """Drop the streams that no client resumes any more."""
        expired = [key for key, origin in self._origins.items() if now >= origin.expires_at]
        for key in expired:
            del self._origins[key]


def _merged(known: StreamOrigin, origin: StreamOrigin) -> StreamOrigin:
    is_same = (known.service, known.software_version) == (origin.service, origin.software_version)
    return StreamOrigin(
        origin.service,
        origin.software_version if is_same else None,
        max(known.expires_at, origin.expires_at),
        known.is_own or origin.is_own,
    )
