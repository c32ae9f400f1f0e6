"""Crash evidence against requests: when they are contained, and when all gateways know it."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from load_fleet import Fleet
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.crash_record import CONTAINMENT_SECONDS
from milletcourse.exchange.evidence.feature_records import MAX_RECORDS
from milletcourse.exchange.evidence.request_identity import RequestFeatures, request_identity
from milletcourse.exchange.messages.peer_messages import (
    MAX_AGE_MS,
    CrashReport,
    PeerMessage,
    ReportedCrash,
    decode_message,
    encode_message,
)

CRASHING = 7
NOW = 1000.0


def _crash_consecutively(
    evidence: CrashEvidence, crashes: int, first: int = 1, at: float = NOW
) -> None:
    """Servers crash one after the other, a second apart."""
    for number in range(crashes):
        evidence.on_crash(RequestFeatures(CRASHING), first + number, at + number, at + number + 0.1)


# -- what contains a request --------------------------------------------------------------------


def test_three_consecutive_crashes_contain_a_request() -> None:
    """Two don't, and one server counts once."""
    evidence = CrashEvidence()
    _crash_consecutively(evidence, 2)
    _crash_consecutively(evidence, 1, at=NOW + 5)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 9) is None
    _crash_consecutively(evidence, 1, first=3, at=NOW + 8)
    containment = evidence.containment(RequestFeatures(CRASHING), NOW + 9)
    assert containment is not None and containment.crashes == 3
    assert [change.containment.identity for change in evidence.take_changes()] == [CRASHING]


def test_an_answer_clears_a_request_and_raises_its_limit() -> None:
    """Crashes are counted from zero again, and more of them are needed for containment."""
    evidence = CrashEvidence()
    _crash_consecutively(evidence, 2)
    assert evidence.on_answer(RequestFeatures(CRASHING), NOW + 2)
    _crash_consecutively(evidence, 5, first=3, at=NOW + 3)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 9) is None
    _crash_consecutively(evidence, 1, first=8, at=NOW + 9)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 10) is not None
    assert evidence.on_answer(RequestFeatures(CRASHING), NOW + 11)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 12) is None


def test_an_early_answer_raises_the_limit_of_a_request() -> None:
    """Also an answer before any evidence, and one whose evidence has expired."""
    evidence = CrashEvidence()
    evidence.on_answer(RequestFeatures(CRASHING), NOW - 100)
    _crash_consecutively(evidence, 3)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 4) is None
    evidence.on_answer(RequestFeatures(CRASHING), NOW + 5)
    evidence.records.expire(NOW + 100)
    assert not evidence
    _crash_consecutively(evidence, 3, at=NOW + 101)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 105) is None


def test_simultaneous_crashes_contain_no_request() -> None:
    """A popular request ran on all servers of a rack, and was started before the first crash."""
    evidence = CrashEvidence()
    for server in range(1, 6):
        evidence.on_crash(RequestFeatures(CRASHING), server, NOW - server, NOW + 0.01 * server)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 1) is None
    evidence.on_answer(RequestFeatures(CRASHING), NOW + 1)
    evidence.on_crash(RequestFeatures(CRASHING), 9, NOW + 2, NOW + 3)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 4) is None


def test_simultaneous_copies_contain_a_request_with_two_later_crashes() -> None:
    """Copies crash several servers at the same moment, which looks like the crash of a rack."""
    evidence = CrashEvidence()
    for server in range(1, 5):
        evidence.on_crash(RequestFeatures(CRASHING), server, NOW, NOW + 0.1)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 1) is None
    evidence.on_crash(RequestFeatures(CRASHING), 5, NOW + 1, NOW + 1.1)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 2) is None
    evidence.on_crash(RequestFeatures(CRASHING), 6, NOW + 1, NOW + 1.1)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 2) is not None


def test_many_simultaneous_copies_do_not_evict_the_evidence() -> None:
    """The number of crashes per request is bounded; the first and the latest ones are kept."""
    evidence = CrashEvidence()
    for server in range(1, 12):
        evidence.on_crash(RequestFeatures(CRASHING), server, NOW, NOW + 0.1)
    evidence.on_crash(RequestFeatures(CRASHING), 20, NOW + 1, NOW + 1.1)
    evidence.on_crash(RequestFeatures(CRASHING), 21, NOW + 2, NOW + 2.1)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 3) is not None
    other = CrashEvidence()
    other.merge(evidence.records.most_severe(NOW + 3), NOW + 3, True)
    assert other.containment(RequestFeatures(CRASHING), NOW + 3) is not None


