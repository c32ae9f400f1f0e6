"""Selects the servers for the attempts of one request, one after the other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from milletcourse.errors import (
    Failure,
    NoEngineAvailable,
    Overloaded,
    ServersAtLimit,
    ServersBackingOff,
    ServersFull,
    ServersLeaving,
    StreamNotResumable,
)
from milletcourse.exchange.limits.back_off_retry import back_off_retry_seconds
from milletcourse.exchange.load.signal_record import Signal
from milletcourse.exchange.placement.instance_selector import Choice
from milletcourse.exchange.placement.reuse_scope import HIGHEST_RANK
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.requests.stream_continuity import StreamContinuity
from milletcourse.gateway.servers.server_permits import Permit
from milletcourse.gateway.state.context import GatewayContext
from milletcourse.gateway.telemetry.request_records import OverloadState

MAX_DENIALS = 3
"""How many servers may deny a request a permit before all servers with limits are left out. Each
denial costs a round trip to another gateway."""
MAX_SLOT_DENIALS = 8
"""The same where slots are leased: near full load most servers have none, and few have some."""
SLOT_SEARCH_SECONDS = 0.03
"""After this long in search of a slot, no more servers are asked than for a permit."""


@dataclass(frozen=True)
class Destination:
    """A server selected for a request, and the permit to send to it."""

    instance: Instance
    permit: Permit


class ServerSearch:
    """Selects among the servers that a request may still be sent to, and acquires permits."""

    def __init__(
        self, context: GatewayContext, job: ExchangeJob, continuity: StreamContinuity
    ) -> None:
        """Start without any server tried.

        Args:
            context: Shared state of the gateway.
            job: The request.
            continuity: The servers at which its stream may go on.
        """
        self._continuity = continuity
        self._context = context
        self._job = job
        self._tried: set[str] = set()
        self._denied: set[str] = set()
        """Servers whose own limit left no capacity for the request."""
        self._selected_at = float("-inf")
        self._searches_until = float("inf")
        self.signals_by_server: dict[str, str] = {}
        """Servers that were left out for a signal of theirs, and that signal."""
        self.overload: OverloadState | None = None
        """What the refusal for an expected wait was decided by; None before one."""

    @property
    def met_limit(self) -> bool:
        """Whether a server's own limit left no capacity for the request."""
        return bool(self._denied)

    @property
    def is_blocked_by_signals(self) -> bool:
        """Whether every server that may run the request signals that it takes none now."""
        return bool(self._signals_of_all(self._context.now()))

    def on_tried(self, instance: Instance) -> None:
        """Leave out a server that the request was already sent to."""
        self._tried.add(instance.name)

    def best(self) -> Choice | None:
        """The best server that has not been tried, None when there is none."""
        left_out = self._tried | self._denied
        if len(self._denied) >= self._max_denials():
            left_out.update(self._limited())
        return self._choose(left_out)

    def _max_denials(self) -> int:
        now = self._context.now()
        if not self._denied:
            self._searches_until = now + SLOT_SEARCH_SECONDS
        are_slots_leased = self._context.permits.slots.are_needed(self._job.service.name)
        return MAX_SLOT_DENIALS if are_slots_leased and now < self._searches_until else MAX_DENIALS

    def best_for_second_run(self, first: Instance) -> Destination | None:
        """The best server for a second run alongside a running one, None when there is none.

        Servers that limit their requests are left out: a second run would use up their capacity.

        Args:
            first: The server of the first run.
        """
        choice = self._choose({*self._tried, *self._denied, *self._limited(), first.name})
        if choice is None:
            return None
        permit = self._context.permits.without_limit(choice.instance)
        return Destination(choice.instance, permit)

    async def reserve(
        self, choice: Choice | None, longest_wait_seconds: float = float("inf")
    ) -> Destination | Failure:
        """The best server that grants a permit, or the failure when there is none.

        Args:
            choice: The best server by its cost, None when there is none.
            longest_wait_seconds: Longest expected queue time with which the request is still sent.
        """
        context = self._context
        while choice is not None:
            wait = self._expected_wait(choice)
            if wait > longest_wait_seconds:
                detail = f"the expected wait at the best server is {wait:.2f} s"
                self.overload = self._overload_state(choice.instance)
                return Overloaded(detail, context.retry_after())
            permit = await context.permits.take(
                choice.instance, self._rank(), self._job.service.slots
            )
            if permit is not None:
                return Destination(choice.instance, permit)
            self._denied.add(choice.instance.name)
            state = context.permits.state(choice.instance)
            if state is not None:
                context.record.signals.at_limit(state, self._job.request)
            slot_state = context.permits.slots.state(choice.instance)
            if slot_state is not None:
                context.record.signals.full(slot_state, self._job.request)
            choice = self.best()
        return self.failure()

    def _expected_wait(self, choice: Choice) -> float:
        """Expected time until a server starts the request."""
        if self._continuity.has_begun:
            return choice.wait_seconds - choice.queue_seconds
        return choice.wait_seconds

    def _rank(self) -> int:
        """Rank of the request among those that need a permit, 0 for the most urgent."""
        return HIGHEST_RANK if self._continuity.has_begun else self._job.rank

    def _overload_state(self, best: Instance) -> OverloadState:
        context = self._context
        now = context.now()
        others = context.loads.others_load(best.key, now)
        allowed = self._allowed(now)
        candidates = context.selector.candidates
        return OverloadState(
            best.name,
            best.in_flight,
            best.in_flight_tokens,
            others.running,
            others.waiting_tokens,
            len(allowed),
            sum(instance.health.is_ejected(now) for instance in allowed),
            sum(candidates.is_suspected(instance, now) for instance in allowed),
        )

    def failure(self) -> Failure:
        """The failure that says why no server may take the request now."""
        retry_after = self._context.retry_after()
        # As of the selection that found none: a pause that has ended since is still the reason.
        seconds = self._context.permits.retry_seconds(self._servers(), self._selected_at)
        if seconds is None and not self.met_limit:
            return self._unavailable(retry_after)
        if self._context.permits.slots.are_needed(self._job.service.name):
            detail = "all slots of the servers of the service are in use"
            return ServersFull(detail, retry_after if seconds is None else seconds)
        detail = "the servers of the service have reached their request limits"
        return ServersAtLimit(detail, retry_after + (seconds or 0.0))

    def _unavailable(self, retry_after: float) -> Failure:
        version = self._continuity.required_version
        if version is not None and not any(map(self._continuity.permits, self._servers())):
            detail = f"no server of software version {version!r} serves, which began the stream"
            return StreamNotResumable(detail, retry_after)
        held = self._continuity.held(self._servers())
        if held:
            detail = "servers of a new software version are not known to all gateways yet"
            return NoEngineAvailable(detail, max(min(held.values()), retry_after))
        signals = self._signals_of_all(self._selected_at)
        if Signal.BACKING_OFF in signals:
            return ServersBackingOff(
                "every server requested back-off or is shutting down", self._seconds_until_retry()
            )
        if Signal.LEAVING in signals:
            return ServersLeaving("all servers are shutting down", retry_after)
        return NoEngineAvailable("no server is available for the request", retry_after)

    def _signals_of_all(self, now: float) -> set[Signal]:
        """Signals in force if every server that may run the request has one, else the empty set."""
        keys = [instance.key for instance in self._allowed(now)]
        in_force = self._context.server_signals.active_signals(keys, now)
        return set(in_force.values()) if len(in_force) == len(keys) else set()

    def _allowed(self, now: float) -> list[Instance]:
        job = self._job
        candidates = self._context.selector.candidates
        excluded = self._continuity.excluded(self._servers())
        return candidates.allowed(job.service, job.request.model, excluded, now)

    def _seconds_until_retry(self) -> float:
        """Seconds until the caller may retry, spread after the first server's back-off ends."""
        now = self._selected_at
        signals = self._context.server_signals
        back_offs = [signals.back_off(instance.key, now) for instance in self._allowed(now)]
        first = min(
            (item for item in back_offs if item is not None),
            key=lambda item: item.remaining_seconds,
        )
        drawn = self._context.random.random()
        return back_off_retry_seconds(
            first.remaining_seconds, first.total_seconds, self._job.rank, drawn
        )

    def _choose(self, left_out: set[str]) -> Choice | None:
        self._selected_at = self._context.now()
        self._note_signals()
        servers = self._servers()
        return self._select(
            left_out | self._continuity.excluded(servers) | self._continuity.held(servers).keys()
        )

    def _select(self, left_out: set[str]) -> Choice | None:
        job = self._job
        return self._context.selector.choose(
            job.service,
            job.request,
            job.scope,
            left_out,
            self._selected_at,
            job.route.gap_seconds,
        )

    def _note_signals(self) -> None:
        context = self._context
        if not context.server_signals.has_signals:
            return
        servers = {instance.key: instance.name for instance in self._servers()}
        in_force = context.server_signals.active_signals(servers, self._selected_at)
        for key, signal in in_force.items():
            if servers[key] not in self.signals_by_server:
                self.signals_by_server[servers[key]] = signal.value
                context.server_signals.on_server_excluded(key)
                context.record.signals.server_excluded(self._job.service.name, signal)

    def _servers(self) -> Iterable[Instance]:
        return self._context.instances.of_service(self._job.service.name).values()

    def _limited(self) -> list[str]:
        """Servers of the service that limit their requests."""
        is_limited = self._context.permits.is_limited
        return [instance.name for instance in self._servers() if is_limited(instance)]
