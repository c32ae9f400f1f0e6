"""Each check of the soak reports a violation for a known-bad history."""

from __future__ import annotations

import json
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest

from soak.answers import ClientRequest, RequestContext, RequestResult, Verdict, classify
from soak.clients import LONG_PROMPT
from soak.ledger import MAX_CRASHES, Ledger, ReceivedOrder, Run, SentRequest, complete_stream
from soak.run import AMPLE_MEMORY_TOKENS, CLIENTS, check_recovery
from soak.skewed_connections import ServedShare, check_served
from soak.world import LISTEN_TIMEOUT_SECONDS, GatewayProcess, SoakWorld

SILENT_PROGRAM = ("-c", "import time; time.sleep(60)")
KEYS = {"key-1": "tenant-1", "key-2": "tenant-2"}


def new_ledger(kind: str = "unsafe", key: str = "key-1", at: float = 0.0) -> Ledger:
    """A ledger with one request `r` sent."""
    ledger = Ledger(KEYS, 3.0, 1.5, frozenset({"tenant-1"}))
    ledger.on_sent(SentRequest("r", at, key, kind))
    return ledger


def run(tenant: str = "tenant-1", salt: str = "m:tenant:tenant-1@1", version: int = 1) -> Run:
    """A correct run of `r`."""
    return Run("s", 0.0, tenant, salt, version, 0)


def double_run(ledger: Ledger) -> None:
    """An unsafe request runs twice."""
    ledger.on_run("r", run())
    ledger.on_run("r", run())


def unasked(ledger: Ledger) -> None:
    """A request runs that no client sent."""
    ledger.on_run("other", run())


def wrong_tenant(ledger: Ledger) -> None:
    """The run has a tenant other than that of the key."""
    ledger.on_run("r", run(tenant="tenant-2"))


def revoked(ledger: Ledger) -> None:
    """The key was revoked long before."""
    ledger.revoked_at["key-1"] = -4.0
    ledger.on_run("r", run())


def shared_wall(ledger: Ledger) -> None:
    """An isolated tenant's request has a shared salt."""
    ledger.on_run("r", run(salt="m:shared@1"))


def stale(ledger: Ledger) -> None:
    """The salt has another weight version than the server."""
    ledger.on_run("r", run(version=2))


def not_contained(ledger: Ledger) -> None:
    """A request crashes one server after another."""
    for _ in range(MAX_CRASHES + 1):
        ledger.on_crash("tenant-1", b"body")


def false_promise(ledger: Ledger) -> None:
    """A request is refused as not executed, but runs later."""
    ledger.on_answer("r", 503, b"", True)
    ledger.on_run("r", run())
    ledger.check_late()


def foreign_body(ledger: Ledger) -> None:
    """A complete answer that no server wrote."""
    ledger.on_answer("r", 200, b"foreign", True)


def shared_token(ledger: Ledger) -> None:
    """Two lease holders use the same fencing token."""
    ledger.on_order(ReceivedOrder("s", 0.0, "a", 1))
    ledger.on_order(ReceivedOrder("s", 9.0, "b", 1))


def turns(ledger: Ledger) -> None:
    """Lease holders alternate within the lease duration."""
    for at, holder, token in ((0.0, "a", 1), (0.5, "b", 2), (1.0, "a", 3)):
        ledger.on_order(ReceivedOrder("s", at, holder, token))


@pytest.mark.parametrize(
    "history",
    [
        double_run,
        unasked,
        wrong_tenant,
        revoked,
        shared_wall,
        stale,
        not_contained,
        false_promise,
        foreign_body,
        shared_token,
        turns,
    ],
)
def test_broken_promises_are_seen(history) -> None:  # type: ignore[no-untyped-def]
    """Each known-bad history gives a violation, and a correct one gives none."""
    ledger = new_ledger()
    history(ledger)
    assert ledger.violations
    proper = new_ledger()
    proper.on_run("r", run())
    assert not proper.violations


SOUND = RequestContext()
SICK = RequestContext(servers_are_healthy=False)


def ended(end: RequestResult | None, seconds: float = 0.0, **more: Any) -> ClientRequest:
    """A request that was sent and ended with this result after some seconds."""
    return ClientRequest("r", "stream", sent_at=1.0, ended_at=1.0 + seconds, end=end, **more)


