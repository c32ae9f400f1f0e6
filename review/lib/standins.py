"""Stand-ins for the review's scripts: store, servers, clients, and gateways as real processes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md and the later pages) and use only the standard
library. All addresses are loopback addresses: every gateway has one of its own, as on machines of
its own, so that the port of its metrics is free. Times are monotonic seconds.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ("python3", "-m", "milletcourse.platform", "9464/metrics")
"""The `run` line of deploy/system.toml."""
NETWORK = f"127.{random.SystemRandom().randint(16, 200)}.{random.SystemRandom().randint(1, 250)}"
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "MaxSkewMs": 5000, "FailClosed": True, "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 54, "RecoveryS": 12,
    "TransitMs": 120, "RetryAfterS": 10, "RequireFencing": True, "LeaseMs": 3000,
    "FreezeSlackMs": 300, "VersionMs": 8000, "VersionAllMs": 11000,
}  # fmt: skip
"""Bounds of the Member Roster Desk (SYSTEM.md)."""

now = time.monotonic


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = now()

    def line(self, *words: object) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{now() - self._began_at:8.3f} " + " ".join(map(str, words)) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    @property
    def id(self) -> str:
        """Its Request-Id, empty without one."""
        return self.fields.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, fields, body)


def answer(status: int, fields: dict[str, str], body: bytes = b"", length: bool = True) -> bytes:
    """Encode an answer."""
    lines = [f"HTTP/1.1 {status} Stand-In", *(f"{name}: {fields[name]}" for name in fields)]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: kinds of objects, revisions, lists, watches, conditions."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.address = ""
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, f"{NETWORK}.200", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object; returns the time of the acknowledgement."""
        before = self.objects.setdefault(kind, {}).get(name)
        if before is None or before["Spec"] != spec:
            self.revision += 1
            created = before["Metadata"]["Created"] if before else self.revision
            metadata = {
                "Name": name, "Revision": self.revision, "Created": created, "Finalizers": [],
                "Deleting": False,
            }  # fmt: skip
            stored = {"Metadata": metadata, "Spec": spec, "Status": None}
            self.objects[kind][name] = stored
            self._note(kind, stored, False)
        return now()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, True)

    def _note(self, kind: str, stored: dict[str, Any], gone: bool) -> None:
        self._history.append((self.revision, kind, stored, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, document = await self._answer(request)
                fields = {"Content-Type": "application/json", "Store-Era": "0"}
                writer.write(answer(status, fields, json.dumps(document).encode()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path.removeprefix("/milletcourse/objects/")).partition("/")
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        if request.method == "GET" and not name:
            items = [objects[key] for key in sorted(objects) if key > query.get("after", "")]
            return 200, {"items": items[:500], "More": len(items) > 500, "At": self.revision}
        if request.method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        document = json.loads(request.body) if request.body else {}
        if request.method == "POST":
            name = document["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        else:
            wanted = document.get("Metadata", {}).get("Revision", query.get("Revision"))
            if wanted is not None and int(wanted) != objects[name]["Metadata"]["Revision"]:
                return 409, objects[name]
        if request.method == "DELETE":
            stored = objects[name]
            self.remove(kind, name)
            return 200, stored
        self.put(kind, name, document["Spec"])
        return 200, objects[name]

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        ends_at = now() + min(wait_ms, 30_000) / 1000
        while True:
            changed = self._changed
            events = [
                {"Gone": gone, "Object": stored}
                for revision, its_kind, stored, gone in self._history
                if its_kind == kind and revision > since
            ]
            if events or now() >= ends_at:
                return 200, {"Events": events, "At": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), ends_at - now())
            except TimeoutError:
                pass


class Server:
    """Base of servers: connections, health, report, entry with its heartbeat.

    Subclasses implement `run`, which is called for each request that names this server.
    """

    def __init__(self, number: int, name: str, service: str, record: Record) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.address = ""
        self.born = int(time.time() * 1000)
        self.versions: dict[str, int] = {}
        self.slots = 6
        self._host = f"{NETWORK}.{100 + number}"
        self._heartbeats = 0

    async def start(self, store: Store) -> None:
        """Listen on a free port, and keep the entry in the store."""
        self._listener = await asyncio.start_server(self._serve, self._host, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        self._beat(store)
        self._beating = asyncio.create_task(self._keep_entry(store))

    async def _keep_entry(self, store: Store) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._beat(store)

    def _beat(self, store: Store) -> None:
        stored = store.objects.get("servers", {}).get(self.name)
        entry = self.entry()
        if stored is None or {**stored["Spec"], "Sequence": 0} != {**entry, "Sequence": 0}:
            store.put("servers", self.name, entry)

    def models(self) -> list[dict[str, Any]]:
        """Models in its entry and report."""
        return [{"Name": m, "Version": v, "Adapters": []} for m, v in self.versions.items()]

    def entry(self) -> dict[str, Any]:
        """Its entry in the store."""
        self._heartbeats += 1
        entry = {
            "Service": self.service, "Address": self.address, "Zone": "zone-1", "Version": "v1",
            "Slots": self.slots, "State": "ready", "ColdRemainingMs": 0,
            "Sequence": self._heartbeats, "born": self.born,
        }  # fmt: skip
        return {**entry, "Stage": "both", "Models": self.models()} if self.versions else entry

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self._handle(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        identity = {"Request-Id": request.id} if request.id else {}
        if request.target == "/health":
            writer.write(answer(200, {"Instance-Id": self.name}))
        elif request.fields.get("expected-instance", self.name) != self.name:
            writer.write(answer(421, {**identity, "Instance-Id": self.name}))
        elif request.target.startswith("/milletcourse/"):
            await self.control(request, writer)
        else:
            await self.run(request, writer)

    async def control(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a call that isn't a client's request."""
        writer.write(answer(404, {}))

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request that names this server."""
        raise NotImplementedError


class Gateway:
    """One gateway process, started with the deploy file's command."""

    def __init__(self, number: int, store: str, folder: Path, bounds: dict[str, Any]) -> None:
        self.name = f"front-zone-1-{number}"
        self.ip = f"{NETWORK}.{number}"
        self.frontend = f"{self.ip}:8782"
        self.readiness = f"{self.ip}:8789"
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self.document = {
            "NodeName": self.name, "Role": "gateway", "MachineClass": "front", "Serves": ["front"],
            "Ip": self.ip, "Zone": "zone-1", "Region": "region-1", "Zones": {"zone-1": "region-1"},
            "Listen": {"Frontend": self.frontend, "Readiness": self.readiness},
            "InternalPorts": [7340, 7355], "Seeds": [], "Bootstrap": True, "FaultCounted": False,
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100,
                       "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": bounds,
            "Platform": {"Address": store, "form": "objects", "WritesPerS": 400,
                         "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576},
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self._settings.write_text(json.dumps(self.document))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MILLETCOURSE_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def events(self) -> list[dict[str, Any]]:
        """Its log lines."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                client = await Client.connect(self.readiness)
                client.writer.write(b"GET /milletcourse/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                got = await client.read()
                client.leave()
        except (OSError, TimeoutError):
            return False
        return got is not None and got.status == 200

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Answer:
    """An answer as a client received it; `whole` is False when it was cut."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes, whole: bool) -> None:
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Open a connection."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(
        self, method: str, target: str, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def read(self) -> Answer | None:
        """Read an answer; None when the connection ends before one."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.lower()] = value.strip()
        status = int(lines[0].split(" ")[1])
        pieces: list[bytes] = []
        try:
            if fields.get("transfer-encoding") != "chunked":
                size = int(fields.get("content-length", 0))
                return Answer(status, fields, await self.reader.readexactly(size), True)
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                piece = await self.reader.readexactly(size + 2)
                if not size:
                    return Answer(status, fields, b"".join(pieces), True)
                pieces.append(piece[:-2])
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, fields, b"".join(pieces), False)

    def leave(self) -> None:
        """Close the connection."""
        self.writer.close()


class World:
    """Store, servers and gateways of one case."""

    def __init__(self, folder: Path, gateways: int, bounds: dict[str, Any] | None = None) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.servers: list[Any] = []
        self.gateways: list[Gateway] = []
        self._count = gateways
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    async def start(self, configuration: dict[str, Any], servers: list[Any]) -> None:
        """Start everything, and wait until all gateways are ready; `TimeoutError` when not."""
        await self.store.start()
        self.store.put("config", "main", configuration)
        self.servers = servers
        for server in servers:
            await server.start(self.store)
        for number in range(1, self._count + 1):
            self.gateways.append(
                Gateway(number, self.store.address, self.folder, self._bounds)
            )
            self.gateways[-1].start()
        try:
            async with asyncio.timeout(25):
                for gateway in self.gateways:
                    while not await gateway.is_ready():
                        await asyncio.sleep(0.1)
        except TimeoutError:
            for gateway in self.gateways:
                print(gateway.name, gateway.events()[-3:], file=sys.stderr)
            raise
        # Loads and the list of gateways are exchanged before traffic starts.
        await asyncio.sleep(3.0)

    def close(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.end()
        self._temporary.cleanup()
        self.record.close()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """A route of the configuration."""
    return {
        "Name": name, "Host": "site.example", "PathPrefix": f"/{name}/", "RouteType": kind,
        "TimeoutMs": 4000, "TargetLatencyMs": 400, "Priority": 1, "Service": service,
        "MaxAttempts": 1, "Public": False, **more,
    }  # fmt: skip


LIMITS = {
    "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}  # fmt: skip


def has_trouble() -> bool:
    """Whether the disruption is played: not with `TROUBLE=0`."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case, and exit with its result: 1 broken, 0 held, 2 could not run."""

    async def bounded() -> int:
        async with asyncio.timeout(112):
            return await case()

    try:
        result = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(result)
