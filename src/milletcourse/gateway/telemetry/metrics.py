"""Figures of a gateway for Prometheus.

They are counted in plain numbers. The library that writes them out takes as long to import as all
else that a gateway needs, so it is imported when they are first asked for, not at the start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from milletcourse.exchange.messages.messages import AttemptResult
from milletcourse.gateway.telemetry.metrics_sink import MetricsSink
from milletcourse.gateway.telemetry.unanswered import UnansweredCause

if TYPE_CHECKING:
    from prometheus_client.core import Metric

ANSWER_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
PREFIX = "milletcourse_gateway_"


class GaugeValue:
    """A figure that is set when the figures are asked for."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.value = 0.0

    def set(self, value: float) -> None:
        """The figure as it is now."""
        self.value = float(value)


class GatewayMetrics(MetricsSink):
    """Figures of one gateway; labels are bounded by types."""

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._attempts: Counter[str] = Counter()
        self._orders: Counter[str] = Counter()
        self._exclusions: Counter[tuple[str, str]] = Counter()
        self._ejections = 0
        self._containments = 0
        self._peer_messages_refused = 0
        self._store_failures = 0
        self._store_restores = 0
        self._permit_requests: Counter[str] = Counter()
        self._quota_owner_timeouts = 0
        self._descriptors_exhausted = 0
        self._answers_by_bucket = [0] * (len(ANSWER_BUCKETS_SECONDS) + 1)
        self._answer_seconds = 0.0
        self.configuration = GaugeValue("configuration_version", "Version in force")
        self.configuration_behind = GaugeValue(
            "configuration_behind", "1 while a newer version is known, and on its way here"
        )
        self.proof_age = GaugeValue(
            "proof_age_seconds", "Age of the latest proof that the configuration is in force"
        )
        self.ready = GaugeValue("ready", "1 when ready")
        self.instances = GaugeValue("instances", "Known servers")
        self.holds_lease = GaugeValue("holds_lease", "1 for the roll-out's holder")
        self.reads_store = GaugeValue(
            "reads_store",
            "1 when it reads the object store itself, 0 when it follows another gateway",
        )
        self.clients = GaugeValue("client_connections", "Open connections")
        self.contained = GaugeValue("contained_requests", "Requests that aren't sent to servers")
        self.limited_servers = GaugeValue("limited_servers", "Servers that name a limit")
        self.signalling_servers = GaugeValue("signalling_servers", "Servers that leave or rest")
        self.log_lines_left_out = GaugeValue("log_lines_left_out", "Since the start")

    # -- counting -------------------------------------------------------------------------------

    def on_request_finished(self, outcome: str) -> None:
        """See `MetricsSink`."""
        self._requests[outcome] += 1

    def on_unanswered(self, cause: UnansweredCause) -> None:
        """See `MetricsSink`."""
        self._unanswered[cause.value] += 1

    def on_attempt(self, result: AttemptResult) -> None:
        """See `MetricsSink`."""
        self._attempts[result.value] += 1

    def on_first_answer(self, seconds: float) -> None:
        """See `MetricsSink`."""
        self._answers_by_bucket[bisect_left(ANSWER_BUCKETS_SECONDS, seconds)] += 1
        self._answer_seconds += seconds

    def on_ejection(self) -> None:
        """See `MetricsSink`."""
        self._ejections += 1

    def on_containment(self) -> None:
        """See `MetricsSink`."""
        self._containments += 1

    def on_peer_message_refused(self) -> None:
        """See `MetricsSink`."""
        self._peer_messages_refused += 1

    def on_order(self, reply: str) -> None:
        """See `MetricsSink`."""
        self._orders[reply] += 1

    def on_permit_requested(self, granted: bool) -> None:
        """See `MetricsSink`."""
        self._permit_requests["granted" if granted else "denied"] += 1

    def on_quota_owner_timeout(self) -> None:
        """See `MetricsSink`."""
        self._quota_owner_timeouts += 1

    def on_server_excluded(self, service: str, signal: str) -> None:
        """See `MetricsSink`."""
        self._exclusions[service, signal] += 1

    def on_descriptors_exhausted(self) -> None:
        """See `MetricsSink`."""
        self._descriptors_exhausted += 1

    def on_store_failure(self) -> None:
        """See `MetricsSink`."""
        self._store_failures += 1

    def on_store_restored(self) -> None:
        """See `MetricsSink`."""
        self._store_restores += 1

    # -- telling --------------------------------------------------------------------------------

    def render(self) -> bytes:
        """The exposition text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """All figures as the library's families; the method that a registry calls."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, description, label, counts in (
            (
                "requests",
                "Requests by final outcome: served, passed-failure, client-left, cut, or a refusal",
                "outcome",
                self._requests,
            ),
            (
                "unanswered",
                "Requests that were read and ended without a whole answer, by cause",
                "cause",
                self._unanswered,
            ),
            ("attempts", "Attempts at servers by result", "result", self._attempts),
            ("weight_orders", "Weight orders by the server's reply", "reply", self._orders),
            (
                "limit_units",
                "Sends to servers that limit their requests, by whether they were let through",
                "reply",
                self._permit_requests,
            ),
        ):
            family = CounterMetricFamily(PREFIX + name, description, labels=[label])
            for value, count in counts.items():
                family.add_metric([value], count)
            yield family
        exclusions = CounterMetricFamily(
            f"{PREFIX}kept_away",
            "Requests that were kept from a server that leaves or rests",
            labels=["service", "signal"],
        )
        for labels, count in self._exclusions.items():
            exclusions.add_metric(labels, count)
        yield exclusions
        yield CounterMetricFamily(
            f"{PREFIX}ejections", "Servers ejected as outliers", self._ejections
        )
        yield CounterMetricFamily(
            f"{PREFIX}peer_messages_refused",
            "Datagrams that could not be understood, or held absurd figures",
            self._peer_messages_refused,
        )
        yield CounterMetricFamily(
            f"{PREFIX}containments",
            "Requests that aren't sent any more since servers ended under them",
            self._containments,
        )
        yield CounterMetricFamily(
            f"{PREFIX}limit_lenders_silent",
            "Asks for a unit of a server's limit that the lending gateway didn't reply to",
            self._quota_owner_timeouts,
        )
        yield CounterMetricFamily(
            f"{PREFIX}descriptors_exhausted",
            "Connections to servers that couldn't be opened for lack of a descriptor",
            self._descriptors_exhausted,
        )
        yield CounterMetricFamily(
            f"{PREFIX}store_failures",
            "Calls to the object store that gave nothing",
            self._store_failures,
        )
        yield CounterMetricFamily(
            f"{PREFIX}store_returns",
            "Times that the object store came back from an older copy, by each kind that showed it",
            self._store_restores,
        )
        yield HistogramMetricFamily(
            f"{PREFIX}first_answer_seconds",
            "Time from a request's first byte to the first byte of its answer",
            buckets=self._cumulative_buckets(),
            sum_value=self._answer_seconds,
        )
        for gauge in self._gauges():
            yield GaugeMetricFamily(PREFIX + gauge.name, gauge.description, gauge.value)

    def _gauges(self) -> tuple[GaugeValue, ...]:
        return (
            self.configuration,
            self.configuration_behind,
            self.proof_age,
            self.ready,
            self.instances,
            self.holds_lease,
            self.reads_store,
            self.clients,
            self.limited_servers,
            self.signalling_servers,
            self.log_lines_left_out,
        )

    def _cumulative_buckets(self) -> list[tuple[str, float]]:
        """Upper bounds with the answers that took no longer."""
        bounds = [*(str(bound) for bound in ANSWER_BUCKETS_SECONDS), "+Inf"]
        total = 0
        buckets = []
        for bound, count in zip(bounds, self._answers_by_bucket, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets
