"""Finds the servers that one request goes to, one after the other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from milletcourse.errors import (
    Failure,
    NoEngineAvailable,
    Overloaded,
    ServersAtLimit,
    ServersLeaving,
    ServersResting,
)
from milletcourse.exchange.limits.rest_returns import return_seconds
from milletcourse.exchange.load.known_server import Signal
from milletcourse.exchange.placement.instance_selector import Choice
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.gateway.requests.exchange_job import ExchangeJob
from milletcourse.gateway.servers.server_permits import Permit
from milletcourse.gateway.state.context import GatewayContext

MAX_DENIALS = 3
"""Servers whose limit leaves no room that a request meets one after the other: each costs a round
trip to another gateway."""


@dataclass(frozen=True)
class Destination:
    """A server that is to get a request, and the permit to send to it."""

    instance: Instance
    permit: Permit


class ServerSearch:
    """Chooses among the servers that a request may still go to, and asks for permits."""

    def __init__(self, context: GatewayContext, job: ExchangeJob) -> None:
        """No server tried yet.

        Args:
            context: What all parts of the gateway share.
            job: The request.
        """
        self._context = context
        self._job = job
        self._tried: set[str] = set()
        self._denied: set[str] = set()
        """Servers whose own limit left no room for it."""
        self._selected_at = float("-inf")
        self.signals_by_server: dict[str, str] = {}
        """Servers that were left out for their own word, with that word."""

    @property
    def met_limit(self) -> bool:
        """Whether a server's own limit left no room for it."""
        return bool(self._denied)

    @property
    def is_blocked_by_signals(self) -> bool:
        """Whether all servers that may run it want no request now, by their own word."""
        return bool(self._signals_of_all(self._context.now()))

    def on_tried(self, instance: Instance) -> None:
        """The server had it, and won't get it again."""
        self._tried.add(instance.name)

    def best(self) -> Choice | None:
        """The best server that hasn't had it, None when there is none."""
        left_out = self._tried | self._denied
        if len(self._denied) >= MAX_DENIALS:
            left_out.update(self._limited())
        return self._choose(left_out)

    def best_for_second_run(self, first: Instance) -> Destination | None:
        """The best server for a second run beside a running one.

        None that limits its requests: a server in need is no place for a second run.

        Args:
            first: The server that runs it.
        """
        choice = self._choose({*self._tried, *self._denied, *self._limited(), first.name})
        if choice is None:
            return None
        permit = self._context.permits.without_limit(choice.instance)
        return Destination(choice.instance, permit)

    async def reserve(
        self, choice: Choice | None, longest_wait_seconds: float = float("inf")
    ) -> Destination | Failure:
        """The best server that may be sent to, with the permit to do so.

        Args:
            choice: The best server by its cost, None when there is none.
            longest_wait_seconds: Longest expected wait at which the request is sent.
        """
        context = self._context
        while choice is not None:
            wait = choice.wait_seconds
            if wait > longest_wait_seconds:
                detail = f"it would wait {wait:.2f} s at the best server"
                return Overloaded(detail, context.retry_after())
            permit = await context.permits.take(choice.instance, self._job.rank)
            if permit is not None:
                return Destination(choice.instance, permit)
            self._denied.add(choice.instance.name)
            state = context.permits.state(choice.instance)
            if state is not None:
                context.record.signals.at_limit(state, self._job.request)
            choice = self.best()
        return self.failure()

    def failure(self) -> Failure:
        """Why no server may take it now."""
        retry_after = self._context.retry_after()
        # As of the look that found none: a pause that ended since is still the reason.
        seconds = self._context.permits.retry_seconds(self._servers(), self._selected_at)
        if seconds is None and not self.met_limit:
            return self._unavailable(retry_after)
        detail = "its servers limit their requests, and have what they take"
        return ServersAtLimit(detail, retry_after + (seconds or 0.0))

    def _unavailable(self, retry_after: float) -> Failure:
        signals = self._signals_of_all(self._selected_at)
        if Signal.RESTING in signals:
            return ServersResting("its servers asked for rest", self._seconds_until_retry())
        if Signal.LEAVING in signals:
            return ServersLeaving("its servers are about to end", retry_after)
        return NoEngineAvailable("no server may take it", retry_after)

    def _signals_of_all(self, now: float) -> set[Signal]:
        """What keeps requests from all servers that may run it; nothing when one takes requests."""
        keys = [instance.key for instance in self._allowed(now)]
        in_force = self._context.server_signals.in_force(keys, now)
        return set(in_force.values()) if len(in_force) == len(keys) else set()

    def _allowed(self, now: float) -> list[Instance]:
        job = self._job
        candidates = self._context.selector.candidates
        return candidates.allowed(job.service, job.request.model, (), now)

    def _seconds_until_retry(self) -> float:
        """Time until its caller may come back, when the first of its servers has had its rest."""
        now = self._selected_at
        signals = self._context.server_signals
        rests = [signals.rest(instance.key, now) for instance in self._allowed(now)]
        first = min((rest for rest in rests if rest is not None), key=lambda rest: rest.left)
        drawn = self._context.random.random()
        return return_seconds(first.left, first.seconds, self._job.rank, drawn)

    def _choose(self, left_out: set[str]) -> Choice | None:
        job = self._job
        self._selected_at = self._context.now()
        self._note_signals()
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
        in_force = context.server_signals.in_force(servers, self._selected_at)
        for key, signal in in_force.items():
            if servers[key] not in self.signals_by_server:
                self.signals_by_server[servers[key]] = signal.value
                context.server_signals.on_kept_away(key)
                context.record.signals.kept_away(self._job.service.name, signal)

    def _servers(self) -> Iterable[Instance]:
        return self._context.instances.of_service(self._job.service.name).values()

    def _limited(self) -> list[str]:
        """Servers of its service that limit their requests."""
        is_limited = self._context.permits.is_limited
        return [instance.name for instance in self._servers() if is_limited(instance)]
