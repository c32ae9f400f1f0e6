"""What servers say of themselves: how it is read, and how long it holds."""

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


# -- reading --------------------------------------------------------------------------------------


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
def test_a_rest_is_a_decimal_number_of_seconds(values: list[bytes], seconds: float) -> None:
    """Of several the longest keeps to all."""
    reading = read_back_off(values)
    assert reading.seconds == seconds
    assert not reading.unreadable


@pytest.mark.parametrize(
    "value",
    [b"", b"nan", b"-1", b"inf", b"1e308", b"9" * 300, b"Wed, 21 Oct 2026 07:28:00 GMT", b"\xff"],
)
def test_what_is_no_rest_is_not_believed(value: bytes) -> None:
    """It is shown to operators in a few bytes."""
    reading = read_back_off([value])
    assert reading.seconds is None
    assert 0 < len(reading.unreadable) <= MAX_LOGGED_BYTES


@pytest.mark.parametrize(
    ("values", "leaves"),
    [([], False), ([b"1"], True), ([b" 1"], True), ([b"0"], False), ([b"0", b"1"], True)],
)
def test_one_field_that_says_that_a_server_leaves_is_enough(
    values: list[bytes], leaves: bool
) -> None:
    """As no field at all says that it stays."""
    reading = read_leaving(values)
    assert reading.is_leaving is leaves
    assert not reading.unreadable


@pytest.mark.parametrize("value", [b"", b"yes", b"-1", b"1" * 300])
def test_what_neither_says_leaving_nor_staying_is_shown(value: bytes) -> None:
    """And changes nothing."""
    reading = read_leaving([value])
    assert not reading.is_leaving
    assert 0 < len(reading.unreadable) <= MAX_LOGGED_BYTES


@pytest.mark.parametrize(("status", "seconds"), [(503, 2.0), (429, 2.0), (200, None), (500, None)])
def test_only_a_refusal_asks_for_rest(status: int, seconds: float | None) -> None:
    """Elsewhere the field isn't about the server."""
    fields = [HeaderField(b"Retry-After", b"2")]
    head = HeaderDialect(HeaderNames()).read_answer(status, b"", fields)
    assert head.back_off.seconds == seconds


def test_an_answer_without_fields_says_nothing() -> None:
    """As most do."""
    head = HeaderDialect(HeaderNames()).read_answer(503, b"", [])
    assert head.back_off == NO_BACK_OFF
    assert head.leaving == NOT_LEAVING


# -- how long it holds ----------------------------------------------------------------------------


def test_a_rest_ends_by_time_and_is_not_told_to_others() -> None:
    """It was asked of one gateway."""
    signals = ServerSignals()
    assert signals.on_back_off(KEY, 3.0, 10.0)
    assert not signals.on_back_off(KEY, 1.0, 11.0)
    assert signals.active_signals([KEY], 12.9) == {KEY: Signal.BACKING_OFF}
    assert not signals.active_signals([KEY], 13.0)
    assert not signals.due_reports(11.0, 0.0)
    assert not signals.latest_reports(11.0)
    assert not signals.has_updates


def test_that_a_server_leaves_holds_whatever_it_says_afterwards() -> None:
    """Answers without the word may have been on their way."""
    signals = ServerSignals()
    assert signals.on_leaving(KEY, 1.0)
    assert not signals.on_leaving(KEY, 2.0)
    signals.on_answer(KEY, None, 3.0, 3.0)
    assert signals.signal(KEY, 1000.0) is Signal.LEAVING
    signals.expire(TOMBSTONE_SECONDS + 100.0, lambda: {KEY})
    assert signals.signal(KEY, 1000.0) is Signal.LEAVING


def test_a_leaving_server_that_is_on_no_list_is_remembered() -> None:
    """A list that is read after an outage may be older than the word, and show it again."""
    signals = ServerSignals()
    signals.on_leaving(KEY, 0.0)
    signals.expire(LEAVING_RETENTION_SECONDS - 1.0, set)
    assert signals.signal(KEY, 0.0) is Signal.LEAVING
    signals.expire(LEAVING_RETENTION_SECONDS + 1.0, set)
    assert signals.record(KEY) is None


def test_gateways_tell_each_other_that_a_server_leaves() -> None:
    """With the age of the first answer that said so, and for as long as it may be there."""
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


def test_what_a_server_said_holds_when_its_start_becomes_known() -> None:
    """An entry of another writer lacked it, and the identity in messages is another one then."""
    table, signals = InstanceTable(), ServerSignals()
    table.on_renamed = signals.on_renamed
    record = InstanceRecord("s-1", "app", "127.0.0.1:1", "zone-1")
    table.upsert(record)
    instance = table.get("s-1")
    assert instance is not None
    signals.on_leaving(instance.key, 1.0)
    table.on_start_seen("s-1", 1700)
    assert signals.signal(instance.key, 2.0) is Signal.LEAVING


def test_another_start_under_the_same_name_has_said_nothing() -> None:
    """It took the place of the one that left."""
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
def test_absurd_ages_of_peers_are_refused(age: int) -> None:
    """As bytes that are no message."""
    message = PeerMessage("g1", 1, signals=[SignalReport(KEY, None, 0, age)])
    assert decode_message(encode_message(message)) is None
