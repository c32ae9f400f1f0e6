"""Exchange cores without I/O: shares, attempts, versions, roll-out, health, discovery, streams."""

from __future__ import annotations

import random
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from milletcourse.admission.retry_budget import shared_retry_budget
from milletcourse.control.lease import LeaseTracker
from milletcourse.errors import FailureError
from milletcourse.exchange.attempts.attempt_plan import AttemptPlan, NextStep
from milletcourse.exchange.counting.load_window import MAX_DIVISOR, MIN_PARALLEL_LOADS, LoadWindow
from milletcourse.exchange.counting.weighted_choice import WeightedChoice
from milletcourse.exchange.load.load_sums import LoadSums
from milletcourse.exchange.messages.dialect import HeaderDialect, HeaderNames
from milletcourse.exchange.messages.event_stream import EventSplitter
from milletcourse.exchange.messages.messages import AttemptResult, Dispatch, HeaderField
from milletcourse.exchange.messages.peer_messages import (
    InstanceLoad,
    LoadScope,
    PeerMessage,
    ServerNotice,
    ServerState,
    decode_message,
    encode_message,
    short_key,
)
from milletcourse.exchange.messages.records import (
    ExchangeConfiguration,
    InstanceRecord,
    ModelTarget,
    RouteKind,
    RouteRecord,
    WeightedService,
)
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.exchange.placement.route_table import RouteTable
from milletcourse.exchange.replication.freshness import ProofOfFreshness, replication_times
from milletcourse.exchange.rollout.version_gate import VersionGate
from milletcourse.exchange.rollout.weight_rollout import (
    OrderReply,
    ServerReport,
    WeightOrder,
    WeightRollout,
)
from milletcourse.exchange.servers.instance_table import (
    REREGISTRATION_SECONDS,
    Instance,
    InstanceTable,
)
from milletcourse.exchange.servers.server_health import ServerHealth
from milletcourse.gateway.state.settings import GatewayBounds
from milletcourse.gateway.store.feed_client import FEED_TIMEOUT_MARGIN_SECONDS
from milletcourse.platform.documents import decode_configuration, read_settings

SOURCES = Path(__file__).parents[2] / "src" / "milletcourse"
MODEL = "model-1"
BOUND = 8.0


def route(name: str = "r", prefix: str = "/a/", **changes: object) -> RouteRecord:
    """A route with one service."""
    fields: dict[str, object] = {
        "name": name,
        "host": "site",
        "path_prefix": prefix,
        "kind": RouteKind.SAFE,
        "timeout_seconds": 3.0,
        "target_latency_seconds": 0.4,
        "priority": 1,
        "backends": (WeightedService("s"),),
        **changes,
    }
    return RouteRecord(**fields)  # type: ignore[arg-type]


def engine(name: str, version: int = 1) -> InstanceRecord:
    """A server of the model."""
    return InstanceRecord(name, "s", f"10.0.0.1:{len(name)}", weight_versions={MODEL: version})


# -- routes, shares, attempts -------------------------------------------------------------------


