"""Servers that send draining and back-off signals, with gateways and clients."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from gateway_fleet import GATEWAYS, GatewayFleet
from gateway_harness import Harness
from gateway_standin import (
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    event,
    signed,
    stream_head,
)

SHORT_PROMPT = {
    "Model": "model-1",
    "Token_Usage": "40,8",
    "Prompt_Prefix": "5c1e07a2:20,91bd3f06:20",
}
"""Small enough for all concurrent requests to fit into a stand-in's memory of 1,000 tokens."""
HEALTHY_DELAY_SECONDS = 0.05
BACK_OFF_SLACK_SECONDS = 0.5
"""Requests that arrive this soon after a back-off request may have been in transit."""
MAX_SENDS_IN_BACK_OFF = 2


@dataclass
class SignalState:
    """Signals that a server sends at present.

    Attributes:
        announces_draining: It announces in all its answers that it is draining.
        back_off: Seconds of back-off asked for while it rejects all requests; empty for none.
    """

    announces_draining: bool = False
    back_off: str = ""


@dataclass
class Arrivals:
    """Requests that one server received.

    Attributes:
        by_gateway: Monotonic times of requests by the gateway that sent them.
        back_offs: Times and durations of back-offs that it asked a gateway for.
    """

    by_gateway: dict[str, list[float]] = field(default_factory=dict)
    back_offs: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def count_since(self, since: float) -> int:
        """Number of requests since a time."""
        return sum(at >= since for times in self.by_gateway.values() for at in times)

    def max_sends_in_back_off(self) -> int:
        """Most requests that one gateway sent during a back-off that the server requested."""
        return max(
            (
                sum(start + BACK_OFF_SLACK_SECONDS < at < start + seconds for at in times)
                for name, times in self.by_gateway.items()
                for start, seconds in self.back_offs.get(name, ())
            ),
            default=0,
        )


class SignallingFleet(GatewayFleet):
    """Servers with adjustable signals, gateways, and clients that send through all gateways."""

    def __init__(self, harness: Harness, service: str = "app") -> None:
        super().__init__(harness)
        self.service = service
        self.signal_states: dict[str, SignalState] = {}
        self.arrivals: dict[str, Arrivals] = {}

    async def start(self, signal_states: dict[str, SignalState], gateways: int = GATEWAYS) -> None:
        """Start servers and gateways, and wait until all know each other."""
        harness = self.harness
        self.signal_states = signal_states
        harness.internal_ports = harness.free_ports()
        for name in signal_states:
            self.arrivals[name] = Arrivals()
            version = 1 if self.service == "engine" else None
            await harness.add_server(name, self.service, self._behave, version)
        if self.service == "engine":
            harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 1})
        await self.start_gateways(gateways)

    async def _behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if not request.request_id:
            writer.write(answer(404))
            return
        signal_state = self.signal_states[server.name]
        arrivals = self.arrivals[server.name]
        gateway = request.headers.get("sent-through", "")
        now = asyncio.get_running_loop().time()
        arrivals.by_gateway.setdefault(gateway, []).append(now)
        fields = signed(
            request, **({"Server-Leaving": "1"} if signal_state.announces_draining else {})
        )
        if signal_state.back_off:
            arrivals.back_offs.setdefault(gateway, []).append((now, float(signal_state.back_off)))
            refusal = {**fields, "Not-Executed": "1", "Retry-After": signal_state.back_off}
            writer.write(answer(503, b"", refusal))
        elif request.target.startswith("/stream/"):
            head = stream_head(request)
            if signal_state.announces_draining:
                head = head.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n", 1)
            writer.write(head + chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n")
        else:
            if not signal_state.announces_draining:
                # Draining servers answer faster and so look preferable.
                await asyncio.sleep(HEALTHY_DELAY_SECONDS)
            writer.write(answer(200, server.name.encode(), fields))

    def fields(self, path: str) -> dict[str, str]:
        """Prompt header fields for streams."""
        return SHORT_PROMPT if path.startswith("/stream/") else {}

    async def most_used_server(self, path: str = "/safe/") -> str:
        """Name of the server that receives the most requests."""
        await self.load(0.3, path)
        return max(self.arrivals, key=lambda name: self.arrivals[name].count_since(0.0))

    def statuses(self) -> Counter[int]:
        """Number of answers by status."""
        return Counter(result.status for result in self.answers)
