"""Records of the processes in a simulated cluster and of the ground truth for the checks."""

from __future__ import annotations

from dataclasses import dataclass, field

from milletcourse.node import RouterNode
from milletcourse.runtime.memory_network import MemoryHost
from milletcourse.standins.engine_app import EngineApp
from milletcourse.standins.engine_core import ReuseRecord


@dataclass(frozen=True, slots=True)
class AcceptRecord:
    """Ground truth: an engine accepted a request."""

    at_seconds: float
    engine: str
    tenant: str
    request_id: str


@dataclass(slots=True)
class SimulatedRouter:
    """One router incarnation and its host."""

    name: str
    host: MemoryHost
    node: RouterNode
    started_at: float
    last_fault_at: float


@dataclass(slots=True)
class SimulatedEngine:
    """One engine incarnation and its host."""

    name: str
    host: MemoryHost
    app: EngineApp
    version: str
    reuse_collected: bool = False


@dataclass(slots=True)
class GroundTruth:
    """Events observed outside the routers, which the checks compare with the invariants.

    Attributes:
        accepts: Requests accepted by engines.
        reuse: Reuse records of engines that have stopped or crashed.
        draining_since: Time from which routers can see that a back end is draining, by name.
        commits: Commit time of each platform revision.
    """

    accepts: list[AcceptRecord] = field(default_factory=list)
    reuse: list[ReuseRecord] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    commits: dict[int, float] = field(default_factory=dict)
