"""Follows the load reports and cache events of engines by polling their feeds."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.backends.engine_client import EngineClient
from milletcourse.backends.engine_messages import CacheEvents
from milletcourse.errors import FailureError
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.routing.selector import EngineSelector
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet

FEED_INTERVAL_SECONDS = 0.5
"""Load reports lag by a fraction of a second, so shorter intervals gain nothing."""


class EngineFollower:
    """Keeps cache estimates and loads of the followed engines current.

    Args:
        followed: Returns the names of the engines that this router polls itself.
    """

    def __init__(
        self,
        policy: CompiledPolicy,
        selector: EngineSelector,
        engines: EngineClient,
        clock: Clock,
        tasks: TaskSet,
        followed: Callable[[], list[str]],
    ) -> None:
        self._policy = policy
        self._selector = selector
        self._engines = engines
        self._clock = clock
        self._tasks = tasks
        self._followed = followed
        self._next_sequence: dict[str, int] = {}
        self._busy: set[str] = set()

    def start(self) -> None:
        """Start polling."""
        self._tasks.spawn(self._run(), "follow-engines")

    async def _run(self) -> None:
        while True:
            for engine in self._followed():
                if engine not in self._busy:
                    self._busy.add(engine)
                    self._tasks.spawn(self._poll(engine), f"feed/{engine}")
            await self._clock.sleep(FEED_INTERVAL_SECONDS)

    async def _poll(self, engine: str) -> None:
        try:
            spec = self._policy.engines.get(engine)
            if spec is None:
                return
            after = self._next_sequence.get(engine, 1)
            feed = await self._engines.feed(spec.address, after)
            incarnation = feed.load.incarnation
            if self._selector.cache_estimates.observe_incarnation(engine, incarnation):
                self._next_sequence[engine] = 1
                await self._resynchronise(engine, spec.address, incarnation)
            elif feed.events.incarnation == incarnation:
                await self._apply(engine, spec.address, after, feed.events)
            now = self._clock.monotonic()
            self._selector.loads.on_report(engine, feed.load, now)
            self._selector.loads.on_reachable(engine)
        except FailureError:
            self._selector.loads.on_unreachable(engine, self._clock.monotonic())
        finally:
            self._busy.discard(engine)

    async def _apply(self, engine: str, address: str, after: int, events: CacheEvents) -> None:
        """Apply events; after a sequence gap, rebuild the estimate from the engine's block list."""
        cache_estimates = self._selector.cache_estimates
        expected = after
        gap = False
        for event in events.events:
            gap = gap or event.sequence != expected
            expected = event.sequence + 1
            stored = tuple(bytes.fromhex(block) for block in event.stored)
            evicted = tuple(bytes.fromhex(block) for block in event.evicted)
            cache_estimates.note_held(engine, events.incarnation, stored)
            cache_estimates.note_evicted(engine, events.incarnation, evicted)
        self._next_sequence[engine] = expected
        if gap:
            cache_estimates.note_event_gap(engine, events.incarnation)
        if cache_estimates.is_unverified(engine):
            await self._resynchronise(engine, address, events.incarnation)

    async def _resynchronise(self, engine: str, address: str, incarnation: str) -> None:
        """Rebuild the cache estimate from the engine's block list."""
        held = await self._engines.cached_blocks(address)
        cache_estimates = self._selector.cache_estimates
        if cache_estimates.incarnation(engine) != incarnation:
            return
        cache_estimates.forget(engine)
        cache_estimates.observe_incarnation(engine, incarnation)
        cache_estimates.note_held(engine, incarnation, held)
        cache_estimates.note_resynchronised(engine, incarnation)
