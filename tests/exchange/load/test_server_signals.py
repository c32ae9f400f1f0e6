"""Self-reported state of servers: parsing of header fields, and how long signals apply."""

from __future__ import annotations

import pytest

from milletcourse.exchange.load.server_signals import LEAVING_RETENTION_SECONDS, ServerSignals
from milletcourse.exchange.load.signal_record import (
    LEAVING_REPORT_SECONDS,
    TOMBSTONE_SECONDS,
    Signal,
)
from milletcourse.exchange.messages.dialect import HeaderDialect, HeaderNames
from milletcourse.exchange.messages.messages import HeaderField
from milletcourse.exchange.messages.peer_messages import (
    MAX_AGE_MS,
    PeerMessage,
    SignalReport,
    decode_message,
    encode_message,
)
from milletcourse.exchange.messages.records import InstanceRecord
from milletcourse.exchange.messages.signal_headers import (
    MAX_BACK_OFF_SECONDS,
    MAX_LOGGED_BYTES,
    NO_BACK_OFF,
    NOT_LEAVING,
    read_back_off,
    read_leaving,
)
from milletcourse.exchange.servers.instance_table import InstanceTable

KEY = 7


# -- parsing --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([b"3"], 3.0),
        ([b" 0.5 "], 0.5),
        ([b"3600"], 3600.0),
        ([b"3", b"5"], 5.0),
        ([b"soon", b"2"], 2.0),
        ([b"0"], 0.0),
        ([b"9" * 30], MAX_BACK_OFF_SECONDS),
    ],
)
def test_a_back_off_is_a_decimal_number_of_seconds(values: list[bytes], seconds: float) -> None:
    """Of several values the longest applies, which satisfies all of them."""
    reading = read_back_off(values)
    assert reading.seconds == seconds
    assert not reading.unreadable


@pytest.mark.parametrize(
    "value",
    [b"", b"nan", b"-1", b"inf", b"1e308", b"9" * 300, b"Wed, 21 Oct 2026 07:28:00 GMT", b"\xff"],
)
def test_a_malformed_back_off_is_ignored(value: bytes) -> None:
    """A short excerpt of it is kept for logs."""
    reading = read_back_off([value])
    assert reading.seconds is None
    assert 0 < len(reading.unreadable) <= MAX_LOGGED_BYTES


@pytest.mark.parametrize(
    ("values", "is_leaving"),
    [([], False), ([b"1"], True), ([b" 1"], True), ([b"0"], False), ([b"0", b"1"], True)],
)
def test_one_positive_leaving_field_is_enough(values: list[bytes], is_leaving: bool) -> None:
    """Without any field the server is not leaving."""
    reading = read_leaving(values)
    assert reading.is_leaving is is_leaving
    assert not reading.unreadable


@pytest.mark.parametrize("value", [b"", b"yes", b"-1", b"1" * 300])
def test_a_malformed_leaving_field_is_logged(value: bytes) -> None:
    """It doesn't mark the server as leaving."""
    reading = read_leaving([value])
    assert not reading.is_leaving
    assert 0 < len(reading.unreadable) <= MAX_LOGGED_BYTES


@pytest.mark.parametrize(("status", "seconds"), [(503, 2.0), (429, 2.0), (200, None), (500, None)])
def test_only_a_refusal_requests_a_back_off(status: int, seconds: float | None) -> None:
    """With other statuses the field doesn't describe the server."""
    fields = [HeaderField(b"Retry-After", b"2")]
    head = HeaderDialect(HeaderNames()).read_answer(status, b"", fields)
    assert head.back_off.seconds == seconds


def test_an_answer_without_fields_has_no_signals() -> None:
    """Most answers carry none of the fields."""
    head = HeaderDialect(HeaderNames()).read_answer(503, b"", [])
    assert head.back_off == NO_BACK_OFF
    assert head.leaving == NOT_LEAVING


# -- lifetime of signals --------------------------------------------------------------------------


