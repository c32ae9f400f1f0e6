"""Answers one inference request: policy, routing, admission, attempts and relay.

`AnswerService.answer` is the only entry point for inference requests. It yields tokens in order and
ends either with the usage or with a typed failure; a failure after the first token leaves the
client with a correct prefix.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from milletcourse.admission.retry_budget import RetryBudget
from milletcourse.backends.engine_client import EngineClient, EngineStream
from milletcourse.backends.engine_messages import (
    EngineToken,
)
from milletcourse.errors import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
    Failure,
    FailureError,
    ResumeMismatch,
)
from milletcourse.logs import get_logger
from milletcourse.metrics import RouterMetrics
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.prefix.blocks import PromptBlocks
from milletcourse.routing.selector import EngineSelector
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet
from milletcourse.streams.attempt_planner import (
    MAX_ATTEMPTS,
    AnswerProgress,
    AnswerToken,
    Attempt,
    AttemptPlanner,
    InferenceRequest,
)
from milletcourse.streams.crash_guard import CrashGuard
from milletcourse.streams.idle_timeout import IdleTimeout
from milletcourse.streams.ordered_relay import OrderedRelay, RelayCounters, RelayedToken
from milletcourse.streams.resume_token import ResumePoint

MAX_STREAM_RESUMES = 2
"""Reconnections to the same engine before the answer fails over to another engine."""
FIRST_TOKEN_TIMEOUT_SECONDS = 90.0
TOKEN_TIMEOUT_SECONDS = 15.0
"""A generating engine sends several tokens per second; a longer gap means that it hangs."""
CONNECT_BACK_OFF_SECONDS = 0.05


class AnswerService:
    """Serves inference requests of one router."""

    def __init__(
        self,
        policy: CompiledPolicy,
        selector: EngineSelector,
        engines: EngineClient,
        clock: Clock,
        tasks: TaskSet,
        metrics: RouterMetrics,
        is_fresh: Callable[[], bool],
    ) -> None:
        self._policy = policy
        self._selector = selector
        self._engines = engines
        self._clock = clock
        self._tasks = tasks
        self._metrics = metrics
        self._planner = AttemptPlanner(policy, selector, clock, is_fresh)
        self.guard = CrashGuard(engines, clock)
        self._retries = RetryBudget(0.0)
        self._log = get_logger("answers")
        self.relay_counters = RelayCounters()
        self.running = 0

    async def answer(
        self, request: InferenceRequest, request_digest: bytes
    ) -> AsyncIterator[list[AnswerToken]]:
        """Serve a request.

        Yields:
            Tokens in order, batched as they arrive. The last one carries the token counts.

        Raises:
            FailureError: The final refusal, or `StreamIncomplete` after the first token.
        """
        progress = self._begin(request)
        self.running += 1
        try:
            self._retries.on_request()
            while progress.relay.usage is None:
                attempt, stream = await self._open(request, progress)
                try:
                    relayed = self._relay(request, progress, attempt, stream)
                    async with aclosing(relayed):  # type: ignore[type-var]
                        async for tokens in relayed:
                            yield [
                                self._token(token, progress, attempt, request_digest)
                                for token in tokens
                            ]
                except FailureError as error:
                    await self._on_attempt_failed(request, progress, attempt, error.failure)
            self._metrics.on_usage(request.facts.tenant, progress.relay.usage)
        finally:
            self.running -= 1

    # -- before the first byte ------------------------------------------------------------------

    def _begin(self, request: InferenceRequest) -> AnswerProgress:
        permission = self._planner.permit(request)
        assert permission.model is not None
        relay = OrderedRelay(request.request_id, self.relay_counters)
        progress = AnswerProgress(relay, permission.model.weight_version)
        resume = request.resume
        if resume is not None:
            relay.resume_at(resume.offset, resume.text_digest)
            progress.weight_version = resume.weight_version
            progress.attempt = resume.attempt
            progress.sent = None
        else:
            self._planner.check_limit(request)
        return progress

    # -- attempts -------------------------------------------------------------------------------

    async def _open(
        self, request: InferenceRequest, progress: AnswerProgress
    ) -> tuple[Attempt, EngineStream]:
        """Start the answer at an engine; on failure, try others within the retry limits."""
        if request.resume is not None and progress.attempt == request.resume.attempt:
            attached = await self._attach(request, progress, request.resume)
            if attached is not None:
                return attached
        while True:
            try:
                self.guard.check(request)
            except FailureError as error:
                raise FailureError(self._planner.final_failure(progress, error.failure)) from error
            attempt, completion = self._planner.plan(request, progress)
            try:
                stream = await self._engines.complete(attempt.address, completion)
            except FailureError as error:
                await self._on_attempt_failed(request, progress, attempt, error.failure)
                await self._clock.sleep(CONNECT_BACK_OFF_SECONDS)
                continue
            self._selector.loads.on_reachable(attempt.engine)
            self._selector.cache_estimates.observe_incarnation(attempt.engine, stream.incarnation)
            progress.relay.begin_attempt(completion.attempt, completion.generated_tokens)
            return (
                Attempt(
                    attempt.engine,
                    attempt.address,
                    stream.incarnation,
                    attempt.blocks,
                    attempt.decision,
                    attempt.sent_at,
                ),
                stream,
            )

    async def _attach(
        self, request: InferenceRequest, progress: AnswerProgress, resume: ResumePoint
    ) -> tuple[Attempt, EngineStream] | None:
        """Continue at the engine that the previous router used, if it still holds the stream."""
        spec = self._policy.engines.get(resume.engine)
        if spec is None or resume.engine not in self._planner.permit(request).backend_set:
            return None
        blocks = PromptBlocks((), 0)
        attempt = Attempt(resume.engine, spec.address, resume.incarnation, blocks, None)
        stream = await self._reconnect(request, progress, attempt)
        if stream is None:
            return None
        return attempt, stream

    async def _reconnect(
        self, request: InferenceRequest, progress: AnswerProgress, attempt: Attempt
    ) -> EngineStream | None:
        offset = progress.relay.offset
        try:
            stream = await self._engines.resume(
                attempt.address, request.request_id, progress.attempt, offset
            )
        except FailureError:
            return None
        if stream.incarnation != attempt.incarnation:
            await stream.close()
            return None
        progress.relay.begin_attempt(progress.attempt, offset)
        return stream

    # -- relay ----------------------------------------------------------------------------------

    async def _relay(
        self,
        request: InferenceRequest,
        progress: AnswerProgress,
        attempt: Attempt,
        stream: EngineStream,
    ) -> AsyncIterator[list[RelayedToken]]:
        """Relay tokens; reconnect to the same engine when only the connection failed."""
        resumes = 0
        completed = False
        try:
            while True:
                try:
                    tokens_read = self._read(progress, attempt, stream, request)
                    async with aclosing(tokens_read):  # type: ignore[type-var]
                        async for tokens in tokens_read:
                            yield tokens
                    completed = True
                    break
                except FailureError as error:
                    await stream.close()
                    if not isinstance(error.failure, BackendLost) or resumes >= MAX_STREAM_RESUMES:
                        raise
                    resumes += 1
                    reconnected = await self._reconnect(request, progress, attempt)
                    if reconnected is None:
                        raise
                    stream = reconnected
            self._on_completed(request, progress, attempt)
        finally:
            self._selector.loads.on_finished(attempt.engine, request.request_id)
            await stream.close()
            if not completed:
                self._tasks.spawn(
                    self._engines.cancel(attempt.address, request.request_id), "cancel"
                )

    async def _read(
        self,
        progress: AnswerProgress,
        attempt: Attempt,
        stream: EngineStream,
        request: InferenceRequest,
    ) -> AsyncIterator[list[RelayedToken]]:
        idle_timeout = IdleTimeout(stream.abort, self._clock)
        idle_timeout.restart(FIRST_TOKEN_TIMEOUT_SECONDS)
        first = True
        try:
            async for batch in stream.batches():
                idle_timeout.restart(TOKEN_TIMEOUT_SECONDS)
                if first:
                    first = False
                    self._selector.loads.on_first_token(attempt.engine, request.request_id)
                accepted = self._accept(progress, batch)
                if accepted:
                    yield accepted
                if progress.relay.usage is not None:
                    return
        finally:
            idle_timeout.close()
        raise FailureError(BackendLost("the stream ended before the answer was complete"))

    @staticmethod
    def _accept(progress: AnswerProgress, batch: list[EngineToken]) -> list[RelayedToken]:
        accepted = []
        for token in batch:
            passed = progress.relay.accept(token)
            if passed is not None:
                accepted.append(passed)
                if progress.sent is not None:
                    progress.sent.append(passed.text)
        return accepted

    @staticmethod
    def _token(
        token: RelayedToken, progress: AnswerProgress, attempt: Attempt, request_digest: bytes
    ) -> AnswerToken:
        point = ResumePoint(
            progress.relay.request_id,
            request_digest,
            attempt.engine,
            attempt.incarnation,
            progress.weight_version,
            progress.attempt,
            token.next_offset,
            token.text_digest,
        )
        return AnswerToken(token.text, point, token.usage)

    # -- outcomes -------------------------------------------------------------------------------

    def _on_completed(
        self, request: InferenceRequest, progress: AnswerProgress, attempt: Attempt
    ) -> None:
        usage = progress.relay.usage
        if usage is not None:
            self.guard.on_answer(request)
        if usage is None or attempt.decision is None:
            return
        self._selector.on_answer(
            attempt.decision,
            attempt.incarnation,
            attempt.blocks,
            usage.cached_tokens,
            self._clock.monotonic(),
        )
        self._metrics.on_wasted_tokens(request.facts.tenant, attempt.decision, usage)
        store_name = attempt.decision.import_store
        store = self._policy.kv_stores.get(store_name)
        if store is None:
            return
        blocks = self._selector.blocks_to_export(store_name, attempt.blocks)
        if blocks:
            self._selector.stores.note_held(store_name, blocks)
            self._tasks.spawn(self._export(attempt.address, store.address, blocks), "export")

    async def _export(self, engine: str, store: str, blocks: tuple[bytes, ...]) -> None:
        try:
            await self._engines.export(engine, store, blocks)
        except FailureError:
            self._metrics.exports_failed.inc()

    async def _on_attempt_failed(
        self,
        request: InferenceRequest,
        progress: AnswerProgress,
        attempt: Attempt,
        failure: Failure,
    ) -> None:
        """Prepare the next attempt, or raise the final failure."""
        now = self._clock.monotonic()
        self._selector.loads.on_finished(attempt.engine, request.request_id)
        if isinstance(failure, ResumeMismatch):
            raise FailureError(failure)
        if isinstance(failure, BackendUnreachable | BackendLost):
            self._selector.loads.on_unreachable(attempt.engine, now)
        if isinstance(failure, BackendLost):
            self._selector.cache_estimates.forget(attempt.engine)
            await self.guard.on_lost(request, attempt)
        progress.excluded.add(attempt.engine)
        self._log.info(
            "attempt failed",
            request_id=request.request_id,
            tenant=request.facts.tenant,
            attempt=progress.attempt,
            engine=attempt.engine,
            failure=failure.code,
        )
        sent = not isinstance(failure, BackendUnreachable | BackendRefused)
        progress.reached_engine = progress.reached_engine or sent
        if not self._may_retry(request, progress) or not self._retries.try_retry(now):
            raise FailureError(self._planner.final_failure(progress, failure))
        self._metrics.retries.inc()

    def _may_retry(self, request: InferenceRequest, progress: AnswerProgress) -> bool:
        if progress.attempt >= MAX_ATTEMPTS:
            return False
        if not progress.reached_engine or progress.relay.offset > 0:
            return True
        workload = self._policy.matching_workload(request.facts)
        return workload is not None and self._policy.workloads[workload].repeatable
