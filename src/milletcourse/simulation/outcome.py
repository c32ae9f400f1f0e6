"""Report, invariant violations and event trace of a simulation run."""

from __future__ import annotations

import msgspec
from blake3 import blake3


class Violation(msgspec.Struct, frozen=True):
    """A violated invariant.

    Attributes:
        invariant: Short name of the invariant.
        at_seconds: Virtual time of the violation.
        detail: What the check observed.
    """

    invariant: str
    at_seconds: float
    detail: str


class SimulationReport(msgspec.Struct, frozen=True):
    """Result of one scenario with one seed.

    Attributes:
        scenario: Name of the scenario.
        seed: Seed.
        requests: Requests that clients completed, with or without an answer.
        served: Requests that received their complete answer.
        served_share: `served` divided by `requests`.
        floor: Lowest `served_share` that the scenario accepts.
        refused: Number of requests without a complete answer, by problem type.
        violations: Violated invariants, at most the first 20.
        virtual_seconds: Simulated time.
        trace_hash: Digest of the event trace; equal for equal arguments.
    """

    scenario: str
    seed: int
    requests: int
    served: int
    served_share: float
    floor: float
    refused: dict[str, int]
    violations: tuple[Violation, ...]
    virtual_seconds: float
    trace_hash: str


class Trace:
    """Running digest of all recorded events, in order."""

    def __init__(self) -> None:
        self._hasher = blake3()
        self.lines: list[str] = []
        self.keep_lines = False

    def add(self, at_seconds: float, text: str) -> None:
        """Add one event to the digest."""
        line = f"{at_seconds:.6f} {text}\n"
        self._hasher.update(line.encode())
        if self.keep_lines:
            self.lines.append(line)

    def digest(self) -> str:
        """Hex digest of the events added so far."""
        return self._hasher.hexdigest()[:32]
