"""The reply to an order is the server's reply to that order."""

from __future__ import annotations

import asyncio
import json

from gateway_harness import Harness, LogLines, run_with_gateway
from gateway_standin import ReceivedRequest, StandinServer, answer

ORDER = "/milletcourse/order"


class RepeatingServer:
    """A model server that sends its reply to the previous call once more when an order arrives.

    Attributes:
        repeated: Number of replies that it sent once more.
        accepted: Number of orders that it accepted.
    """

    def __init__(self) -> None:
        self.repeated = 0
        self.accepted = 0
        self._replied_on: asyncio.StreamWriter | None = None

    async def behave(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Reply to a health check, a poll or an order; no other requests arrive."""
        reply = answer(200, json.dumps(self._report()).encode())
        if request.target != ORDER:
            self._replied_on = writer
            writer.write(reply)
            return
        if self._replied_on is not None and not self._replied_on.is_closing():
            self.repeated += 1
            self._replied_on.write(reply)
        self.accepted += 1
        writer.write(answer(202, b""))

    def _report(self) -> dict[str, object]:
        version = 2 if self.accepted else 1
        return {
            "Models": [{"Name": "model-1", "Version": version, "Adapters": []}],
            "Busy": False,
            "Sequence": self.accepted,
        }


def test_a_late_reply_to_another_call_is_no_reply_to_an_order() -> None:
    """Guards against weights that pass for loaded, since a report came twice."""

    async def scenario(harness: Harness) -> None:
        harness.log_lines = LogLines()
        repeating = RepeatingServer()
        await harness.add_server("s-1", "engine", repeating.behave, 1)
        harness.store.put("versions", "model-1", {"Model": "model-1", "Version": 2})
        await harness.start(VersionMs=2000, LeaseMs=1000)
        lines = harness.log_lines
        await harness.until(lambda: bool(lines.of_event("weight-order")))
        assert repeating.repeated
        assert [line["reply"] for line in lines.of_event("weight-order")] == ["taken"]

    run_with_gateway(scenario)
