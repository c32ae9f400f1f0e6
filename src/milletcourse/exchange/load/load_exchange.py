"""Exchange of server load and tenant usage between gateways; events in, messages out, no I/O.

A gateway sends its load to the store reader that it follows. A reader sums its own load and that of
its followers, sends this zone sum to the other zones' readers, and sends the sum of all zones to
its followers. Each gateway thus knows the load of the whole fleet within a few ticks, for two small
messages a tick, and only readers communicate across zones. A gateway whose reader is silent gossips
its load to all others in turn. Messages are small and may be lost; a loss only delays an update.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec

from milletcourse.exchange.counting.keyed_sums import sum_by_key
from milletcourse.exchange.evidence.crash_evidence import CrashEvidence
from milletcourse.exchange.load.fleet_load import FleetLoad, fleet_load
from milletcourse.exchange.load.load_sums import LoadSums
from milletcourse.exchange.load.server_notices import ServerNotices
from milletcourse.exchange.load.server_signals import ServerSignals
from milletcourse.exchange.messages.peer_messages import (
    CrashReport,
    InstanceLoad,
    LoadScope,
    PeerMessage,
    ServerNotice,
    SignalReport,
    TenantUse,
)

TICK_SECONDS = 0.05
"""Interval at which a changed load is sent."""
DIGEST_SECONDS = 0.1
"""Minimum interval between two sums of a reader."""
DIGEST_SECONDS_PER_SERVER = 0.0003
"""The interval between sums grows by this time for each server with load, so that a reader's
traffic doesn't grow with the square of the fleet."""
MAX_DIGEST_SECONDS = 0.4
"""Maximum interval between two sums, so that a lost message doesn't make the known load stale."""
REFRESH_SECONDS = 0.4
"""Interval at which an unchanged load is sent again; less than `STALE_SECONDS`."""
STALE_SECONDS = 1.0
"""A load that isn't sent again expires after this time."""
GOSSIP_RECEIVERS = 3
"""Without a reader, load is sent to this many other gateways per tick, in turn."""
STALE_ROUNDS = 2.0
"""A gossiped load expires after this many rounds; in one round all others receive it."""
READER_RESEND_SECONDS = 1.0
"""A reader resends crash reports and server signals after this time, so that a gateway that has
just started or was partitioned receives them about a second later."""
FOLLOWER_RESEND_SECONDS = 5.0
"""A follower resends them after this time, for a reader that has started since; less often, because
readers have many followers."""


class Outgoing(msgspec.Struct, frozen=True):
    """A message and the names of its receivers."""

    message: PeerMessage
    receivers: list[str]


class LoadExchange:
    """One gateway's part in the exchange of loads, and its view of the others' load.

    The load sent last is the gateway's own while it follows a reader, and the fleet's while it is a
    reader. A follower subtracts its own part from the fleet's load that its reader sends.

    Attributes:
        evidence: Evidence about requests that crash servers; sent with the loads.
        signals: Self-reported state of servers; sent with the loads.
    """

    def __init__(
        self,
        own_name: str,
        evidence: CrashEvidence | None = None,
        signals: ServerSignals | None = None,
    ) -> None:
        """Starts without any load sent or received.

        Args:
            own_name: This gateway's name.
            evidence: Evidence about requests that crash servers.
            signals: Self-reported state of servers.
        """
        self._own_name = own_name
        self.signals = signals if signals is not None else ServerSignals()
        self.evidence = evidence if evidence is not None else CrashEvidence()
        self.evidence.set_gateways(own_name, [])
        self._others: list[str] = []
        self._readers: list[str] = []
        self._reader = ""
        self._reader_since = float("-inf")
        self._gateways = LoadSums(STALE_SECONDS)
        self._zones = LoadSums(STALE_SECONDS)
        self._followers: dict[str, float] = {}
        self._fleet = FleetLoad()
        self._sent_loads: list[InstanceLoad] = []
        self._sent_loads_by_key: dict[int, InstanceLoad] = {}
        self._sent_uses: list[TenantUse] = []
        self._sent_uses_by_key: dict[int, TenantUse] = {}
        self._sent_at = float("-inf")
        self._digest_at = float("-inf")
        self._gossip_pending: dict[str, None] = {}
        self._notices = ServerNotices()
        self._sequence = 0

    def set_gateways(self, others: list[str], readers: list[str]) -> None:
        """Sets the other gateways, and the zones' readers among them."""
        self._others = others
        self._readers = readers
        self.evidence.set_gateways(self._own_name, others)
        round_seconds = len(others) / GOSSIP_RECEIVERS * TICK_SECONDS
        self._gateways.stale_seconds = max(STALE_SECONDS, STALE_ROUNDS * round_seconds)

    # -- load of the other gateways -------------------------------------------------------------

    def others_load(self, key: int, now: float) -> InstanceLoad:
        """Load of all other gateways at a server, with their recent results there."""
        nothing = InstanceLoad(key, 0, 0)
        if self._knows_fleet(now):
            total = self._fleet.loads.get(key)
            mine = self._sent_loads_by_key.get(key)
            if total is None or mine is None:
                return total or nothing
            return total.minus(mine)
        of_gateways = self._gateways.load(key, now)
        of_zones = self._zones.load(key, now)
        if of_gateways is None or of_zones is None:
            return of_gateways or of_zones or nothing
        return of_gateways.plus(of_zones)

    def all_requests(self, key: int, members: int, now: float) -> int | None:
        """Requests of all gateways at a server; None while the load of some isn't known here.

        Args:
            key: Key of the server's incarnation.
            members: Number of gateways.
            now: Monotonic time.
        """
        if self.known_gateways(now) < members:
            return None
        own = self._sent_loads_by_key.get(key)
        return self.others_load(key, now).running + (own.running if own is not None else 0)

    def failing(self, now: float) -> Collection[int]:
        """Keys of the servers at which any gateway saw a failure recently."""
        if self._knows_fleet(now):
            return self._fleet.failing
        loads = (*self._gateways.loads(now), *self._zones.loads(now))
        return {load.key for load in loads if load.failures}

    def others_use(self, key: int, now: float) -> float:
        """Usage of a tenant by all other gateways, in units per second."""
        if not self._knows_fleet(now):
            return self._gateways.use(key, now) + self._zones.use(key, now)
        total = self._fleet.uses.get(key, TenantUse(key, 0))
        mine = self._sent_uses_by_key.get(key, TenantUse(key, 0))
        return total.minus(mine).per_second

    def known_gateways(self, now: float) -> int:
        """Number of gateways whose load and usage is known here, including this one."""
        if self._knows_fleet(now):
            return self._fleet.gateways
        return 1 + self._gateways.gateways(now) + self._zones.gateways(now)

    def _knows_fleet(self, now: float) -> bool:
        return bool(self._reader) and now - self._fleet.received_at < STALE_SECONDS

    # -- receiving ------------------------------------------------------------------------------

    def on_message(self, message: PeerMessage, now: float) -> bool:
        """Applies a message and forwards its notices; returns False for an outdated message.

        Crash reports are applied in any order.
        """
        self.evidence.merge(message.crashes, now, message.scope is not LoadScope.FLEET)
        if self.evidence.records.has_updates:
            self._digest_at = float("-inf")
        if not self._take_loads(message, now):
            return False
        if self._notices.forward(message, now):
            self._digest_at = float("-inf")
        return True

    def on_update(self) -> None:
        """Schedules an early message after a server crash or a changed server signal."""
        self._digest_at = float("-inf")

    def _take_loads(self, message: PeerMessage, now: float) -> bool:
        sender = message.sender
        if message.scope is LoadScope.FLEET:
            return self._on_fleet(message, now)
        if message.scope is LoadScope.ZONE:
            self._gateways.forget(sender)
            return self._add_to(self._zones, message, now)
        self._zones.forget(sender)
        if message.is_follower:
            if sender not in self._followers:
                self.evidence.records.repeat_reports()
                self.signals.resend_all()
            self._followers[sender] = now
        return self._add_to(self._gateways, message, now)

    @staticmethod
    def _add_to(sums: LoadSums, message: PeerMessage, now: float) -> bool:
        return sums.on_report(
            message.sender, message.sequence, message.loads, now, message.uses, message.gateways
        )

    def _on_fleet(self, message: PeerMessage, now: float) -> bool:
        if message.sender != self._reader:
            return False
        if message.sequence <= self._fleet.sequence and self._knows_fleet(now):
            return False
        self._fleet = fleet_load(message, now)
        return True

    # -- sending --------------------------------------------------------------------------------

    def notify(self, notice: ServerNotice) -> None:
        """Sends a server's state to all gateways with the next messages, repeated for lost ones."""
        self._notices.add(notice)
        self._digest_at = float("-inf")

    def tick(
        self,
        now: float,
        own: list[InstanceLoad],
        reader: str,
        own_uses: Sequence[TenantUse] = (),
    ) -> list[Outgoing]:
        """Returns the messages to send now.

        Args:
            now: Monotonic time.
            own: This gateway's load on each server that has some.
            reader: The store reader that it follows; empty while it reads the store itself.
            own_uses: This gateway's usage of tenants that have a limit.
        """
        uses = list(own_uses)
        if reader != self._reader:
            self._reader = reader
            self._reader_since = now
            self._sent_at = float("-inf")
        if not reader:
            return self._digests(now, own, uses)
        outgoing = []
        is_changed = (own, uses) != (self._sent_loads, self._sent_uses) or self._has_updates()
        due = is_changed or now - self._sent_at >= REFRESH_SECONDS
        if due:
            self._sent_loads, self._sent_uses, self._sent_at = own, uses, now
            self._sent_loads_by_key = {load.key: load for load in own}
            self._sent_uses_by_key = {use.key: use for use in uses}
            message = self._message(
                now,
                LoadScope.GATEWAY,
                own,
                uses,
                is_follower=True,
                crashes=self.evidence.records.due_reports(now, FOLLOWER_RESEND_SECONDS),
                signals=self.signals.due_reports(now, FOLLOWER_RESEND_SECONDS),
            )
            outgoing.append(Outgoing(message, [reader]))
            self._notices.on_sent()
        if not self._knows_fleet(now) and now - self._reader_since >= STALE_SECONDS:
            outgoing.extend(self._gossip(now, own, uses, due))
        return outgoing

    def _has_updates(self) -> bool:
        """Whether there are updates to send other than loads and usage."""
        return bool(self._notices) or self.evidence.records.has_updates or self.signals.has_updates

    def _digests(
        self, now: float, own: list[InstanceLoad], own_uses: list[TenantUse]
    ) -> list[Outgoing]:
        """A reader's messages: the zone's sum for other readers, the fleet's sum for followers."""
        if now - self._digest_at < self._digest_seconds():
            return []
        self._digest_at = now
        self._followers = {
            name: received_at
            for name, received_at in self._followers.items()
            if now - received_at < STALE_SECONDS
        }
        zone = sum_by_key(own, self._gateways.loads(now))
        fleet = sum_by_key(zone, self._zones.loads(now))
        zone_uses = sum_by_key(own_uses, self._gateways.uses(now))
        fleet_uses = sum_by_key(zone_uses, self._zones.uses(now))
        readers = list(dict.fromkeys([*self._readers, *self._zones.senders(now)]))
        outgoing = []
        is_changed = (fleet, fleet_uses) != (
            self._sent_loads,
            self._sent_uses,
        ) or self._has_updates()
        if is_changed or now - self._sent_at >= REFRESH_SECONDS:
            self._sent_loads, self._sent_uses, self._sent_at = fleet, fleet_uses, now
            zone_gateways = 1 + self._gateways.gateways(now)
            crashes = self.evidence.records.due_reports(now, READER_RESEND_SECONDS)
            signals = self.signals.due_reports(now, READER_RESEND_SECONDS)
            to_readers = self._message(
                now,
                LoadScope.ZONE,
                zone,
                zone_uses,
                gateways=zone_gateways,
                crashes=crashes,
                signals=signals,
            )
            to_followers = self._message(
                now,
                LoadScope.FLEET,
                fleet,
                fleet_uses,
                gateways=self.known_gateways(now),
                crashes=crashes,
                signals=signals,
            )
            outgoing.append(Outgoing(to_readers, readers))
            outgoing.append(Outgoing(to_followers, list(self._followers)))
        self._notices.on_sent()
        return [item for item in outgoing if item.receivers]

    def _digest_seconds(self) -> float:
        """Interval between two sums."""
        by_size = len(self._sent_loads) * DIGEST_SECONDS_PER_SERVER
        return min(max(DIGEST_SECONDS, by_size), MAX_DIGEST_SECONDS)

    def _gossip(
        self,
        now: float,
        own: list[InstanceLoad],
        own_uses: list[TenantUse],
        starts_round: bool,
    ) -> list[Outgoing]:
        """Sends to the next few gateways that haven't received the latest change."""
        if starts_round:
            self._gossip_pending = dict.fromkeys(self._others)
        receivers = list(self._gossip_pending)[:GOSSIP_RECEIVERS]
        for name in receivers:
            del self._gossip_pending[name]
        if not receivers:
            return []
        message = self._message(
            now,
            LoadScope.GATEWAY,
            own,
            own_uses,
            crashes=self.evidence.records.most_severe(now),
            signals=self.signals.latest_reports(now),
        )
        return [Outgoing(message, receivers)]

    def _message(
        self,
        now: float,
        scope: LoadScope,
        loads: list[InstanceLoad],
        uses: list[TenantUse],
        is_follower: bool = False,
        gateways: int = 1,
        crashes: Sequence[CrashReport] = (),
        signals: Sequence[SignalReport] = (),
    ) -> PeerMessage:
        # Exceeds the sequence numbers of an earlier process on this machine, which used its clock.
        self._sequence = max(self._sequence + 1, int(now * 1000))
        notices = self._notices.due_notices(scope)
        return PeerMessage(
            self._own_name,
            self._sequence,
            loads,
            notices,
            scope,
            is_follower,
            uses,
            gateways,
            list(crashes),
            list(signals),
        )