def test_a_back_off_expires_and_is_not_reported_to_others() -> None:
    """The server requested it from one gateway only."""
    signals = ServerSignals()
    assert signals.on_back_off(KEY, 3.0, 10.0)
    assert not signals.on_back_off(KEY, 1.0, 11.0)
    assert signals.active_signals([KEY], 12.9) == {KEY: Signal.BACKING_OFF}
    assert not signals.active_signals([KEY], 13.0)
    assert not signals.due_reports(11.0, 0.0)
    assert not signals.latest_reports(11.0)
    assert not signals.has_updates


def test_a_shutdown_applies_whatever_later_answers_report() -> None:
    """Answers without the field may have been sent before the shutdown was reported."""
    signals = ServerSignals()
    assert signals.on_leaving(KEY, 1.0)
    assert not signals.on_leaving(KEY, 2.0)
    signals.on_answer(KEY, None, 3.0, 3.0)
    assert signals.signal(KEY, 1000.0) is Signal.LEAVING
    signals.expire(TOMBSTONE_SECONDS + 100.0, lambda: {KEY})
    assert signals.signal(KEY, 1000.0) is Signal.LEAVING


def test_the_shutdown_of_an_unlisted_server_is_remembered() -> None:
    """A list that is read after a store outage may be older than the report and list it again."""
    signals = ServerSignals()
    signals.on_leaving(KEY, 0.0)
    signals.expire(LEAVING_RETENTION_SECONDS - 1.0, set)
    assert signals.signal(KEY, 0.0) is Signal.LEAVING
    signals.expire(LEAVING_RETENTION_SECONDS + 1.0, set)
    assert signals.record(KEY) is None


def test_gateways_report_shutdowns_to_each_other() -> None:
    """Reports carry the age of the first answer, and are sent for as long as the server may run."""
    here, there = ServerSignals(), ServerSignals()
    here.on_leaving(KEY, 10.0)
    assert here.has_updates
    report = here.due_reports(10.5, 1.0)
    assert report == [SignalReport(KEY, None, MAX_AGE_MS, 500)]
    changes = there.merge(report, 50.0, relay=True)
    assert [(item.key, item.is_leaving, item.change) for item in changes] == [(KEY, True, None)]
    assert there.has_updates
    assert there.per_second(KEY) is None
    assert not there.merge(report, 50.1, relay=True)
    for _ in range(9):
        here.due_reports(11.0, 10.0)
    assert here.due_reports(10.0 + LEAVING_REPORT_SECONDS - 1.0, 1.0)
    assert not here.due_reports(10.0 + LEAVING_REPORT_SECONDS + 1.0, 1.0)


def test_signals_stay_when_the_start_of_a_server_becomes_known() -> None:
    """An entry of another writer may lack the start time; the key changes when it becomes known."""
    table, signals = InstanceTable(), ServerSignals()
    table.on_renamed = signals.on_renamed
    record = InstanceRecord("s-1", "app", "127.0.0.1:1", "zone-1")
    table.upsert(record)
    instance = table.get("s-1")
    assert instance is not None
    signals.on_leaving(instance.key, 1.0)
    table.on_start_seen("s-1", 1700)
    assert signals.signal(instance.key, 2.0) is Signal.LEAVING


def test_a_restart_under_the_same_name_has_no_signals() -> None:
    """The new incarnation replaces the one that was shutting down."""
    table, signals = InstanceTable(), ServerSignals()
    table.on_renamed = signals.on_renamed
    table.upsert(InstanceRecord("s-1", "app", "127.0.0.1:1", "zone-1", started_ms=1700))
    before = table.get("s-1")
    assert before is not None
    signals.on_leaving(before.key, 1.0)
    table.on_start_seen("s-1", 1800)
    after = table.get("s-1")
    assert after is not None
    assert signals.signal(after.key, 2.0) is None


@pytest.mark.parametrize("age", [-1, MAX_AGE_MS + 1])
def test_out_of_range_ages_of_peers_are_rejected(age: int) -> None:
    """They are rejected like bytes that are no message."""
    message = PeerMessage("g1", 1, signals=[SignalReport(KEY, None, 0, age)])
    assert decode_message(encode_message(message)) is None
