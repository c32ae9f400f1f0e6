"""A question to the holders of one stream, and what their replies say together."""

from __future__ import annotations

import asyncio

from milletcourse.exchange.resumption.stream_origins import StreamOrigin


class OriginQuestion:
    """Collects the replies of a stream's holders until the question is decided.

    Attributes:
        asked: Names of the holders that are asked: all without this gateway.
        decided: Done once a holder knows the stream, or all have replied.
        origin: Where the stream began, None while no holder knows it.
    """

    def __init__(self, own_name: str, holders: list[str]) -> None:
        """Start without any reply.

        Args:
            own_name: Name of this gateway.
            holders: Names of the holders, which may include this gateway.
        """
        self.asked = [name for name in holders if name != own_name]
        self.decided: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.origin: StreamOrigin | None = None
        self._holder_count = len(holders)
        self._sole_versions: dict[str, dict[str, str]] = {}
        """By holder that replied, and by service."""

    def on_reply(
        self, holder: str, origin: StreamOrigin | None, sole_versions: dict[str, str]
    ) -> None:
        """A holder replied.

        Args:
            holder: Its name.
            origin: Where the stream began, None when the holder doesn't know it.
            sole_versions: By service, the only software version that may have begun streams, as far
                as the holder knows; services are missing of which it has seen several, or whose
                earlier versions it doesn't know.
        """
        if holder not in self.asked:
            return
        self._sole_versions[holder] = sole_versions
        if origin is not None:
            self.origin = origin
        is_complete = len(self._sole_versions) == len(self.asked)
        if (origin is not None or is_complete) and not self.decided.done():
            self.decided.set_result(None)

    def is_contradicted(self, service: str, version: str) -> bool:
        """Whether a holder has seen several versions of a service, or another one."""
        replies = self._sole_versions.values()
        return any(versions.get(service) != version for versions in replies)

    def has_majority(self) -> bool:
        """Whether more than half of the holders don't know the stream.

        A gateway that has seen several versions would have told them before it relayed the first
        event.
        """
        replies = len(self._sole_versions)
        own = self._holder_count - len(self.asked)
        return replies > 0 and 2 * (replies + own) > self._holder_count