def test_an_answer_clears_crashes_that_are_reported_after_it() -> None:
    """A report of crashes before the answer adds none, and makes the answer an update."""
    evidence = CrashEvidence()
    evidence.on_answer(RequestFeatures(CRASHING), NOW + 10)
    report = CrashReport(CRASHING, [ReportedCrash(1, 9000, 8000), ReportedCrash(2, 7000, 6000)])
    evidence.merge([report], NOW + 11, False)
    assert evidence.crash_count(CRASHING) == 0
    assert evidence.records.has_updates
    assert [sent.cleared_ms for sent in evidence.records.due_reports(NOW + 11, 1.0)] == [1000]


def test_requests_that_crashed_the_same_servers_are_both_contained() -> None:
    """Evidence against one request doesn't exonerate the other."""
    evidence = CrashEvidence()
    for identity in (20, 21):
        for server in range(1, 4):
            evidence.on_crash(RequestFeatures(identity), server, NOW + server, NOW + server + 0.1)
    assert len(evidence.containments(NOW + 9)) == 2


def test_immediate_retries_contain_a_request_at_a_gateway_that_receives_reports() -> None:
    """The report of a crash takes as long as the retry, so both seem simultaneous."""
    evidence = CrashEvidence()
    for number in range(3):
        ended_ms = 100 * (2 - number)
        report = CrashReport(CRASHING, [ReportedCrash(number, ended_ms + 100, ended_ms)])
        evidence.merge([report], NOW, True)
    assert evidence.containment(RequestFeatures(CRASHING), NOW) is not None


def test_a_contained_request_is_admitted_again_and_one_crash_contains_it_again() -> None:
    """The defect may have been fixed in the meantime."""
    evidence = CrashEvidence()
    _crash_consecutively(evidence, 3)
    later = NOW + CONTAINMENT_SECONDS + 5
    evidence.records.expire(later)
    assert evidence.containment(RequestFeatures(CRASHING), later) is None
    _crash_consecutively(evidence, 1, first=9, at=later)
    assert evidence.containment(RequestFeatures(CRASHING), later + 1) is not None


def test_a_flood_of_suspects_does_not_release_a_contained_request() -> None:
    """The number of records is bounded; those with the least evidence are dropped first."""
    evidence = CrashEvidence()
    _crash_consecutively(evidence, 3)
    for identity in range(100, 100 + 2 * MAX_RECORDS):
        evidence.on_crash(RequestFeatures(identity), 1, NOW + 10, NOW + 11)
    assert evidence.containment(RequestFeatures(CRASHING), NOW + 12) is not None


def test_identity_depends_on_host_path_caller_and_body() -> None:
    """The query counts only for a request without a body."""

    def identity(target: bytes, caller: str, body: bytes, host: str = "a.example") -> int:
        return request_identity(host, target, caller, body)

    assert identity(b"/p/", "t", b"x") == identity(b"/p/", "t", b"x", "A.example")
    assert identity(b"/p/?a", "t", b"x") == identity(b"/p/?b", "t", b"x")
    assert identity(b"/p/?a", "t", b"") != identity(b"/p/?b", "t", b"")
    different = {
        identity(b"/p/", "t", b"x"),
        identity(b"/q/", "t", b"x"),
        identity(b"/p/", "u", b"x"),
        identity(b"/p/", "t", b"y"),
        identity(b"/p/", "tx", b""),
        identity(b"/p/", "t", b"x", "b.example"),
    }
    assert len(different) == 6


# -- reports between gateways -------------------------------------------------------------------

_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.integers(0, 2),
        st.one_of(st.none(), st.integers(1, 5)),
        st.integers(1, 40),
    ),
    max_size=25,
)


@given(events=_EVENTS, order=st.randoms())
def test_gateways_converge_after_exchanging_reports(
    events: list[tuple[int, int, int | None, int]], order: random.Random
) -> None:
    """Reports may arrive in any order and any number of times."""
    gateways = [CrashEvidence() for _ in range(4)]
    alone = CrashEvidence()
    now = NOW
    for gateway, identity, server, tenths in events:
        now += tenths / 10
        for evidence in (gateways[gateway], alone):
            if server is None:
                evidence.on_answer(RequestFeatures(identity), now)
            else:
                evidence.on_crash(RequestFeatures(identity), server, now - 0.05, now)
        for receiver in gateways:
            receiver.merge(gateways[gateway].records.most_severe(now), now, True)
    now += 1.0
    reports = [report for evidence in gateways for report in evidence.records.most_severe(now)]
    for evidence in gateways:
        order.shuffle(reports)
        evidence.merge([*reports, *reports], now, True)
    for identity in range(3):
        known = {
            evidence.containment(RequestFeatures(identity), now) is not None
            for evidence in gateways
        }
        assert known == {alone.containment(RequestFeatures(identity), now) is not None}


