"""Aggregates the logs of all gateways: lost service by route, time interval and decision."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import msgspec

from milletcourse.exchange.counting.service_tally import (
    TALLY_INTERVAL_SECONDS,
    Outcome,
    TallyReport,
)
from milletcourse.reports.log_lines import SkippedLines, read_documents

TALLY_EVENT = "service-tally"
DECISION_FIELDS = {
    "attempt-failed": ("instance", "result", "left", "step"),
    "instance-ejected": ("instance", "result"),
    "instance-ended": ("instance",),
    "instance-suspected": ("instance",),
    "weight-order": ("instance", "reply"),
    "request-failed": ("code",),
    "request-refused": ("code",),
    "request-unanswered": ("cause", "phase"),
    "stream-cut": ("route", "ended_for"),
    "reader-lost": ("reader", "outcome"),
    "store-lost": ("kind",),
}
"""Event names of decisions -> fields by which their lines are grouped and counted."""
MAX_SHOWN_DECISIONS = 12
"""Limit per event name in the table; the most frequent decisions are shown."""


class RouteLosses(msgspec.Struct):
    """Outcomes, superseded weights and retries of the requests of one route.

    Attributes:
        ends: Outcome -> requests.
        superseded: Requests sent to servers with superseded weights.
        sent_again: Attempts after the first.
    """

    ends: dict[str, int] = {}
    superseded: int = 0
    sent_again: int = 0


class IntervalLosses(msgspec.Struct):
    """Outcomes of one time interval, over all gateways.

    Attributes:
        start: Seconds since the first line.
        ends: Outcome -> requests.
        superseded: Requests sent to servers with superseded weights.
        store_calls: Calls to the object store.
    """

    start: float
    ends: dict[str, int]
    superseded: int = 0
    store_calls: int = 0


class DecisionCount(msgspec.Struct):
    """Number of decisions with the same event name and the same field values.

    Attributes:
        event: Name of the log line.
        about: Values of the fields in `DECISION_FIELDS`.
        count: Number of such lines, without the ones that the rate limit of the log suppressed.
        left_out: Suppressed lines of this event name, for all field values together.
    """

    event: str
    about: list[str]
    count: int
    left_out: int


class LossReport(msgspec.Struct):
    """The aggregated report.

    Attributes:
        gateways: Names of the machines whose lines were read.
        routes: Losses by route name.
        moments: Time intervals in order.
        decisions: Decisions, most frequent first.
        connections: New connections to servers.
        store_calls: Kind of objects -> calls.
        store_failures: Kind of objects -> failed calls.
        skipped: Lines that could not be used.
    """

    gateways: list[str]
    routes: dict[str, RouteLosses]
    moments: list[IntervalLosses]
    decisions: list[DecisionCount]
    connections: int
    store_calls: dict[str, int]
    store_failures: dict[str, int]
    skipped: SkippedLines


class _Totals:
    """Totals that accumulate while lines are read."""

    def __init__(self) -> None:
        self.gateways: set[str] = set()
        self.ends: dict[str, Counter[str]] = {}
        self.superseded: Counter[str] = Counter()
        self.sent_again: Counter[str] = Counter()
        self.moments: dict[int, tuple[Counter[str], Counter[str]]] = {}
        self.decisions: Counter[tuple[str, ...]] = Counter()
        self.left_out: Counter[str] = Counter()
        self.connections = 0
        self.calls: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    def add_tally(self, tally: TallyReport, interval: int) -> None:
        """Add the counts of one gateway for one time interval."""
        ends, extras = self.moments.setdefault(interval, (Counter(), Counter()))
        for route, outcomes in tally.ends.items():
            self.ends.setdefault(route, Counter()).update(outcomes)
            ends.update(outcomes)
        self.superseded.update(tally.superseded)
        self.sent_again.update(tally.sent_again)
        self.connections += tally.connections
        self.calls.update(tally.store_calls)
        self.failures.update(tally.store_failures)
        extras["superseded"] += sum(tally.superseded.values())
        extras["calls"] += sum(tally.store_calls.values())


def loss_report(lines: Iterable[str]) -> LossReport:
    """Aggregate the logs of any number of gateways, in any order."""
    skipped = SkippedLines()
    totals = _Totals()
    documents = list(read_documents(lines, skipped))
    first_at = min((at for at in map(_timestamp, documents) if at is not None), default=0.0)
    for document in documents:
        event = str(document["event"])
        totals.gateways.add(str(document.get("node", "")))
        totals.left_out[event] += _int_or_zero(document.get("left_out"))
        if event == TALLY_EVENT:
            _add_tally(totals, document, first_at, skipped)
        elif event in DECISION_FIELDS:
            about = (str(document.get(name, "")) for name in DECISION_FIELDS[event])
            totals.decisions[(event, *about)] += 1
    return _report(totals, skipped)


def _add_tally(
    totals: _Totals, document: dict[str, Any], first_at: float, skipped: SkippedLines
) -> None:
    at = _timestamp(document)
    try:
        tally = msgspec.convert(document, TallyReport)
    except msgspec.ValidationError:
        tally = None
    if at is None or tally is None:
        skipped.unknown += 1
        return
    # A tally covers the interval that ends at its timestamp.
    totals.add_tally(tally, max(int((at - first_at) / TALLY_INTERVAL_SECONDS) - 1, 0))


def _report(totals: _Totals, skipped: SkippedLines) -> LossReport:
    routes = {
        name: RouteLosses(
            dict(totals.ends.get(name, {})), totals.superseded[name], totals.sent_again[name]
        )
        for name in sorted({*totals.ends, *totals.superseded})
    }
    moments = [
        IntervalLosses(
            interval * TALLY_INTERVAL_SECONDS, dict(ends), extras["superseded"], extras["calls"]
        )
        for interval, (ends, extras) in sorted(totals.moments.items())
    ]
    decisions = [
        DecisionCount(event, about, count, totals.left_out[event])
        for (event, *about), count in totals.decisions.most_common()
    ]
    return LossReport(
        sorted(totals.gateways),
        routes,
        moments,
        decisions,
        totals.connections,
        dict(totals.calls),
        dict(totals.failures),
        skipped,
    )


def _timestamp(document: dict[str, Any]) -> float | None:
    """Seconds since the epoch at which a line was written, None without a valid timestamp."""
    try:
        return datetime.fromisoformat(str(document.get("timestamp"))).timestamp()
    except ValueError:
        return None


def _int_or_zero(value: object) -> int:
    return value if isinstance(value, int) else 0


def table_lines(report: LossReport) -> list[str]:
    """The report as a table for display."""
    columns = [outcome.value for outcome in Outcome]
    header = f"{'':28}" + "".join(f"{name:>15}" for name in [*columns, "superseded"])
    lines = [f"{len(report.gateways)} gateways", "", "by route", header]
    lines += [
        _table_row(name, route.ends, route.superseded) for name, route in report.routes.items()
    ]
    lines += ["", f"by interval (start of {TALLY_INTERVAL_SECONDS:g} s)", header]
    lines += [_table_row(f"{at.start:.0f}", at.ends, at.superseded) for at in report.moments]
    lines += [
        "",
        "decisions, most frequent first per event (lines suppressed by the rate limit in brackets)",
    ]
    shown: Counter[str] = Counter()
    for decision in report.decisions:
        shown[decision.event] += 1
        if shown[decision.event] <= MAX_SHOWN_DECISIONS:
            about = " ".join(decision.about)
            lines.append(f"{decision.count:6} {decision.event} {about} ({decision.left_out})")
    calls = sum(report.store_calls.values())
    failed = sum(report.store_failures.values())
    lines += ["", f"new connections to servers: {report.connections}"]
    lines += [f"calls to the object store: {calls}, {failed} of them failed"]
    lines += [
        f"  {kind}: {count}, {report.store_failures.get(kind, 0)} failed"
        for kind, count in sorted(report.store_calls.items())
    ]
    skipped = report.skipped
    lines += [
        f"skipped lines: {skipped.foreign} foreign, {skipped.broken} broken, "
        f"{skipped.unknown} of another version"
    ]
    return lines


def _table_row(label: str, ends: dict[str, int], superseded: int) -> str:
    counts = [ends.get(outcome.value, 0) for outcome in Outcome]
    return f"{label:28}" + "".join(f"{count:15}" for count in [*counts, superseded])
