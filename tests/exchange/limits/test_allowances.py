"""Units of an allowance that gateways lend each other, and the words of servers behind it."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from milletcourse.exchange.limits.allowance_homes import (
    FIRST_SILENCE_SECONDS,
    MAX_SILENCE_SECONDS,
    AllowanceHomes,
)
from milletcourse.exchange.limits.allowance_lender import (
    BURST_UNITS,
    DEPUTY_BURST_UNITS,
    MAX_ACCOUNTS,
    AllowanceLender,
    Standing,
    UnitReply,
)
from milletcourse.exchange.limits.ask_pauses import MAX_PROMISE_SECONDS, AskPauses
from milletcourse.exchange.load.server_signals import (
    MAX_RECORDS,
    MAX_REPORTS_PER_MESSAGE,
    PROBE_INTERVAL_SECONDS,
    REPORT_REPEATS,
    ServerSignals,
)
from milletcourse.exchange.load.signal_record import TOMBSTONE_SECONDS, LimitChange
from milletcourse.exchange.messages.peer_messages import (
    PeerMessage,
    SignalReport,
    decode_message,
    encode_message,
)
from milletcourse.exchange.messages.quota_messages import (
    PermitMessage,
    PermitStep,
    decode_permit_message,
    encode_permit_message,
    is_permit_message,
)
from milletcourse.exchange.messages.signal_headers import (
    MAX_LIMIT_PER_SECOND,
    MAX_LOGGED_BYTES,
    NO_LIMIT,
    read_limit,
)
from milletcourse.experiments.allowance_model import WINDOW_SECONDS
from milletcourse.experiments.sliding_window import most_in_window

KEY = 7


# -- what a server says ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("values", "per_second"),
    [
        ([b"1.1"], 1.1),
        ([b" 3 "], 3.0),
        ([b"0"], 0.0),
        ([b".5"], 0.5),
        ([b"2."], 2.0),
        ([b"4", b" 4"], 4.0),
        ([b"9" * 30], MAX_LIMIT_PER_SECOND),
    ],
)
def test_a_limit_is_a_decimal_number(values: list[bytes], per_second: float) -> None:
    """Two fields that say the same are one."""
    assert read_limit(values).per_second == per_second
    assert not read_limit(values).unreadable


@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"-1"],
        [b"nan"],
        [b"inf"],
        [b"1e308"],
        [b"9" * 300],
        [b"1", b"2"],
        [b"1,2"],
        [b"\xff"],
    ],
)
def test_what_is_no_limit_is_not_believed(values: list[bytes]) -> None:
    """It is shown to operators in a few bytes."""
    reading = read_limit(values)
    assert reading.per_second is None
    assert 0 < len(reading.unreadable) <= MAX_LOGGED_BYTES


def test_no_field_is_no_limit() -> None:
    """As most servers answer."""
    assert read_limit([]) == NO_LIMIT


# -- the newest word holds ------------------------------------------------------------------------


class HeardWords(RuleBasedStateMachine):
    """One server that names limits, heard here and by another gateway, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.limits = ServerSignals()
        self.newest: tuple[float, float | None] | None = None
        self.words: list[tuple[float, float | None]] = []

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds: float) -> None:
        """Time goes by."""
        self.now += seconds

    @rule(per_second=st.floats(0.0, 50.0))
    def answer_names(self, per_second: float) -> None:
        """An answer here names a limit."""
        self.limits.on_answer(KEY, per_second, self.now, self.now)
        self.newest = (self.now, per_second)

    @rule(sent_before=st.floats(0.0, 5.0))
    def answer_names_none(self, sent_before: float) -> None:
        """An answer here to a request of some time ago names none."""
        sent_at = self.now - sent_before
        self.limits.on_answer(KEY, None, sent_at, self.now)
        if self.newest is not None and sent_at > self.newest[0]:
            self.newest = (self.now, None)

    @rule(per_second=st.one_of(st.none(), st.floats(0.0, 50.0)), ms=st.integers(0, 9000))
    def told(self, per_second: float | None, ms: int) -> None:
        """Another gateway tells what it heard some time ago."""
        self.limits.merge([SignalReport(KEY, per_second, ms)], self.now, relay=True)
        said_at = self.now - ms / 1000.0
        if self.newest is None or said_at > self.newest[0]:
            self.newest = (said_at, per_second)

    @invariant()
    def newest_word_holds(self) -> None:
        """Whoever told it."""
        expected = self.newest[1] if self.newest is not None else None
        assert self.limits.per_second(KEY) == expected


