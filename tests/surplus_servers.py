"""Stand-in servers that send data besides the answers to requests, at moments that a test sets."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from gateway_standin import (
    Behaviour,
    ReceivedRequest,
    StandinServer,
    answer,
    chunk,
    event,
    signed,
)

WORK_SECONDS = 0.02
"""How long a server works on a request before it answers."""
SurplusSource = Callable[[StandinServer, ReceivedRequest], bytes]
"""Returns the data that a server sends in addition for an earlier request."""


class SurplusServers:
    """Servers of both services that count what they execute.

    Attributes:
        runs: Executions by request id.
        refusals: Refused requests by request id.
        surplus: Number of times that surplus data was sent.
        weight_version: Weight version of all servers.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.surplus = 0
        self.weight_version = 1
        self._refused_on: dict[tuple[str, str], asyncio.StreamWriter] = {}
        self._previous: dict[int, ReceivedRequest] = {}

    async def refuse_versions_twice(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Refuse another weight version; repeat that refusal when the request comes again."""
        if not request.request_id:
            writer.write(answer(503, b"", {"Not-Executed": "1"}))
            return
        refusal = version_refusal(server, request)
        if request.headers.get("expected-version") != str(self.weight_version):
            self.refusals[request.request_id] += 1
            self._refused_on[server.name, request.request_id] = writer
            writer.write(refusal)
            return
        refused_on = self._refused_on.get((server.name, request.request_id))
        if refused_on is not None:
            self._send_surplus(refused_on, refusal)
        await self._execute(server, request, writer)

    def answer_after(self, surplus: SurplusSource) -> Behaviour:
        """A behaviour: surplus data for the previous request of a connection, then the answer."""

        async def behave(
            server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            previous = self._previous.get(request.connection)
            self._previous[request.connection] = request
            if previous is not None:
                self._send_surplus(writer, surplus(server, previous))
            await self._execute(server, request, writer)

        return behave

    def _send_surplus(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            self.surplus += 1
            writer.write(data)

    async def _execute(
        self, server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.runs[request.request_id] += 1
        await asyncio.sleep(WORK_SECONDS)
        if not request.target.startswith("/single/"):
            writer.write(answer(200, request.request_id.encode(), signed(request)))
            return
        fields = signed(
            request,
            **{
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
                "Weight-Versions": str(self.weight_version),
            },
        )
        head = answer(200, b"", fields, length=False)
        writer.write(head + chunk(event(1)) + chunk(event(2)) + chunk(b""))


def version_refusal(server: StandinServer, request: ReceivedRequest) -> bytes:
    """A refusal for the request's weight version, which names the request."""
    return answer(421, b"", {"Request-Id": request.request_id, "Instance-Id": server.name})


def unidentified_refusal(status: int, server: StandinServer) -> bytes:
    """A refusal that names no request."""
    fields = {"Instance-Id": server.name} if status == 421 else {"Not-Executed": "1"}
    return answer(status, b"", fields)
