"""Records what servers actually did, and checks the system's guarantees against it."""

from __future__ import annotations

import itertools
import math
import time
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from soak.limit_ledger import LimitLedger
from soak.signal_ledger import Arrival, BackOff, SignalLedger, WasDisturbed

MAX_CRASHES = 5
"""Maximum number of servers that one request may crash while at least one gateway keeps running:
three before containment, and two more through gateways that were suspended or partitioned and do
not know of the containment yet. Without containment, a soak of twenty seconds crashes twenty or
more. When all gateways are killed, evidence of requests that are not contained yet is lost."""
MAX_OVERLAP_SECONDS = 0.4
"""Maximum time for which a stream's previous server may still run after another one resumed it."""
REVOKE_SLACK_SECONDS = 0.1
"""Allowance for the time between a client's send and the ledger's timestamp, on one machine."""


@dataclass(frozen=True)
class Run:
    """One execution of a request at a server."""

    server: str
    at: float
    tenant: str
    salt: str
    version: int | None
    resumed_after: int


@dataclass
class StreamExecution:
    """Interval in which one server executed a stream, in seconds of the ledger's clock."""

    server: str
    began_at: float
    ended_at: float = math.inf


@dataclass(frozen=True)
class SentRequest:
    """A request as its client sent it."""

    request_id: str
    at: float
    key: str
    kind: str
    gateway: str = ""


@dataclass(frozen=True)
class ReceivedOrder:
    """A weight order as a server received it."""

    server: str
    at: float
    holder: str
    fencing_token: int


def incarnation(server: str, born: int) -> str:
    """Identity of one start of a server."""
    return f"{server}@{born}"


def server_name(incarnation_of_server: str) -> str:
    """The server's name in the identity of an incarnation."""
    return incarnation_of_server.partition("@")[0]


def stream_event_count(request_id: str) -> int:
    """Number of events of a request's stream."""
    return 3 + zlib.crc32(request_id.encode()) % 6


def stream_event(request_id: str, number: int) -> bytes:
    """One event of a request's stream; identical at every server."""
    return b"id: %d\ndata: %b:%d\n\n" % (number, request_id.encode(), number)


def complete_stream(request_id: str) -> bytes:
    """The complete body of a request's stream."""
    return b"".join(
        stream_event(request_id, n) for n in range(1, stream_event_count(request_id) + 1)
    )