def test_longest_prefix_of_the_host_wins() -> None:
    """The order in the configuration doesn't matter."""
    routes = (route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", host="else"))
    table = RouteTable(ExchangeConfiguration(1, routes))
    found = table.find_route("site", "/a/b/c")
    assert found is not None and found.name == "long"
    found = table.find_route("site", "/a/x")
    assert found is not None and found.name == "short"
    assert table.find_route("site", "/b/") is None
    assert table.find_route("nowhere", "/a/") is None


@given(st.lists(st.integers(1, 90), min_size=2, max_size=4), st.integers(0, 1000))
def test_weighted_shares_hold_exactly_over_a_cycle(weights: list[int], seed: int) -> None:
    """Each service gets its weight in any whole cycle, plus or minus one."""
    backends = tuple(WeightedService(f"s{n}", float(weight)) for n, weight in enumerate(weights))
    choice = WeightedChoice(random.Random(seed))
    chosen = [choice.choose(route(backends=backends)) for _ in range(sum(weights))]
    for number, weight in enumerate(weights):
        assert abs(chosen.count(f"s{number}") - weight) <= 1


RESULTS = st.sampled_from(list(AttemptResult))


@given(st.booleans(), st.integers(1, 3), st.lists(RESULTS, max_size=8))
def test_attempts_never_run_more_often_than_allowed(
    repeatable: bool, max_attempts: int, results: list[AttemptResult]
) -> None:
    """Non-repeatable requests run at most once, others at most for the route's attempts."""
    plan = AttemptPlan(repeatable, max_attempts)
    possible_runs = 0
    for result in results:
        plan.on_send()
        possible_runs += result in (
            AttemptResult.LOST,
            AttemptResult.FAILED,
            AttemptResult.TRUNCATED,
        )
        plan.on_result(result)
        if plan.final_step(result) is NextStep.REFUSE:
            assert possible_runs == 0
        if result is AttemptResult.ANSWERED or not plan.may_retry(1.0):
            return
        allowed = max_attempts if repeatable else 1
        assert possible_runs < allowed or possible_runs == 0


@pytest.mark.parametrize("members", [3, 7, 59, 79, 420])
def test_many_members_share_a_retry_budget_that_each_can_spend(members: int) -> None:
    """All of them together stay within the bound, and each of them can retry."""
    ratio, slack, window = 0.2, 198.0, 10.0
    share = 0.8
    chooser = random.Random(members)
    budgets = [
        shared_retry_budget(0.0, ratio * share, slack * share, window, members)
        for _ in range(members)
    ]
    spent: list[float] = []
    requests: list[float] = []
    for step in range(40 * 15):
        now = step / 40
        for _ in range(8):
            budget = chooser.choice(budgets)
            budget.on_request()
            requests.append(now)
            if budget.try_retry(now):
                spent.append(now)
    in_window = sum(now >= 5.0 for now in spent)
    asked = sum(now >= 5.0 for now in requests)
    assert in_window <= ratio * asked + slack
    # The bound also covers the unspent budget, if all members spend it at once.
    at_once = sum(budget.try_retry(15.0) for budget in budgets for _ in range(100))
    assert in_window + at_once <= ratio * asked + slack
    assert in_window >= 0.5 * ratio * share * asked


def test_freshness_counts_from_when_the_call_was_sent() -> None:
    """A proof expires; without one, keys are not accepted."""
    proof = ProofOfFreshness(4.6, True, 2.0)
    assert not proof.allows_keys(0.0)
    proof.on_proof(10.0)
    proof.on_proof(9.0)
    assert proof.allows_keys(14.5)
    assert not proof.allows_keys(14.7)
    assert proof.allows_not_found(12.2)
    assert not proof.allows_not_found(12.4)
    assert ProofOfFreshness(4.6, False, 2.0).allows_keys(0.0)


@pytest.mark.parametrize(("key_bound", "config_apply"), [(4.6, 2.0), (1.6, 2.0), (4.6, 0.8)])
def test_proofs_in_normal_operation_stay_within_the_bounds(
    key_bound: float, config_apply: float
) -> None:
    """Twice the wait of a watch fits into the bounds of any deployment."""
    times = replication_times(key_bound, config_apply)
    proof = ProofOfFreshness(key_bound, True, times.steady_state_age)
    proof.on_proof(0.0)
    assert times.steady_state_age >= 2 * times.watch_wait + times.feed_hold
    assert proof.allows_keys(times.steady_state_age)
    assert proof.allows_not_found(times.steady_state_age)
    assert times.watch_wait <= config_apply / 4
    # A follower detects a silent reader, or one without the store, before a change is due.
    assert times.max_proof_age < config_apply
    assert times.feed_hold + FEED_TIMEOUT_MARGIN_SECONDS < config_apply


@pytest.mark.parametrize("duration", [1.0, 3.3])
def test_a_holder_stops_before_others_may_take_over(duration: float) -> None:
    """This also holds for short leases."""
    margin = min(1.0, duration / 3)
    holder = LeaseTracker("a", duration, margin)
    claim = holder.next_claim(0.0)
    assert claim is not None
    holder.on_written(claim, StorePosition(UNKNOWN_ERA, 1), 0.0)
    other = LeaseTracker("b", duration, margin)
    other.on_observed(claim.spec, StorePosition(UNKNOWN_ERA, 1), 0.0)
    assert holder.is_held(duration - margin - 0.01)
    assert not holder.is_held(duration - margin + 0.01)
    assert other.next_claim(duration - 0.01) is None
    taken = other.next_claim(duration + 0.01)
    assert taken is not None and taken.spec.fencing_token == claim.spec.fencing_token + 1


def test_bounds_are_read_in_seconds_and_missing_or_unknown_ones_are_ignored() -> None:
    """The content has integers, fractions, booleans, and unknown fields."""
    content = (
        b'{"NodeName":"n","Zone":"z","Ip":"1.2.3.4","Listen":{"Frontend":"1.2.3.4:1","Readiness":'
        b'"1.2.3.4:2"},"Platform":{"Address":"1.2.3.5:3"},"Novelty":[],"Bounds":{"RevokeMs":4000,'
        b'"FailClosed":false,"RetryBudgetRatio":0.3,"GraceS":6,"LeaseMs":null,"Strange":["x"]}}'
    )
    bounds = read_settings(content).bounds
    assert (bounds.revoke, bounds.fail_closed, bounds.grace) == (4.0, False, 6)
    assert (bounds.retry_ratio, bounds.lease) == (0.3, GatewayBounds().lease)


def test_unknown_kinds_of_routes_run_at_most_once() -> None:
    """An unknown field or value never prevents a configuration from being applied."""
    spec = (
        b'{"Version":3,"News":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","RouteType":'
        b'"keyed","TimeoutMs":100,"Service":"s","Novelty":{}}]}'
    )
    (found,) = decode_configuration(spec).routes
    assert found.kind is RouteKind.UNSAFE
    assert not found.repeatable


# -- discovery and health -----------------------------------------------------------------------


def test_missing_entries_are_unverified_only_while_the_store_is_unstable() -> None:
    """After the store's return they have two seconds to return, however long it was unavailable."""
    table = InstanceTable()
    table.replace_all([engine("a"), engine("b"), engine("c"), engine("d")], 0.0)
    table.remove("c", 0.0)
    assert table.get("c") is None
    table.on_store_failed()
    returned = 20.0
    table.expire_unverified(returned)
    table.on_store_reached(returned)
    table.replace_all([engine("d")], returned)
    assert set(table.of_service("s")) == {"a", "b", "d"}
    table.on_store_reached(returned + 1.0)
    table.expire_unverified(returned + 1.9)
    assert set(table.of_service("s")) == {"a", "b", "d"}
    table.upsert(engine("b"))
    table.expire_unverified(returned + REREGISTRATION_SECONDS)
    assert set(table.of_service("s")) == {"b", "d"}
    table.remove("d", returned + REREGISTRATION_SECONDS)
    assert set(table.of_service("s")) == {"b"}, "a stable store shows which entries were removed"


def test_a_draining_server_stays_removed_while_the_store_is_unavailable() -> None:
    """Its departure was acknowledged: store failures neither restore it nor make it unverified."""
    table = InstanceTable()
    table.replace_all([engine("a"), engine("b")], 0.0)
    table.upsert(msgspec.structs.replace(engine("a"), draining=True))
    table.on_store_failed()
    leaving = table.get("a")
    assert leaving is not None and leaving.record.draining
    table.remove("a", 1.0)
    table.remove("b", 1.0)
    assert table.get("a") is None
    assert set(table.of_service("s")) == {"b"}, "one that didn't announce it is only unverified"
    table.on_store_reached(9.0)
    table.expire_unverified(9.0 + REREGISTRATION_SECONDS)
    assert not table.of_service("s")


def test_a_terminated_incarnation_gets_nothing_while_its_entry_exists() -> None:
    """Lists that still show it change nothing; an entry that was written again reinstates it."""
    table = InstanceTable()
    table.replace_all([engine("a"), engine("b")], 0.0)
    assert table.terminate("a")
    assert not table.terminate("a")
    table.replace_all([engine("a"), engine("b")], 1.0)
    assert set(table.of_service("s")) == {"b"}
    assert [instance.name for instance in table] == ["b"]
    table.upsert(engine("a", 2))
    assert set(table.of_service("s")) == {"a", "b"}
    assert [instance.name for instance in table] == ["a", "b"]


def test_a_terminated_incarnation_is_never_unverified() -> None:
    """It is removed with its entry, even while the store is unstable."""
    table = InstanceTable()
    table.replace_all([engine("a"), engine("b")], 0.0)
    table.terminate("a")
    table.on_store_failed()
    table.replace_all([], 1.5)
    assert table.get("a") is None
    assert set(table.of_service("s")) == {"b"}


def test_the_newest_version_is_assumed_once_after_a_refused_version() -> None:
    """The newest version is tried; a second refusal drops the assumption."""
    instance = Instance(engine("a", 1))
    instance.on_version_refused(MODEL, 1, 3, 0.0)
    assert instance.version(MODEL) == 3
    instance.on_version_refused(MODEL, 3, 3, 0.0)
    assert instance.version(MODEL) == 1
    assert instance.health.is_busy(0.1)
    instance.update(engine("a", 2))
    assert instance.version(MODEL) == 2
    assert not instance.health.is_busy(0.1)


def test_ejection_allows_one_probe_and_ends_with_success() -> None:
    """An unreachable server is avoided, then probed by one request at a time."""
    health = ServerHealth()
    health.on_result(AttemptResult.NOT_SENT, 1.0)
    assert health.is_ejected(1.5)
    assert not health.is_ejected(1.9)
    health.on_dispatch(1.9)
    assert health.is_ejected(1.9)
    health.on_result(AttemptResult.ANSWERED, 2.0)
    health.on_result(AttemptResult.ANSWERED, 2.1)
    assert not health.is_ejected(2.1)


def test_failures_of_healthy_applications_do_not_eject() -> None:
    """Healthy applications may answer one request in seven with a failure of their own."""
    health = ServerHealth()
    for step in range(200):
        failed = step % 7 == 0
        health.on_result(AttemptResult.FAILED if failed else AttemptResult.ANSWERED, step * 0.1)
        assert not health.is_ejected(step * 0.1)


# -- weight versions ----------------------------------------------------------------------------


def test_older_versions_run_until_shortly_before_their_bound() -> None:
    """The bound runs from the first newer version, not from the newest."""
    gate = VersionGate(BOUND)
    gate.on_target(ModelTarget(MODEL, 1), 0.0)
    gate.on_target(ModelTarget(MODEL, 2), 10.0)
    gate.on_target(ModelTarget(MODEL, 3), 14.0)
    assert gate.permits(MODEL, 1, 16.9)
    assert not gate.permits(MODEL, 1, 17.1)
    assert gate.permits(MODEL, 2, 20.9)
    assert gate.permits(MODEL, 3, 100.0)
    assert 17.1 < gate.start_by(MODEL, 1) < 18.0
    gate.forget_before(40.0)
    assert not gate.permits(MODEL, 1, 40.0)


def test_a_started_gateway_uses_older_versions_only_briefly() -> None:
    """It can't know when the version that it finds was set."""
    gate = VersionGate(BOUND)
    gate.on_target(ModelTarget(MODEL, 2), 100.0, just_started=True)
    assert gate.permits(MODEL, 1, 102.0)
    assert not gate.permits(MODEL, 1, 103.0)


class Fleet:
    """Servers that carry out orders, some of which are lost or delayed."""

    LOAD_SECONDS = 0.7

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.gate = VersionGate(BOUND)
        self.rate = 0.0
        self.plan = WeightRollout(self.gate, lambda _: self.rate, lambda _: False, lambda _: False)
        self.instances = [Instance(engine(f"e{number:02}")) for number in range(size)]
        self.versions = {instance.name: 1 for instance in self.instances}
        self.sequences = dict.fromkeys(self.versions, 0)
        self.loading: dict[str, tuple[float, int]] = {}
        self.late: list[tuple[float, WeightOrder]] = []
        self.loads = 0
        self.max_parallel = 0
        self.loss_rate = 0.0
        self.unslowed_loads = size

    def set_version(self, version: int, now: float) -> None:
        """The operator sets a version."""
        self.gate.on_target(ModelTarget(MODEL, version), now)

    def take(self, order: WeightOrder, now: float) -> OrderReply:
        """A server receives an order."""
        name = order.instance
        if name in self.loading or self.sequences[name] != order.expected_sequence:
            return OrderReply.BUSY
        if self.versions[name] >= order.version:
            return OrderReply.ALREADY_LOADED
        self.sequences[name] += 1
        self.loads += 1
        slowed = max((len(self.loading) + 1) / self.unslowed_loads - 1.0, 0.0) * self.LOAD_SECONDS
        for other, (ends_at, version) in self.loading.items():
            self.loading[other] = (ends_at + slowed, version)
        self.loading[name] = (now + self.LOAD_SECONDS + slowed, order.version)
        self.max_parallel = max(self.max_parallel, len(self.loading))
        return OrderReply.ACCEPTED

    def tick(self, now: float) -> None:
        """A tenth of a second passes."""
        for name, (ends_at, version) in list(self.loading.items()):
            if now >= ends_at:
                del self.loading[name]
                self.versions[name] = version
        for at, order in list(self.late):
            if now >= at:
                self.late.remove((at, order))
                self.take(order, now)
        by_name = {instance.name: instance for instance in self.instances}
        for order in self.plan.next_orders(self.instances, now, "holder", 1):
            if self.random.random() < self.loss_rate:
                self.late.append((now + self.random.uniform(0.5, 6.0), order))
                reply = OrderReply.UNANSWERED
            else:
                reply = self.take(order, now)
            self.plan.on_reply(by_name[order.instance], reply, now)
        for instance in self.plan.due_polls(self.instances, now):
            name = instance.name
            report = ServerReport(
                {MODEL: self.versions[name]}, name in self.loading, self.sequences[name]
            )
            self.plan.on_report(instance, report, now)


@pytest.mark.parametrize(("size", "parallel"), [(6, 2), (12, 2), (18, 3)])
def test_roll_out_ends_before_the_bound_with_few_servers_at_a_time(
    size: int, parallel: int
) -> None:
    """It is late enough for one load to include a second version, with few servers at a time."""
    fleet = Fleet(size, 1)
    fleet.unslowed_loads = parallel
    fleet.set_version(1, 0.0)
    fleet.set_version(2, 1.0)
    for step in range(10, 100):
        now = step / 10
        if step == 25:
            fleet.set_version(3, now)
        fleet.tick(now)
        if now >= 1.0 + BOUND - 0.5:
            assert min(fleet.versions.values()) > 1
    assert fleet.max_parallel <= parallel
    assert fleet.loads < 2 * size


def test_a_roll_out_learns_how_many_servers_may_load_at_once() -> None:
    """It needs fewer rounds when loads don't slow each other, and never loads most servers."""
    fleet = Fleet(45, 1)
    fleet.rate = 6.0
    fleet.set_version(1, 0.0)
    fleet.set_version(2, 1.0)
    for step in range(10, 60):
        fleet.tick(step / 10)
    assert set(fleet.versions.values()) == {2}
    assert 7 < fleet.max_parallel <= 15


@given(st.lists(st.floats(0.01, 10.0), max_size=80), st.integers(1, 200))
def test_the_number_of_loads_at_once_stays_within_bounds(
    seconds: list[float], servers: int
) -> None:
    """This holds for any load times."""
    window = LoadWindow()
    for spent in seconds:
        window.on_load(spent)
        assert (
            MIN_PARALLEL_LOADS
            <= window.size(servers)
            <= max(MIN_PARALLEL_LOADS, servers // MAX_DIVISOR)
        )


@given(st.integers(0, 10_000))
def test_lost_and_late_orders_never_downgrade_a_server(seed: int) -> None:
    """Each server ends on the newest version, and versions only rise."""
    fleet = Fleet(6, seed)
    fleet.loss_rate = 0.4
    fleet.set_version(1, 0.0)
    before = dict(fleet.versions)
    for step in range(10, 300):
        now = step / 10
        if step in (10, 42, 74):
            fleet.set_version(2 + (step - 10) // 32, now)
        fleet.tick(now)
        assert all(fleet.versions[name] >= version for name, version in before.items())
        before = dict(fleet.versions)
    assert set(fleet.versions.values()) == {4}


# -- messages between gateways ------------------------------------------------------------------


def test_loads_of_senders_add_up_and_grow_stale() -> None:
    """The latest message of each sender counts until it expires; older ones don't."""
    sums = LoadSums(1.0)
    key = short_key("e-1")
    assert sums.on_report("a", 5, [InstanceLoad(key, 4000, 2, 1, 3)], 1.0)
    assert sums.on_report("b", 1, [InstanceLoad(key, 1000, 1, 0, 1)], 1.2)
    assert not sums.on_report("a", 4, [], 1.3)
    assert sums.load(key, 1.5) == InstanceLoad(key, 5000, 3, 1, 4)
    assert sums.on_report("a", 6, [], 1.6)
    assert sums.load(key, 1.7) == InstanceLoad(key, 1000, 1, 0, 1)
    assert sums.load(key, 2.5) is None
    assert sums.on_report("a", 1, [], 9.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.integers(0, 6),
            st.lists(st.tuples(st.integers(1, 3), st.integers(0, 50), st.integers(0, 3))),
            st.floats(0.0, 0.7),
        ),
        max_size=30,
    )
)
@example([("a", 0, [(1, 0, 0), (1, 0, 0)], 0.0), ("a", 1, [], 0.5)])
@example([("a", 0, [(1, 0, 0)], 0.0), ("b", 0, [(1, 0, 0)], 0.5), ("c", 0, [], 0.6)])
def test_sums_are_those_of_the_latest_messages(
    told: list[tuple[str, int, list[tuple[int, int, int]], float]],
) -> None:
    """Messages may arrive in any order, overtake each other, and become stale."""
    peers = LoadSums(1.0)
    latest: dict[str, tuple[int, float, list[tuple[int, int, int]]]] = {}
    now = 0.0
    for sender, sequence, loads, pause in told:
        now += pause
        latest = {name: item for name, item in latest.items() if now - item[1] < 1.0}
        known = latest.get(sender)
        newer = known is None or sequence > known[0]
        reported_loads = [InstanceLoad(*load) for load in loads]
        assert peers.on_report(sender, sequence, reported_loads, now) == newer
        if newer:
            latest[sender] = (sequence, now, loads)
        for key in (1, 2, 3):
            mine = [load for _, _, loads in latest.values() for load in loads if load[0] == key]
            load = peers.load(key, now) or InstanceLoad(key, 0, 0)
            assert load.waiting_tokens == sum(load[1] for load in mine)
            assert load.running == sum(load[2] for load in mine)


@given(st.binary(max_size=60))
def test_foreign_datagrams_are_dropped(data: bytes) -> None:
    """Arbitrary bytes are either a message or dropped."""
    message = decode_message(data)
    assert message is None or isinstance(message, PeerMessage)


def test_messages_survive_encoding() -> None:
    """The message has loads, notices and the lease flag."""
    notice = ServerNotice("e-1", MODEL, 2, ServerState.LOADING)
    message = PeerMessage("a", 7, [InstanceLoad(1, 2, 3)], [notice], LoadScope.ZONE, True)
    assert decode_message(encode_message(message)) == message


# -- streams and header fields ------------------------------------------------------------------


@given(st.integers(1, 8), st.lists(st.integers(1, 40), max_size=20))
def test_events_are_passed_whole_however_they_arrive(events: int, cuts: list[int]) -> None:
    """Nothing is lost or reordered, and each forwarded chunk ends with a complete event."""
    body = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(events))
    splitter = EventSplitter()
    passed = b""
    position = 0
    for cut in [*cuts, len(body)]:
        whole = splitter.feed(body[position : position + cut])
        assert not whole or whole.endswith(b"\n\n")
        passed += whole
        position += cut
    assert passed == body
    assert splitter.last_event_id == str(events - 1)


