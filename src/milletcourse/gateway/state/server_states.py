"""What this gateway has found out about each server: its health, its end, and the load there."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.exchange.messages.peer_messages import InstanceLoad
from milletcourse.exchange.placement.server_candidates import ServerCandidates
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.exchange.servers.server_paths import ServerPaths
from milletcourse.gateway.servers.crash_detector import CrashDetector
from milletcourse.gateway.telemetry.recorder import Recorder


class ServerStates:
    """Updates the known servers by what attempts, answers and other gateways show.

    Attributes:
        on_terminated: Called when an answer showed that an incarnation has terminated.
        restart_listeners: Called with the previous incarnation when a server has restarted.
    """

    def __init__(
        self,
        instances: InstanceTable,
        candidates: ServerCandidates,
        paths: ServerPaths,
        crash_detector: CrashDetector,
        record: Recorder,
        mechanisms: frozenset[Mechanism],
    ) -> None:
        """Start without any observation.

        Args:
            instances: The servers.
            candidates: Which of them several gateways saw fail.
            paths: Which of them this gateway reaches itself.
            crash_detector: Told of incarnations that have terminated.
            record: Reports changes to operators; its clock is used.
            mechanisms: Mechanisms that are switched on.
        """
        self.on_terminated: Callable[[Instance], None] | None = None
        self.restart_listeners: list[Callable[[Instance], None]] = []
        self._instances = instances
        self._candidates = candidates
        self._paths = paths
        self._crash_detector = crash_detector
        self._record = record
        self._mechanisms = mechanisms
        self._suspected: set[str] = set()
        instances.on_restarted = self._on_restarted

    # -- health ---------------------------------------------------------------------------------

    def note_result(
        self, instance: Instance, result: AttemptResult, is_reported: bool = True
    ) -> None:
        """Update a server's health by a result, and record when it is ejected or returns.

        Args:
            instance: The server.
            result: How an attempt there ended.
            is_reported: Whether a failure is reported to the other gateways.
        """
        now = self._record.now()
        was_ejected = instance.health.is_ejected(now)
        instance.health.on_result(result, now, is_reported)
        is_ejected = instance.health.is_ejected(now)
        if is_ejected and not was_ejected:
            self._record.ejection(instance.name, result)
        elif was_ejected and not is_ejected:
            self._record.ejection_ended(instance.name, result)

    def report_suspicions(self) -> None:
        """Log the servers that became suspected, or stopped being so, since the last call.

        A server is suspected by the results of all gateways together.
        """
        now = self._record.now()
        suspected = {
            instance.name
            for instance in self._instances
            if self._candidates.is_suspected(instance, now)
        }
        for name in sorted(suspected ^ self._suspected):
            self._record.suspicion(name, name in suspected)
        self._suspected = suspected

    # -- load and paths -------------------------------------------------------------------------

    def own_loads(self) -> list[InstanceLoad]:
        """This gateway's load and recent results on each server that has some.

        Requests that have not reached their server are not part of it.
        """
        now = self._record.now()
        loads = []
        for instance in self._instances:
            tally = instance.health.tally(now)
            undelivered = instance.undelivered
            load = InstanceLoad(
                instance.key,
                instance.in_flight_tokens - undelivered.tokens,
                instance.in_flight - undelivered.requests,
                tally.failures,
                tally.successes,
                instance.memory_tokens - undelivered.memory_tokens,
            )
            if not load.is_zero:
                loads.append(load)
        return loads

    def reaches_engines(self) -> bool:
        """Whether this gateway reaches at least half of the model servers itself."""
        if not self._paths.needs_probes:
            return True
        engines = [instance for instance in self._instances if instance.record.weight_versions]
        lost = sum(self._paths.is_lost(instance.record.address) for instance in engines)
        return 2 * lost <= len(engines)

    # -- ends of incarnations -------------------------------------------------------------------

    def note_successor(self, instance: Instance, successor: str) -> None:
        """Retire an incarnation at whose address another one answered."""
        is_new = self.retire_instance(instance.name, successor, instance.record.started_ms)
        if is_new and self.on_terminated is not None:
            self.on_terminated(instance)

    def retire_instance(self, name: str, successor: str, started_ms: int) -> bool:
        """Take a terminated incarnation out of use; True when its end wasn't known yet.

        Args:
            name: The server.
            successor: Incarnation that answers in its place, or the source of the report.
            started_ms: Start of the terminated incarnation in ms, 0 when it isn't known.
        """
        known = self._instances.get(name)
        if known is not None and started_ms and started_ms < known.record.started_ms:
            # The server has restarted since.
            return False
        is_checked = Mechanism.INCARNATION_CHECK in self._mechanisms
        if not is_checked or not self._instances.terminate(name):
            return False
        self._record.instance_replaced(name, successor)
        self._crash_detector.on_instance_terminated(name)
        return True

    def _on_restarted(self, before: Instance) -> None:
        """Handle a restart of a server under its name, which aborted all its running requests."""
        self._record.instance_restarted(before.name)
        self._crash_detector.on_instance_terminated(before.name)
        for listener in self.restart_listeners:
            listener(before)
