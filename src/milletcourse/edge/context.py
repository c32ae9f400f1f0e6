"""Router components used by the HTTP API, and authentication."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import falcon.asgi
from returns.pipeline import is_successful

from milletcourse.errors import FailureError, NotReady, Unauthenticated
from milletcourse.metrics import RouterMetrics
from milletcourse.operations.coordinator import OperationCoordinator
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet
from milletcourse.streams.answer_service import AnswerService
from milletcourse.streams.resume_token import ResumeTokenCodec

NOT_READY_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EdgeContext:
    """Components of the router that the HTTP applications call."""

    policy: CompiledPolicy
    answers: AnswerService
    coordinator: OperationCoordinator
    resume_tokens: ResumeTokenCodec
    metrics: RouterMetrics
    clock: Clock
    tasks: TaskSet
    is_loaded: Callable[[], bool]
    is_fresh: Callable[[], bool]
    is_draining: Callable[[], bool]

    def check_serving(self) -> None:
        """Refuse requests until a configuration is loaded.

        Raises:
            FailureError: `NotReady`.
        """
        if not self.is_loaded():
            raise FailureError(
                NotReady("the router has no configuration yet", NOT_READY_RETRY_SECONDS)
            )


def bearer_tenant(request: falcon.asgi.Request, policy: CompiledPolicy) -> str:
    """The tenant of the request's bearer key.

    Raises:
        FailureError: `Unauthenticated`.
    """
    scheme, _, key = (request.get_header("Authorization") or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise FailureError(Unauthenticated("a bearer key is required"))
    result = policy.authenticate(key.strip())
    if not is_successful(result):
        raise FailureError(result.failure())
    return result.unwrap()
