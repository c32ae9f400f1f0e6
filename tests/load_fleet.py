"""Gateways that exchange their load, on a simulated clock."""

from __future__ import annotations

import random

from milletcourse.exchange.counting.keyed_sums import sum_by_key
from milletcourse.exchange.load.load_exchange import TICK_SECONDS, LoadExchange
from milletcourse.exchange.messages.peer_messages import InstanceLoad, PeerMessage

ZONES = 3
SERVERS = 5


class Fleet:
    """Gateways in three zones with one reader each, and the messages between them."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = [f"g{number:02}" for number in range(size)]
        self.exchanges = {name: LoadExchange(name) for name in self.names}
        self.readers = self.names[:ZONES]
        self.loads: dict[str, list[InstanceLoad]] = {name: [] for name in self.names}
        self.stopped: set[str] = set()
        self.partitioned: set[str] = set()
        self.received: dict[str, list[PeerMessage]] = {name: [] for name in self.names}
        self.sent = dict.fromkeys(self.names, 0)
        self.loss = 0.0
        self.now = 100.0
        for name in self.names:
            others = [other for other in self.names if other != name]
            readers = [reader for reader in self.readers if reader != name]
            self.exchanges[name].set_gateways(others, readers)

    def restart(self, name: str) -> None:
        """Restart a gateway's process, which loses all state."""
        self.exchanges[name] = LoadExchange(name)
        others = [other for other in self.names if other != name]
        readers = [reader for reader in self.readers if reader != name]
        self.exchanges[name].set_gateways(others, readers)

    def reader_of(self, name: str) -> str:
        """The reader that a gateway follows; empty for a reader."""
        reader = self.readers[self.names.index(name) % ZONES]
        return "" if reader == name else reader

    def shuffle_loads(self) -> None:
        """Assign a new random load to each gateway."""
        for name in self.names:
            keys = self.random.sample(range(1, SERVERS + 1), self.random.randint(0, 3))
            self.loads[name] = [
                InstanceLoad(
                    key,
                    self.random.randint(0, 9000),
                    self.random.randint(1, 4),
                    self.random.randint(0, 2),
                    self.random.randint(0, 5),
                )
                for key in sorted(keys)
            ]

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for name in self.names:
                if name not in self.stopped:
                    self._tick(name)

    def _tick(self, name: str) -> None:
        exchange = self.exchanges[name]
        for outgoing in exchange.tick(self.now, self.loads[name], self.reader_of(name)):
            for receiver in outgoing.receivers:
                self.sent[name] += 1
                if receiver in self.stopped or self.random.random() < self.loss:
                    continue
                if name in self.partitioned or receiver in self.partitioned:
                    continue
                if self.exchanges[receiver].on_message(outgoing.message, self.now):
                    self.received[receiver].append(outgoing.message)

    def expected(self, name: str) -> list[InstanceLoad]:
        """Total load of all other running gateways."""
        others = [other for other in self.names if other != name and other not in self.stopped]
        return sum_by_key(*(self.loads[other] for other in others))

    def known(self, name: str) -> list[InstanceLoad]:
        """The others' load as a gateway knows it."""
        exchange = self.exchanges[name]
        loads = [exchange.others_load(key, self.now) for key in range(1, SERVERS + 1)]
        return [load for load in loads if not load.is_zero]
