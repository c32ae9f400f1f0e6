"""Moves servers to released weight versions by fenced orders; no input/output.

Each load has a cost and drops the server's cached prompt state. An order is therefore given only
when a load now is worth more than waiting for the next version, or when waiting longer could miss a
deadline; a version released in the meantime is included in the same load. A server may carry out an
unanswered order late. Each order therefore carries the expected number of orders that the server
has accepted, so that the server refuses a late order once it has accepted another one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from milletcourse.exchange.counting.load_window import LoadWindow
from milletcourse.exchange.rollout.rollout_timing import is_worth_loading
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance

SAFETY_SECONDS = 1.6
"""The last load is planned to end this long before the deadline."""
INITIAL_LOAD_SECONDS = 0.8
"""Assumed duration of one load including its order, until one has been measured."""
LOAD_TIME_SMOOTHING = 0.3
MAX_LOAD_SECONDS = 2.5
"""Longer loads were delayed by something else and count as this long."""
FIRST_POLL_FRACTION = 0.85
"""A load is first polled after this fraction of its usual duration."""
POLL_INTERVAL_SECONDS = 0.12
UNANSWERED_SECONDS = 0.4
"""The server is polled about an unanswered order after this time."""
STUCK_SECONDS = 3.0
"""An accepted order that has not completed after this time is abandoned, and polled again."""
RETRY_PAUSE_SECONDS = 0.4
"""A server that refused an order or did not answer is retried after this time."""


class RunningWork(Enum):
    """What happens to running requests when a server loads new weights."""

    WAIT = "wait"
    """The server lets them finish first and rejects new ones meanwhile."""
    ABORT = "cut"
    """The server aborts their streams."""
    KEEP = "keep"
    """They continue under the new weights."""


RUNNING_WORK = RunningWork.KEEP
"""Of the three modes `KEEP` gives the best results on both reference fleets. Prompt state that such
a request adds to the cache has the salt of the older version, which no later request at that server
uses."""


class OrderReply(Enum):
    """A server's reply to an order."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    WRONG_INSTANCE = "wrong-instance"
    """Another incarnation answered."""
    UNANSWERED = "unanswered"


class WeightOrder(msgspec.Struct, frozen=True):
    """An order to one server to load a version of a model's weights.

    Attributes:
        instance: Incarnation that must carry it out.
        address: Its `host:port`.
        model: Model.
        version: Version to load.
        holder: Name of the lease holder.
        fencing_token: Token of the holder's term.
        expected_sequence: Number of orders that the server must have accepted before.
        running_work: What happens to running requests.
    """

    instance: str
    address: str
    model: str
    version: int
    holder: str
    fencing_token: int
    expected_sequence: int
    running_work: RunningWork = RUNNING_WORK


class ServerReport(msgspec.Struct, frozen=True):
    """A server's self-reported state.

    Attributes:
        weight_versions: Model -> version.
        busy: An order is in progress.
        sequence: Number of orders accepted since its start.
        started_ms: Its start by its own clock, in Unix milliseconds; 0 when not given.
    """

    weight_versions: dict[str, int]
    busy: bool
    sequence: int
    started_ms: int = 0


class _Phase(Enum):
    """Progress of a load."""

    POLLING = "looking"
    """The server's report is required before the order; it gives the number of accepted orders."""
    READY = "ready"
    """The report has arrived; the order may be given."""
    ORDERED = "ordered"
    """The order was sent; its answer is outstanding or lost."""
    LOADING = "taken"
    """The server loads the weights."""


class _Load(msgspec.Struct):
    model: str
    version: int
    started_at: float
    poll_at: float
    phase: _Phase = _Phase.POLLING
    sequence: int = 0


RequestRate = Callable[[Instance], float]
"""Returns the requests per second that all gateways together send to a server."""


