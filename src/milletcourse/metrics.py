"""Prometheus metrics of a router, in a registry separate from the global one."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from milletcourse.backends.engine_messages import EngineUsage
from milletcourse.prefix.blocks import BLOCK_TOKENS
from milletcourse.routing.selector import Decision

FIRST_TOKEN_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.8, 3.0, 5.0, 10.0, 30.0)


class RouterMetrics:
    """Counters of one router."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "milletcourse_requests_total", "Requests by outcome", ["outcome"], registry=registry
        )
        self.retries = Counter(
            "milletcourse_retries_total", "Attempts after the first", registry=registry
        )
        self.prompt_tokens = Counter(
            "milletcourse_prompt_tokens_total", "Prompt tokens", ["tenant"], registry=registry
        )
        self.cached_tokens = Counter(
            "milletcourse_cached_tokens_total",
            "Prompt tokens found cached",
            ["tenant"],
            registry=registry,
        )
        self.wasted_tokens = Counter(
            "milletcourse_wasted_tokens_total",
            "Prompt tokens computed although a permitted cached copy was assumed to exist",
            ["tenant"],
            registry=registry,
        )
        self.exports_failed = Counter(
            "milletcourse_exports_failed_total", "Failed exports to KV stores", registry=registry
        )
        self.first_token_seconds = Histogram(
            "milletcourse_first_token_seconds",
            "Time to first token",
            buckets=FIRST_TOKEN_BUCKETS_SECONDS,
            registry=registry,
        )
        self.revision = Gauge(
            "milletcourse_configuration_revision", "Revision in force", registry=registry
        )
        self.live_members = Gauge(
            "milletcourse_live_members", "Routers considered alive", registry=registry
        )

    def on_usage(self, tenant: str, usage: EngineUsage | None) -> None:
        """Count a finished answer's tokens."""
        if usage is None:
            return
        self.prompt_tokens.labels(tenant).inc(usage.prompt_tokens)
        self.cached_tokens.labels(tenant).inc(usage.cached_tokens)

    def on_wasted_tokens(self, tenant: str, decision: Decision, usage: EngineUsage) -> None:
        """Count tokens computed although the routing decision assumed a cached copy."""
        estimated_tokens = max(decision.held_blocks, decision.import_blocks) * BLOCK_TOKENS
        self.wasted_tokens.labels(tenant).inc(max(estimated_tokens - usage.cached_tokens, 0))

    def render(self) -> bytes:
        """Metrics in the Prometheus exposition format."""
        return generate_latest(self.registry)