@pytest.mark.parametrize("age", [-1, MAX_AGE_MS + 1])
def test_invalid_ages_are_refused(age: int) -> None:
    """A message with an age or a number of crashes out of range is not decoded."""
    report = CrashReport(CRASHING, [ReportedCrash(1, age, 0)])
    assert decode_message(encode_message(PeerMessage("g", 1, crashes=[report]))) is None
    too_many = CrashReport(CRASHING, [ReportedCrash(number, 5, 5) for number in range(7)])
    assert decode_message(encode_message(PeerMessage("g", 1, crashes=[too_many]))) is None


def test_messages_without_reports_are_decoded() -> None:
    """Gateways of the previous release don't report crashes."""
    previous_release = msgspec.msgpack.encode(["g", 1, [], [], 1, False, [], 1])
    message = decode_message(previous_release)
    assert message is not None and message.crashes == []


# -- many gateways ------------------------------------------------------------------------------


def _contained_at(fleet: Fleet) -> set[str]:
    return {
        name
        for name, exchange in fleet.exchanges.items()
        if exchange.evidence.containment(RequestFeatures(CRASHING), fleet.now) is not None
    }


def _crash_three_servers(fleet: Fleet) -> None:
    """Three gateways each detect one server crash under the request, 0.5 s apart."""
    for number, name in enumerate(fleet.random.sample(fleet.names, 3)):
        evidence = fleet.exchanges[name].evidence
        evidence.on_crash(RequestFeatures(CRASHING), 50 + number, fleet.now - 0.1, fleet.now)
        fleet.exchanges[name].on_update()
        fleet.run(0.5)


@pytest.mark.parametrize("size", [8, 79, 195])
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_all_gateways_know_a_contained_request_soon(size: int, loss: float) -> None:
    """Within 0.5 s after the third crash, also when a tenth of the messages is lost."""
    fleet = Fleet(size, size)
    fleet.run(1.0)
    fleet.loss = loss
    _crash_three_servers(fleet)
    assert _contained_at(fleet) == set(fleet.names)


@pytest.mark.parametrize("restarted", ["reader", "follower", "all but one"])
def test_a_restarted_gateway_receives_the_contained_requests(restarted: str) -> None:
    """From the gateways that know them."""
    fleet = Fleet(30, 3)
    fleet.run(1.0)
    _crash_three_servers(fleet)
    names = {"reader": fleet.readers[:1], "follower": fleet.names[-1:]}
    for name in names.get(restarted, fleet.names[:-1]):
        fleet.restart(name)
    fleet.run(5.5 if restarted == "all but one" else 1.5)
    assert _contained_at(fleet) == set(fleet.names)


def test_partitioned_gateways_receive_the_contained_requests() -> None:
    """Soon after they are reachable again."""
    fleet = Fleet(30, 4)
    fleet.run(1.0)
    fleet.partitioned = set(fleet.names[10:20])
    fleet.names = [name for name in fleet.names if name not in fleet.partitioned]
    _crash_three_servers(fleet)
    fleet.names = sorted(fleet.exchanges)
    assert not _contained_at(fleet) & fleet.partitioned
    fleet.partitioned = set()
    fleet.run(1.5)
    assert _contained_at(fleet) == set(fleet.names)


class RepeatingCaller:
    """Repeats a request that crashes servers, through random gateways."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.crashed = 0

    def repeat(self) -> None:
        """Send once, unless the gateway refuses; the crash interrupts five unrelated requests."""
        fleet = self.fleet
        sender = fleet.exchanges[fleet.random.choice(fleet.names)]
        if sender.evidence.containment(RequestFeatures(CRASHING), fleet.now) is not None:
            return
        self.crashed += 1
        sent_at = fleet.now
        fleet.run(0.1)
        sender.evidence.on_crash(RequestFeatures(CRASHING), 1000 + self.crashed, sent_at, fleet.now)
        sender.on_update()
        for unrelated in range(5):
            witness = fleet.exchanges[fleet.random.choice(fleet.names)]
            identity = 10_000 * self.crashed + unrelated
            witness.evidence.on_crash(
                RequestFeatures(identity), 1000 + self.crashed, sent_at - 1.0, fleet.now
            )
            witness.on_update()


@pytest.mark.parametrize("size", [8, 79, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_repeating_caller_crashes_three_servers(size: int, seed: int) -> None:
    """Through any gateways, 0.5 s apart or more, with a tenth of the messages lost."""
    fleet = Fleet(size, seed)
    fleet.loss = 0.1
    fleet.run(1.0)
    caller = RepeatingCaller(fleet)
    for _ in range(8):
        caller.repeat()
        fleet.run(fleet.random.uniform(0.5, 1.5))
    assert caller.crashed == 3
    contained = {
        item.identity
        for exchange in fleet.exchanges.values()
        for item in exchange.evidence.containments(fleet.now)
    }
    assert contained == {CRASHING}
