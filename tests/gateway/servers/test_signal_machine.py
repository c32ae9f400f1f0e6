"""Signals of servers, sends, connections, restarts and lists in any order, against the documented
rules.

Two gateways know the same servers. A request is sent in two steps, as in the product: a server is
selected, and after the connection is established the last check is made before the bytes are sent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from answer_heads import bodyless_head
from milletcourse.exchange.limits.permit_retry_delays import PermitRetryDelays
from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.mechanisms import ALL_MECHANISMS
from milletcourse.exchange.messages.messages import AnswerHead, AttemptResult
from milletcourse.exchange.messages.records import InstanceRecord, ServiceRecord
from milletcourse.exchange.messages.signal_headers import (
    NO_BACK_OFF,
    NOT_LEAVING,
    BackOffHeader,
    LeavingHeader,
)
from milletcourse.exchange.placement.server_candidates import ServerCandidates
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.servers.instance_table import Instance, InstanceTable
from milletcourse.gateway.servers.server_permits import ServerPermits
from milletcourse.gateway.servers.signal_monitor import SignalMonitor
from milletcourse.gateway.telemetry.event_log import EventLog
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.gateway.telemetry.recorder import Recorder
from milletcourse.runtime.responsive_clock import ResponsiveClock

SERVICE = ServiceRecord("app")
NAMES = ("s-1", "s-2")
GATEWAYS = ("g-1", "g-2")
REST_SLACK_SECONDS = 0.5
MOST_IN_A_REST = 2


def answer_head(
    instance: str, status: int = 200, leaving: bool = False, rest: float | None = None
) -> AnswerHead:
    """The head of an answer that carries signals of its server."""
    found = bodyless_head(status, "r", instance, not_executed=status != 200)
    found.leaving = LeavingHeader(True) if leaving else NOT_LEAVING
    found.back_off = BackOffHeader(rest) if rest is not None else NO_BACK_OFF
    return found


class ModelGateway:
    """One gateway, made of the product's own components and checks."""

    def __init__(self, name: str, now: list[float]) -> None:
        self._now = now
        self.table = InstanceTable()
        self.signals = ServerSignals()
        pauses = PermitRetryDelays()
        record = Recorder(EventLog(name, None), MetricsSink(), dict, self.now)
        self.monitor = SignalMonitor(
            self.signals, pauses, self.table, record, lambda: None, lambda _: None
        )
        loads = LoadExchange(name, signals=self.signals)
        gate = VersionGate(8.0)
        self.candidates = ServerCandidates(self.table, gate, loads, ALL_MECHANISMS, pauses)
        self.permits = ServerPermits(
            name,
            self.signals,
            pauses,
            self.monitor.on_reports,
            random.Random(1),
            ResponsiveClock(),
            self.now,
            lambda: len(GATEWAYS),
            MetricsSink(),
            self.table,
            loads,
            lambda: False,
        )

    def now(self) -> float:
        """The time of the state machine."""
        return self._now[0]

    def choose(self) -> list[Instance]:
        """Servers that a request may go to."""
        return self.candidates.of_service(SERVICE, "", (), self.now())

    def may_go_out(self, instance: Instance) -> bool:
        """The last check."""
        permit = self.permits.without_limit(instance)
        return self.permits.blocking_cause(permit, instance) is None


@dataclass
class ReceivedSignals:
    """What one gateway received from one incarnation, as recorded by the state machine."""

    leaving_at: float | None = None
    rests: list[tuple[float, float]] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)


