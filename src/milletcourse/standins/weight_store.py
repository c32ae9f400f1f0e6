"""Weight store stand-in, which serves weights with limited bandwidth."""

from __future__ import annotations

import falcon.asgi

from milletcourse.edge.asgi import RequestGuard, new_application, respond_json
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.server import AsgiApplication

FULL_SPEED_CONCURRENT_LOADS = 2
"""Number of concurrent loads at full speed; more loads share the same total bandwidth."""


class WeightStoreApp:
    """Serves weights; a load takes `load_seconds`, or longer when too many run concurrently."""

    def __init__(self, clock: Clock, load_seconds: float) -> None:
        self.clock = clock
        self.load_seconds = load_seconds
        self.running = 0
        self.max_concurrent_loads = 0
        application = new_application()
        application.add_route("/v1/weights/{model}/{version}", self)
        application.add_route("/livez", self, suffix="live")
        self.application: AsgiApplication = RequestGuard(application)

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        model: str,
        version: str,
    ) -> None:
        """Transfer weights and respond when the transfer is complete."""
        self.running += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self.running)
        try:
            slowdown = max(1.0, self.running / FULL_SPEED_CONCURRENT_LOADS)
            await self.clock.sleep(self.load_seconds * slowdown)
        finally:
            self.running -= 1
        respond_json(response, {"model": model, "version": version})

    async def on_get_live(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond to a liveness probe."""
        respond_json(response, {"live": True, "most_at_once": self.max_concurrent_loads})
