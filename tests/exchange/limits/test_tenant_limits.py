"""Tenant limits hold over all gateways together, whatever happens to gateways and messages."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from gateway_harness import Harness, run_with_gateway
from gateway_standin import ReceivedRequest, StandinServer, answer, configuration, serve_whole
from milletcourse.cli.experiment import parse_sizes
from milletcourse.errors import FailureError
from milletcourse.exchange.counting.recent_use import RATE_WINDOW_SECONDS, RecentUse
from milletcourse.exchange.limits.peer_usage import SummedPeerUsage, UsageSource
from milletcourse.exchange.limits.shared_bucket import INITIAL_FILL_SECONDS
from milletcourse.exchange.limits.tenant_limits import MAX_WAIT_SECONDS, TenantLimits
from milletcourse.exchange.load.load_exchange import TICK_SECONDS, LoadExchange
from milletcourse.exchange.messages.messages import ExchangeRequest
from milletcourse.exchange.messages.peer_messages import TenantUse, decode_message, encode_message
from milletcourse.exchange.messages.records import (
    LimitTolerance,
    LimitUnit,
    TenantLimit,
    TenantRecord,
)
from milletcourse.experiments.limit_model import LIMIT_PER_SECOND, TOLERANCE, LimitModel, Trouble
from milletcourse.experiments.limit_strategies import EqualShares, Strategy
from milletcourse.platform.documents import decode_configuration

RATE = 1000.0


def _request(tokens: int, declares: bool = True) -> ExchangeRequest:
    return ExchangeRequest(
        b"POST", b"/", "h", [], b"", "id", "", None, "", "m", (), tokens, 0, 0.0, declares
    )


def _tenant(unit: LimitUnit = LimitUnit.TOKENS, rate: float = RATE) -> TenantRecord:
    return TenantRecord("tenant-1", limit=TenantLimit(rate, rate, unit, 200))


def _alone() -> SummedPeerUsage:
    """Usage source of a single gateway."""
    return SummedPeerUsage(LoadExchange("gateway-1"), lambda: 1)


def _limits(tenant: TenantRecord) -> TenantLimits:
    limits = TenantLimits(_alone(), LimitTolerance())
    limits.configure([tenant], 0.0)
    return limits


# -- one gateway --------------------------------------------------------------------------------


def test_a_tenant_over_its_limit_gets_the_time_to_retry() -> None:
    """Within its limit it is never refused; the bucket holds at most the burst."""
    tenant = _tenant()
    limits = _limits(tenant)
    for step in range(1, 40):
        limits.tick(step * 0.1)
    assert limits.try_spend(tenant, _request(2500), 4.0) is None
    wait = limits.try_spend(tenant, _request(100), 4.0)
    assert wait == pytest.approx(1.5)
    assert limits.try_spend(tenant, _request(100), 4.9) is not None
    assert limits.try_spend(tenant, _request(100), 5.6) is None


def test_refused_requests_get_increasing_retry_times() -> None:
    """Each includes the use of the requests before it, up to the longest time a client waits."""
    tenant = _tenant()
    limits = _limits(tenant)
    assert limits.try_spend(tenant, _request(2000), 1.0) is None
    waits = [limits.try_spend(tenant, _request(500), 1.0) for _ in range(12)]
    assert waits[:3] == pytest.approx([1.0, 1.5, 2.0])
    assert max(wait for wait in waits if wait is not None) <= MAX_WAIT_SECONDS


@pytest.mark.parametrize(
    ("unit", "declares", "units"),
    [
        (LimitUnit.TOKENS, True, 700.0),
        (LimitUnit.TOKENS, False, 200.0),
        (LimitUnit.REQUESTS, True, 1.0),
    ],
)
def test_requests_count_in_the_unit_of_the_limit(
    unit: LimitUnit, declares: bool, units: float
) -> None:
    """A request counts its declared tokens, the default if it declares none, or one."""
    tenant = _tenant(unit)
    limits = _limits(tenant)
    assert limits.try_spend(tenant, _request(700 if declares else 0, declares), 5.0) is None
    assert limits.tick(5.0)[0].per_second == units / RATE_WINDOW_SECONDS


def test_requests_that_no_server_ran_are_refunded_and_each_further_run_counts() -> None:
    """The limit bounds runs, not requests."""
    tenant = _tenant()
    limits = _limits(tenant)
    request = _request(400)
    for runs, left in ((0, 500.0), (1, 100.0), (2, -700.0)):
        assert limits.try_spend(tenant, request, 0.0) is None
        limits.settle(tenant, request, runs, 0.0)
        reported = limits.tick(0.0)
        assert (
            sum(use.per_second for use in reported) * RATE_WINDOW_SECONDS
            == INITIAL_FILL_SECONDS * RATE - left
        )


def test_tenants_without_a_limit_cost_nothing() -> None:
    """They need neither an account nor reports; a limit that is removed ends at once."""
    tenant = _tenant()
    free = TenantRecord("tenant-1")
    limits = _limits(tenant)
    assert limits.try_spend(tenant, _request(9000), 1.0) is None
    assert limits.try_spend(tenant, _request(1), 1.0) is not None
    limits.configure([free], 1.0)
    for _ in range(50):
        assert limits.try_spend(free, _request(9000), 1.0) is None
    assert limits.tick(1.0) == []


def test_reported_use_adds_up_to_the_spent_units() -> None:
    """It is exact to within one message, whatever the times of reports and of use."""
    use = RecentUse()
    reported = 0.0
    source = random.Random(3)
    spent = 0
    for tick in range(2000):
        now = tick * TICK_SECONDS
        if tick < 1900 and source.random() < 0.3:
            units = source.randint(1, 9000)
            use.add(units, now + source.random() * TICK_SECONDS * 0.99)
            spent += units
        reported += use.per_second(now + TICK_SECONDS) * TICK_SECONDS
    assert reported == pytest.approx(spent, rel=0.05)


@pytest.mark.parametrize(("factor", "most"), [(1.05, 1.051), (4.0, 1.06)])
def test_a_fraction_of_the_tolerance_is_granted_to_tenants_slightly_over_their_limit(
    factor: float, most: float
) -> None:
    """A tenant slightly over its limit is served fully, one far over it is held to the limit."""
    tenant = _tenant()
    limits = TenantLimits(_alone(), LimitTolerance(WINDOW_SECONDS, OVERAGE, 0.0))
    limits.configure([tenant], 0.0)
    asked = admitted = 0.0
    for step in range(4000):
        now = step * 0.01
        limits.tick(now)
        while asked < factor * RATE * now:
            asked += 100
            admitted += 100 if limits.try_spend(tenant, _request(100), now) is None else 0
    assert admitted / (RATE * 40.0) == pytest.approx(min(factor, most), abs=0.04)


def test_a_limited_tenant_is_reported_to_operators_once_a_second() -> None:
    """The report has the tenant, its limit, its use and the number of refusals."""
    tenant = _tenant()
    limits = _limits(tenant)
    limits.try_spend(tenant, _request(2000), 0.0)
    for step in range(40):
        limits.try_spend(tenant, _request(10), 0.01 + step * 0.01)
    (report,) = limits.due_reports(0.41)
    assert (report.tenant, report.per_second, report.refused) == ("tenant-1", RATE, 40)
    limits.try_spend(tenant, _request(10), 0.6)
    assert limits.due_reports(0.9) == []
    assert limits.due_reports(1.42)[0].refused == 1


# -- many gateways ------------------------------------------------------------------------------


@pytest.mark.parametrize("gateways", [8, 79])
def test_a_tenant_within_its_limit_is_served_fully(gateways: int) -> None:
    """Its clients use gateways unevenly; equal shares of the limit would refuse many requests."""
    assert LimitModel(Strategy.SUMMED_USAGE, Trouble.USUAL, gateways, 1).run().admitted >= 0.999
    if gateways > 8:
        assert LimitModel(Strategy.EQUAL_SHARES, Trouble.USUAL, gateways, 1).run().admitted < 0.95


@pytest.mark.parametrize(
    "trouble", [Trouble.HOT, Trouble.HOT_AND_CUT, Trouble.HOT_AND_RESTARTED, Trouble.LOWERED]
)
def test_a_hot_tenant_stays_within_the_bound(trouble: Trouble) -> None:
    """It gets most of its limit, partitioned gateways their share; without limits a multiple."""
    figures = LimitModel(Strategy.SUMMED_USAGE, trouble, 79, 2).run()
    assert figures.over <= 1.0 + TOLERANCE.overage + TOLERANCE.slack / LIMIT_PER_SECOND / 9
    assert figures.admitted >= 0.75
    assert LimitModel(Strategy.NONE, trouble, 79, 2).run().over > 2.0


WINDOW_SECONDS = 8.0
OVERAGE = 0.1
SLACK_SECONDS = 0.4
"""Slack beyond the bound, in seconds of the rate, as for a large tenant."""
APPLY_SECONDS = 3.0
GATEWAYS = 6
MAX_REQUEST = 30
"""In thousandths of the rate: the ratio of the users' longest prompts to a large tenant's limit."""
MAX_DEMAND = 3.0
"""As a multiple of the limit. Requests within the delay of reports may exceed the bound, so demand
must be bounded."""


def _summed(loads: LoadExchange) -> UsageSource:
    return SummedPeerUsage(loads, lambda: GATEWAYS)


def _whole_limit_each(loads: LoadExchange) -> UsageSource:
    """Ignores the use of the others: the fault that the state machine must find."""
    return EqualShares(1)


class BoundMachine(RuleBasedStateMachine):
    """Gateways that join, are partitioned, restart, and get other limits, under varying demand."""

    knowledge: Callable[[LoadExchange], UsageSource] = staticmethod(_summed)

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.random = random.Random(7)
        self.names = [f"g{number}" for number in range(GATEWAYS)]
        self.partitioned: set[str] = set()
        self.tenant = _tenant()
        self.rates: deque[tuple[float, float]] = deque([(float("-inf"), RATE)])
        self.admitted: deque[tuple[float, float]] = deque()
        self.loads: dict[str, LoadExchange] = {}
        self.limits: dict[str, TenantLimits] = {}
        self.skew = dict.fromkeys(self.names, 1.0)
        for name in self.names:
            self._start(name)
        self._run(1.0, 0.0)

    def _start(self, name: str) -> None:
        loads = LoadExchange(name)
        loads.set_gateways([other for other in self.names if other != name], self.names[:1])
        self.loads[name] = loads
        self.limits[name] = TenantLimits(
            self.knowledge(loads), LimitTolerance(WINDOW_SECONDS, OVERAGE, SLACK_SECONDS * RATE)
        )
        self.limits[name].configure([self.tenant], self._clock(name))

    def _clock(self, name: str) -> float:
        """A gateway's own clock, whose rate may be wrong."""
        return self.now * self.skew[name]

    def _run(self, seconds: float, demand: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self._send_requests(demand * RATE * TICK_SECONDS)
            for name in self.names:
                self._report(name)

    def _send_requests(self, tokens: float) -> None:
        while tokens > 0.0:
            size = self.random.randint(1, MAX_REQUEST)
            tokens -= size
            name = self.random.choice(self.names)
            spent = self.limits[name].try_spend(self.tenant, _request(size), self._clock(name))
            if spent is None:
                self.admitted.append((self.now, size))

    def _report(self, name: str) -> None:
        clock = self._clock(name)
        reader = "" if name == self.names[0] else self.names[0]
        uses = self.limits[name].tick(clock)
        for outgoing in self.loads[name].tick(clock, [], reader, uses):
            for receiver in outgoing.receivers:
                if not {name, receiver} & self.partitioned:
                    self.loads[receiver].on_message(outgoing.message, self._clock(receiver))

    @rule(seconds=st.floats(0.5, 3.0), demand=st.floats(0.0, MAX_DEMAND))
    def go_on(self, seconds: float, demand: float) -> None:
        """Time passes under some demand."""
        self._run(seconds, demand)

    @rule(number=st.integers(0, GATEWAYS - 1))
    def cut_or_heal(self, number: int) -> None:
        """A gateway is partitioned from the others, or reaches them again."""
        self.partitioned ^= {self.names[number]}

    @rule(number=st.integers(0, GATEWAYS - 1))
    def restart(self, number: int) -> None:
        """A gateway loses its state."""
        self._start(self.names[number])

    @rule()
    def restart_all(self) -> None:
        """All gateways lose power at once; a process takes some time to start."""
        self.now += 0.6
        for name in self.names:
            self._start(name)

    @rule(factor=st.sampled_from([0.3, 0.6, 1.0]))
    def change_limit(self, factor: float) -> None:
        """The operator configures another limit, never above the first."""
        self.tenant = _tenant(rate=RATE * factor)
        self.rates.append((self.now, RATE * factor))
        for name in self.names:
            self.limits[name].configure([self.tenant], self._clock(name))

    @rule(number=st.integers(0, GATEWAYS - 1), skew=st.sampled_from([0.995, 1.0, 1.005]))
    def restart_with_another_clock(self, number: int, skew: float) -> None:
        """A machine whose clock runs a little fast or slow takes a gateway's place."""
        self.skew[self.names[number]] = skew
        self._start(self.names[number])

    @invariant()
    def within_the_bound(self) -> None:
        """The bound holds in every window up to now."""
        while self.admitted and self.now - self.admitted[0][0] > WINDOW_SECONDS:
            self.admitted.popleft()
        used = sum(size for _, size in self.admitted)
        rate = self._rate_in_force()
        bound = rate * (WINDOW_SECONDS + 1.0) * (1.0 + OVERAGE) + SLACK_SECONDS * RATE
        assert used <= bound, f"{used} over {bound} at {self.now}"

    def _rate_in_force(self) -> float:
        """The highest rate still in force: a lower one counts one window after it is applied."""
        since = self.now - 2 * WINDOW_SECONDS - APPLY_SECONDS
        begins = [at for at, _ in self.rates]
        return max(
            rate
            for (_, rate), ends in zip(self.rates, [*begins[1:], float("inf")], strict=True)
            if ends > since
        )


class GrantsWholeMachine(BoundMachine):
    """A broken variant: each gateway grants the whole limit."""

    knowledge = staticmethod(_whole_limit_each)


RUNS = settings(max_examples=40, stateful_step_count=25, deadline=None)
SEARCH = settings(RUNS, max_examples=400, phases=(Phase.explicit, Phase.generate))
"""Shrinking is off: a minimal example of a known fault isn't needed, and takes minutes to find."""


def test_the_bound_holds_whatever_happens_to_gateways() -> None:
    """This covers joins, partitions, restarts, clocks of wrong rate, and changed limits."""
    run_state_machine_as_test(BoundMachine, settings=RUNS)  # type: ignore[no-untyped-call]


def test_the_machine_finds_gateways_that_each_grant_the_whole() -> None:
    """The state machine detects the broken variant."""
    with pytest.raises(AssertionError, match="over"):
        run_state_machine_as_test(GrantsWholeMachine, settings=SEARCH)  # type: ignore[no-untyped-call]


def test_use_survives_encoding() -> None:
    """The message carries the use and the number of gateways that it covers."""
    loads = LoadExchange("a")
    loads.set_gateways(["b"], [])
    (outgoing,) = loads.tick(5.0, [], "b", [TenantUse(7, 1200)])
    message = decode_message(encode_message(outgoing.message))
    assert message is not None
    assert message.uses == [TenantUse(7, 1200)]
    assert message.gateways == 1


@pytest.mark.parametrize("text", ["", "8,", "-3", "0", "many", "8;79"])
def test_malformed_sizes_are_refused_with_what_is_allowed(text: str) -> None:
    """The failure is typed, and the command line shows it in one line."""
    with pytest.raises(FailureError) as caught:
        parse_sizes(text)
    assert caught.value.failure.code == "invalid-object"
    assert parse_sizes("8, 79") == [8, 79]


# -- the platform's configuration, and a whole gateway ------------------------------------------


@pytest.mark.parametrize(
    ("fields", "limit", "is_void"),
    [
        ({"RatePerS": 50, "Burst": 70, "Unit": "tokens", "UncachedTokens": 200}, 50.0, False),
        ({"RatePerS": 0, "Burst": 70}, None, False),
        ({}, None, False),
        ({"RatePerS": -1}, None, True),
        ({"RatePerS": "many"}, None, True),
        ({"RatePerS": True}, None, True),
        ({"RatePerS": 5, "Burst": -2}, None, True),
        ({"RatePerS": 5, "UncachedTokens": None}, None, True),
        ({"RatePerS": 5, "Unit": "furlongs"}, None, True),
        ({"RatePerS": 5, "Unit": ["tokens"]}, None, True),
    ],
)
def test_limits_are_read_and_an_invalid_one_affects_nothing_else(
    fields: dict[str, object], limit: float | None, is_void: bool
) -> None:
    """A tenant with an invalid limit is served without one, and the problem is reported."""
    tenant = {"Name": "tenant-1", "ApiKeys": ["key-1"], **fields}
    document = configuration(Tenants=[tenant])
    (read,) = decode_configuration(json.dumps(document).encode()).tenants
    assert (read.limit.per_second if read.limit else None) == limit
    assert bool(read.limit_problem) == is_void
    assert read.keys == ("key-1",)


async def _start_limited(harness: Harness, **limit: object) -> None:
    """Start a gateway and wait until the limit is applied."""
    await harness.start()
    tenant = {"Name": "tenant-1", "ApiKeys": ["key-1"], "Unit": "tokens", **limit}
    harness.store.put("config", "main", configuration(2, Tenants=[tenant]))
    node = harness.node
    assert node is not None
    await harness.until(lambda: bool(node.context.tenant_limits.names()))


def test_over_the_limit_a_gateway_answers_429_and_sends_nothing() -> None:
    """The answer has a retry time; requests within the limit are served as usual."""

    async def scenario(harness: Harness) -> None:
        server = await harness.add_server("app-1", "app", serve_whole)
        await _start_limited(harness, RatePerS=100, Burst=100, UncachedTokens=60)
        client = await harness.client()
        answers = [await client.ask("/safe/", f"id-{number}") for number in range(8)]
        statuses = [answer.status for answer in answers]
        assert statuses[0] == 200
        assert set(statuses) == {200, 429}
        assert len(server.received) == statuses.count(200)
        refused = next(answer for answer in answers if answer.status == 429)
        assert 0.0 < float(refused.headers["retry-after"]) <= MAX_WAIT_SECONDS + 1.0
        assert b"tenant-limit-exceeded" in refused.body

    run_with_gateway(scenario)


def test_a_request_that_no_server_ran_uses_nothing_of_the_limit() -> None:
    """A request that every server rejects is refused as not run, and its units are refunded."""

    async def reject(
        _: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        fields = {"Request-Id": request.request_id, "Not-Executed": "1"}
        writer.write(answer(503, b"", fields))

    async def scenario(harness: Harness) -> None:
        await harness.add_server("app-1", "app", reject)
        await _start_limited(harness, RatePerS=1, Burst=1, UncachedTokens=500)
        client = await harness.client()
        for number in range(5):
            assert (await client.ask("/safe/", f"id-{number}")).status == 503

    run_with_gateway(scenario)
