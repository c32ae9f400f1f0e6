"""Liveness, readiness and metrics."""

from __future__ import annotations

import falcon.asgi

from milletcourse.edge.asgi import respond_json
from milletcourse.edge.context import EdgeContext


class LiveResource:
    """`GET /livez`: the process is running."""

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Always 200."""
        respond_json(response, {"live": True})


class ReadyResource:
    """`GET /readyz`: the router has a configuration and is not draining."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """200 when ready, otherwise 503 with the reason."""
        loaded = self._context.is_loaded()
        draining = self._context.is_draining()
        document = {
            "ready": loaded and not draining,
            "loaded": loaded,
            "draining": draining,
            "fresh": self._context.is_fresh(),
        }
        respond_json(response, document, 200 if document["ready"] else 503)


class MetricsResource:
    """`GET /metrics` in the Prometheus exposition format."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """All metrics of this router."""
        response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        response.data = self._context.metrics.render()
