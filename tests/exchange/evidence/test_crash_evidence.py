"""Evidence against requests that end servers: what contains them, and who learns of it when."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from load_fleet import Fleet
from milletcourse.exchange.evidence.crash_evidence import MAX_RECORDS, CrashEvidence
from milletcourse.exchange.evidence.crash_record import CONTAINED_SECONDS
from milletcourse.exchange.evidence.request_identity import request_identity
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


def _ended_in_a_row(evidence: CrashEvidence, ends: int, first: int = 1, at: float = NOW) -> None:
    """Servers end one after the other, a second apart."""
    for number in range(ends):
        evidence.on_end(CRASHING, first + number, at + number, at + number + 0.1)


# -- what contains a request --------------------------------------------------------------------


def test_three_ends_in_a_row_contain_a_request() -> None:
    """Two don't, and the same server counts once."""
    evidence = CrashEvidence()
    _ended_in_a_row(evidence, 2)
    _ended_in_a_row(evidence, 1, at=NOW + 5)
    assert evidence.containment(CRASHING, NOW + 9) is None
    _ended_in_a_row(evidence, 1, first=3, at=NOW + 8)
    containment = evidence.containment(CRASHING, NOW + 9)
    assert containment is not None and containment.ends == 3
    assert [item.identity for item in evidence.take_newly_contained(NOW + 9)] == [CRASHING]


def test_an_answer_clears_a_request_and_speaks_for_it() -> None:
    """Ends count anew from then on, and it takes more of them to contain it."""
    evidence = CrashEvidence()
    _ended_in_a_row(evidence, 2)
    assert evidence.on_answer(CRASHING, NOW + 2)
    _ended_in_a_row(evidence, 5, first=3, at=NOW + 3)
    assert evidence.containment(CRASHING, NOW + 9) is None
    _ended_in_a_row(evidence, 1, first=8, at=NOW + 9)
    assert evidence.containment(CRASHING, NOW + 10) is not None
    assert evidence.on_answer(CRASHING, NOW + 11)
    assert evidence.containment(CRASHING, NOW + 12) is None


def test_an_answer_long_before_speaks_for_a_request() -> None:
    """Also when it was given before there was any evidence, and when the evidence was forgotten."""
    evidence = CrashEvidence()
    evidence.on_answer(CRASHING, NOW - 100)
    _ended_in_a_row(evidence, 3)
    assert evidence.containment(CRASHING, NOW + 4) is None
    evidence.on_answer(CRASHING, NOW + 5)
    evidence.expire(NOW + 100)
    assert not evidence
    _ended_in_a_row(evidence, 3, at=NOW + 101)
    assert evidence.containment(CRASHING, NOW + 105) is None


def test_servers_that_crash_together_contain_nothing() -> None:
    """A popular request ran on all servers of a rack, begun before the first one ended."""
    evidence = CrashEvidence()
    for server in range(1, 6):
        evidence.on_end(CRASHING, server, NOW - server, NOW + 0.01 * server)
    assert evidence.containment(CRASHING, NOW + 1) is None
    evidence.on_answer(CRASHING, NOW + 1)
    evidence.on_end(CRASHING, 9, NOW + 2, NOW + 3)
    assert evidence.containment(CRASHING, NOW + 4) is None


def test_copies_sent_at_once_contain_a_request_with_two_later_ends() -> None:
    """Copies end several servers at the same moment, as a crash of a rack does."""
    evidence = CrashEvidence()
    for server in range(1, 5):
        evidence.on_end(CRASHING, server, NOW, NOW + 0.1)
    assert evidence.containment(CRASHING, NOW + 1) is None
    evidence.on_end(CRASHING, 5, NOW + 1, NOW + 1.1)
    assert evidence.containment(CRASHING, NOW + 2) is None
    evidence.on_end(CRASHING, 6, NOW + 1, NOW + 1.1)
    assert evidence.containment(CRASHING, NOW + 2) is not None


