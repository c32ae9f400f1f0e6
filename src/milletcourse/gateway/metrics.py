"""Counters and histograms of a gateway for Prometheus; imported only with a metrics port."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from milletcourse.exchange.messages import AttemptResult
from milletcourse.gateway.figures import Figures

ANSWER_BUCKETS_SECONDS = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class GatewayMetrics(Figures):
    """Figures of one gateway in a registry of its own; labels are bounded by types."""

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self._requests = Counter(
            "milletcourse_gateway_requests_total",
            "Requests by final outcome: served, passed-failure, client-left, cut, or a refusal",
            ["outcome"],
            registry=registry,
        )
        self._attempts = Counter(
            "milletcourse_gateway_attempts_total",
            "Attempts at servers by result",
            ["result"],
            registry=registry,
        )
        self._first_answer = Histogram(
            "milletcourse_gateway_first_answer_seconds",
            "Time from a request's first byte to the first byte of its answer",
            buckets=ANSWER_BUCKETS_SECONDS,
            registry=registry,
        )
        self._ejections = Counter(
            "milletcourse_gateway_ejections_total", "Servers ejected as outliers", registry=registry
        )
        self._orders = Counter(
            "milletcourse_gateway_weight_orders_total",
            "Weight orders by the server's reply",
            ["reply"],
            registry=registry,
        )
        self._calls_failed = Counter(
            "milletcourse_gateway_store_failures_total",
            "Calls to the object store that gave nothing",
            registry=registry,
        )
        self.configuration = Gauge(
            "milletcourse_gateway_configuration_version", "Version in force", registry=registry
        )
        self.proof_age = Gauge(
            "milletcourse_gateway_proof_age_seconds",
            "Age of the latest proof that the configuration is in force",
            registry=registry,
        )
        self.ready = Gauge("milletcourse_gateway_ready", "1 when ready", registry=registry)
        self.instances = Gauge("milletcourse_gateway_instances", "Known servers", registry=registry)
        self.holds_lease = Gauge(
            "milletcourse_gateway_holds_lease", "1 for the roll-out's holder", registry=registry
        )
        self.reads_store = Gauge(
            "milletcourse_gateway_reads_store",
            "1 when it reads the object store itself, 0 when it follows another gateway",
            registry=registry,
        )
        self.clients = Gauge(
            "milletcourse_gateway_client_connections", "Open connections", registry=registry
        )
        self.log_lines_left_out = Gauge(
            "milletcourse_gateway_log_lines_left_out", "Since the start", registry=registry
        )

    def on_end(self, outcome: str) -> None:
        """See `Figures`."""
        self._requests.labels(outcome).inc()

    def on_attempt(self, result: AttemptResult) -> None:
        """See `Figures`."""
        self._attempts.labels(result.value).inc()

    def on_first_answer(self, seconds: float) -> None:
        """See `Figures`."""
        self._first_answer.observe(seconds)

    def on_ejection(self) -> None:
        """See `Figures`."""
        self._ejections.inc()

    def on_order(self, reply: str) -> None:
        """See `Figures`."""
        self._orders.labels(reply).inc()

    def on_store_failure(self) -> None:
        """See `Figures`."""
        self._calls_failed.inc()

    def render(self) -> bytes:
        """The exposition text."""
        return generate_latest(self.registry)
