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
        expected_version: Version that the writer read; 0 if the object must not exist.
        change_id: Chosen by the writer; reading it back resolves a lost answer.
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
    """One line of a watch: a change, or a bookmark that carries only the revision."""

    revision: int
    change: ObjectChange | None = None


class MachineState(StrEnum):
    """State of a machine in the platform's list, which may be out of date."""

    LIVE = "live"
    DRAINING = "leaving"
    REMOVED = "gone"


class Machine(msgspec.Struct, frozen=True):
    """An entry of the platform's list of machines."""

    name: str
    state: MachineState


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list of machines, which may be out of date."""

    machines: tuple[Machine, ...]
