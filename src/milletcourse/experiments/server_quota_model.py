"""Model that compares strategies with which many gateways enforce a limit announced by a server.

Requests arrive at random and are spread unevenly over the gateways. Permits are granted by the
production code; only requests, delays and disturbances are simulated.
"""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from milletcourse.experiments.server_quota_strategies import (
    BURST_PERMITS,
    DelayedReports,
    EqualShare,
    GatewayQuota,
    PermitRequester,
    ReportedUsage,
    Strategy,
    admitting_gateways,
)
from milletcourse.experiments.sliding_window import window_sums

WINDOW_SECONDS = 4.0
TOLERATED_SHARE = 1.5
TOLERATED_EXTRA_REQUESTS = 5.0
"""A server tolerates one and a half times its limit in a window, plus this many requests."""
RUN_SECONDS = 60.0
EVENT_SECONDS = 20.0
"""Start of a disturbance."""
TROUBLE_SECONDS = 15.0
USUAL_DEMAND_SHARE = 1.5
"""Requests intended for the server, relative to its limit."""
HOT_DEMAND_SHARE = 20.0


class Trouble(Enum):
    """Disturbance of the gateways."""

    USUAL = "demand of 1.5"
    HOT = "demand of 20"
    ONE_SIDED = "one gateway has nine tenths of a demand of 1.5"
    QUIET_THEN_HOT = "no demand, then one of 20"
    CUT = "demand of 20, a third cut off"
    RESTARTED = "demand of 20, all restart"
    VIEWS = "demand of 20, lists that lack a fifth of the gateways"


