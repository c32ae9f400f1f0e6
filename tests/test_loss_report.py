"""The loss report, aggregated from log lines as gateways write them."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from milletcourse.cli.main import app
from milletcourse.exchange.counting.service_tally import Outcome, ServiceTally, served_outcome
from milletcourse.exchange.messages.records import RouteKind, RouteRecord, WeightedService
from milletcourse.reports.loss_report import loss_report, table_lines

RECORDED_LINES = [
    '  4.1103 g-1 {"node": "g-1", "instance": "i-1", "result": "not-sent", "event": '
    '"instance-ejected", "timestamp": "2026-09-17T23:51:14.110320Z"}',
    '{"node": "g-1", "route": "notes", "instance": "i-1", "result": "lost", "left": "silent", '
    '"step": "send-again", "request_id": "5", "seconds": 0.1, "event": "attempt-failed", '
    '"left_out": 3, "timestamp": "2026-09-17T23:51:14.210320Z"}',
    '{"node": "g-1", "ends": {"notes": {"in-time": 40, "late": 2, "cut": 1}}, '
    '"superseded": {"notes": 7}, "sent_again": {"notes": 1}, "connections": 4, '
    '"store_calls": {"servers": 6}, "store_failures": {"servers": 2}, "event": "service-tally", '
    '"timestamp": "2026-09-17T23:51:19.110320Z"}',
    '{"node": "g-2", "ends": {"notes": {"in-time": 10}, "lists": {"refused": 5}}, '
    '"superseded": {}, "sent_again": {}, "connections": 1, "store_calls": {}, '
    '"store_failures": {}, "event": "service-tally", "timestamp": "2026-09-17T23:51:24.110320Z"}',
]


def test_recorded_lines_add_up_over_gateways() -> None:
    """By route, time interval and decision, with the number of suppressed lines."""
    report = loss_report(RECORDED_LINES)
    assert report.gateways == ["g-1", "g-2"]
    notes = report.routes["notes"]
    assert notes.ends == {"in-time": 50, "late": 2, "cut": 1}
    assert (notes.superseded, notes.sent_again) == (7, 1)
    assert report.routes["lists"].ends == {"refused": 5}
    assert [moment.start for moment in report.moments] == [0.0, 5.0]
    assert report.moments[0].superseded == 7 and report.moments[0].store_calls == 6
    assert report.connections == 5
    assert report.store_failures == {"servers": 2}
    (lost,) = [item for item in report.decisions if item.event == "attempt-failed"]
    assert (lost.about, lost.count, lost.left_out) == (
        ["i-1", "lost", "silent", "send-again"],
        1,
        3,
    )
    assert any("notes" in line and "50" in line for line in table_lines(report))


def test_requests_without_an_answer_are_counted_by_cause_and_phase() -> None:
    """Each line is one decision of the gateway, in addition to the counts of outcomes."""
    line = (
        '{"node": "g-1", "request_id": "9", "phase": "queued", "cause": "connection-closing", '
        '"error": "", "stopping": true, "seconds": 0.2, "event": "request-unanswered", '
        '"timestamp": "2026-09-17T23:51:15Z"}'
    )
    (found,) = loss_report([line, line]).decisions
    assert (found.event, found.about, found.count) == (
        "request-unanswered",
        ["connection-closing", "queued"],
        2,
    )


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("another program's line", "foreign"),
        (RECORDED_LINES[2][:80], "broken"),
        ('{"event": "service-tally", "ends": 5, "timestamp": "2026-09-17T23:51:24Z"}', "unknown"),
        ('{"event": "service-tally", "timestamp": "2026-09-17T23:51:24Z"}', "unknown"),
        (RECORDED_LINES[3].replace("2026-09-17T23:51:24.110320Z", "yesterday"), "unknown"),
        ('{"level": "info"}', "broken"),
    ],
)
def test_unusable_lines_are_counted_and_skipped(line: str, field: str) -> None:
    """Logs may be truncated, mixed from several versions, or from another program."""
    report = loss_report([*RECORDED_LINES, line])
    assert report.routes["notes"].ends["in-time"] == 50
    assert getattr(report.skipped, field) == 1


@given(st.permutations(RECORDED_LINES))
def test_the_order_of_lines_does_not_matter(lines: list[str]) -> None:
    """Logs of several machines are merged in any order."""
    assert loss_report(lines).routes == loss_report(RECORDED_LINES).routes
    assert loss_report(lines).moments == loss_report(RECORDED_LINES).moments


@given(st.lists(st.text(max_size=60), max_size=20))
def test_any_text_is_read_without_an_error(lines: list[str]) -> None:
    """Arbitrary text yields an empty report."""
    assert loss_report(lines).routes == {}


def test_the_command_prints_a_table_or_json_and_fails_without_data() -> None:
    """The exit code tells a script whether the input contained any usable line."""
    runner = CliRunner()
    text = "\n".join(RECORDED_LINES)
    shown = runner.invoke(app, ["explain-losses"], input=text)
    assert shown.exit_code == 0 and "by interval" in shown.stdout
    as_json = runner.invoke(app, ["explain-losses", "--json"], input=text)
    assert json.loads(as_json.stdout)["routes"]["notes"]["superseded"] == 7
    assert runner.invoke(app, ["explain-losses"], input="nothing").exit_code == 1


def test_a_tally_is_taken_once() -> None:
    """A second read returns None, since nothing was counted in between."""
    tally = ServiceTally()
    assert tally.take() is None
    tally.on_end("notes", Outcome.LATE)
    tally.on_store_call("servers", succeeded=False)
    report = tally.take()
    assert report is not None
    assert report.ends == {"notes": {"late": 1}}
    assert report.store_failures == {"servers": 1}
    assert tally.take() is None


def test_an_answer_is_late_by_its_first_byte_or_by_a_gap() -> None:
    """A streaming answer is late when its first byte or a later gap exceeds the target."""
    route = RouteRecord(
        "notes", "host", "/", RouteKind.STREAMING, 4.0, 0.5, 0, (WeightedService("s"),),
        gap_seconds=0.3,
    )  # fmt: skip
    assert served_outcome(route, 0.5, 0.3) is Outcome.IN_TIME
    assert served_outcome(route, 0.6, 0.1) is Outcome.LATE
    assert served_outcome(route, 0.1, 0.4) is Outcome.LATE