def test_many_copies_at_once_leave_room_for_the_proof() -> None:
    """Only so many ends are kept, but the first and the latest ones are."""
    evidence = CrashEvidence()
    for server in range(1, 12):
        evidence.on_end(CRASHING, server, NOW, NOW + 0.1)
    evidence.on_end(CRASHING, 20, NOW + 1, NOW + 1.1)
    evidence.on_end(CRASHING, 21, NOW + 2, NOW + 2.1)
    assert evidence.containment(CRASHING, NOW + 3) is not None
    other = CrashEvidence()
    other.merge(evidence.gravest(NOW + 3), NOW + 3, True)
    assert other.containment(CRASHING, NOW + 3) is not None


def test_an_answer_before_the_news_of_an_end_counts() -> None:
    """A gateway that answered a request well isn't told too late that a server ended under it."""
    evidence = CrashEvidence()
    evidence.on_answer(CRASHING, NOW + 10)
    report = CrashReport(CRASHING, [ReportedCrash(1, 9000, 8000), ReportedCrash(2, 7000, 6000)])
    evidence.merge([report], NOW + 11, False)
    assert evidence.ends(CRASHING) == 0
    assert evidence.has_news
    assert [told.cleared_ms for told in evidence.to_tell(NOW + 11, 1.0)] == [1000]


def test_requests_that_ended_the_same_servers_are_both_contained() -> None:
    """Neither speaks for the other."""
    evidence = CrashEvidence()
    for identity in (20, 21):
        for server in range(1, 4):
            evidence.on_end(identity, server, NOW + server, NOW + server + 0.1)
    assert len(evidence.containments(NOW + 9)) == 2


def test_repeats_at_once_contain_a_request_at_a_gateway_that_hears_of_the_ends() -> None:
    """News of an end takes as long as the repeat, so both seem to come at the same moment."""
    evidence = CrashEvidence()
    for number in range(3):
        ended_ms = 100 * (2 - number)
        report = CrashReport(CRASHING, [ReportedCrash(number, ended_ms + 100, ended_ms)])
        evidence.merge([report], NOW, True)
    assert evidence.containment(CRASHING, NOW) is not None


def test_a_contained_request_is_tried_again_and_one_end_contains_it_again() -> None:
    """What it met may have been mended meanwhile."""
    evidence = CrashEvidence()
    _ended_in_a_row(evidence, 3)
    later = NOW + CONTAINED_SECONDS + 5
    evidence.expire(later)
    assert evidence.containment(CRASHING, later) is None
    _ended_in_a_row(evidence, 1, first=9, at=later)
    assert evidence.containment(CRASHING, later + 1) is not None


def test_a_flood_of_suspects_does_not_release_a_contained_request() -> None:
    """Evidence is bounded; the least of it goes first."""
    evidence = CrashEvidence()
    _ended_in_a_row(evidence, 3)
    for identity in range(100, 100 + 2 * MAX_RECORDS):
        evidence.on_end(identity, 1, NOW + 10, NOW + 11)
    assert evidence.containment(CRASHING, NOW + 12) is not None


def test_identity_is_of_path_caller_and_body() -> None:
    """A query counts where it is all that there is."""

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


# -- what gateways tell each other --------------------------------------------------------------

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
def test_gateways_that_told_each_other_know_the_same(
    events: list[tuple[int, int, int | None, int]], order: random.Random
) -> None:
    """In whatever order and however often reports come in."""
    gateways = [CrashEvidence() for _ in range(4)]
    alone = CrashEvidence()
    now = NOW
    for gateway, identity, server, tenths in events:
        now += tenths / 10
        for evidence in (gateways[gateway], alone):
            if server is None:
                evidence.on_answer(identity, now)
            else:
                evidence.on_end(identity, server, now - 0.05, now)
        for receiver in gateways:
            receiver.merge(gateways[gateway].gravest(now), now, True)
    now += 1.0
    reports = [report for evidence in gateways for report in evidence.gravest(now)]
    for evidence in gateways:
        order.shuffle(reports)
        evidence.merge([*reports, *reports], now, True)
    for identity in range(3):
        known = {evidence.containment(identity, now) is not None for evidence in gateways}
        assert known == {alone.containment(identity, now) is not None}


@pytest.mark.parametrize("age", [-1, MAX_AGE_MS + 1])
def test_absurd_ages_are_refused(age: int) -> None:
    """A message that holds one is none of ours."""
    report = CrashReport(CRASHING, [ReportedCrash(1, age, 0)])
    assert decode_message(encode_message(PeerMessage("g", 1, crashes=[report]))) is None
    too_many = CrashReport(CRASHING, [ReportedCrash(number, 5, 5) for number in range(7)])
    assert decode_message(encode_message(PeerMessage("g", 1, crashes=[too_many]))) is None


