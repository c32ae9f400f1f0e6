"""A stand-in server for soaks: executes requests, accepts orders, and fails at random."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gateway_standin import ReceivedRequest, answer, chunk, connection_numbers, read_request
from soak.ledger import Ledger, ReceivedOrder, Run, incarnation, stream_event, stream_event_count

HOST = "127.0.0.1"
LOAD_SECONDS = 0.3
MODEL = "model-1"
CRASHING_BODY = b"ends its server"
"""A request whose body has this prefix crashes every server that executes it."""


@dataclass
class FaultRates:
    """Probability of each injected fault; all 0 for a healthy server."""

    shed: float = 0.0
    fail: float = 0.0
    reset_before: float = 0.0
    reset_after: float = 0.0
    truncate: float = 0.0
    garble: float = 0.0
    mute: float = 0.0
    surplus: float = 0.0
    pause: float = 0.0
    """A stream pauses midway, like one whose memory was preempted by more urgent requests."""
    pause_seconds: tuple[float, float] = (1.1, 1.6)


@dataclass
class SoakServer:
    """One incarnation of a server."""

    name: str
    service: str
    ledger: Ledger
    random: random.Random
    version: int | None = None
    fault_rates: FaultRates = field(default_factory=FaultRates)
    draining: bool = False
    sequence: int = 0
    token: int = 0
    loading: bool = False
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    on_crash: Callable[[str], None] = lambda name: None
    limit: float | None = None
    """Limit in requests per second that it announces in its answers; None for no limit."""
    announces_draining: bool = False
    """It announces in all its answers that it is draining."""
    back_off_seconds: float = 0.0
    """Back-off that it asks for while it rejects all requests; 0 if it accepts requests."""
    software: str = "v1"
    """Version of its software."""
    max_connections: int = 0
    """Connections that it accepts from all clients; 0 for no limit."""
    resets: int = 0
    """Connections that it reset because of that limit."""
    requests: int = 0
    """Number of requests that it is executing."""

    @property
    def incarnation(self) -> str:
        """Identity of this start; signals of an earlier server with the same name do not apply."""
        return incarnation(self.name, self.born)

    async def start(self) -> None:
        """Listen on a free port."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def crash(self) -> None:
        """Terminate immediately and reset all connections."""
        if self.limit is not None:
            self.announce_limit(None)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, address: str) -> dict[str, Any]:
        """Its entry in the store, with the address of its proxy."""
        models = [{"Name": MODEL, "Version": self.version, "Adapters": []}]
        return {
            "Service": self.service,
            "Address": address,
            "Zone": "zone-1",
            "Version": self.software,
            "Slots": 16,
            "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0,
            "Models": models if self.version is not None else [],
            "Sequence": 0,
            "born": self.born,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if 0 < self.max_connections <= len(self._writers):
            self.resets += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        connection = next(connection_numbers)
        work: asyncio.Task[None] | None = None
        closed = asyncio.ensure_future(writer.wait_closed())
        closed.add_done_callback(lambda end: end.cancelled() or end.exception())
        try:
            while (request := await read_request(reader, connection)) is not None:
                work = asyncio.create_task(self._handle(request, writer))
                # A connection that closes in the meantime cancels the request.
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            closed.cancel()
            if work is not None:
                work.cancel()
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        is_request = not request.target.startswith("/milletcourse/")
        if is_request:
            self.ledger.on_arrival(self.name, self.born, request.request_id)
        fields = {
            "Request-Id": request.request_id,
            "Instance-Id": self.name,
            **self._signal_fields(request.request_id),
        }
        expected = request.headers.get("expected-instance")
        if expected is not None and expected != self.name:
            writer.write(answer(421, b"", fields))
        elif request.target == "/milletcourse/report":
            writer.write(answer(200, json.dumps(self._report()).encode()))
        elif request.target == "/milletcourse/order":
            writer.write(answer(self._take_order(json.loads(request.body))))
        elif request.headers.get("expected-version", str(self.version)) != str(self.version):
            writer.write(answer(421, b"", fields))
        elif self.back_off_seconds:
            self.ledger.on_back_off(self.incarnation, request.request_id, self.back_off_seconds)
            back_off = {"Not-Executed": "1", "Retry-After": f"{self.back_off_seconds:g}"}
            writer.write(answer(503, b"", {**fields, **back_off}))
        elif self.loading or self._happens(self.fault_rates.shed):
            writer.write(answer(503, b"", {**fields, "Not-Executed": "1"}))
        else:
            self.requests += 1
            try:
                await self._run(request, writer)
            finally:
                self.requests -= 1

    def _signal_fields(self, request_id: str) -> dict[str, str]:
        """Header fields of the signals that it sends in answers."""
        fields = {}
        if self.limit is not None:
            fields["Server-Limit"] = f"{self.limit:g}"
        if self.announces_draining:
            fields["Server-Leaving"] = "1"
            self.ledger.on_draining_answer(self.incarnation, request_id)
        return fields

    def announce_limit(self, limit: float | None) -> None:
        """Announce a limit in all further answers, or stop announcing one."""
        self.limit = limit
        self.ledger.on_limit(self.name, limit)

    def _crashes_on(self, request: ReceivedRequest) -> bool:
        """Whether the request crashes the server that executes it."""
        return request.body.startswith(CRASHING_BODY)

    def _report(self) -> dict[str, Any]:
        models = [{"Name": MODEL, "Version": self.version, "Adapters": []}]
        return {
            "Models": models,
            "Busy": self.loading,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def _take_order(self, order: dict[str, Any]) -> int:
        if order["FencingToken"] < self.token:
            return 412
        self.token = order["FencingToken"]
        now = asyncio.get_running_loop().time()
        self.ledger.on_order(ReceivedOrder(self.name, now, order["Holder"], order["FencingToken"]))
        if order["Version"] == self.version:
            return 200
        if self.loading or order.get("ExpectedRev", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.loading = True
        asyncio.get_running_loop().call_later(LOAD_SECONDS, self._finish_load, order["Version"])
        return 202

    def _finish_load(self, version: int) -> None:
        self.version = version
        self.loading = False

    def _happens(self, chance: float) -> bool:
        return self.random.random() < chance

    def _draw_pause(self, first: int, last: int) -> int:
        """Number of the event before which a stream pauses; 0 for no pause."""
        if not self.fault_rates.pause or first > last or not self._happens(self.fault_rates.pause):
            return 0
        self.ledger.pauses += 1
        return self.random.randint(first, last)

    async def _run(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        fault_rates = self.fault_rates
        if self._happens(fault_rates.reset_before):
            writer.transport.abort()
            return
        resumed_after = int(request.headers.get("last-event-id", "0"))
        self.ledger.on_run(
            request.request_id,
            Run(
                self.name,
                asyncio.get_running_loop().time(),
                request.headers.get("tenant", ""),
                request.headers.get("cache-salt", ""),
                self.version,
                resumed_after,
            ),
        )
        if self._crashes_on(request):
            self.ledger.on_crash(request.headers.get("tenant", ""), request.body)
            self.on_crash(self.name)
            return
        await asyncio.sleep(self.random.uniform(0.002, 0.03))
        if self._happens(fault_rates.mute):
            await asyncio.sleep(30)
        if self._happens(fault_rates.reset_after):
            writer.transport.abort()
            return
        fields = {
            "Request-Id": request.request_id,
            "Server-Signature": f"s-{self.name}",
            **self._signal_fields(request.request_id),
        }
        if self._happens(fault_rates.garble):
            writer.write(b"HTTP/9.9 garbled\r\n\r\n")
            return
        if self._happens(fault_rates.fail):
            writer.write(answer(500, b"own failure", fields))
            return
        if request.headers.get("model"):
            with self.ledger.running(request.request_id, self.name):
                await self._stream(request, writer, fields, resumed_after)
            return
        body = f"{request.request_id} at {self.name}".encode()
        self.ledger.on_body(request.request_id, body)
        data = answer(200, body, fields)
        if self._happens(fault_rates.truncate):
            writer.write(data[:-7])
            writer.close()
            return
        writer.write(data)
        if self._happens(fault_rates.surplus):
            writer.write(answer(200, b"surplus", {**fields, "Request-Id": "surplus"}))

    async def _stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fields: dict[str, str],
        resumed_after: int,
    ) -> None:
        head = {**fields, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(answer(200, b"", head, length=False))
        last = stream_event_count(request.request_id)
        pauses_before = self._draw_pause(resumed_after + 2, last)
        for number in range(resumed_after + 1, last + 1):
            if number == pauses_before:
                await asyncio.sleep(self.random.uniform(*self.fault_rates.pause_seconds))
            data = stream_event(request.request_id, number)
            if self._happens(self.fault_rates.truncate):
                writer.write(chunk(data[:9]))
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(chunk(data))
            await asyncio.sleep(self.random.uniform(0.001, 0.02))
        writer.write(b"0\r\n\r\n")
