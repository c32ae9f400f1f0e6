"""Machines that the platform lists as draining or removed, shared between routers.

Routers that hold the reader lease read the list and send it to the others in datagrams. The newest
snapshot wins.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from milletcourse.backends.platform_messages import Machine, MachineState


@dataclass(frozen=True, slots=True)
class MachineListSnapshot:
    """One snapshot of the platform's machine list.

    Attributes:
        wall_seconds: Wall time just before the list was requested.
        excluded: Names of draining and removed machines, which get no new work.
    """

    wall_seconds: float = 0.0
    excluded: frozenset[str] = field(default_factory=frozenset)


class MachineListView:
    """Holds the newest known snapshot."""

    def __init__(self) -> None:
        self.snapshot = MachineListSnapshot()

    def on_list(self, machines: tuple[Machine, ...], wall_seconds: float) -> bool:
        """Record a list read by this router; return True when the excluded machines changed."""
        excluded = frozenset(item.name for item in machines if item.state is not MachineState.LIVE)
        return self.on_snapshot(MachineListSnapshot(wall_seconds, excluded))

    def on_snapshot(self, snapshot: MachineListSnapshot) -> bool:
        """Record a snapshot of any router; return True when it changes the excluded ones."""
        if snapshot.wall_seconds <= self.snapshot.wall_seconds:
            return False
        changed = snapshot.excluded != self.snapshot.excluded
        self.snapshot = snapshot
        return changed

    def is_excluded(self, machine: str) -> bool:
        """Whether a machine must not get new work."""
        return machine in self.snapshot.excluded
