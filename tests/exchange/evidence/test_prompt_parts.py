"""Crash evidence against the prompt parts that requests share."""

from __future__ import annotations

import msgspec

from milletcourse.exchange.evidence.answer_memory import AnswerMemory
from milletcourse.exchange.evidence.containment import EvidenceEvent
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.evidence.crash_record import (
    ANSWERED_PART_CONTAINMENT_SECONDS,
    CONTAINMENT_SECONDS,
)
from milletcourse.exchange.evidence.crash_reports import MAX_CRASHES_PER_MESSAGE
from milletcourse.exchange.evidence.feature_records import MAX_ANSWERED_PARTS
from milletcourse.exchange.evidence.request_identity import RequestFeatures, part_identity
from milletcourse.exchange.evidence.trial_schedule import ALL_TURNS_SECONDS, REPORT_SECONDS
from milletcourse.exchange.messages.peer_messages import (
    CrashReport,
    FeatureKind,
    PeerMessage,
    ReportedCrash,
    decode_message,
    encode_message,
)
from milletcourse.gateway.store.directory import ContainedRequest

FIRST, BAD, COMPANION, OTHER_BAD = 11, 12, 13, 14
NOW = 1000.0
RUN_SECONDS = 0.1
GATEWAYS = [f"g{number}" for number in range(5)]


class Requests:
    """Requests of which no two have the same content."""

    def __init__(self, evidence: CrashEvidence) -> None:
        self.evidence = evidence
        self.number = 100
        self.answer(NOW - 10)

    def features(self, *parts: int) -> RequestFeatures:
        """Features of a new request with some prompt parts."""
        self.number += 1
        return RequestFeatures(self.number, parts)

    def crash(self, at: float, *parts: int) -> None:
        """A request with some parts crashes a server of its own."""
        features = self.features(*parts)
        self.evidence.on_crash(features, self.number, at - RUN_SECONDS, at)

    def answer(self, at: float, *parts: int) -> None:
        """A request with some parts is answered."""
        self.evidence.on_answer(self.features(*parts), at)

    def is_held(self, at: float, *parts: int) -> bool:
        """Whether a request with some parts is held."""
        return self.evidence.containment(self.features(*parts), at) is not None


def _contained() -> Requests:
    """Three servers crashed under requests that share a first part and a bad one."""
    requests = Requests(CrashEvidence())
    for second in range(3):
        requests.answer(NOW + second - 0.5, FIRST, COMPANION + 100)
        requests.crash(NOW + second, FIRST, BAD)
    return requests


def test_a_part_that_crashes_servers_under_different_contents_is_contained() -> None:
    """Other requests with the same first part are sent."""
    requests = _contained()
    assert requests.is_held(NOW + 3, FIRST, BAD)
    assert requests.is_held(NOW + 3, BAD, FIRST)
    assert not requests.is_held(NOW + 3, FIRST)
    [shown] = requests.evidence.containments(NOW + 3)
    assert (shown.identity, shown.kind, shown.crashes) == (BAD, FeatureKind.PROMPT_PART, 3)
    assert "000000000000000c" in shown.failure().detail


def test_a_contained_part_is_tried_again_and_an_answer_clears_it() -> None:
    """One request is sent at a time; a failure answer clears nothing."""
    requests = _contained()
    later = NOW + 2 + CONTAINMENT_SECONDS + 1
    trial = requests.features(FIRST, BAD)
    assert requests.evidence.containment(trial, later) is None
    requests.evidence.on_sent(trial, later)
    assert requests.is_held(later + 0.1, FIRST, BAD)
    requests.evidence.on_failure_answer(trial, later + 0.2)
    assert requests.is_held(later + 0.3, FIRST, BAD)
    requests.evidence.on_answer(trial, later + 0.4)
    assert not requests.is_held(later + 0.5, FIRST, BAD)
    events = [change.event for change in requests.evidence.take_changes()]
    assert events[-2:] == [EvidenceEvent.TRIED, EvidenceEvent.CLEARED]


def test_gateways_take_turns_with_a_part_that_is_only_suspected() -> None:
    """After two crashes one gateway may send a request at once, the others in their turns."""
    allowed_from = []
    for name in GATEWAYS:
        evidence = CrashEvidence()
        evidence.set_gateways(name, [other for other in GATEWAYS if other != name])
        requests = Requests(evidence)
        requests.crash(NOW, FIRST, BAD)
        requests.crash(NOW + 1, FIRST, BAD)
        assert requests.is_held(NOW + 1.1, FIRST, BAD)
        tenths = range(1, 10 * int(ALL_TURNS_SECONDS))
        allowed_from.append(
            next(n for n in tenths if not requests.is_held(NOW + 1 + n / 10, BAD)) / 10
        )
    assert min(allowed_from) <= RUN_SECONDS + REPORT_SECONDS + 0.1
    assert len(set(allowed_from)) == len(GATEWAYS)


