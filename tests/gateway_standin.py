"""Stand-ins of the users' platform for tests: its object store and its servers, on loopback.

They implement the platform's published protocol and inject faults on request. For tests only.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

HOST = "127.0.0.1"
connection_numbers = itertools.count(1)
"""Numbers connections to stand-ins; an object's identity may be given out again."""


@dataclass
class ReceivedRequest:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        """Value of the Request-Id header, which identifies the client's attempt."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return ReceivedRequest(method, target, headers, body, connection)


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None, length: bool = True
) -> bytes:
    """Encode an answer."""
    lines = [f"HTTP/1.1 {status} Stand-in"]
    lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


GATEWAYS_KIND = "milletcourse-gateways"
VERSION_RECORD = "software-versions"
"""Object of the gateways' kind that isn't the entry of a gateway."""
OPERATORS_KINDS = ("config", "versions", "servers")
"""Kinds of objects that the operator and the servers write."""


@dataclass(frozen=True)
class StoreSnapshot:
    """Contents of the store at some time."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int

    def without(self, kind: str, names: Iterable[str]) -> StoreSnapshot:
        """The same snapshot without some objects of a kind, as if these had been created later."""
        kept = dict(self.objects.get(kind, {}))
        for name in names:
            kept.pop(name, None)
        return replace(self, objects={**self.objects, kind: kept})


class StandinStore:
    """Object store with objects by kind, revisions, lists, watches and compare-and-set.

    Attributes:
        era: Sent in all answers and incremented by each restore; None for a store without eras.
        stale_shows_lost: Stale lists include objects that the latest restore lost.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.era: int | None = 0
        self._lost: dict[str, dict[str, dict[str, Any]]] = {}
        self._restored_revision = 0
        self.stale_shows_lost = False
        self.reset_at = float("-inf")
        self.revision = 0
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.journal: list[tuple[int, str, dict[str, Any], bool]] = []
        self.compacted_revision = 0
        self.silent = False
        self.unavailable = False
        self.unavailable_kinds: set[str] = set()
        self.refuse_share = 0.0
        self.shows_conflicts = True
        self.page_size = 50
        self.stale_by = 0
        self.address = ""
        self.calls: list[ReceivedRequest] = []
        self._random = random.Random(1)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, including those of pending watches."""
        self.reset_at = time.monotonic()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server."""
        self.revision += 1
        stored = {
            "Metadata": {"Name": name, "Revision": self.revision, "Finalizers": []},
            "Spec": spec,
            "Status": None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return self.revision

    def gateway_entries(self) -> dict[str, dict[str, Any]]:
        """Entries of gateways by name, without the record that all gateways share."""
        objects = self.objects.get(GATEWAYS_KIND, {})
        return {name: entry for name, entry in objects.items() if name != VERSION_RECORD}

    def put_unseen(self, kind: str, name: str, spec: Any) -> None:
        """Write an object and compact the history before watches can deliver the change."""
        self.revision += 1
        stored = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects[kind][name] = stored
        self.journal.append((self.revision, kind, stored, False))
        self.compact_history()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; one that a restore lost is not rewritten any more."""
        was_lost = self._lost.get(kind, {}).pop(name, None) is not None
        if was_lost and name not in self.objects.get(kind, {}):
            return
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._note(kind, stored, True)

    def compact_history(self) -> None:
        """Compact the history: watches from earlier revisions receive 410."""
        self.compacted_revision = self.revision
        self.history.clear()

    def take_snapshot(self) -> StoreSnapshot:
        """Take a snapshot to which the store can be restored."""
        objects = {kind: dict(items) for kind, items in self.objects.items()}
        return StoreSnapshot(objects, self.revision)

    def restore(
        self, snapshot: StoreSnapshot, resets_connections: bool = True, rewrites_lost: bool = True
    ) -> None:
        """Restore the store to a snapshot; revisions after it are assigned again.

        Args:
            snapshot: Contents after the restore.
            resets_connections: Reset all connections; otherwise pending watches continue.
            rewrites_lost: The operator and the servers rewrite lost objects immediately; otherwise
                `rewrite_lost` does it.
        """
        self._lost = self.objects
        self.objects = {kind: dict(items) for kind, items in snapshot.objects.items()}
        self.revision = self._restored_revision = snapshot.revision
        if not self.stale_shows_lost:
            left = [
                (kind, stored)
                for kind, items in snapshot.objects.items()
                for stored in items.values()
            ]
            left.sort(key=lambda item: item[1]["Metadata"]["Revision"])
            self.journal = [(item[1]["Metadata"]["Revision"], *item, False) for item in left]
        self.history = [entry for entry in self.history if entry[0] <= snapshot.revision]
        self.compacted_revision = min(self.compacted_revision, snapshot.revision)
        self.era = (self.era or 0) + 1
        if rewrites_lost:
            self.rewrite_lost()
        if resets_connections:
            self.reset_connections()

    def rewrite_lost(self) -> None:
        """Rewrite objects of the operator and the servers that the latest restore lost.

        Objects that they have written since the restore are kept.
        """
        for kind in OPERATORS_KINDS:
            before, now = self._lost.get(kind, {}), self.objects.get(kind, {})
            for name in [name for name in now if name not in before]:
                if not self._is_new(now[name]):
                    self.remove(kind, name)
            for name, stored in before.items():
                if name not in now or (
                    not self._is_new(now[name]) and now[name]["Spec"] != stored["Spec"]
                ):
                    self.put(kind, name, stored["Spec"])
        self._lost = {}

    def _is_new(self, stored: dict[str, Any]) -> bool:
        """Whether an object was written since the latest restore."""
        return bool(stored["Metadata"]["Revision"] > self._restored_revision)

    def _note(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.journal.append((self.revision, kind, stored, deleted))
        self.history.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = next(connection_numbers)
        try:
            while (request := await read_request(reader, connection)) is not None:
                self.calls.append(request)
                status, document = await self._answer(request)
                if self.silent:
                    await asyncio.Event().wait()
                if writer.is_closing():
                    return
                fields = {"Content-Type": "application/json"}
                if self.era is not None:
                    fields["Store-Era"] = str(self.era)
                writer.write(answer(status, msgspec.json.encode(document), fields))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: ReceivedRequest) -> tuple[int, Any]:
        if self.unavailable:
            return 503, {}
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = url.path.split("/")[3:]
        kind = parts[0]
        if kind in self.unavailable_kinds:
            return 503, {}
        if request.method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        if request.method == "GET" and len(parts) == 1:
            return self._list(kind, query)
        if request.method == "GET":
            stored = self.objects.get(kind, {}).get(parts[1])
            return (200, stored) if stored else (404, {})
        return self._write(kind, request)

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if self._random.random() < self.refuse_share:
            return 429, {}
        objects = self.objects.get(kind, {})
        at = self.revision
        if "Stale" in query:
            objects, at = self._objects_before(kind)
        items = [item for name, item in sorted(objects.items()) if name > query.get("after", "")]
        page = items[: self.page_size]
        return 200, {"items": page, "More": len(items) > self.page_size, "At": at}

    def _objects_before(self, kind: str) -> tuple[dict[str, dict[str, Any]], int]:
        """A kind's objects as they were `stale_by` changes ago."""
        shown = self.journal[: max(len(self.journal) - self.stale_by, 0)]
        objects: dict[str, dict[str, Any]] = {}
        for _, changed, stored, deleted in shown:
            if changed != kind:
                continue
            objects.pop(stored["Metadata"]["Name"], None)
            if not deleted:
                objects[stored["Metadata"]["Name"]] = stored
        return objects, shown[-1][0] if shown else 0

    def _write(self, kind: str, request: ReceivedRequest) -> tuple[int, Any]:
        document = json.loads(request.body)
        name = document["Metadata"]["Name"]
        current = self.objects.get(kind, {}).get(name)
        if request.method == "POST":
            if current is not None:
                return 409, current if self.shows_conflicts else {}
        elif current is None:
            return 404, {}
        elif document["Metadata"].get("Revision") != current["Metadata"]["Revision"]:
            return 409, current if self.shows_conflicts else {}
        self.put(kind, name, document["Spec"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind: str, revision: int, wait_ms: int) -> tuple[int, Any]:
        ends_at = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if revision < self.compacted_revision or revision > self.revision:
                return 410, {}
            events = [
                {"Gone": deleted, "Object": stored}
                for at, changed, stored, deleted in self.history
                if changed == kind and at > revision
            ]
            left = ends_at - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"Events": events, "At": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


Behaviour = Callable[["StandinServer", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def _reserve_port() -> socket.socket:
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind((HOST, 0))
    return reservation


@dataclass
class StandinServer:
    """A server whose behaviour a test defines."""

    name: str
    behaviour: Behaviour
    received: list[ReceivedRequest] = field(default_factory=list)
    closed: list[int] = field(default_factory=list)
    resets: int = 0
    address: str = ""
    software: str = "v1"
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, predecessor: StandinServer | None = None) -> None:
        """Listen on a free port, or on that of a crashed predecessor.

        The port stays bound by a socket that does not listen, so that no other process gets it
        while connections to it are refused.
        """
        self._reservation = predecessor._reservation if predecessor else _reserve_port()
        port = int(self._reservation.getsockname()[1])
        self._server = await asyncio.start_server(self._serve, HOST, port, reuse_port=True)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Refuse connections from now on."""
        self._server.close()

    async def crash(self) -> None:
        """Close the port and all connections, like a process that is killed."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, whatever they carry."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = next(connection_numbers)
        pending: asyncio.Task[None] | None = None
        closed = asyncio.ensure_future(writer.wait_closed())
        closed.add_done_callback(lambda end: end.cancelled() or end.exception())
        try:
            while (request := await read_request(reader, connection)) is not None:
                if request.headers.get("expected-instance", self.name) != self.name:
                    # A gateway of another test run may know this port from an earlier server.
                    writer.write(
                        answer(
                            421, b"", {"Request-Id": request.request_id, "Instance-Id": self.name}
                        )
                    )
                    continue
                self.received.append(request)
                pending = asyncio.create_task(self.behaviour(self, request, writer))
                # Keep reading, so that a closed connection is noticed while the answer is written.
                if request.target.startswith("/held/"):
                    continue
                await asyncio.wait({pending, closed}, return_when=asyncio.FIRST_COMPLETED)
                if pending.done():
                    pending.result()
        except ConnectionResetError:
            self.resets += 1
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self.closed.append(connection)
            closed.cancel()
            if pending is not None:
                pending.cancel()
            writer.close()

    def entry(
        self, service: str, version: int | None = None, state: str = "ready"
    ) -> dict[str, Any]:
        """Its entry in the store."""
        models = (
            [] if version is None else [{"Name": "model-1", "Version": version, "Adapters": []}]
        )
        return {
            "Service": service,
            "Address": self.address,
            "Zone": "zone-1",
            "Version": self.software,
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Models": models,
            "Sequence": 1,
        }


def signed(request: ReceivedRequest, **more: str) -> dict[str, str]:
    """Header fields of a valid answer."""
    return {"Request-Id": request.request_id, "Server-Signature": "signature-1", **more}


async def serve_whole(
    server: StandinServer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a valid answer whose body is the server's name."""
    writer.write(answer(200, server.name.encode(), signed(request)))


def event(number: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(request: ReceivedRequest) -> bytes:
    """Head of a chunked stream of events."""
    fields = signed(
        request, **{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    )
    return answer(200, b"", fields, length=False)


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """A configuration with one route of each kind."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "Name": name,
            "Host": "site.example",
            "PathPrefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": 3000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 1,
            "Public": False,
            **more,
        }

    return {
        "Version": version,
        "Routes": [
            route("safe", "safe", "app", MaxAttempts=2),
            route("held", "safe", "app", MaxAttempts=2),
            route("unsafe", "unsafe", "app"),
            route("stream", "streaming", "engine", Resumable=True, MaxAttempts=2, GapAimMs=200),
            route("single", "streaming", "engine", Resumable=False, GapAimMs=200),
            route("open", "safe", "app", Public=True),
        ],
        "Services": [
            {"Name": "app", "HealthPath": "/health", "MaxConnections": 50},
            {
                "Name": "engine",
                "HealthPath": "/health",
                "MaxConnections": 50,
                "Engine": {"Slots": 8, "KvCapacity": 1000, "Models": [{"Name": "model-1"}]},
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 10000,
            "HeaderTimeoutMs": 300,
            "IdleTimeoutMs": 5000,
        },
        "Tenants": [
            {"Name": "tenant-1", "ApiKeys": ["key-1"], "Priority": 1, "Isolated": True},
            {"Name": "tenant-2", "ApiKeys": ["key-2"], "Priority": 0},
        ],
        **changes,
    }


def open_socket(address: str) -> socket.socket:
    """Open a connection in the kernel, independently of any event loop."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


@dataclass
class ClientAnswer:
    """An answer as a client received it; `whole` is false if it was truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class InvalidAnswerError(Exception):
    """The received bytes are not an HTTP answer."""


class Client:
    """A client connection without an HTTP library, so that it can violate the protocol."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Open a connection."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(
        self,
        path: str,
        request_id: str = "request-1",
        method: str = "POST",
        body: bytes = b"body",
        key: str = "key-1",
        **headers: str,
    ) -> None:
        """Send a request."""
        self.writer.write(self.request_bytes(path, request_id, method, body, key, **headers))

    @staticmethod
    def request_bytes(
        path: str,
        request_id: str = "request-1",
        method: str = "POST",
        body: bytes = b"body",
        key: str = "key-1",
        **headers: str,
    ) -> bytes:
        """Encode a complete request."""
        fields = {
            "Host": "site.example",
            "Request-Id": request_id,
            "Api-Key": key,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in fields.items() if value)
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def read_answer(self) -> ClientAnswer | None:
        """Read one answer; None if the connection closes before one."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            raise InvalidAnswerError(head)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body, whole = await self._read_body(headers)
        return ClientAnswer(int(lines[0].split(" ")[1]), headers, body, whole)

    async def _read_body(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        pieces: list[bytes] = []
        try:
            if headers.get("transfer-encoding") != "chunked":
                return await self.reader.readexactly(int(headers.get("content-length", 0))), True
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(pieces), True
                pieces.append(data[:-2])
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            partial = getattr(error, "partial", b"")
            return b"".join(pieces) + partial, False

    async def ask(self, path: str, request_id: str = "request-1", **more: Any) -> ClientAnswer:
        """Send a request and read its answer."""
        self.send(path, request_id, **more)
        result = await self.read_answer()
        assert result is not None
        return result

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()
