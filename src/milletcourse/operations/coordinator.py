"""Coordinates one write so that it runs at most once.

The coordinator claims the key at a majority of its replicas (PREPARE), records the intent at a
majority (DISPATCHING), sends the write once and records the outcome. Every failure is typed;
`OperationNotRun` is used only where it is provable that the write was not sent.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from blake3 import blake3
from returns.pipeline import is_successful

from milletcourse.backends.app_client import AppAnswer, AppClient
from milletcourse.errors import (
    BackendUnreachable,
    Failure,
    FailureError,
    IdempotencyKeyFromFuture,
    IdempotencyKeyReused,
    NoQuorum,
    OperationInProgress,
    OperationKeyTooOld,
    OperationNotRun,
    OperationUnknown,
)
from milletcourse.operations.keys import OperationKey, mint_key, parse_key
from milletcourse.operations.messages import (
    Ballot,
    ClaimReply,
    ClaimRequest,
    ClaimStep,
    ClaimVerdict,
    StoredOutcome,
)
from milletcourse.operations.placement import majority, replicas_for
from milletcourse.operations.replica import SKEW_BOUND_SECONDS
from milletcourse.policy.objects import AppServerSpec, RouterMember, RouterSetSpec
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet
from milletcourse.wire.claims import BODY_DIGEST_BYTES

QUORUM_TIMEOUT_SECONDS = 1.0
DISPATCH_WINDOW_SECONDS = 5.0
"""A coordinator that takes longer from claim to dispatch was suspended and does not send."""
APP_TIMEOUT_SECONDS = 10.0
SETTLE_READS = 4
SETTLE_PAUSE_SECONDS = 0.5
SETTLE_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 1.0
OUTCOME_SENDS = 3

ClaimSender = Callable[[RouterMember, ClaimRequest], Awaitable[ClaimReply]]
"""Sends a claim request to a replica; raises FailureError when no reply arrives in time."""


@dataclass(frozen=True, slots=True)
class Write:
    """One write to an application.

    Attributes:
        tenant: Tenant of the caller.
        application: Name of the application.
        method: HTTP method.
        path: Path at the application.
        body: Request body.
        content_type: Content type of the body.
        key_text: Idempotency-Key of the caller; empty when this router mints the key.
        servers: Permitted servers in order of preference.
    """

    tenant: str
    application: str
    method: str
    path: str
    body: bytes
    content_type: str
    key_text: str
    servers: tuple[AppServerSpec, ...]

    def digest(self) -> bytes:
        """Return the digest that distinguishes two writes under the same key."""
        hasher = blake3(f"{self.method}\0{self.path}\0{self.content_type}\0".encode())
        return hasher.update(self.body).digest(BODY_DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class WriteResult:
    """A finished write.

    Attributes:
        key: The idempotency key, minted here when the caller sent none.
        answer: The application's answer.
        replayed: Whether it is the stored answer of a previous attempt.
    """

    key: str
    answer: AppAnswer
    replayed: bool


@dataclass(slots=True)
class _Tally:
    """Replies to one step."""

    replies: list[ClaimReply]

    def count(self, verdict: ClaimVerdict) -> int:
        return sum(1 for reply in self.replies if reply.verdict is verdict)

    def first(self, verdict: ClaimVerdict) -> ClaimReply | None:
        return next((reply for reply in self.replies if reply.verdict is verdict), None)


class OperationCoordinator:
    """Runs the writes that arrive at one router."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        router_set: Callable[[], RouterSetSpec | None],
        send_claim: ClaimSender,
        apps: AppClient,
        clock: Clock,
        random_source: random.Random,
        tasks: TaskSet,
    ) -> None:
        self._coordinator = f"{name}/{incarnation}"
        self._router_set = router_set
        self._send_claim = send_claim
        self._apps = apps
        self._clock = clock
        self._random = random_source
        self._tasks = tasks
        self._ballots = 0

    async def run(self, write: Write) -> WriteResult:
        """Run a write at most once.

        Raises:
            FailureError: Its type says whether the write ran, did not run, or may have run.
        """
        minted_here = not write.key_text
        text = write.key_text or mint_key(self._clock.wall(), self._random)
        parsed = parse_key(text, write.tenant, write.application)
        if not is_successful(parsed):
            raise FailureError(parsed.failure())
        key = parsed.unwrap()
        if key.mint_seconds > self._clock.wall() + SKEW_BOUND_SECONDS:
            raise FailureError(IdempotencyKeyFromFuture("the time in the key is in the future"))
        router_set = self._router_set()
        if router_set is None:
            raise FailureError(self._not_sent(minted_here, "no router set is configured"))
        replicas = replicas_for(router_set, key.record, key.mint_seconds)
        if not replicas:
            raise FailureError(self._not_sent(minted_here, "the router set is changing"))
        attempt = _WriteAttempt(self, write, key, replicas, minted_here, self._next_ballot())
        return await attempt.run()

    def _next_ballot(self) -> Ballot:
        self._ballots = max(self._ballots + 1, int(self._clock.wall() * 1000))
        return Ballot(self._ballots, self._coordinator)

    @staticmethod
    def _not_sent(minted_here: bool, detail: str) -> Failure:
        """Return the failure of an unsent attempt; only a key minted here proves it never ran."""
        if minted_here:
            return OperationNotRun(detail, RETRY_SECONDS)
        return NoQuorum(detail, RETRY_SECONDS)


