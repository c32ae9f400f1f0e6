"""WALL: a tenant becomes isolated, and others go on using the prompt parts that it made."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (
    LIMITS, Client, Record, Request, Server, World, answer, has_trouble, main, now, route,
)  # fmt: skip

FOLDER = Path(__file__).resolve().parent
MODEL = "model-a"
SHARED = (("5c1e07a2", 6000), ("91bd3f06", 300))
"""Parts of the prompts of both tenants, with their tokens."""
SETTLED_SECONDS = 5.0
"""Well over `ConfigApplyMs` (2 s) after the acknowledgement."""


class State:
    """What the check needs: who is isolated, and which runs used whose memory."""

    def __init__(self) -> None:
        self.isolated: set[str] = set()
        self.broken: list[str] = []
        self.runs = 0


class ModelServer(Server):
    """Keeps the parts that it has read under the salt of the request that made them."""

    def __init__(self, number: int, name: str, record: Record, state: State) -> None:
        super().__init__(number, name, "llm", record)
        self.slots = 64
        self.versions = {MODEL: 1}
        self._state = state
        self._kept: dict[tuple[str, ...], str] = {}
        """Tenant that made a part, by salt, model, and the parts up to this one."""

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Read the prompt from what is kept as far as possible, and stream an answer."""
        state = self._state
        tenant = request.fields.get("tenant", "")
        salt = request.fields.get("cache-salt", "")
        parts = [part.split(":")[0] for part in request.fields["prompt-prefix"].split(",")]
        state.runs += 1
        used = []
        for count in range(1, len(parts) + 1):
            key = (salt, request.fields["model"], *parts[:count])
            maker = self._kept.setdefault(key, tenant)
            if maker != tenant:
                used.append((parts[count - 1], maker))
        walls = state.isolated & {tenant, *(maker for _, maker in used)}
        self.record.line("runs", self.name, request.id, "tenant", tenant, "salt", salt, "used", used)
        if used and walls:
            state.broken.append(request.id)
            self.record.line("BROKEN", request.id, tenant, "used parts of", used, "isolated", walls)
        identity = {"Request-Id": request.id, "Server-Signature": f"{self.name}.{request.id}"}
        fields = {**identity, "Weight-Versions": "1", "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}  # fmt: skip
        writer.write(answer(200, fields, length=False))
        for number in range(1, 4):
            event = b"id: %d\ndata: %b-%d\n\n" % (number, request.id.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")


def configuration(version: int, isolated: bool) -> dict[str, object]:
    """Two tenants; the first one may be isolated."""
    return {
        "Version": version,
        "Routes": [
            route("ask", "streaming", "llm", Sticky=True, Resumable=True, MaxAttempts=2,
                  GapAimMs=500, TimeoutMs=6000, TargetLatencyMs=800)
        ],
        "Services": [
            {"Name": "llm", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1",
             "Tls": False, "Engine": {"Slots": 64, "KvCapacity": 110556, "KvTokenBytes": 163840,
                                      "LinkMbps": 1100000.0, "Models": [{"Name": MODEL}]}}
        ],
        "Limits": LIMITS,
        "Tenants": [
            {"Name": "hospital", "ApiKeys": ["key-hospital"], "Priority": 1, "Isolated": isolated},
            {"Name": "warehouse", "ApiKeys": ["key-warehouse"], "Priority": 1, "Isolated": False},
        ],
    }  # fmt: skip


async def ask(world: World, number: int, tenant: str) -> int:
    """One request of a tenant; returns the status."""
    gateway = world.gateways[number % len(world.gateways)]
    request_id = f"{tenant}-{number}"
    parts = ",".join(f"{name}:{tokens}" for name, tokens in (*SHARED, (f"{tenant[0].encode().hex()}{number:06x}", 50)))
    client = await Client.connect(gateway.frontend)
    world.record.line("sent", request_id, "to", gateway.name)
    client.send("POST", "/ask/1", {
        "Host": "site.example", "Request-Id": request_id, "Api-Key": f"key-{tenant}",
        "Model": MODEL, "Token-Usage": "6350,20", "Prompt-Prefix": parts, "Deadline-Ms": "6000",
    }, b"prompt")  # fmt: skip
    got = await client.read()
    client.leave()
    status = got.status if got is not None and got.whole else 0
    world.record.line("answered", request_id, status)
    return status


async def case() -> int:
    """Requests of both tenants before and after the first one becomes isolated."""
    state = State()
    world = World(FOLDER, gateways=3)
    try:
        servers = [ModelServer(n, f"i-model-{n}", world.record, state) for n in range(1, 4)]
        await world.start(configuration(1, False), servers)
        served = 0
        for number in range(30):
            served += await ask(world, number, "hospital") == 200
        acknowledged_at = world.store.put("config", "main", configuration(2, has_trouble()))
        world.record.line("acknowledged configuration 2, hospital isolated:", has_trouble())
        await asyncio.sleep(SETTLED_SECONDS)
        state.isolated = {"hospital"} if has_trouble() else set()
        for number in range(100, 140):
            served += await ask(world, number, "warehouse") == 200
            served += await ask(world, number, "hospital") == 200
        world.record.line("served", served, "runs", state.runs, "since acknowledgement",
                          round(now() - acknowledged_at, 1))  # fmt: skip
        print(f"served {served} of 110; {len(state.broken)} runs used memory across the wall")
        if served < 90:
            return 2
        return 1 if state.broken else 0
    finally:
        world.close()


main(case)