@dataclass
class Ledger:
    """Ground truth of one soak."""

    tenants: dict[str, str]
    revoke_seconds: float
    lease_seconds: float
    isolated: frozenset[str] = frozenset()
    runs: dict[str, list[Run]] = field(default_factory=dict)
    sent: dict[str, SentRequest] = field(default_factory=dict)
    orders: list[ReceivedOrder] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    bodies: dict[str, set[bytes]] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    crashes: dict[tuple[str, bytes], int] = field(default_factory=dict)
    crashes_since_all_killed: dict[tuple[str, bytes], int] = field(default_factory=dict)
    crashed_at: float = float("-inf")
    """Monotonic time of the latest crash of a server on a request."""
    violations: list[str] = field(default_factory=list)
    pauses: int = 0
    """Streams that their server paused midway."""
    executions: dict[str, list[StreamExecution]] = field(default_factory=dict)
    limits: LimitLedger = field(default_factory=LimitLedger)
    signals: SignalLedger = field(default_factory=SignalLedger)
    draining_answers: dict[str, str] = field(default_factory=dict)
    """Requests whose latest answer announced that its server is draining, with that server."""
    now: Callable[[], float] = time.monotonic
    """Clock for stream executions, of the process in which all servers run."""

    def violate(self, promise: str, detail: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{promise}: {detail}")

    # -- limits ---------------------------------------------------------------------------------

    def on_arrival(self, server: str, born: int, request_id: str) -> None:
        """A request reaches an incarnation of a server, whether or not it is executed."""
        now = time.monotonic()
        self.limits.on_arrival(server, now)
        sent = self.sent.get(request_id)
        if sent is not None:
            self.signals.on_arrival(Arrival(incarnation(server, born), sent.gateway, now, sent.at))

    # -- server signals -------------------------------------------------------------------------

    def on_back_off(self, server: str, request_id: str, seconds: float) -> None:
        """A server rejects a request and asks for back-off."""
        sent = self.sent.get(request_id)
        if sent is not None:
            self.signals.on_back_off(BackOff(server, sent.gateway, time.monotonic(), seconds))

    def on_draining_answer(self, server: str, request_id: str) -> None:
        """A server writes an answer that announces that it is draining."""
        self.signals.on_draining_answer(server, time.monotonic())
        self.draining_answers[request_id] = server

    def check_signals(self, drain_seconds: float, was_disturbed: WasDisturbed) -> None:
        """Check that draining and backing-off servers received no more requests than allowed.

        Args:
            drain_seconds: Time for which a gateway may use a server after it relayed the signal.
            was_disturbed: Tells whether a gateway is excused.
        """
        for late in self.signals.late_sends(drain_seconds, was_disturbed):
            self.violate("leaving", f"{late}")
        for back_off, count in self.signals.violated_back_offs(was_disturbed):
            self.violate("rest", f"{count} requests during {back_off}")

    def on_limit(self, server: str, per_second: float | None) -> None:
        """A server starts to announce a limit, or stops announcing one."""
        self.limits.on_limit(server, per_second, time.monotonic())

    def check_limits(self) -> None:
        """Check that no server received more requests than its limit allows."""
        for over in self.limits.over():
            self.violate("limit", over)

    # -- servers --------------------------------------------------------------------------------

    @contextmanager
    def running(self, request_id: str, server: str) -> Iterator[None]:
        """Record that a server executes a stream while the context is active."""
        execution = StreamExecution(server, self.now())
        self.executions.setdefault(request_id, []).append(execution)
        try:
            yield
        finally:
            execution.ended_at = self.now()

    def check_overlaps(self) -> None:
        """Check that no stream is executed by two servers at once for long."""
        for request_id, executions in self.executions.items():
            for before, after in itertools.pairwise(executions):
                overlap = min(before.ended_at, after.ended_at) - after.began_at
                if overlap > MAX_OVERLAP_SECONDS:
                    self.violate("one-run", f"{request_id} ran twice for {overlap:.2f} s")

    def on_run(self, request_id: str, run: Run) -> None:
        """A server starts to execute a request."""
        runs = self.runs.setdefault(request_id, [])
        runs.append(run)
        sent = self.sent.get(request_id)
        if sent is None:
            self.violate("unasked", f"{request_id} was not sent by any client")
            return
        if sent.kind in ("unsafe", "single") and len(runs) > 1:
            self.violate("at-most-once", f"{request_id} ran {len(runs)} times")
        if run.tenant != self.tenants.get(sent.key):
            self.violate("tenant", f"{request_id} ran as {run.tenant!r}")
        revoked = self.revoked_at.get(sent.key)
        if revoked is not None and sent.at > revoked + self.revoke_seconds + REVOKE_SLACK_SECONDS:
            self.violate("revoked-key", f"{request_id} sent {sent.at - revoked:.2f}s after")
        if run.tenant in self.isolated and run.salt and run.tenant not in run.salt:
            self.violate("wall", f"{request_id} has salt {run.salt}")
        if run.version is not None and not run.salt.endswith(f"@{run.version}"):
            self.violate("stale", f"{request_id} on version {run.version} has salt {run.salt}")

    def on_body(self, request_id: str, body: bytes) -> None:
        """A server wrote this body as the complete answer to a request."""
        self.bodies.setdefault(request_id, set()).add(body)

    def on_crash(self, tenant: str, body: bytes) -> None:
        """A server's process crashes on a tenant's request with this body."""
        self.crashed_at = time.monotonic()
        self.crashes[tenant, body] = self.crashes.get((tenant, body), 0) + 1
        crashes = self.crashes_since_all_killed.get((tenant, body), 0) + 1
        self.crashes_since_all_killed[tenant, body] = crashes
        if crashes == MAX_CRASHES + 1:
            self.violate("contained", f"{crashes} servers crashed on {body!r} of {tenant}")

    def on_all_gateways_killed(self) -> None:
        """All gateways lost their evidence of requests that are not contained yet."""
        self.crashes_since_all_killed.clear()

    def on_order(self, order: ReceivedOrder) -> None:
        """A server accepted an order after checking its fencing token."""
        for other in self.orders:
            if other.fencing_token == order.fencing_token and other.holder != order.holder:
                self.violate(
                    "one-holder", f"{other.holder} and {order.holder} used the same fencing token"
                )
        lately = [item for item in self.orders if order.at - item.at < self.lease_seconds]
        holders = [item.holder for item in lately] + [order.holder]
        changes = sum(a != b for a, b in itertools.pairwise(holders))
        if changes > 1:
            self.violate("one-holder", f"holders alternated within the lease: {holders}")
        self.orders.append(order)

    # -- clients --------------------------------------------------------------------------------

    def on_sent(self, request: SentRequest) -> None:
        """A client is about to send a request."""
        self.sent[request.request_id] = request

    def on_answer(self, request_id: str, status: int, body: bytes, whole: bool) -> None:
        """A client received an answer, or the beginning of one."""
        kind = self.sent[request_id].kind
        outcome = str(status) if whole else "cut"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if status in (408, 421, 429, 503):
            self.refusals[request_id] = status
        if status != 200:
            return
        if whole and request_id in self.draining_answers:
            gateway = self.sent[request_id].gateway
            server = self.draining_answers[request_id]
            self.signals.on_relayed(server, gateway, time.monotonic())
        if kind in ("stream", "single"):
            expected = complete_stream(request_id)
            if not expected.startswith(body) or (whole and body != expected):
                self.violate("stream-order", f"{request_id} got {body[-60:]!r}")
        elif whole and body not in self.bodies.get(request_id, set()):
            self.violate("whole-answer", f"{request_id} got {body[:60]!r}")

    def check_late(self) -> None:
        """Check at the end that refused requests were not executed, even after the refusal."""
        for request_id, status in self.refusals.items():
            if self.runs.get(request_id) and self.sent[request_id].kind in ("unsafe", "single"):
                self.violate("refused-is-true", f"{request_id} got {status} and ran later")