def test_a_trial_of_one_gateway_holds_the_part_at_the_others() -> None:
    """They hear of it at once, and wait until it has shown its effect."""
    tries, waits = Requests(CrashEvidence()), Requests(CrashEvidence())
    for requests in (tries, waits):
        requests.crash(NOW, FIRST, BAD)
        requests.crash(NOW + 1, FIRST, BAD)
    tries.evidence.on_sent(tries.features(FIRST, BAD), NOW + 5)
    waits.evidence.merge(
        tries.evidence.records.due_reports(NOW + 5.1, 1.0), NOW + 5.1, relays=False
    )
    assert waits.is_held(NOW + 5.1, FIRST, BAD)
    assert not waits.is_held(NOW + 5 + RUN_SECONDS + REPORT_SECONDS, FIRST, BAD)


def test_a_gateway_that_has_just_started_suspects_no_part() -> None:
    """It doesn't know yet which parts are answered all the time; three in turn contain one."""
    requests = Requests(CrashEvidence())
    requests.evidence = CrashEvidence()
    requests.crash(NOW, FIRST)
    requests.answer(NOW + 0.5, COMPANION)
    requests.crash(NOW + 1, FIRST)
    assert not requests.is_held(NOW + 1.1, FIRST)
    requests.crash(NOW + 2, FIRST)
    assert requests.is_held(NOW + 2.1, FIRST)


def test_simultaneous_crashes_and_one_trial_contain_a_part() -> None:
    """Many requests may be at servers when the first one crashes."""
    requests = Requests(CrashEvidence())
    for server in range(4):
        requests.crash(NOW + 0.01 * server, FIRST, BAD)
    assert [item.identity for item in requests.evidence.containments(NOW + 1)] == []
    requests.crash(NOW + 2, FIRST, BAD)
    contained = {item.identity for item in requests.evidence.containments(NOW + 3)}
    assert BAD in contained


def test_a_sound_part_that_always_came_with_a_contained_one_is_tried() -> None:
    """One request at a time; its answer clears the part, and the other one stays contained."""
    requests = Requests(CrashEvidence())
    for second in range(3):
        requests.crash(NOW + second, COMPANION, BAD)
    assert requests.is_held(NOW + 2 + REPORT_SECONDS, COMPANION)
    trial = requests.features(COMPANION)
    assert requests.evidence.containment(trial, NOW + 3) is None
    requests.evidence.on_sent(trial, NOW + 3)
    assert requests.is_held(NOW + 3 + REPORT_SECONDS, COMPANION)
    assert requests.is_held(NOW + 3, COMPANION, BAD)
    requests.evidence.on_answer(trial, NOW + 4)
    assert not requests.is_held(NOW + 4, COMPANION)
    assert requests.is_held(NOW + 4, COMPANION, BAD)


def test_the_one_of_two_suspects_that_crashes_a_server_alone_stays_contained() -> None:
    """It isn't explained by the other one any more."""
    requests = Requests(CrashEvidence())
    for second in range(3):
        requests.crash(NOW + second, COMPANION, BAD)
    requests.crash(NOW + 5, BAD)
    assert requests.is_held(NOW + 30, BAD)
    assert not requests.is_held(NOW + 30, COMPANION)


def test_a_repeated_content_explains_the_crashes_under_its_parts() -> None:
    """Other requests with these parts are sent though no server has answered them yet."""
    evidence = CrashEvidence()
    repeated = RequestFeatures(50, (FIRST, COMPANION))
    for server in range(3):
        evidence.on_crash(repeated, server, NOW + server - 0.1, NOW + server)
    assert evidence.containment(repeated, NOW + 5) is not None
    assert evidence.containment(RequestFeatures(51, (FIRST, COMPANION)), NOW + 5) is None
    assert [item.kind for item in evidence.containments(NOW + 5)] == [FeatureKind.CONTENT]
    evidence.release(50, NOW + 5)
    assert evidence.containment(repeated, NOW + 6) is None
    assert evidence.containments(NOW + 6) == []


def test_a_popular_part_is_not_contained_while_others_explain_the_crashes() -> None:
    """Also when no server answers for a while, since all of them crash again and again."""
    requests = Requests(CrashEvidence())
    requests.answer(NOW - 1, FIRST)
    for second in range(8):
        requests.crash(NOW + second, FIRST, BAD if second % 2 else OTHER_BAD)
    assert requests.is_held(NOW + 9, FIRST, BAD)
    assert requests.is_held(NOW + 9, FIRST, OTHER_BAD)
    assert not requests.is_held(NOW + 9, FIRST)