class WeightRollout:
    """Plans the orders of the lease holder."""

    def __init__(
        self,
        gate: VersionGate,
        request_rate: RequestRate,
        is_leaving: Callable[[Instance], bool],
        is_backing_off: Callable[[Instance], bool],
    ) -> None:
        """Starts without any load in progress.

        Args:
            gate: Released versions.
            request_rate: Request rate of a server, by which a load is weighed against waiting.
            is_leaving: Whether a server is about to shut down, so that it needs no weights.
            is_backing_off: Whether a server asked this gateway to back off; it then loads
                only to meet a deadline.
        """
        self._is_backing_off = is_backing_off
        self._is_leaving = is_leaving
        self._gate = gate
        self._request_rate = request_rate
        self._loads: dict[str, _Load] = {}
        self._not_before: dict[str, float] = {}
        self._window = LoadWindow()
        self.load_seconds = INITIAL_LOAD_SECONDS

    def has_work(self, instances: Iterable[Instance]) -> bool:
        """Whether a load is in progress or some server lacks the latest version."""
        return bool(self._loads) or any(self._pending_model(item) for item in instances)

    def next_orders(
        self, instances: Iterable[Instance], now: float, holder: str, fencing_token: int
    ) -> list[WeightOrder]:
        """Starts due loads and returns the orders to send now."""
        known = list(instances)
        names = {instance.name for instance in known}
        for name in [name for name in self._loads if name not in names]:
            del self._loads[name]
        served = [instance for instance in known if instance.record.weight_versions]
        pending = self._pending_servers(served, now)
        while (chosen := self._next_load(pending, len(served), now)) is not None:
            _, instance, model = pending.pop(chosen)
            version = self._gate.newest(model)
            assert version is not None
            self._loads[instance.name] = _Load(model, version, now, now)
        return [
            self._order(instance, now, holder, fencing_token)
            for instance in served
            if self._is_ready(instance)
        ]

    def _is_ready(self, instance: Instance) -> bool:
        load = self._loads.get(instance.name)
        return load is not None and load.phase is _Phase.READY

    def _pending_servers(
        self, instances: list[Instance], now: float
    ) -> list[tuple[float, Instance, str]]:
        """Servers that need an order, sorted by the deadline of the version that they have."""
        pending = []
        for instance in instances:
            model = self._pending_model(instance)
            if model is None or instance.name in self._loads or self._is_leaving(instance):
                continue
            if now < self._not_before.get(instance.name, float("-inf")):
                continue
            deadline = self._gate.deadline_of(model, instance.version(model) or 0)
            pending.append((deadline if deadline is not None else now, instance, model))
        pending.sort(key=lambda item: (item[0], item[1].name))
        return pending

    def _next_load(
        self, pending: list[tuple[float, Instance, str]], servers: int, now: float
    ) -> int | None:
        """Index of the server that loads weights next, None when none does now.

        Loads that a deadline requires stay within the concurrency that is known not to slow loads
        down; higher concurrency is tried only when time remains.
        """
        base = self._window.base_size(servers)
        if len(self._loads) < base and self._is_deadline_near(pending, base, now):
            return 0
        if len(self._loads) < self._window.size(servers):
            return self._first_worth_loading(pending, now)
        return None

    def _is_deadline_near(
        self, pending: list[tuple[float, Instance, str]], parallel: int, now: float
    ) -> bool:
        """Whether some server would miss its deadline if no order were given now."""
        rounds_running = 1 if self._loads else 0
        for index, (deadline, _, _) in enumerate(pending):
            rounds = index // parallel + 1 + rounds_running
            if deadline - rounds * self.load_seconds - SAFETY_SECONDS <= now:
                return True
        return False

    def _first_worth_loading(
        self, pending: list[tuple[float, Instance, str]], now: float
    ) -> int | None:
        """Index of the first server for which a load now is worth more than waiting."""
        for index, (_, instance, model) in enumerate(pending):
            if self._is_backing_off(instance):
                continue
            superseded_at = self._gate.superseded_at(model, instance.version(model) or 0)
            if superseded_at is not None and is_worth_loading(
                self._request_rate(instance),
                self._gate.seconds_to_next(model, now),
                now - superseded_at,
                self.load_seconds,
            ):
                return index
        return None

    def _pending_model(self, instance: Instance) -> str | None:
        for model in instance.record.weight_versions:
            newest = self._gate.newest(model)
            version = instance.version(model)
            if newest is not None and version is not None and version < newest:
                return model
        return None

    def _order(
        self, instance: Instance, now: float, holder: str, fencing_token: int
    ) -> WeightOrder:
        load = self._loads[instance.name]
        load.version = max(load.version, self._gate.newest(load.model) or 0)
        load.phase = _Phase.ORDERED
        load.started_at = now
        load.poll_at = now + UNANSWERED_SECONDS
        return WeightOrder(
            instance=instance.name,
            address=instance.record.address,
            model=load.model,
            version=load.version,
            holder=holder,
            fencing_token=fencing_token,
            expected_sequence=load.sequence,
        )

    # -- replies and reports of servers ---------------------------------------------------------

    def on_reply(self, instance: Instance, reply: OrderReply, now: float) -> None:
        """Handles a server's reply to an order, or the lack of one."""
        load = self._loads.get(instance.name)
        if load is None:
            return
        if reply is OrderReply.ACCEPTED:
            load.phase = _Phase.LOADING
            load.started_at = now
            load.poll_at = now + self.load_seconds * FIRST_POLL_FRACTION
        elif reply is OrderReply.ALREADY_LOADED:
            self._finish(instance, load)
        elif reply is OrderReply.UNANSWERED:
            load.poll_at = now + UNANSWERED_SECONDS
        elif reply is OrderReply.BUSY:
            load.poll_at = now + POLL_INTERVAL_SECONDS
        else:
            self._abandon(instance, now)

    def due_polls(self, instances: Iterable[Instance], now: float) -> list[Instance]:
        """Servers to poll for a report now."""
        wanted = []
        for instance in instances:
            load = self._loads.get(instance.name)
            if load is None:
                continue
            if (instance.version(load.model) or 0) >= load.version:
                self._finish(instance, load)
            elif now >= load.poll_at:
                load.poll_at = now + UNANSWERED_SECONDS
                wanted.append(instance)
        return wanted

    def on_report(self, instance: Instance, report: ServerReport | None, now: float) -> None:
        """Handles a server's report; `report` is None when the poll failed."""
        load = self._loads.get(instance.name)
        if report is not None:
            for model, version in report.weight_versions.items():
                instance.note_version(model, version)
        if load is None:
            return
        if report is None:
            if now - load.started_at > STUCK_SECONDS or load.phase is _Phase.POLLING:
                self._abandon(instance, now)
            return
        load.sequence = report.sequence
        if report.weight_versions.get(load.model, 0) >= load.version:
            self._record_load_time(load, now)
            self._finish(instance, load)
        elif report.busy:
            load.poll_at = now + POLL_INTERVAL_SECONDS
        elif load.phase is not _Phase.LOADING or now - load.started_at > STUCK_SECONDS:
            load.phase = _Phase.READY
            load.poll_at = float("inf")
        else:
            load.poll_at = now + POLL_INTERVAL_SECONDS

    def _record_load_time(self, load: _Load, now: float) -> None:
        if load.phase is not _Phase.LOADING:
            return
        elapsed = min(now - load.started_at, MAX_LOAD_SECONDS)
        self.load_seconds += LOAD_TIME_SMOOTHING * (elapsed - self.load_seconds)
        self._window.on_load(elapsed)

    def on_restarted(self, before: Instance) -> None:
        """Handles a server's restart: its order is lost, and its order count starts again at 0."""
        self._loads.pop(before.name, None)
        self._not_before.pop(before.name, None)

    def reset(self) -> None:
        """Discards all loads after the lease was lost."""
        self._loads.clear()
        self._not_before.clear()

    def _finish(self, instance: Instance, load: _Load) -> None:
        instance.note_version(load.model, load.version)
        self._loads.pop(instance.name, None)

    def _abandon(self, instance: Instance, now: float) -> None:
        self._loads.pop(instance.name, None)
        self._not_before[instance.name] = now + RETRY_PAUSE_SECONDS
