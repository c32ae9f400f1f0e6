"""How much servers answer lately, to this gateway and to the others."""

from __future__ import annotations

import math
from collections.abc import Callable

from milletcourse.exchange.load.load_exchange import LoadExchange
from milletcourse.exchange.mechanisms import Mechanism
from milletcourse.exchange.servers.instance_table import Instance
from milletcourse.exchange.servers.server_health import TALLY_HALF_LIFE_SECONDS

DECAYED_COUNT_TO_RATE = math.log(2.0) / TALLY_HALF_LIFE_SECONDS
"""A steady rate keeps a count that halves in a half-life at the rate divided by this."""


class ServerAnswerRates:
    """Adds up what this gateway counted and what the others told."""

    def __init__(
        self, loads: LoadExchange, mechanisms: frozenset[Mechanism], now: Callable[[], float]
    ) -> None:
        self._loads = loads
        self._mechanisms = mechanisms
        self._now = now

    def request_rate(self, instance: Instance) -> float:
        """Requests that a server answers in a second, to all gateways together.

        Without the weighing of roll-outs it is told as 0, so that only their bounds decide.
        """
        if Mechanism.ROLL_OUT_WEIGHING not in self._mechanisms:
            return 0.0
        return self._decayed_answers(instance) * DECAYED_COUNT_TO_RATE

    def answered_recently(self, instance: Instance) -> bool:
        """Whether a server lately answered requests of this gateway or of others."""
        return self._decayed_answers(instance) > 0

    def _decayed_answers(self, instance: Instance) -> float:
        now = self._now()
        own = instance.health.tally(now).good
        return own + self._loads.others_load(instance.key, now).good
