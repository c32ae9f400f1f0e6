"""Plans the attempts of an answer: what policy permits, where it runs and which cache it reuses.

Each attempt evaluates the policy in force again, so that a rule that was narrowed in the meantime
applies to it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from returns.pipeline import is_successful

from milletcourse.admission.controller import AdmissionController
from milletcourse.backends.engine_messages import EngineCompletion, EngineUsage, KvTransfer
from milletcourse.errors import (
    AnswerLost,
    BackendRefused,
    BackendUnreachable,
    ConfigurationStale,
    Failure,
    FailureError,
    NoEngineAvailable,
    StreamIncomplete,
)
from milletcourse.policy.compiled import CompiledPolicy, Permission, RequestFacts
from milletcourse.policy.objects import TenantSpec
from milletcourse.prefix.blocks import PromptBlocks, block_chain, chain_root, count_tokens
from milletcourse.routing.selector import Decision, EngineSelector, RoutingRequest
from milletcourse.runtime.clock import Clock
from milletcourse.streams.ordered_relay import OrderedRelay
from milletcourse.streams.resume_token import ResumePoint

MAX_ATTEMPTS = 5
"""Attempts of one answer at engines, across failures."""
STALE_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """One authenticated inference request.

    Attributes:
        request_id: Unique id chosen by this router, or the original id on a resume.
        facts: Tenant, model and class.
        prompt: Rendered prompt.
        max_tokens: Tokens to generate.
        resume: Where a previous connection of the same request stopped, if any.
    """

    request_id: str
    facts: RequestFacts
    prompt: str
    max_tokens: int
    resume: ResumePoint | None = None


@dataclass(frozen=True, slots=True)
class AnswerToken:
    """A token for the client, with the state that a resume needs.

    Attributes:
        text: The token's text.
        point: Resume point after this token.
        usage: Token counts, with the last token only.
    """

    text: str
    point: ResumePoint
    usage: EngineUsage | None = None


@dataclass(slots=True)
class AnswerProgress:
    """State of one answer across its attempts.

    Attributes:
        relay: Order check of the tokens.
        weight_version: Weights that must produce the whole answer.
        attempt: Number of the latest attempt; 0 before the first.
        sent: Texts sent to the client; None after a resume, when the earlier ones are unknown.
        excluded: Engines that failed in an earlier attempt.
        reached_engine: Whether an engine may have started the request.
    """

    relay: OrderedRelay
    weight_version: str
    attempt: int = 0
    sent: list[str] | None = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    reached_engine: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run an answer at an engine."""

    engine: str
    address: str
    incarnation: str
    blocks: PromptBlocks
    decision: Decision | None
    sent_at: float = 0.0


class AttemptPlanner:
    """Applies policy, limits, routing and admission to one router's answers."""

    def __init__(
        self,
        policy: CompiledPolicy,
        selector: EngineSelector,
        clock: Clock,
        is_fresh: Callable[[], bool],
    ) -> None:
        self._policy = policy
        self._selector = selector
        self._clock = clock
        self._is_fresh = is_fresh
        self._admission = AdmissionController()

    def permit(self, request: InferenceRequest) -> Permission:
        """Permission under the policy in force; raises FailureError."""
        result = self._policy.permit(request.facts)
        if not is_successful(result):
            raise FailureError(result.failure())
        permission = result.unwrap()
        if permission.rules.regulated and not self._is_fresh():
            raise FailureError(
                ConfigurationStale(
                    "this router can't prove that its configuration is in force",
                    STALE_RETRY_SECONDS,
                )
            )
        return permission

    def check_limit(self, request: InferenceRequest) -> None:
        """Charge the tenant's limit; raises FailureError."""
        name = request.facts.tenant
        tenant = self._policy.tenants.get(name, TenantSpec())
        tokens = count_tokens(request.prompt.encode())
        now = self._clock.monotonic()
        result = self._admission.check_limit(name, tenant, tokens, now)
        if not is_successful(result):
            raise FailureError(result.failure())

    def plan(
        self, request: InferenceRequest, progress: AnswerProgress
    ) -> tuple[Attempt, EngineCompletion]:
        """Choose the engine of the next attempt under the policy in force."""
        try:
            permission = self.permit(request)
        except FailureError as error:
            raise FailureError(self.final_failure(progress, error.failure)) from error
        model = permission.model
        assert model is not None
        root = chain_root(
            request.facts.model, model.adapter, progress.weight_version, permission.reuse_scope
        )
        generated = "".join(progress.sent) if progress.sent is not None else ""
        blocks = block_chain(root, (request.prompt + generated).encode())
        routing = RoutingRequest(
            permission,
            request.facts.model,
            progress.weight_version,
            blocks,
            frozenset(progress.excluded),
        )
        now = self._clock.monotonic()
        result = self._selector.select(routing, now)
        if not is_successful(result) and progress.excluded and progress.attempt < MAX_ATTEMPTS:
            progress.excluded.clear()
            result = self._selector.select(
                RoutingRequest(permission, routing.model, routing.weight_version, blocks), now
            )
        if not is_successful(result):
            raise FailureError(self.final_failure(progress, result.failure()))
        decision = result.unwrap()
        if progress.attempt == 0:
            self._check_load(request, routing, decision, now)
        progress.attempt += 1
        engine = self._policy.engines[decision.engine]
        self._selector.on_dispatched(
            decision.engine, request.request_id, routing, decision.compute_tokens, now
        )
        completion = EngineCompletion(
            model=request.facts.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            request_id=request.request_id,
            attempt=progress.attempt,
            cache_salt=root.hex(),
            weight_version=progress.weight_version,
            adapter=model.adapter,
            priority=permission.rules.priority,
            generated=generated,
            generated_tokens=progress.relay.offset if progress.sent is not None else 0,
            kv_transfer_params=self._transfer(decision, blocks),
            tenant=request.facts.tenant,
        )
        return Attempt(decision.engine, engine.address, "", blocks, decision, now), completion

    def _transfer(self, decision: Decision, blocks: PromptBlocks) -> KvTransfer | None:
        store = self._policy.kv_stores.get(decision.import_store)
        if store is None or not blocks.hashes:
            return None
        return KvTransfer(store.address, len(blocks.hashes))

    def _check_load(
        self, request: InferenceRequest, routing: RoutingRequest, decision: Decision, now: float
    ) -> None:
        result = self._admission.check_load(
            request.facts.tenant,
            self._weight,
            routing.permission.rules,
            decision.wait_seconds,
            decision.first_token_seconds,
            routing.blocks.total_tokens,
            now,
        )
        if not is_successful(result):
            raise FailureError(result.failure())

    def _weight(self, tenant: str) -> float:
        spec = self._policy.tenants.get(tenant)
        return spec.weight if spec else 1.0

    @staticmethod
    def final_failure(progress: AnswerProgress, failure: Failure) -> Failure:
        """Failure reported to the client; it says "not run" only if no engine was reached."""
        if progress.relay.offset > 0:
            return StreamIncomplete("the answer could not be completed", 1.0)
        if progress.reached_engine:
            return AnswerLost("the engines failed before the first token", 1.0)
        if isinstance(failure, BackendUnreachable | BackendRefused):
            return NoEngineAvailable("every permitted engine failed", 1.0)
        return failure
