"""Rejection limits that servers announce: who knows them, and when they end."""

from __future__ import annotations

from milletcourse.exchange.load.rejection_limits import RETENTION_SECONDS, RejectionLimits
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.load.signal_record import LimitChange
from milletcourse.exchange.messages.dialect import HeaderDialect
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.servers.instance_table import InstanceTable
from milletcourse.platform.names import HEADER_NAMES

KEY = 7


def test_a_rejection_limit_is_read_and_a_malformed_one_is_reported() -> None:
    dialect = HeaderDialect(HEADER_NAMES)
    for value, expected in ((b"5", 5.0), (b"0", 0.0), (b" 1.5 ", 1.5), (b"1000000000", 1e6)):
        head = dialect.read_answer(200, b"OK", [HeaderField(b"Server-Brittle", value)])
        assert head.rejection_limit.per_second == expected
    for value in (b"-1", b"soon", b"", b"1e9", b"5, 6"):
        head = dialect.read_answer(200, b"OK", [HeaderField(b"server-brittle", value)])
        assert head.rejection_limit.per_second is None
        assert head.rejection_limit.unreadable
    twice = [HeaderField(b"Server-Brittle", b"5"), HeaderField(b"Server-Brittle", b"6")]
    assert dialect.read_answer(200, b"OK", twice).rejection_limit.unreadable == "5, 6"


def test_other_gateways_learn_a_rejection_limit_and_its_end_beside_a_request_limit() -> None:
    here, there = ServerSignals(), ServerSignals()
    here.on_answer(KEY, 2.0, 0.0, 1.0)
    assert here.on_answer_rejection_limit(KEY, 5.0, 0.0, 1.0) is LimitChange.ADDED
    [change] = there.merge(here.due_reports(1.1, 1.0), 1.1, relay=False)
    assert (change.change, change.per_second) == (LimitChange.ADDED, 2.0)
    assert (change.rejection_change, change.rejections_per_second) == (LimitChange.ADDED, 5.0)
    # An answer to a request that was sent before the announcement doesn't end it.
    assert here.on_answer_rejection_limit(KEY, None, 0.9, 1.2) is None
    assert here.on_answer_rejection_limit(KEY, None, 1.1, 1.3) is LimitChange.REMOVED
    [change] = there.merge(here.due_reports(1.4, 1.0), 1.4, relay=False)
    assert (change.change, change.rejection_change) == (None, LimitChange.REMOVED)


def _key(table: InstanceTable, name: str) -> int:
    instance = table.get(name)
    assert instance is not None
    return instance.key


def test_a_server_that_has_just_started_is_treated_like_the_others_of_its_service() -> None:
    """Guards against bursts of requests to the successor of a server that crashed."""
    table, signals = InstanceTable(), ServerSignals()
    limits = RejectionLimits(signals, table)
    table.upsert(InstanceRecord("s-1", "engine", "127.0.0.1:1"))
    table.upsert(InstanceRecord("s-2", "other", "127.0.0.1:2"))
    assert limits.of_service("engine", 0.0) is None
    signals.on_answer_rejection_limit(_key(table, "s-1"), 5.0, 0.0, 1.0)
    assert limits.of_service("engine", 1.0) == 5.0
    assert limits.of_service("other", 1.0) is None
    table.forget("s-1")
    table.upsert(InstanceRecord("s-3", "engine", "127.0.0.1:3"))
    limits.refresh(2.0)
    assert limits.of_service("engine", 2.0) == 5.0
    limits.refresh(1.0 + RETENTION_SECONDS)
    assert limits.of_service("engine", 1.0 + RETENTION_SECONDS) is None


def test_a_gateway_that_has_just_started_knows_the_limits_that_others_knew() -> None:
    """Guards against requests without leases from gateways that restart while servers are full."""
    table, signals = InstanceTable(), ServerSignals()
    limits = RejectionLimits(signals, table)
    table.upsert(InstanceRecord("s-1", "engine", "127.0.0.1:1"))
    limits.on_reported({"engine": 2.0}, 0.0)
    assert limits.of_service("engine", 0.0) == 2.0
    signals.on_answer_rejection_limit(_key(table, "s-1"), 5.0, 0.0, 1.0)
    assert limits.of_service("engine", 1.0) == 5.0
    limits.on_reported({"engine": 2.0}, 1.0)
    assert limits.by_service() == {"engine": 5.0}


def test_a_service_is_sound_again_when_its_answers_no_longer_announce_a_limit() -> None:
    table, signals = InstanceTable(), ServerSignals()
    limits = RejectionLimits(signals, table)
    for number in (1, 2):
        table.upsert(InstanceRecord(f"s-{number}", "engine", f"127.0.0.1:{number}"))
        signals.on_answer_rejection_limit(_key(table, f"s-{number}"), 3.0 + number, 0.0, 1.0)
    assert limits.of_service("engine", 1.0) == 4.0
    signals.on_answer_rejection_limit(_key(table, "s-1"), None, 1.5, 2.0)
    assert limits.of_service("engine", 2.0) == 5.0
    signals.on_answer_rejection_limit(_key(table, "s-2"), None, 1.5, 2.0)
    assert limits.of_service("engine", 2.0) is None
