"""Soaks of surplus answers: `python3 tests/soak/late_answers.py [--seeds N:M] [--seconds N]`.

Servers refuse many requests, for their weight version and because they are full. They send refusals
and whole answers once more, at once and late, some without a request id and some cut off within
their head, and replies to calls likewise. Meanwhile gateways are killed, stopped and suspended, and
new weight versions are named. Prints one JSON line per seed; the exit code is 1 if a request that
may run once ran twice, if one that ran was refused, if a client got an answer that isn't the one to
its request, or if an order passed for carried out that its server answered otherwise.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from gateway_standin import ReceivedRequest
from milletcourse.exchange.rollout.weight_rollout import OrderReply
from soak.clients import ClientProfile, SoakClient
from soak.gateway_faults import disturb_gateways, end_series, running_world
from soak.seeds import Report, run_fleet_soak
from soak.server import SoakServer
from soak.world import DEFAULT_GATEWAYS, SoakWorld

CLIENTS = 24
PROFILE = ClientProfile(
    {"Model": "model-1", "Token_Usage": "40,8", "Prompt_Prefix": "5c1e07a2:20,91bd3f06:20"},
    deadline_seconds=3.0,
    pause_seconds=(0.0, 0.03),
    close_share=0.5,
    disconnect_share=0.03,
)
SURPLUS_SHARE = 0.5
"""Share of the answers that are followed by surplus data."""
SHED_SHARE = 0.1
LATE_SECONDS = (0.0, 0.03)
VERSION_SECONDS = (0.5, 2.0)
"""Range of the time between two named weight versions."""
SETTLE_SECONDS = 3.0
MIN_SERVED = 100
"""Fewer served requests say nothing about late answers."""
MAX_REPEATED_BYTES = 4096


class RecordingWriter:
    """Passes on what a server writes, and keeps it.

    Attributes:
        data: What was written.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.data = b""
        self._writer = writer

    def write(self, data: bytes) -> None:
        """See `asyncio.StreamWriter`."""
        self.data += data
        self._writer.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)


@dataclass
class SurplusTally:
    """What all servers of a soak sent.

    Attributes:
        surplus: Number of times that surplus data was sent.
        loaded_replies: Replies to orders that say that the weights are loaded already.
    """

    surplus: int = 0
    loaded_replies: int = 0


class SurplusServer(SoakServer):
    """Sends surplus data after its answers, but never within an answer that has begun."""

    def __init__(self, *given: Any, tally: SurplusTally) -> None:
        super().__init__(*given)
        self._tally = tally
        self._answering: dict[int, RecordingWriter] = {}
        self._late: set[asyncio.Task[None]] = set()

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        recording = RecordingWriter(writer)
        self._answering[id(writer)] = recording
        try:
            await super()._handle(request, recording)  # type: ignore[arg-type]
        finally:
            self._answering.pop(id(writer), None)
        is_short = 0 < len(recording.data) <= MAX_REPEATED_BYTES
        if is_short and self._happens(SURPLUS_SHARE):
            late = asyncio.create_task(self._send_surplus(self._surplus(recording.data), writer))
            self._late.add(late)
            late.add_done_callback(self._late.discard)

    def _surplus(self, data: bytes) -> bytes:
        """An answer once more, without its id or not, or the beginning of its head."""
        head, _, body = data.partition(b"\r\n\r\n")
        is_refusal = data.startswith((b"HTTP/1.1 421", b"HTTP/1.1 503"))
        drawn = self.random.random()
        if is_refusal and drawn < 0.3:
            lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Request-Id")]
            return b"\r\n".join(lines) + b"\r\n\r\n" + body
        if drawn < 0.5:
            return head[: self.random.randint(9, len(head))]
        return data

    async def _send_surplus(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        if self._happens(0.7):
            await asyncio.sleep(self.random.uniform(*LATE_SECONDS))
        current = self._answering.get(id(writer))
        if writer.is_closing() or (current is not None and current.data):
            return
        self._tally.surplus += 1
        writer.write(data)

    def _take_order(self, order: dict[str, Any]) -> int:
        status = super()._take_order(order)
        self._tally.loaded_replies += status == 200
        return status


async def name_versions(world: SoakWorld) -> None:
    """Name new weight versions until cancelled."""
    while True:
        await asyncio.sleep(world.random.uniform(*VERSION_SECONDS))
        world.publish_version()


def check_order_replies(world: SoakWorld, tally: SurplusTally) -> None:
    """Check that gateways took no more orders for carried out than servers said."""
    read = sum(
        line["event"] == "weight-order" and line["reply"] == OrderReply.ALREADY_LOADED.value
        for gateway in world.gateways
        for line in gateway.log_lines()
    )
    if read > tally.loaded_replies:
        world.ledger.violate("orders", f"{read} taken for carried out, {tally.loaded_replies} were")


async def late_answer_soak(seed: int, folder: Path, seconds: float, gateways: int) -> Report:
    """Run one seed and return its report."""
    world = SoakWorld(seed, folder, gateways)
    world.servers_are_healthy = False
    tally = SurplusTally()
    world.new_server = lambda *given: SurplusServer(*given, tally=tally)
    async with running_world(world) as background:
        for server in world.servers.values():
            server.fault_rates.shed = SHED_SHARE
        clients = [
            SoakClient(
                number, world, world.random, lambda: world.random.choice(world.gateways), PROFILE
            )
            for number in range(CLIENTS)
        ]
        sending = [asyncio.create_task(client.run()) for client in clients]
        faults = [
            asyncio.create_task(work) for work in (name_versions(world), disturb_gateways(world))
        ]
        await asyncio.sleep(seconds)
        await end_series(faults)
        await asyncio.sleep(SETTLE_SECONDS)
        world.ended = True
        await asyncio.wait(sending, timeout=PROFILE.deadline_seconds + SETTLE_SECONDS)
        world.ledger.check_late()
        check_order_replies(world, tally)
        world.check_own_tasks([*background, *sending])
    ledger = world.ledger
    if ledger.outcomes.get("200", 0) < MIN_SERVED or not tally.surplus:
        ledger.violate("soak", f"{ledger.outcomes} with {tally.surplus} surplus answers")
    return {
        "seed": seed,
        "requests": len(ledger.sent),
        "outcomes": dict(sorted(ledger.outcomes.items())),
        "surplus": tally.surplus,
        "orders": len(ledger.orders),
        "starts": sum(gateway.starts for gateway in world.gateways),
        "violations": ledger.violations[:20],
    }


if __name__ == "__main__":
    sys.exit(run_fleet_soak(__doc__, DEFAULT_GATEWAYS, late_answer_soak))
