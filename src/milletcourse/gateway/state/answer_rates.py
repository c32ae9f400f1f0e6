"""Recent answer rates of servers, over all gateways."""

from __future__ import annotations

import math
from collections.abc import Callable

from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.exchange.servers.server_health import TALLY_HALF_LIFE_SECONDS

DECAYED_COUNT_TO_RATE = math.log(2.0) / TALLY_HALF_LIFE_SECONDS
"""A steady rate keeps a count that decays with this half-life at the rate divided by this."""


class ServerAnswerRates:
    """Adds this gateway's counts and those that the other gateways reported."""

    def __init__(
        self, loads: LoadExchange, mechanisms: frozenset[Mechanism], now: Callable[[], float]
    ) -> None:
        self._loads = loads
        self._mechanisms = mechanisms
        self._now = now

    def request_rate(self, instance: Instance) -> float:
        """Requests per second that a server answers to all gateways together.

        It is 0 while the roll-out weighing mechanism is off, so that only the time bounds decide
        when a server gets new weights.
        """
        if Mechanism.ROLL_OUT_WEIGHING not in self._mechanisms:
            return 0.0
        return self._decayed_answers(instance) * DECAYED_COUNT_TO_RATE

    def answered_recently(self, instance: Instance) -> bool:
        """Whether a server has recently answered requests of this gateway or of others."""
        return self._decayed_answers(instance) > 0

    def _decayed_answers(self, instance: Instance) -> float:
        now = self._now()
        own = instance.health.tally(now).successes
        return own + self._loads.others_load(instance.key, now).successes
