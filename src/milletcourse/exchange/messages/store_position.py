"""Positions in the history of the object store; no input/output.

The store may be restored from a snapshot that is some seconds old. Writes acknowledged since that
snapshot are lost and their revisions are assigned again, so a revision alone doesn't order two
states. Each restore increments the era; era and revision together order all states.
"""

from __future__ import annotations

import msgspec

UNKNOWN_ERA = -1
"""Era of a store that doesn't report one; it is ordered before every reported era."""


class StorePosition(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Position of a store state or of an object change; ordered by the store's history.

    Attributes:
        era: The store's count of restores from an older snapshot.
        revision: The store's change counter, which a restore sets back.
    """

    era: int
    revision: int
