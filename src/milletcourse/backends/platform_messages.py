"""Messages of the platform's object API."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from milletcourse.policy.objects import StoredObject


class PutObject(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a compare-and-set write.

    Attributes:
        spec: New spec, None to delete.
        expected_version: Version the writer read; 0 when the object must not exist.
        change_id: Chosen by the writer, so that a lost answer can be settled by reading back.
    """

    spec: dict[str, Any] | None
    expected_version: int
    change_id: str


class ObjectChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """One committed change.

    Attributes:
        revision: Revision of the change.
        kind: Kind of the object.
        name: Name of the object.
        spec: New spec, None when it was deleted.
    """

    revision: int
    kind: str
    name: str
    spec: dict[str, Any] | None = None


class ObjectList(msgspec.Struct, frozen=True):
    """All objects at a revision."""

    revision: int
    objects: tuple[StoredObject, ...]


class RevisionAnswer(msgspec.Struct, frozen=True):
    """The platform's revision."""

    revision: int


class WatchLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a watch: a change, or a bookmark that only states the revision."""

    revision: int
    change: ObjectChange | None = None


class MachineState(StrEnum):
    """State of a machine in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Machine(msgspec.Struct, frozen=True):
    """One machine of the platform's list."""

    name: str
    state: MachineState


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list of machines, which lags."""

    machines: tuple[Machine, ...]
