"""Model of the platform's object store, without input/output.

Policy objects share one revision counter and a history of bounded length. Leases are objects with
separate versions, so that renewals do not appear in watches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.backends.platform_messages import (
    Machine,
    MachineState,
    ObjectChange,
    ObjectList,
    PutObject,
)
from milletcourse.errors import Failure, HistoryExpired, VersionConflict
from milletcourse.policy.objects import ObjectKey, StoredObject

DEFAULT_HISTORY_CHANGES = 1000
MAX_CHANGE_IDS = 8
LEASE_KIND = "Lease"


class PlatformCore:
    """Versioned objects with compare-and-set and a bounded change history.

    Attributes:
        revision: Revision of the latest change.
        committed_change_ids: Ground truth for checks: version by change id.
        journal: Ground truth for checks: all changes, including those that the history has dropped.
        on_commit: Called with the revision of each change.
    """

    def __init__(self, history_changes: int = DEFAULT_HISTORY_CHANGES) -> None:
        self.revision = 0
        self.committed_change_ids: dict[str, int] = {}
        self.journal: list[ObjectChange] = []
        self.on_commit: Callable[[int], None] | None = None
        self._objects: dict[ObjectKey, StoredObject] = {}
        self._history: deque[ObjectChange] = deque(maxlen=history_changes)
        self._machines: dict[str, tuple[MachineState, float]] = {}
        self._previous_machine_states: dict[str, MachineState] = {}

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or None when it does not exist."""
        return self._objects.get(ObjectKey(kind, name))

    def list_objects(self) -> ObjectList:
        """Return all policy objects at the current revision."""
        objects = [item for key, item in sorted(self._objects.items()) if key.kind != LEASE_KIND]
        return ObjectList(self.revision, tuple(objects))

    def put(self, kind: str, name: str, write: PutObject) -> Result[StoredObject, Failure]:
        """Compare-and-set one object.

        Returns:
            The stored object (with the version of its deletion when deleted), or the conflict.
        """
        key = ObjectKey(kind, name)
        current = self._objects.get(key)
        current_version = current.version if current else 0
        if current_version != write.expected_version:
            current_json = msgspec.json.encode(current).decode()
            return Err(
                VersionConflict(
                    "the object has changed since that version", None, current_version, current_json
                )
            )
        return Success(self._commit(key, current, write))

    def _commit(
        self, key: ObjectKey, current: StoredObject | None, write: PutObject
    ) -> StoredObject:
        if key.kind == LEASE_KIND:
            version = (current.version if current else 0) + 1
        else:
            self.revision += 1
            version = self.revision
            change = ObjectChange(version, key.kind, key.name, write.spec)
            self._history.append(change)
            self.journal.append(change)
            if self.on_commit is not None:
                self.on_commit(version)
        self.committed_change_ids[write.change_id] = version
        change_ids = (*(current.change_ids if current else ()), write.change_id)
        stored = StoredObject(
            key.kind, key.name, version, write.spec or {}, change_ids[-MAX_CHANGE_IDS:]
        )
        if write.spec is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = stored
        return stored

    def changes_after(self, revision: int) -> Result[list[ObjectChange], Failure]:
        """Return the changes after a revision, or `HistoryExpired` when some are no longer kept."""
        if revision >= self.revision:
            return Success([])
        oldest = self._history[0].revision if self._history else self.revision + 1
        if revision + 1 < oldest:
            return Err(HistoryExpired(f"history starts at {oldest}"))
        return Success([change for change in self._history if change.revision > revision])

    def lose_history(self) -> None:
        """Fault: drop the change history; objects stay."""
        self._history.clear()

    def load(self, documents: list[tuple[str, str, dict[str, Any]]]) -> None:
        """Store the initial objects."""
        for kind, name, spec in documents:
            self._commit(ObjectKey(kind, name), None, PutObject(spec, 0, "initial"))

    def set_machine(self, name: str, state: MachineState, now: float) -> None:
        """Set a machine's state, which the machine list shows after its lag."""
        if name in self._machines:
            self._previous_machine_states[name] = self._machines[name][0]
        self._machines[name] = (state, now)

    def machines(self, now: float, lag_seconds: float) -> list[Machine]:
        """Return the machine list as readers see it, delayed by the lag."""
        listed = []
        for name, (state, since) in sorted(self._machines.items()):
            if now - since >= lag_seconds:
                listed.append(Machine(name, state))
            elif name in self._previous_machine_states:
                listed.append(Machine(name, self._previous_machine_states[name]))
        return listed