class SignalMachine(RuleBasedStateMachine):
    """Servers that send signals, and gateways that send requests to them."""

    gateway_type = ModelGateway

    def __init__(self) -> None:
        super().__init__()
        self.clock = [100.0]
        self.gateways = {name: self.gateway_type(name, self.clock) for name in GATEWAYS}
        self.started_ms = dict.fromkeys(NAMES, 1000)
        self.leaves = dict.fromkeys(NAMES, False)
        self.received: dict[tuple[str, str, int], ReceivedSignals] = {}
        self.connecting: list[tuple[str, Instance]] = []
        for gateway in GATEWAYS:
            for name in NAMES:
                self.list_shows(gateway, name, False)

    def of(self, gateway: str, instance: Instance) -> ReceivedSignals:
        """The record for one gateway and one incarnation."""
        key = (gateway, instance.name, instance.record.started_ms)
        return self.received.setdefault(key, ReceivedSignals())

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.clock[0] += seconds
        for gateway in self.gateways.values():
            present = {instance.key for instance in gateway.table}
            gateway.signals.expire(self.clock[0], lambda keys=present: keys)

    @rule(gateway=st.sampled_from(GATEWAYS), name=st.sampled_from(NAMES), draining=st.booleans())
    def list_shows(self, gateway: str, name: str, draining: bool) -> None:
        """The entry of a server is read, possibly an older one of the same incarnation."""
        record = InstanceRecord(
            name, "app", f"{name}:1", draining=draining, started_ms=self.started_ms[name]
        )
        here = self.gateways[gateway]
        here.table.upsert(record)
        instance = here.table.get(name)
        assert instance is not None
        if draining:
            received = self.of(gateway, instance)
            received.leaving_at = (
                received.leaving_at if received.leaving_at is not None else self.clock[0]
            )

    @rule(gateway=st.sampled_from(GATEWAYS), name=st.sampled_from(NAMES))
    def entry_goes(self, gateway: str, name: str) -> None:
        """A server's entry is removed from the list that a gateway sees."""
        self.gateways[gateway].table.remove(name, self.clock[0])

    @rule(name=st.sampled_from(NAMES))
    def server_restarts(self, name: str) -> None:
        """A server restarts under its name; entries show it later."""
        self.started_ms[name] += 1000
        self.leaves[name] = False
        self.connecting = [item for item in self.connecting if item[1].name != name]

    @rule(name=st.sampled_from(NAMES))
    def server_leaves(self, name: str) -> None:
        """A server is shutting down; from now on its answers signal it."""
        self.leaves[name] = True

    @rule(gateway=st.sampled_from(GATEWAYS), name=st.sampled_from(NAMES))
    def order_ends(self, gateway: str, name: str) -> None:
        """A server has loaded its weights."""
        instance = self.gateways[gateway].table.get(name)
        if instance is not None:
            instance.health.on_ready()

    @rule(
        gateway=st.sampled_from(GATEWAYS), pick=st.integers(0, 1), requests=st.sampled_from((1, 3))
    )
    def begin(self, gateway: str, pick: int, requests: int) -> None:
        """Requests are assigned to one of the servers that may be selected."""
        chosen = self.gateways[gateway].choose()
        if chosen:
            self.connecting += [(gateway, chosen[pick % len(chosen)])] * requests

    @precondition(lambda self: bool(self.connecting))
    @rule()
    def entry_says_leaving_while_connecting(self) -> None:
        """The signal arrives between the selection of a server and the send."""
        gateway, instance = self.connecting[-1]
        self.list_shows(gateway, instance.name, True)

    @rule(rest=st.one_of(st.none(), st.floats(0.5, 30.0)), stranger=st.booleans())
    def connection_is_up(self, rest: float | None, stranger: bool) -> None:
        """The request is sent if the last check allows it, and its server answers at once."""
        if not self.connecting:
            return
        gateway, instance = self.connecting.pop(0)
        here = self.gateways[gateway]
        if not here.may_go_out(instance):
            return
        received = self.of(gateway, instance)
        received.sent_at.append(self.clock[0])
        if stranger:
            # Another server has the address now, and its signals apply to that server only.
            head = answer_head("s-9", 421, leaving=True, rest=9.0)
            here.monitor.on_answer(instance, head, self.clock[0])
            return
        is_current = instance.record.started_ms == self.started_ms[instance.name]
        leaves = is_current and self.leaves[instance.name]
        status = 200 if rest is None else 503
        head = answer_head(instance.name, status, leaves, rest)
        here.monitor.on_answer(instance, head, self.clock[0])
        if rest is not None:
            instance.health.on_result(AttemptResult.REJECTED, self.clock[0])
            received.rests.append((self.clock[0], rest))
        if leaves and received.leaving_at is None:
            received.leaving_at = self.clock[0]

    @rule(sender=st.sampled_from(GATEWAYS))
    def gateways_tell(self, sender: str) -> None:
        """One gateway reports what it knows to the other."""
        reports = self.gateways[sender].signals.due_reports(self.clock[0], 0.0)
        for name, gateway in self.gateways.items():
            if name != sender:
                gateway.monitor.on_reports(reports, True)

    @invariant()
    def no_send_after_the_word(self) -> None:
        """A leaving server gets no request, although the rule allows some for a short time."""
        for received in self.received.values():
            if received.leaving_at is not None:
                assert all(at <= received.leaving_at for at in received.sent_at)

    @invariant()
    def rests_are_kept(self) -> None:
        """A gateway sends at most two requests to a server during its back-off."""
        for received in self.received.values():
            for start, seconds in received.rests:
                inside = [
                    at
                    for at in received.sent_at
                    if start + REST_SLACK_SECONDS < at < start + seconds
                ]
                assert len(inside) <= MOST_IN_A_REST

    @invariant()
    def who_said_nothing_is_used(self) -> None:
        """An incarnation that neither shuts down nor requested back-off is a candidate."""
        for name, gateway in self.gateways.items():
            chosen = {instance.name for instance in gateway.choose()}
            for instance in gateway.table:
                if not self._has_signal(name, instance):
                    assert instance.name in chosen

    def _has_signal(self, gateway: str, instance: Instance) -> bool:
        records = [
            received
            for (_, name, started_ms), received in self.received.items()
            if (name, started_ms) == (instance.name, instance.record.started_ms)
        ]
        rests = self.of(gateway, instance).rests
        is_backing_off = any(self.clock[0] < start + seconds for start, seconds in rests)
        return is_backing_off or any(received.leaving_at is not None for received in records)