HeardWords.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestHeardWords = HeardWords.TestCase


def test_changes_are_told_some_times_and_what_holds_again_later() -> None:
    """Gateways that start later hear it too."""
    limits = ServerSignals()
    assert limits.on_answer(KEY, 2.0, 0.0, 0.0) is LimitChange.ADDED
    told = [limits.due_reports(0.1 * number, 1.0) for number in range(REPORT_REPEATS + 1)]
    assert [len(words) for words in told] == [1] * REPORT_REPEATS + [0]
    assert not limits.has_updates
    assert limits.due_reports(1.3, 1.0) == [SignalReport(KEY, 2.0, 1300)]
    limits.on_answer(KEY, 2.0, 1.4, 1.4)
    assert not limits.has_updates
    assert limits.on_answer(KEY, None, 1.5, 1.5) is LimitChange.REMOVED
    assert limits.has_updates


def test_an_end_is_remembered_for_a_while_only() -> None:
    """Older words of it don't bring it back; after that it costs no memory."""
    limits = ServerSignals()
    limits.on_answer(KEY, 2.0, 0.0, 0.0)
    limits.on_answer(KEY, None, 1.0, 1.0)
    limits.merge([SignalReport(KEY, 2.0, 1500)], 2.0, relay=False)
    assert limits.per_second(KEY) is None
    limits.expire(TOMBSTONE_SECONDS + 2.0, lambda: {KEY})
    assert not limits.due_reports(TOMBSTONE_SECONDS + 2.0, 0.0)


def test_what_servers_said_that_are_gone_is_forgotten() -> None:
    """It was told each second for ever; a server that nobody asks keeps its limit."""
    limits = ServerSignals()
    limits.on_answer(KEY, 2.0, 0.0, 0.0)
    limits.on_answer(KEY + 1, 2.0, 0.0, 0.0)
    limits.expire(TOMBSTONE_SECONDS - 1.0, set)
    assert limits.per_second(KEY) == 2.0
    limits.expire(TOMBSTONE_SECONDS + 1.0, lambda: {KEY + 1})
    assert limits.per_second(KEY) is None
    assert limits.per_second(KEY + 1) == 2.0


def test_what_is_known_and_told_is_bounded() -> None:
    """However many servers peers make up."""
    limits = ServerSignals()
    words = [SignalReport(key, 1.0, 0) for key in range(MAX_RECORDS + 100)]
    limits.merge(words, 10.0, relay=True)
    assert len(limits.limited()) == MAX_RECORDS
    assert len(limits.due_reports(10.0, 1.0)) == MAX_REPORTS_PER_MESSAGE
    assert len(limits.latest_reports(10.0)) == MAX_REPORTS_PER_MESSAGE


def test_a_server_that_takes_nothing_is_asked_once_in_a_while() -> None:
    """Nothing but its answers tells that it takes requests again."""
    limits = ServerSignals()
    limits.on_answer(KEY, 0.0, 0.0, 0.0)
    assert limits.send_rate(KEY) == 1.0 / PROBE_INTERVAL_SECONDS


@pytest.mark.parametrize("per_second", [-1.0, 1e300])
def test_absurd_words_of_peers_are_refused(per_second: float) -> None:
    """As bytes that are no message."""
    message = PeerMessage("g1", 1, signals=[SignalReport(KEY, per_second, 0)])
    assert decode_message(encode_message(message)) is None


# -- lending --------------------------------------------------------------------------------------