def test_messages_without_reports_are_understood() -> None:
    """Gateways of the release before don't tell of crashes."""
    former = msgspec.msgpack.encode(["g", 1, [], [], 1, False, [], 1])
    message = decode_message(former)
    assert message is not None and message.crashes == []


# -- many gateways ------------------------------------------------------------------------------


def _contained_at(fleet: Fleet) -> set[str]:
    return {
        name
        for name, exchange in fleet.exchanges.items()
        if exchange.evidence.containment(CRASHING, fleet.now) is not None
    }


def _end_three_servers(fleet: Fleet) -> None:
    """Three gateways each see one server end under the request, half a second apart."""
    for number, name in enumerate(fleet.random.sample(fleet.names, 3)):
        evidence = fleet.exchanges[name].evidence
        evidence.on_end(CRASHING, 50 + number, fleet.now - 0.1, fleet.now)
        fleet.exchanges[name].on_update()
        fleet.run(0.5)


@pytest.mark.parametrize("size", [8, 79, 195])
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_all_gateways_know_a_contained_request_soon(size: int, loss: float) -> None:
    """Half a second after the third end; with a tenth of the messages lost, too."""
    fleet = Fleet(size, size)
    fleet.run(1.0)
    fleet.loss = loss
    _end_three_servers(fleet)
    assert _contained_at(fleet) == set(fleet.names)


@pytest.mark.parametrize("restarted", ["reader", "follower", "all but one"])
def test_a_gateway_that_starts_learns_what_is_contained(restarted: str) -> None:
    """From those that know it."""
    fleet = Fleet(30, 3)
    fleet.run(1.0)
    _end_three_servers(fleet)
    names = {"reader": fleet.readers[:1], "follower": fleet.names[-1:]}
    for name in names.get(restarted, fleet.names[:-1]):
        fleet.restart(name)
    fleet.run(5.5 if restarted == "all but one" else 1.5)
    assert _contained_at(fleet) == set(fleet.names)


def test_gateways_that_were_cut_off_learn_what_is_contained() -> None:
    """Soon after they hear the others again."""
    fleet = Fleet(30, 4)
    fleet.run(1.0)
    fleet.cut = set(fleet.names[10:20])
    fleet.names = [name for name in fleet.names if name not in fleet.cut]
    _end_three_servers(fleet)
    fleet.names = sorted(fleet.exchanges)
    assert not _contained_at(fleet) & fleet.cut
    fleet.cut = set()
    fleet.run(1.5)
    assert _contained_at(fleet) == set(fleet.names)


class RepeatingCaller:
    """Sends a request that ends servers again and again, through any gateway."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ended = 0

    def repeat(self) -> None:
        """One send, unless the gateway refuses it; others' work at the server is cut with it."""
        fleet = self.fleet
        sender = fleet.exchanges[fleet.random.choice(fleet.names)]
        if sender.evidence.containment(CRASHING, fleet.now) is not None:
            return
        self.ended += 1
        sent_at = fleet.now
        fleet.run(0.1)
        sender.evidence.on_end(CRASHING, 1000 + self.ended, sent_at, fleet.now)
        sender.on_update()
        for innocent in range(5):
            witness = fleet.exchanges[fleet.random.choice(fleet.names)]
            identity = 10_000 * self.ended + innocent
            witness.evidence.on_end(identity, 1000 + self.ended, sent_at - 1.0, fleet.now)
            witness.on_update()


@pytest.mark.parametrize("size", [8, 79, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_repeating_caller_ends_three_servers(size: int, seed: int) -> None:
    """Wherever it comes back, half a second apart or more, with messages lost."""
    fleet = Fleet(size, seed)
    fleet.loss = 0.1
    fleet.run(1.0)
    caller = RepeatingCaller(fleet)
    for _ in range(8):
        caller.repeat()
        fleet.run(fleet.random.uniform(0.5, 1.5))
    assert caller.ended == 3
    contained = {
        item.identity
        for exchange in fleet.exchanges.values()
        for item in exchange.evidence.containments(fleet.now)
    }
    assert contained == {CRASHING}
