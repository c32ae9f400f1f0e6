"""Prometheus metrics of a gateway.

Counters are kept as plain numbers. Importing the Prometheus client library takes as long as
importing everything else that a gateway needs, so it is imported at the first scrape, not at start.
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
    """A gauge whose value is updated before each scrape."""

    def __init__(self, name: str, description: str) -> None:
        self.name = name
        self.description = description
        self.value = 0.0

    def set(self, value: float) -> None:
        """Set the current value."""
        self.value = float(value)


class GatewayMetrics(MetricsSink):
    """Metrics of one gateway; enums and configured names bound the label values."""

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
        self._relays_asked: Counter[str] = Counter()
        self._relay_replies: Counter[str] = Counter()
        self._streams: Counter[tuple[str, str]] = Counter()
        self._streams_resumed: Counter[str] = Counter()
        self._resumptions: Counter[tuple[str, str]] = Counter()
        self._origin_holder_timeouts = 0
        self._surplus_data: Counter[str] = Counter()
        self._answers_by_bucket = [0] * (len(ANSWER_BUCKETS_SECONDS) + 1)
        self._answer_seconds = 0.0
        self.configuration = GaugeValue("configuration_version", "Version in force")
        self.configuration_behind = GaugeValue(
            "configuration_behind", "1 while a newer version is known and not in force here yet"
        )
        self.proof_age = GaugeValue(
            "proof_age_seconds", "Age of the latest proof that the configuration is current"
        )
        self.ready = GaugeValue("ready", "1 when ready")
        self.instances = GaugeValue("instances", "Known servers")
        self.holds_lease = GaugeValue(
            "holds_lease", "1 on the gateway that holds the rollout lease"
        )
        self.reads_store = GaugeValue(
            "reads_store",
            "1 when it reads the object store itself, 0 when it follows another gateway",
        )
        self.clients = GaugeValue("client_connections", "Open connections")
        self.received_memory = GaugeValue(
            "client_memory_received_bytes", "Memory of requests that are being received"
        )
        self.served_memory = GaugeValue(
            "client_memory_served_bytes", "Memory of requests that have not been answered"
        )
        self.memory_capacity = GaugeValue(
            "client_memory_capacity_bytes", "Bound on the memory of requests"
        )
        self.memory_evictions = GaugeValue(
            "client_memory_evictions", "Requests that lost their memory since the start"
        )
        self.memory_refusals = GaugeValue(
            "client_memory_refusals", "Requests refused for lack of memory since the start"
        )
        self.answer_memory = GaugeValue(
            "answer_memory_bytes", "Memory of answers that are being received from servers"
        )
        self.answer_evictions = GaugeValue(
            "answer_memory_evictions", "Answers that lost their memory since the start"
        )
        self.contained = GaugeValue(
            "contained_requests", "Requests that are not sent to servers, since they crash them"
        )
        self.limited_servers = GaugeValue("limited_servers", "Servers that report a request limit")
        self.signalling_servers = GaugeValue(
            "signalling_servers", "Servers that are shutting down or backing off"
        )
        self.lost_paths = GaugeValue(
            "lost_paths", "Servers that other gateways reach and this one doesn't"
        )
        self.isolated = GaugeValue("isolated", "1 while this gateway reaches no server")
        self.relayed_connections = GaugeValue(
            "relayed_connections", "Open connections to servers that it relays for other gateways"
        )
        self.log_lines_left_out = GaugeValue(
            "log_lines_left_out", "Log lines suppressed or dropped since the start"
        )

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

    def on_stream_relayed(self, service: str, software_version: str) -> None:
        """See `MetricsSink`."""
        self._streams[service, software_version] += 1

    def on_stream_resumed(self, outcome: str) -> None:
        """See `MetricsSink`."""
        self._streams_resumed[outcome] += 1

    def on_resumption_ended(self, outcome: str, went_on: bool) -> None:
        """See `MetricsSink`."""
        self._resumptions[outcome, str(went_on).lower()] += 1

    def on_origin_holders_silent(self) -> None:
        """See `MetricsSink`."""
        self._origin_holder_timeouts += 1

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

    def on_relay_asked(self, reply: str) -> None:
        """See `MetricsSink`."""
        self._relays_asked[reply] += 1

    def on_relay_reply(self, reply: str) -> None:
        """See `MetricsSink`."""
        self._relay_replies[reply] += 1

    def on_surplus_data(self, is_taken: bool) -> None:
        """See `MetricsSink`."""
        self._surplus_data["taken" if is_taken else "ignored"] += 1

    def on_store_failure(self) -> None:
        """See `MetricsSink`."""
        self._store_failures += 1

    def on_store_restored(self) -> None:
        """See `MetricsSink`."""
        self._store_restores += 1

    # -- exposition -----------------------------------------------------------------------------

    def render(self) -> bytes:
        """The metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """All metrics as metric families; the registry calls this method."""
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
                "Requests that were read and ended without a complete answer, by cause",
                "cause",
                self._unanswered,
            ),
            ("attempts", "Attempts at servers, by result", "result", self._attempts),
            ("weight_orders", "Weight orders, by the server's reply", "reply", self._orders),
            (
                "limit_units",
                "Permit requests for servers with a request limit, by granted or denied",
                "reply",
                self._permit_requests,
            ),
            (
                "relays_asked",
                "Requests to other gateways for a connection to a server, by their reply",
                "reply",
                self._relays_asked,
            ),
            (
                "relay_replies",
                "Requests of other gateways for a connection to a server, by the reply",
                "reply",
                self._relay_replies,
            ),
            (
                "surplus_data",
                "Answers and other data of servers that don't name the pending request",
                "outcome",
                self._surplus_data,
            ),
            (
                "streams_resumed",
                "Streams that clients resume, by whether the version that began them is known",
                "outcome",
                self._streams_resumed,
            ),
        ):
            family = CounterMetricFamily(PREFIX + name, description, labels=[label])
            for value, count in counts.items():
                family.add_metric([value], count)
            yield family
        for name, description, names, counts_by_labels in (
            (
                "kept_away",
                "Requests for which a server was excluded, "
                "since it is shutting down or backing off",
                ("service", "signal"),
                self._exclusions,
            ),
            (
                "streams",
                "Answers that are streams, by the software version of the server that began them",
                ("service", "software_version"),
                self._streams,
            ),
            (
                "resumptions",
                "Attempts of clients to resume a stream, by how they ended",
                ("outcome", "went_on"),
                self._resumptions,
            ),
        ):
            family = CounterMetricFamily(PREFIX + name, description, labels=names)
            for labels, count in counts_by_labels.items():
                family.add_metric(labels, count)
            yield family
        yield CounterMetricFamily(
            f"{PREFIX}origin_holders_silent",
            "Questions for the origin of a stream that not all holders replied to in time",
            self._origin_holder_timeouts,
        )
        yield CounterMetricFamily(
            f"{PREFIX}ejections", "Servers ejected as outliers", self._ejections
        )
        yield CounterMetricFamily(
            f"{PREFIX}peer_messages_refused",
            "Datagrams rejected as malformed or with implausible values",
            self._peer_messages_refused,
        )
        yield CounterMetricFamily(
            f"{PREFIX}containments",
            "Requests that are no longer sent, since servers crashed while they served them",
            self._containments,
        )
        yield CounterMetricFamily(
            f"{PREFIX}limit_lenders_silent",
            "Permit requests that the gateway that owns the server's quota did not reply to",
            self._quota_owner_timeouts,
        )
        yield CounterMetricFamily(
            f"{PREFIX}descriptors_exhausted",
            "Connections to servers that could not be opened for lack of a file descriptor",
            self._descriptors_exhausted,
        )
        yield CounterMetricFamily(
            f"{PREFIX}store_failures",
            "Failed calls to the object store",
            self._store_failures,
        )
        yield CounterMetricFamily(
            f"{PREFIX}store_returns",
            "Restores of the object store from an older snapshot, per kind that showed them",
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
            self.received_memory,
            self.served_memory,
            self.memory_capacity,
            self.memory_evictions,
            self.memory_refusals,
            self.limited_servers,
            self.signalling_servers,
            self.lost_paths,
            self.isolated,
            self.relayed_connections,
            self.log_lines_left_out,
        )

    def _cumulative_buckets(self) -> list[tuple[str, float]]:
        """Upper bounds of the buckets with the number of answers up to each bound."""
        bounds = [*(str(bound) for bound in ANSWER_BUCKETS_SECONDS), "+Inf"]
        total = 0
        buckets = []
        for bound, count in zip(bounds, self._answers_by_bucket, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets
