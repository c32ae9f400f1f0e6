"""Places in the history of the object store; no input/output.

The store may come back from a copy that is some seconds old. What it had acknowledged since then is
gone, and its revisions are given out again, so a revision alone doesn't tell which of two states is
the later one. Each time its era rises, and era and revision together do.
"""

from __future__ import annotations

import msgspec

UNKNOWN_ERA = -1
"""Of a store that doesn't tell its era; it counts as a former one of any that is told."""


class StorePosition(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A state of the store, or a change of an object; ordered as the store went through them.

    Attributes:
        era: How often the store has come back from an older copy, as it counts.
        revision: Its counter of changes, which goes back with it.
    """

    era: int
    revision: int
