"""Sends fenced load orders to the engines of one place while holding the place's lease."""

from __future__ import annotations

from milletcourse.backends.engine_client import EngineClient
from milletcourse.backends.engine_messages import EngineOrder
from milletcourse.configuration.service import LeaseKeeper
from milletcourse.control.weight_placement import LoadOrder, plan_loads
from milletcourse.errors import FailureError
from milletcourse.logs import get_logger
from milletcourse.policy.compiled import CompiledPolicy
from milletcourse.routing.load import LoadTable
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet

PLAN_SECONDS = 0.5


class WeightService:
    """Performs the I/O for `plan_loads`."""

    def __init__(
        self,
        policy: CompiledPolicy,
        loads: LoadTable,
        engines: EngineClient,
        lease: LeaseKeeper,
        place: str,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        self._policy = policy
        self._loads = loads
        self._engines = engines
        self.lease = lease
        self._place = place
        self._clock = clock
        self._tasks = tasks
        self._running: set[str] = set()
        self._log = get_logger("weights")

    def start(self) -> None:
        """Start competing for the lease and planning loads."""
        self._tasks.spawn(self.lease.run(), "weights-lease")
        self._tasks.spawn(self._run(), "weights")

    async def _run(self) -> None:
        while True:
            if self.lease.is_held():
                self._plan()
            await self._clock.sleep(PLAN_SECONDS)

    def _plan(self) -> None:
        engines = {
            name: spec for name, spec in self._policy.engines.items() if spec.place == self._place
        }
        states = {name: self._loads.state(name) for name in engines}
        running = frozenset(self._running)
        for order in plan_loads(engines, self._policy.models, states, running):
            self._running.add(order.engine)
            self._tasks.spawn(self._send_order(order), f"load/{order.engine}")

    async def _send_order(self, order: LoadOrder) -> None:
        """Check the lease and send an order; the fencing token rejects orders that arrive late."""
        try:
            spec = self._policy.engines.get(order.engine)
            if spec is None or not self.lease.is_held():
                return
            message = EngineOrder(
                self.lease.fencing_token, "load", order.model, order.weight_version
            )
            await self._engines.order(spec.address, message)
            self._log.info("weights loaded", engine=order.engine, model=order.model)
        except FailureError as error:
            self._log.info("load failed", engine=order.engine, failure=error.failure.code)
        finally:
            self._running.discard(order.engine)