class ServerQuotaFigures(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        way: Strategy that shared the limit.
        trouble: Injected disturbance.
        gateways: Number of gateways.
        per_second: The limit in requests per second.
        most_of_borne: Most requests in a window, as a share of those that the server tolerates.
        windows_over: Number of windows with more requests than the server tolerates.
        used: Requests sent, as a share of the limit.
        messages_a_second: Messages per second sent by all gateways together.
    """

    way: Strategy
    trouble: Trouble
    gateways: int
    per_second: float
    most_of_borne: float
    windows_over: int
    used: float
    messages_a_second: float


class ServerQuotaModel:
    """One run: a limit of one server, enforced by many gateways."""

    def __init__(
        self, strategy: Strategy, trouble: Trouble, gateways: int, per_second: float, seed: int
    ) -> None:
        """Initialise a run.

        Args:
            strategy: Strategy that shares the limit.
            trouble: Injected disturbance.
            gateways: Number of gateways.
            per_second: The limit in requests per second.
            seed: Seed of all random draws; requests are the same for each strategy.
        """
        self._strategy = strategy
        self._trouble = trouble
        self._per_second = per_second
        self._random = random.Random(seed)
        self._names = [f"gateway-{number:03}" for number in range(gateways)]
        self._partitioned: set[str] = set()
        self._reports = DelayedReports()
        self._gateway_quotas: dict[str, GatewayQuota] = {}
        self._permit_requesters: dict[str, PermitRequester] = {}
        self._messages = 0
        self._sent: list[float] = []
        self._start_all(0.0)

    def _start_all(self, now: float) -> None:
        self._messages += sum(
            gateway_quota.messages for gateway_quota in self._gateway_quotas.values()
        )
        # A separate random source, so that each strategy gets the same requests.
        source = random.Random(len(self._names))
        for number, name in enumerate(self._names):
            self._gateway_quotas[name] = self._start(number, name, now, source)

    def _start(self, number: int, name: str, now: float, source: random.Random) -> GatewayQuota:
        count = len(self._names)
        if self._strategy is Strategy.EQUAL_SHARES:
            return EqualShare(self._per_second / count, 1.0, now)
        if self._strategy is Strategy.FEW_GATEWAYS:
            admitting = admitting_gateways(self._per_second, count)
            share = self._per_second / admitting if number < admitting else 0.0
            return EqualShare(share, max(BURST_PERMITS / admitting, 1.0), now)
        if self._strategy is Strategy.REPORTED_USAGE:
            return ReportedUsage(self._per_second, lambda at: self._reports.on_send(name, at), now)
        others = [other for other in self._names if other != name]
        if self._trouble is Trouble.VIEWS:
            others = [other for other in others if source.random() > 0.2]
        permit_requester = PermitRequester(
            name, others, self._per_second, self._permit_requesters, self._is_reachable, source
        )
        self._permit_requesters[name] = permit_requester
        return permit_requester

    def _is_reachable(self, sender: str, receiver: str) -> bool:
        return (sender in self._partitioned) == (receiver in self._partitioned)

    def run(self) -> ServerQuotaFigures:
        """Run the simulation and evaluate the requests that were sent."""
        weights = self._weights()
        now = 0.0
        has_restarted = False
        while now < RUN_SECONDS:
            now += self._random.expovariate(HOT_DEMAND_SHARE * self._per_second)
            is_wanted = self._random.random() < self._demand(now) / HOT_DEMAND_SHARE
            name = self._random.choices(self._names, weights)[0]
            if self._trouble is Trouble.CUT:
                is_partitioned = EVENT_SECONDS <= now < EVENT_SECONDS + TROUBLE_SECONDS
                self._partitioned = set(self._names[::3]) if is_partitioned else set()
            if self._trouble is Trouble.RESTARTED and now >= EVENT_SECONDS and not has_restarted:
                has_restarted = True
                self._start_all(now)
            self._deliver_reports(now)
            if is_wanted and self._gateway_quotas[name].may_send(now):
                self._sent.append(now)
        return self._figures()

    def _weights(self) -> list[float]:
        weights = [self._random.random() + 0.05 for _ in self._names]
        if self._trouble is Trouble.ONE_SIDED:
            weights[-1] = 9.0 * sum(weights[:-1]) if len(weights) > 1 else 1.0
        return weights

    def _demand(self, now: float) -> float:
        if self._trouble in (Trouble.USUAL, Trouble.ONE_SIDED):
            return USUAL_DEMAND_SHARE
        if self._trouble is Trouble.QUIET_THEN_HOT and now < EVENT_SECONDS:
            return 0.0
        return HOT_DEMAND_SHARE

    def _deliver_reports(self, now: float) -> None:
        for at, sender in self._reports.due(now):
            for name, gateway_quota in self._gateway_quotas.items():
                if name != sender and self._is_reachable(sender, name):
                    gateway_quota.on_peer_send(at)

    def _figures(self) -> ServerQuotaFigures:
        tolerated = tolerated_in_window(self._per_second)
        windows = list(window_sums(((at, 1.0) for at in self._sent), WINDOW_SECONDS))
        maximum = max(windows, default=0.0)
        seconds = RUN_SECONDS
        if self._trouble is Trouble.QUIET_THEN_HOT:
            seconds -= EVENT_SECONDS
        messages = self._messages + sum(item.messages for item in self._gateway_quotas.values())
        return ServerQuotaFigures(
            way=self._strategy,
            trouble=self._trouble,
            gateways=len(self._names),
            per_second=self._per_second,
            most_of_borne=round(maximum / tolerated, 3),
            windows_over=sum(count > tolerated for count in windows),
            used=round(len(self._sent) / (self._per_second * seconds), 3),
            messages_a_second=round(messages / RUN_SECONDS, 1),
        )


def tolerated_in_window(per_second: float) -> float:
    """Requests that a server with this limit tolerates in a window."""
    return TOLERATED_SHARE * per_second * WINDOW_SECONDS + TOLERATED_EXTRA_REQUESTS


def compare_server_quotas(
    sizes: list[int], limits: list[int], seed: int
) -> list[ServerQuotaFigures]:
    """Results of each strategy under each disturbance.

    Args:
        sizes: Numbers of gateways.
        limits: Limits of the server in requests per second.
        seed: Seed of all random draws.
    """
    return [
        ServerQuotaModel(strategy, trouble, size, float(limit), seed).run()
        for size in sizes
        for limit in limits
        for trouble in Trouble
        for strategy in Strategy
    ]