@pytest.mark.parametrize(
    ("asked", "beside", "verdict"),
    [
        (ended(RequestResult.COMPLETE), SOUND, Verdict.ANSWERED),
        (ended(RequestResult.DISCONNECTED), SOUND, Verdict.CLIENT_DISCONNECTED),
        (ended(RequestResult.NO_CONNECTION), SOUND, Verdict.NEVER_SENT),
        (ended(None), SOUND, Verdict.UNFINISHED),
        (ended(RequestResult.NO_ANSWER), SOUND, Verdict.LOST_FIRST),
        (ended(RequestResult.NO_ANSWER), SICK, Verdict.LOST_FIRST),
        (ended(RequestResult.NO_ANSWER, position=2), SOUND, Verdict.RACED_WITH_CLOSE),
        (ended(RequestResult.NO_ANSWER, 0.3, position=2), SOUND, Verdict.LOST_ON_KEEP_ALIVE),
        (
            ended(RequestResult.NO_ANSWER, position=2, is_pipelined=True),
            SOUND,
            Verdict.LOST_PIPELINED,
        ),
        (
            ended(RequestResult.NO_ANSWER, 3.1, is_pipelined=True, follows_aborted_answer=True),
            SOUND,
            Verdict.BEHIND_ABORTED_ANSWER,
        ),
        (
            ended(RequestResult.NO_ANSWER, position=2),
            RequestContext(runs=1),
            Verdict.LOST_AT_SERVER,
        ),
        (ended(RequestResult.NO_ANSWER), RequestContext(gateway_disturbed=True), Verdict.DISTURBED),
        (ended(RequestResult.PARTIAL, 0.5), SOUND, Verdict.LOST_AT_SERVER),
        (ended(RequestResult.PARTIAL, 0.5), SICK, Verdict.ABORTED_BY_SERVER),
        (ended(RequestResult.PARTIAL, 3.05), SOUND, Verdict.TIMED_OUT),
        (ended(RequestResult.CLIENT_TIMEOUT, 7.0), SOUND, Verdict.LOST_SILENT),
    ],
)
def test_each_end_has_its_verdict(
    asked: ClientRequest, beside: RequestContext, verdict: Verdict
) -> None:
    """Which conditions excuse a request without an answer."""
    assert classify(asked, beside) is verdict


def test_streams_with_gaps_are_seen() -> None:
    """A missing event, a stream that ends too early as complete, and a duplicate event."""
    body = complete_stream("r")
    for got, whole in ((body[20:], False), (body[:-10], True), (body + body[-20:], True)):
        ledger = new_ledger("stream")
        ledger.on_answer("r", 200, got, whole)
        assert ledger.violations
    ledger = new_ledger("stream")
    ledger.on_answer("r", 200, body, True)
    ledger.on_answer("r", 200, body[:25], False)
    assert not ledger.violations


def test_a_launched_process_that_does_not_listen_yet_need_not_know_the_store(
    tmp_path: Path,
) -> None:
    """The check counted from the launch, but on a busy machine a process listens seconds later."""
    gateway = GatewayProcess("front-1", "zone-1", "127.0.0.1:1", tmp_path, SILENT_PROGRAM)
    gateway.start()
    assert gateway.process is not None
    try:
        long_after = time.monotonic() + LISTEN_TIMEOUT_SECONDS + 1.0
        assert gateway.was_starting(long_after - 1.0, long_after)
        assert gateway.is_late(long_after) and not gateway.is_late(time.monotonic())
        log = tmp_path / "front-1.log"
        said_at = datetime.now(UTC).isoformat()
        log.write_text(json.dumps({"event": "started", "timestamp": said_at}) + "\n")
        assert gateway.was_starting(time.monotonic() - 1.0, time.monotonic())
        assert not gateway.was_starting(long_after - 1.0, long_after)
        assert not gateway.is_late(long_after)
    finally:
        gateway.process.kill()
        gateway.process.wait()
        gateway.release_ports()


@pytest.mark.parametrize(
    ("served", "refused", "has_recovered"), [(95, 5, False), (96, 4, True), (0, 0, False)]
)
def test_a_fleet_that_refuses_one_in_twenty_in_calm_has_not_recovered(
    tmp_path: Path, served: int, refused: int, has_recovered: bool
) -> None:
    """Refusals for revoked keys and clients that disconnect are not counted."""
    world = SoakWorld(1, tmp_path)
    before = {"200": 5, "503": 50, "401": 5}
    world.ledger.outcomes = {"200": 5 + served, "503": 50 + refused, "401": 45, "left": 9}
    check_recovery(world, before)
    assert (not world.ledger.violations) is has_recovered


def test_calm_clients_fit_into_the_memory_of_one_engine() -> None:
    """Guards against judging recovery by refusals for lack of memory."""
    tokens = sum(int(part) for part in LONG_PROMPT["Token_Usage"].split(","))
    assert CLIENTS * tokens <= AMPLE_MEMORY_TOKENS


@pytest.mark.parametrize(("before", "after", "holds"), [(0.8, 0.61, True), (0.8, 0.59, False)])
def test_a_quarter_less_service_under_skewed_connections_is_reported(
    tmp_path: Path, before: float, after: float, holds: bool
) -> None:
    """The bound is relative to the share before."""
    world = SoakWorld(1, tmp_path)
    check_served(world, before, after)
    assert (not world.ledger.violations) is holds


def test_the_served_share_leaves_out_requests_that_no_gateway_has_read(tmp_path: Path) -> None:
    """Connections that were refused, or closed unread, and clients that left are not counted."""
    world = SoakWorld(1, tmp_path)
    world.ledger.outcomes = {"200": 9, "503": 9}
    share = ServedShare(world)
    unread = {"nothing": 5, "no-connection": 5, "left": 5}
    world.ledger.outcomes.update({"200": 12, "503": 9, "502": 1, **unread})
    assert (share.read_requests(), share.value()) == (4, 0.75)