def test_fields_of_the_connection_and_of_the_router_are_not_forwarded() -> None:
    """Fields listed in Connection are dropped too; all others are forwarded unchanged."""
    dialect = HeaderDialect(HeaderNames())
    fields = [
        HeaderField(b"Host", b"site"),
        HeaderField(b"Milletcourse-Request-Id", b"id-1"),
        HeaderField(b"Connection", b"keep-alive, X-Hop"),
        HeaderField(b"X-Hop", b"1"),
        HeaderField(b"MILLETCOURSE-TENANT", b"forged"),
        HeaderField(b"Milletcourse-Key", b"secret"),
        HeaderField(b"X-Kept", b"1"),
    ]
    request = dialect.read_request(b"POST", b"/a/?q", fields, 0.0)
    request.body = b"body"
    head = dialect.request_head(request, Dispatch("i-1", 1.5, tenant="tenant-1"))
    assert b"X-Kept: 1\r\n" in head
    assert b"Milletcourse-Tenant: tenant-1\r\n" in head
    assert b"Content-Length: 4\r\n" in head
    for absent in (b"X-Hop", b"forged", b"secret", b"keep-alive"):
        assert absent not in head


@pytest.mark.parametrize("value", [b"-1", b"nan", b"inf", b"1e99", b"soon", b""])
def test_malformed_deadlines_are_refused(value: bytes) -> None:
    """The failure is typed."""
    fields = [
        HeaderField(b"Milletcourse-Request-Id", b"id-1"),
        HeaderField(b"Milletcourse-Deadline-Ms", value),
    ]
    with pytest.raises(FailureError):
        HeaderDialect(HeaderNames()).read_request(b"GET", b"/", fields, 0.0)


# -- the platform's names -----------------------------------------------------------------------

PLATFORM_NAMES = (
    "Expected-Instance|Expected-Version|Server-Signature|Not-Executed|Request-Id|Deadline-Ms|"
    "Api-Key|Prompt-Prefix|Token-Usage|Cache-Salt|Kv-Source|Kv-Target|Kv-From|Request-Priority|"
    "Weight-Versions|Instance-Id|PathPrefix|RouteType|MaxAttempts|ApiKeys|KvCapacity|KvStoreAddr|"
    "MILLETCOURSE_SETTINGS|WaitMs|/milletcourse/objects|/milletcourse/order|FencingToken|ColdRemainingMs"
)


def test_platform_names_occur_only_in_the_adapter() -> None:
    """The router has names of its own; similar ones start with the name of the router."""
    pattern = re.compile(rf"(?<![-\w])({PLATFORM_NAMES})(?!\w)")
    found = [
        f"{path.relative_to(SOURCES)}:{number}: {line.strip()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.relative_to(SOURCES).parts[0] != "platform"
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert not found