class AskingGateways:
    """Gateways that ask one lender whenever they may."""

    def __init__(self, per_second: float, gateways: int, demand: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.per_second = per_second
        self.lender = AllowanceLender(self.random)
        self.names = [f"g{number}" for number in range(gateways)]
        self.pauses = {name: AskPauses() for name in self.names}
        self.demand = demand
        self.granted: list[float] = []
        self.asks = 0

    def run(self, seconds: float) -> None:
        """Requests come at random, at gateways that have uneven parts of them."""
        weights = [self.random.random() + 0.05 for _ in self.names]
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(self.demand)
            name = self.random.choices(self.names, weights)[0]
            self.request(name, now)

    def request(self, name: str, now: float) -> None:
        """A request at a gateway wants to go to the server."""
        if self.pauses[name].is_paused(KEY, now):
            return
        self.asks += 1
        reply = self.lender.ask(KEY, self.per_second, Standing.HOME, len(self.names), name, 0, now)
        if reply.granted:
            self.granted.append(now)
        else:
            self.pauses[name].on_denied(KEY, reply, self.per_second, now)


@pytest.mark.parametrize("gateways", [1, 5, 79, 420])
@pytest.mark.parametrize("per_second", [0.3, 1.0, 1.1, 8.0, 40.0])
def test_what_is_lent_keeps_to_the_allowance_and_uses_it(per_second: float, gateways: int) -> None:
    """Whatever the part of one gateway is, and however much more they want."""
    for factor in (1.5, 5.0, 100.0):
        seconds = 60.0 + 30.0 / per_second
        asking = AskingGateways(per_second, gateways, factor * per_second, seed=gateways)
        asking.run(seconds)
        most = most_in_window(asking.granted, WINDOW_SECONDS)
        assert most <= per_second * WINDOW_SECONDS + BURST_UNITS + 1
        assert len(asking.granted) >= 0.85 * per_second * seconds, factor


def test_a_lender_before_many_gateways_is_asked_little() -> None:
    """Those that were denied spread their next asks."""
    asking = AskingGateways(1.0, 420, 400.0, seed=1)
    asking.run(30.0)
    assert asking.asks / 30.0 < 450


def test_a_lender_starts_empty_and_saves_little_up() -> None:
    """A restart, or a pause, gives no burst to a server in need."""
    lender = AllowanceLender(random.Random(1))
    assert not lender.ask(KEY, 2.0, Standing.HOME, 3, "g1", 0, 10.0).granted
    replies = [lender.ask(KEY, 2.0, Standing.HOME, 3, "g1", 0, 1000.0) for _ in range(9)]
    assert sum(reply.granted for reply in replies) == BURST_UNITS


def test_a_deputy_lends_half_and_who_is_alone_its_part() -> None:
    """So that gateways that can't reach the same lender don't each spend the whole."""
    for standing, part in ((Standing.DEPUTY, 0.5), (Standing.ALONE, 1 / 10)):
        lender = AllowanceLender(random.Random(1))
        granted = [
            lender.ask(KEY, 5.0, standing, 10, "g1", 0, step / 100).granted for step in range(4000)
        ]
        assert sum(granted) <= 40 * 5.0 * part + DEPUTY_BURST_UNITS


def test_more_urgent_work_goes_first_and_the_rest_is_not_starved() -> None:
    """Both want more than there is."""
    lender = AllowanceLender(random.Random(1))
    counts = {0: 0, 2: 0}
    source = random.Random(2)
    now = 0.0
    while now < 100.0:
        now += source.expovariate(20.0)
        rank = source.choice([0, 2])
        counts[rank] += lender.ask(KEY, 2.0, Standing.HOME, 5, "g1", rank, now).granted
    assert counts[0] > 2 * counts[2]
    assert counts[2] > 0.1 * counts[0]


def test_a_limit_that_is_lowered_takes_away_what_was_saved() -> None:
    """The debt of none is carried over either."""
    lender = AllowanceLender(random.Random(1))
    lender.ask(KEY, 10.0, Standing.HOME, 3, "g1", 0, 0.0)
    granted = [
        lender.ask(KEY, 0.5, Standing.HOME, 3, "g1", 0, 10.0 + step / 10).granted
        for step in range(40)
    ]
    assert sum(granted) <= BURST_UNITS + 0.5 * 4


def test_accounts_are_bounded() -> None:
    """However many keys are asked for."""
    lender = AllowanceLender(random.Random(1))
    for key in range(2 * MAX_ACCOUNTS):
        lender.ask(key, 1.0, Standing.HOME, 3, "g1", 0, 1.0)
    assert len(lender._accounts) <= MAX_ACCOUNTS


# -- who lends ------------------------------------------------------------------------------------


def _homes(size: int) -> dict[str, AllowanceHomes]:
    names = [f"g{number}" for number in range(size)]
    all_homes = {name: AllowanceHomes(name) for name in names}
    for name, homes in all_homes.items():
        homes.set_others([other for other in names if other != name])
    return all_homes


def test_all_gateways_ask_the_same_lender() -> None:
    """It knows that it is the home, and the allowances are spread."""
    all_homes = _homes(23)
    lenders = []
    for key in range(200):
        chosen = {homes.lender(key, 0.0).name for homes in all_homes.values()}
        assert len(chosen) == 1
        name = chosen.pop()
        assert all_homes[name].own_standing(key) is Standing.HOME
        lenders.append(name)
    assert len(set(lenders)) == 23


def test_a_silent_home_is_passed_over_for_its_deputy_and_tried_again() -> None:
    """When both are silent, the gateway spends its own part."""
    homes = _homes(5)["g0"]
    key = next(key for key in range(100) if "g0" not in homes._homes_of(key))
    home = homes.lender(key, 0.0).name
    homes.on_silent(home, 0.0)
    deputy = homes.lender(key, 0.1)
    assert deputy.standing is Standing.DEPUTY
    homes.on_silent(deputy.name, 0.1)
    assert homes.lender(key, 0.2).standing is Standing.ALONE
    assert homes.lender(key, FIRST_SILENCE_SECONDS + 0.05).name == home
    for _ in range(9):
        homes.on_silent(home, 2.0)
    assert homes.lender(key, 2.0 + MAX_SILENCE_SECONDS + 0.1).name == home
    homes.on_reply(home)
    assert homes.lender(key, 2.1).name == home


def test_without_others_a_gateway_is_alone() -> None:
    """As before the list of gateways is known."""
    assert AllowanceHomes("g0").lender(KEY, 0.0).standing is Standing.ALONE


# -- messages and callers -------------------------------------------------------------------------


def test_messages_come_back_as_they_were_sent() -> None:
    """And other datagrams are none of them."""
    ask = PermitMessage(PermitStep.ASK, "g1", KEY, 3, 1.5, 200, 1)
    data = encode_permit_message(ask)
    assert is_permit_message(data) and decode_permit_message(data) == ask
    assert not is_permit_message(encode_message(PeerMessage("g1", 1)))
    assert decode_message(data) is None
    assert decode_permit_message(b"\xc1\x93\x09") is None
    wrong = PermitMessage(PermitStep.ASK, "g1", KEY, 3, -4.0)
    assert decode_permit_message(encode_permit_message(wrong)) is None


def test_refused_callers_are_told_to_come_back_one_after_the_other() -> None:
    """As this gateway's part of the units comes in, and not later than callers wait."""
    pauses = AskPauses()
    assert pauses.promise([KEY], 0.0) is None
    pauses.on_denied(KEY, UnitReply(False, 0.5, 0.7, 2), 4.0, 0.0)
    promised = [pauses.promise([KEY], 0.0) for _ in range(20)]
    assert promised[:3] == [0.5, 1.0, 1.5]
    assert promised[-1] == MAX_PROMISE_SECONDS
    assert pauses.is_paused(KEY, 0.6) and not pauses.is_paused(KEY, 0.8)
    assert set(pauses.paused(0.6)) == {KEY} and not pauses.paused(0.8)
    pauses.expire(0.8)
    assert pauses.promise([KEY], 0.6) == pytest.approx(MAX_PROMISE_SECONDS - 0.6)
    pauses.expire(6.0)
    assert pauses.promise([KEY], 0.6) is None
    pauses.on_denied(KEY, UnitReply(False, 0.5, 0.7, 2), 4.0, 0.0)
    pauses.end(KEY)
    assert not pauses.is_paused(KEY, 0.1)