FIND_ONLY = (Phase.generate,)
SETTINGS = settings(max_examples=120, stateful_step_count=40)
SignalMachine.TestCase.settings = SETTINGS
TestSignals = SignalMachine.TestCase


class FallsBackGateway(ModelGateway):
    """Known defect: when all servers refuse requests by signal, it sends to them anyway."""

    def choose(self) -> list[Instance]:
        """Servers that a request may go to."""
        return super().choose() or self.candidates.allowed(SERVICE, "", (), self.now())

    def may_go_out(self, instance: Instance) -> bool:
        """The last check."""
        return True


class SkipsTheLastCheckGateway(ModelGateway):
    """Known defect: signals that arrive while connecting are ignored."""

    def may_go_out(self, instance: Instance) -> bool:
        """The last check."""
        return True


class KeepsWordsByNameGateway(ModelGateway):
    """Known defect: a signal outlives the incarnation that sent it."""

    def __init__(self, name: str, now: list[float]) -> None:
        super().__init__(name, now)
        self.table.on_restarted = lambda before: self.signals.on_leaving(
            self._next_key(before), now[0]
        )

    def _next_key(self, before: Instance) -> int:
        known = self.signals.record(before.key)
        after = Instance(
            InstanceRecord(before.name, "app", "", started_ms=before.record.started_ms + 1000)
        )
        return after.key if known is not None and known.is_leaving else 0


class EndsRestsWithOrdersGateway(ModelGateway):
    """Known defect: new weights end a requested back-off."""

    def choose(self) -> list[Instance]:
        """Servers that a request may go to."""
        return [item for item in self.table if not item.health.is_busy(self.now())]

    def may_go_out(self, instance: Instance) -> bool:
        """The last check."""
        return True


MUTANTS = (
    FallsBackGateway,
    SkipsTheLastCheckGateway,
    KeepsWordsByNameGateway,
    EndsRestsWithOrdersGateway,
)


SEARCH = settings(SETTINGS, max_examples=1000, phases=FIND_ONLY)


def machine_with(gateway: type[ModelGateway]) -> type[SignalMachine]:
    """The state machine with another type of gateway."""
    return type(gateway.__name__, (SignalMachine,), {"gateway_type": gateway})


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_gateway_with_a_known_defect_is_found(mutant: type[ModelGateway]) -> None:
    """Each defect violates a rule or leaves a healthy server unused."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_with(mutant), settings=SEARCH)
