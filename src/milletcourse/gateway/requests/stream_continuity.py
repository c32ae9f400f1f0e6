"""Keeps a stream at servers of the software version that began it."""

from __future__ import annotations

from collections.abc import Iterable

from milletcourse.exchange.servers.instance_table import Instance


class StreamContinuity:
    """The software version at which one request's stream may go on.

    What servers of two software versions write doesn't fit together, and servers don't check who
    began a stream.
    """

    def __init__(self) -> None:
        """Start with a stream that hasn't begun."""
        self._has_begun = False
        self._software_version: str | None = None

    def on_events(self, software_version: str | None) -> None:
        """Whole events of a server are about to be relayed.

        Args:
            software_version: Version of the server's software, None when it isn't known.
        """
        if not self._has_begun:
            self._has_begun = True
            self._software_version = software_version

    def permits(self, instance: Instance) -> bool:
        """Whether the request may be sent to a server."""
        if not self._has_begun:
            return True
        version = self._software_version
        return version is not None and instance.record.software_version == version

    def excluded(self, instances: Iterable[Instance]) -> set[str]:
        """Names of the servers that it may not be sent to."""
        if not self._has_begun:
            return set()
        return {instance.name for instance in instances if not self.permits(instance)}