class _WriteAttempt:
    """One coordinator's attempt at one write."""

    def __init__(
        self,
        owner: OperationCoordinator,
        write: Write,
        key: OperationKey,
        replicas: tuple[RouterMember, ...],
        minted_here: bool,
        ballot: Ballot,
    ) -> None:
        self._owner = owner
        self._clock = owner._clock
        self._write = write
        self._key = key
        self._replicas = replicas
        self._minted_here = minted_here
        self._ballot = ballot
        self._quorum = majority(len(replicas))

    async def run(self) -> WriteResult:
        started_at = self._clock.monotonic()
        prepared = await self._step(ClaimStep.PREPARE)
        replayed = await self._check_prepared(prepared)
        if replayed is not None:
            return replayed
        dispatching = await self._step(ClaimStep.DISPATCHING)
        if dispatching.count(ClaimVerdict.ACCEPTED) < self._quorum:
            raise FailureError(
                self._not_sent("a majority of the replicas did not record the claim")
            )
        if self._clock.monotonic() - started_at > DISPATCH_WINDOW_SECONDS:
            await self._record(StoredOutcome(False, 0, "", b""))
            raise FailureError(
                OperationNotRun("the router was suspended before the dispatch", RETRY_SECONDS)
            )
        return await self._dispatch()

    async def _check_prepared(self, tally: _Tally) -> WriteResult | None:
        finished = tally.first(ClaimVerdict.FINISHED)
        if finished is not None and finished.outcome is not None:
            return self._replay(finished.outcome)
        if tally.first(ClaimVerdict.BODY_DIFFERS) is not None:
            raise FailureError(IdempotencyKeyReused("the key was already used for another write"))
        dispatched = tally.first(ClaimVerdict.DISPATCHED)
        if dispatched is not None:
            return await self._resolve_other(dispatched)
        if tally.count(ClaimVerdict.ACCEPTED) >= self._quorum:
            return None
        if tally.first(ClaimVerdict.HELD) is not None:
            raise FailureError(OperationInProgress("another router holds the claim", RETRY_SECONDS))
        if tally.count(ClaimVerdict.FROM_FUTURE) > len(self._replicas) - self._quorum:
            raise FailureError(IdempotencyKeyFromFuture("the time in the key is in the future"))
        if tally.count(ClaimVerdict.TOO_OLD) > len(self._replicas) - self._quorum:
            if self._minted_here:
                raise FailureError(self._not_sent("the replicas have just started"))
            raise FailureError(
                OperationKeyTooOld("the replicas no longer know whether a write with this key ran")
            )
        raise FailureError(self._not_sent("too few replicas answered"))

    def _replay(self, outcome: StoredOutcome) -> WriteResult:
        if not outcome.ran:
            raise FailureError(OperationNotRun("the write was never sent", RETRY_SECONDS))
        answer = AppAnswer(outcome.status, outcome.content_type, outcome.body)
        return WriteResult(self._key.text, answer, replayed=True)

    async def _resolve_other(self, reply: ClaimReply) -> WriteResult:
        """Read the outcome of a write that another coordinator may have sent."""
        answer = await self._read_back(attempts=1)
        if answer is not None:
            return WriteResult(self._key.text, answer, replayed=True)
        holder = reply.holder
        age = self._clock.wall() - holder.number / 1000 if holder else APP_TIMEOUT_SECONDS
        if age < APP_TIMEOUT_SECONDS:
            raise FailureError(
                OperationInProgress("another router is running the write", RETRY_SECONDS)
            )
        raise FailureError(OperationUnknown("the write may have run"))

    async def _dispatch(self) -> WriteResult:
        """Send the write; only a failed connection setup allows an attempt at another server."""
        for server in self._write.servers:
            try:
                answer = await self._owner._apps.write(
                    server.address,
                    self._write.method,
                    self._write.path,
                    self._write.body,
                    self._write.content_type,
                    self._key.text,
                    APP_TIMEOUT_SECONDS,
                )
            except FailureError as error:
                if isinstance(error.failure, BackendUnreachable):
                    continue
                return await self._resolve_own()
            return self._finish(answer)
        await self._record(StoredOutcome(False, 0, "", b""))
        raise FailureError(
            OperationNotRun("no server of the application is reachable", RETRY_SECONDS)
        )

    def _finish(self, answer: AppAnswer) -> WriteResult:
        outcome = StoredOutcome(True, answer.status, answer.content_type, answer.body)
        self._owner._tasks.spawn(self._record(outcome), "record-outcome")
        return WriteResult(self._key.text, answer, replayed=False)

    async def _resolve_own(self) -> WriteResult:
        answer = await self._read_back(SETTLE_READS)
        if answer is not None:
            return self._finish(answer)
        raise FailureError(OperationUnknown("the write was sent but no answer was received"))

    async def _read_back(self, attempts: int) -> AppAnswer | None:
        """Read the outcome from the application; None does not prove that the write did not run."""
        servers = [server for server in self._write.servers if server.settles_operations]
        for attempt in range(attempts):
            if attempt:
                await self._clock.sleep(SETTLE_PAUSE_SECONDS)
            for server in servers:
                answer = await self._owner._apps.read_operation(
                    server.address, self._key.text, SETTLE_TIMEOUT_SECONDS
                )
                if answer is not None:
                    return answer
        return None

    async def _record(self, outcome: StoredOutcome) -> None:
        for _ in range(OUTCOME_SENDS):
            tally = await self._step(ClaimStep.OUTCOME, outcome)
            recorded_count = tally.count(ClaimVerdict.ACCEPTED) + tally.count(ClaimVerdict.FINISHED)
            if recorded_count >= self._quorum:
                return

    async def _step(self, step: ClaimStep, outcome: StoredOutcome | None = None) -> _Tally:
        """Send a step to all replicas; return once the result is decided or at the timeout."""
        request = ClaimRequest(
            step,
            self._key.record,
            self._key.mint_seconds,
            self._ballot,
            self._write.digest(),
            outcome,
        )
        tally = _Tally([])
        requests = [
            asyncio.ensure_future(self._owner._send_claim(replica, request))
            for replica in self._replicas
        ]
        for task in requests:
            task.add_done_callback(_ignore_result)
        pending = requests
        try:
            async with asyncio.timeout(QUORUM_TIMEOUT_SECONDS):
                while pending and not self._is_decided(tally):
                    await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                    done = [task for task in pending if task.done()]
                    pending = [task for task in pending if not task.done()]
                    tally.replies.extend(task.result() for task in done if task.exception() is None)
        except TimeoutError:
            pass
        return tally

    def _is_decided(self, tally: _Tally) -> bool:
        if tally.count(ClaimVerdict.ACCEPTED) >= self._quorum:
            return True
        return tally.first(ClaimVerdict.FINISHED) is not None

    def _not_sent(self, detail: str) -> Failure:
        return self._owner._not_sent(self._minted_here, detail)


def _ignore_result(task: asyncio.Future[ClaimReply]) -> None:
    """Retrieve the error of a late reply, so that asyncio does not log it as never retrieved."""
    if not task.cancelled():
        task.exception()