def test_a_suspect_explains_the_crashes_under_a_popular_part() -> None:
    """Many servers crash at once, and the bad part isn't proven to be bad yet."""
    requests = Requests(CrashEvidence())
    requests.answer(NOW - 1, FIRST)
    for server in range(9):
        at = NOW + 0.07 * server
        requests.evidence.on_crash(requests.features(FIRST), server, at - 0.01, at)
        requests.evidence.on_crash(requests.features(FIRST, BAD), server, NOW - 1, at)
    assert requests.evidence.containments(NOW + 1) == []
    assert not requests.is_held(NOW + 1, FIRST)


def test_a_part_with_more_crashes_than_are_kept_explains_those_of_its_time() -> None:
    """Records keep few crashes each, and not the same ones."""
    requests = Requests(CrashEvidence())
    requests.answer(NOW - 1, FIRST)
    for server in range(40):
        at = NOW + 0.02 * server
        requests.evidence.on_crash(requests.features(BAD), server, NOW - 1, at)
        if server % 3 == 0:
            requests.evidence.on_crash(requests.features(FIRST), server, at - 0.01, at)
    assert not requests.is_held(NOW + 1, FIRST)


def test_a_part_that_was_answered_before_is_tried_sooner() -> None:
    """Many requests may have it, and the crashes another cause."""
    requests = Requests(CrashEvidence())
    requests.answer(NOW - 1, FIRST)
    for second in range(6):
        requests.crash(NOW + second, FIRST)
    assert requests.is_held(NOW + 6, FIRST)
    assert not requests.is_held(NOW + 6 + ANSWERED_PART_CONTAINMENT_SECONDS, FIRST)


def test_a_gateway_that_knows_an_answer_tells_one_that_reports_a_crash_without_it() -> None:
    """The part is not suspected then, though the answer was before the crashes."""
    reporter, other = CrashEvidence(), CrashEvidence()
    Requests(other).answer(NOW - 5, FIRST)
    requests = Requests(reporter)
    requests.crash(NOW, FIRST)
    requests.crash(NOW + 1, FIRST)
    other.merge(reporter.records.due_reports(NOW + 1.1, 1.0), NOW + 1.1, relays=True)
    reporter.merge(other.records.due_reports(NOW + 1.2, 1.0), NOW + 1.2, relays=True)
    assert not requests.is_held(NOW + 1.2, FIRST)


def test_unanswered_parts_are_reported_before_the_contents_of_a_crash() -> None:
    """A crash of a server with many requests adds many records."""
    requests = Requests(CrashEvidence())
    requests.answer(NOW - 1, FIRST)
    for _ in range(2 * MAX_CRASHES_PER_MESSAGE):
        requests.crash(NOW, FIRST)
    requests.crash(NOW, FIRST, BAD)
    reports = requests.evidence.records.due_reports(NOW + 0.1, 1.0)
    assert [report.identity for report in reports[:2]] == [FIRST, BAD]


def test_popular_parts_stay_known_beside_a_million_others() -> None:
    """What was answered more than once isn't displaced by what was answered once."""
    memory = AnswerMemory(MAX_ANSWERED_PARTS, MAX_ANSWERED_PARTS)
    memory.record(FIRST, NOW)
    memory.record(FIRST, NOW + 1)
    for identity in range(100, 1_000_100):
        memory.record(identity, NOW + 2)
    assert memory.take(FIRST) == NOW + 1
    assert memory.take(100) is None


def test_a_report_forwarded_without_the_kind_becomes_one_about_the_part() -> None:
    """A gateway of the previous release forwards it; the part is suspected all the same."""
    requests = Requests(CrashEvidence())
    report = CrashReport(BAD, [ReportedCrash(1, 200, 100)])
    requests.evidence.merge([report], NOW + 0.1, relays=True)
    requests.crash(NOW + 1, FIRST, BAD)
    assert requests.is_held(NOW + 1.1, FIRST, BAD)


def test_a_part_is_another_one_in_another_scope_or_service() -> None:
    """A tenant whose prompts share no cached state shares no evidence either."""
    identities = {
        part_identity("llm", "m:shared", "5c1e07a2"),
        part_identity("llm", "m:tenant:t", "5c1e07a2"),
        part_identity("other", "m:shared", "5c1e07a2"),
        part_identity("llm", "m:shared", "5c1e07a3"),
    }
    assert len(identities) == 4


def test_reports_and_stored_containments_carry_the_kind() -> None:
    """Those of an earlier release have none, and are about contents."""
    report = CrashReport(BAD, [ReportedCrash(1, 5, 4)], None, FeatureKind.PROMPT_PART)
    message = decode_message(encode_message(PeerMessage("g", 1, crashes=[report])))
    assert message is not None and message.crashes == [report]
    stored = msgspec.json.decode(
        msgspec.json.encode(ContainedRequest.from_report(report)), type=ContainedRequest
    )
    assert stored.to_report() == report
    earlier = msgspec.json.decode(b'{"content": "0c", "ends": []}', type=ContainedRequest)
    assert earlier.to_report().kind is FeatureKind.CONTENT
