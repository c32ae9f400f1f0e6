"""Configuration versions that the store has lost; no input/output.

A store that was restored from an older snapshot may hold an older version than the one applied at
gateways. Gateways that applied the later one keep it and announce it to the others, which refuse
API keys until it is written again.
"""

from __future__ import annotations

from collections.abc import Callable


class LostConfiguration:
    """Compares the version that the store holds with the latest known version.

    Attributes:
        stored_version: Version that the store holds, 0 for none.
    """

    def __init__(self, in_force: Callable[[], int]) -> None:
        """Start without a known loss.

        Args:
            in_force: Returns the version applied at this gateway, 0 before the first.
        """
        self.stored_version = 0
        self._in_force = in_force
        self._peer_version = 0

    @property
    def is_outdated(self) -> bool:
        """Whether another gateway applied a later version than this one."""
        return self._peer_version > self._in_force()

    @property
    def version(self) -> int:
        """Latest version known to have been applied that the store doesn't hold, 0 for none."""
        in_force = self._in_force()
        known = max(self._peer_version, in_force)
        return known if in_force and known > self.stored_version else 0

    def on_peer_version(self, version: int) -> bool:
        """Record a version applied at another gateway and missing in the store.

        This process started after the restore; otherwise it would have that version itself.

        Returns:
            True when the version is later than any known here.
        """
        if version <= max(self._peer_version, self._in_force()):
            return False
        self._peer_version = version
        return True
