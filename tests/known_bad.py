"""Known-bad variants of the router: each violates one rule, which a checker must detect."""

from __future__ import annotations

import asyncio
from typing import Any

from milletcourse.backends.app_client import AppAnswer
from milletcourse.backends.engine_messages import EngineToken
from milletcourse.configuration.store import ChangesPage
from milletcourse.errors import (
    BackendLost,
    FailureError,
    OperationNotRun,
)
from milletcourse.membership.messages import PlatformStamp
from milletcourse.node import RouterNode
from milletcourse.operations.replica import ClaimReplica
from milletcourse.streams import answer_service, attempt_planner
from milletcourse.streams.ordered_relay import OrderedRelay, RelayedToken


class ResendsWrites(RouterNode):
    """Resends a write after its connection was lost."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        send_once = self._apps.write

        async def write(*values: Any) -> AppAnswer:
            try:
                return await send_once(*values)
            except FailureError as error:
                if isinstance(error.failure, BackendLost):
                    return await send_once(*values)
                raise

        self._apps.write = write  # type: ignore[method-assign]


class VotesAfterRestart(RouterNode):
    """Replicas vote on any key immediately after their start."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.replica = ClaimReplica(0.0)


class SkipsSecondRound(RouterNode):
    """Replicas accept any coordinator's record, regardless of earlier promises and records."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.replica = _ResettingReplica(self.clock.wall())


class _ResettingReplica(ClaimReplica):
    def handle(self, request: Any, wall_now: float) -> Any:
        self._claims.clear()
        return super().handle(request, wall_now)


class SaysNotRunTooEarly(RouterNode):
    """Reports that a write did not run although only its answer was lost."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        run = self.coordinator.run

        async def report_not_run(write: Any) -> Any:
            try:
                return await run(write)
            except FailureError as error:
                raise FailureError(OperationNotRun(error.failure.detail, 1.0)) from error

        self.coordinator.run = report_not_run  # type: ignore[method-assign]


class AppliesAnyRevision(RouterNode):
    """Applies any configuration page, including one with a lower revision."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        store = self.store
        apply = store.apply

        def apply_any(page: ChangesPage) -> bool:
            if page.whole and page.through < store.revision:
                store.revision = 0
                store._latest.clear()
                store._by_revision.clear()
            return apply(page)

        store.apply = apply_any  # type: ignore[method-assign]
        confirm = self.configuration._confirm

        def reload_visible_revision(revision: int, wall_seconds: float) -> None:
            if revision != store.revision:
                self.tasks.spawn(self.configuration.refresh_from_platform(), "reload")
            confirm(revision, wall_seconds)

        self.configuration._confirm = reload_visible_revision  # type: ignore[method-assign]


class AlwaysFresh(RouterNode):
    """Serves regulated workloads without proof that its configuration is in force."""

    def is_fresh(self) -> bool:
        return True


class IgnoresMachineList(RouterNode):
    """Sends requests to machines that the platform lists as leaving."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.selector._is_unavailable = lambda engine: False


class IgnoresPeersAtStart(RouterNode):
    """Does not use its peers at start, and so depends on the platform."""

    def _peer_addresses(self) -> list[str]:
        return []

    def _on_peer_update(self, record: Any, revision: int, stamp: PlatformStamp) -> None:
        return


class RelaysAnything(RouterNode):
    """Relays every event of a stream, including those of other requests."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        answer_service.OrderedRelay = _UncheckedRelay  # type: ignore[misc, attr-defined]


class _UncheckedRelay(OrderedRelay):
    def accept(self, token: EngineToken) -> RelayedToken | None:
        self.offset += 1
        self.usage = token.usage
        return RelayedToken(token.text, self.offset, b"", token.usage)


class HoldsRefusalsBack(RouterNode):
    """Delays refusals, so that the client cannot retry in time."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        application = self.application

        async def delay_refusals(scope: Any, receive: Any, send: Any) -> None:
            async def send_delayed(message: Any) -> None:
                if message.get("status", 200) >= 400:
                    await asyncio.sleep(2.0)
                await send(message)

            await application(scope, receive, send_delayed)

        self.application = delay_refusals


class SaltWithoutVersion(RouterNode):
    """Computes the root of prefix chains without the weight version."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        chain_root = attempt_planner.chain_root
        attempt_planner.chain_root = lambda model, adapter, version, scope: chain_root(  # type: ignore[assignment]
            model, adapter, "", scope
        )


class SaltWithoutScope(RouterNode):
    """Computes the root of prefix chains without the reuse scope."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        chain_root = attempt_planner.chain_root
        attempt_planner.chain_root = lambda model, adapter, version, scope: chain_root(  # type: ignore[assignment]
            model, adapter, version, b""
        )


class ForgetsRequests(RouterNode):
    """Does not record requests on which engines crashed."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.answers.guard.check = lambda request: None  # type: ignore[method-assign]
