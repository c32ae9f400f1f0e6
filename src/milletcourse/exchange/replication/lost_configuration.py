"""Versions of the configuration that the store has lost; no input/output.

A store that comes back from an older copy may hold an older version than was in force. Gateways
that had the later one keep it, and tell the others, which refuse keys until it is written again.
"""

from __future__ import annotations

from collections.abc import Callable


class LostConfiguration:
    """Follows which version the store holds, and which later one is known.

    Attributes:
        stored_version: Version that the store holds, 0 for none.
    """

    def __init__(self, in_force: Callable[[], int]) -> None:
        """Nothing is lost.

        Args:
            in_force: Version that is in force at this gateway, 0 before the first.
        """
        self.stored_version = 0
        self._in_force = in_force
        self._peer_version = 0

    @property
    def is_outdated(self) -> bool:
        """Whether another gateway had a later version in force than this one has."""
        return self._peer_version > self._in_force()

    @property
    def version(self) -> int:
        """Latest version known to have been in force that the store doesn't hold, 0 for none."""
        in_force = self._in_force()
        known = max(self._peer_version, in_force)
        return known if in_force and known > self.stored_version else 0

    def on_peer_version(self, version: int) -> bool:
        """Another gateway has a version in force that isn't in the store; True when that is news.

        This process began after the store came back, or it would have that version itself.
        """
        if version <= max(self._peer_version, self._in_force()):
            return False
        self._peer_version = version
        return True
