"""Machines that the platform's list shows as leaving or gone, shared between routers.

Leased readers read the list; the others get it in datagrams. The newest reading wins.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from milletcourse.backends.platform_messages import Machine, MachineState


@dataclass(frozen=True, slots=True)
class MachineListSnapshot:
    """One reading of the platform's list.

    Attributes:
        wall_seconds: Wall time before the list was asked for.
        away: Names of machines that are leaving or gone.
    """

    wall_seconds: float = 0.0
    excluded: frozenset[str] = field(default_factory=frozenset)


class MachineListView:
    """The newest known reading."""

    def __init__(self) -> None:
        self.snapshot = MachineListSnapshot()

    def on_list(self, machines: tuple[Machine, ...], wall_seconds: float) -> bool:
        """A reading of this router; True when it says something new."""
        excluded = frozenset(item.name for item in machines if item.state is not MachineState.LIVE)
        return self.on_snapshot(MachineListSnapshot(wall_seconds, excluded))

    def on_snapshot(self, snapshot: MachineListSnapshot) -> bool:
        """A reading of any router; True when it is newer and says something new."""
        if snapshot.wall_seconds <= self.snapshot.wall_seconds:
            return False
        changed = snapshot.excluded != self.snapshot.excluded
        self.snapshot = snapshot
        return changed

    def is_excluded(self, machine: str) -> bool:
        """Whether a machine must get no new work."""
        return machine in self.snapshot.excluded
