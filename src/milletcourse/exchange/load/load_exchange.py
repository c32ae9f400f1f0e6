"""Who tells whom the load on servers, and what tenants spend; events in, messages out, no I/O.

A gateway tells its load to the reader of the store that it follows. A reader adds up its followers
and itself, tells that sum to the other zones' readers, and the sum of all zones to its followers:
each gateway knows the load of the whole fleet within a few ticks, for two small messages a tick,
and only readers talk across zones. A gateway whose reader is silent tells its load to all others
in turn. Messages are small and may be lost; nothing depends on them but speed.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import msgspec

from milletcourse.exchange.counting.keyed_sums import added
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
"""A changed load is told this often."""
DIGEST_SECONDS = 0.1
"""Sums are told this often."""
ENTRY_SECONDS = 0.0003
"""Sums of many servers are told less often, by this time for each server with load, so that what a
reader sends doesn't grow with the square of the fleet."""
MAX_DIGEST_SECONDS = 0.4
"""But at least this often, so that a lost message doesn't make what is known stale."""
REPEAT_SECONDS = 0.4
"""What has not changed is told again, before it counts as stale."""
STALE_SECONDS = 1.0
"""What isn't told again counts no longer than this."""
GOSSIP_RECEIVERS = 3
"""Without a reader, load is told to this many others a tick, in turn."""
STALE_ROUNDS = 2.0
"""Load told so counts for this many of the rounds in which all others are told."""
READER_RETELLS_SECONDS = 1.0
"""A reader tells requests that are suspected to end servers again after this time, so that a
gateway that has just started or was cut off knows them about a second later."""
FOLLOWER_RETELLS_SECONDS = 5.0
"""A follower does so for a reader that has started since; less often, as readers have many
followers."""


class Outgoing(msgspec.Struct, frozen=True):
    """A message and the gateways that it is for."""

    message: PeerMessage
    receivers: list[str]


class LoadExchange:
    """One gateway's part in telling loads, and what it knows of the others' load.

    What was told last is the gateway's own load while it follows a reader, and the fleet's while it
    is one; a follower's own part is taken out of what its reader tells.

    Attributes:
        evidence: What is known of requests that end servers; it is told with the loads.
        signals: What servers say of themselves; so is it.
    """

    def __init__(
        self,
        own_name: str,
        evidence: CrashEvidence | None = None,
        signals: ServerSignals | None = None,
    ) -> None:
        """Nothing told and nothing heard yet.

        Args:
            own_name: This gateway's name.
            evidence: What is known of requests that end servers.
            signals: What servers say of themselves.
        """
        self._own_name = own_name
        self.signals = signals if signals is not None else ServerSignals()
        self.evidence = evidence if evidence is not None else CrashEvidence()
        self._others: list[str] = []
        self._readers: list[str] = []
        self._reader = ""
        self._reader_since = float("-inf")
        self._gateways = LoadSums(STALE_SECONDS)
        self._zones = LoadSums(STALE_SECONDS)
        self._followers: dict[str, float] = {}
        self._fleet = FleetLoad()
        self._told: list[InstanceLoad] = []
        self._told_by_key: dict[int, InstanceLoad] = {}
        self._told_uses: list[TenantUse] = []
        self._told_uses_by_key: dict[int, TenantUse] = {}
        self._told_at = float("-inf")
        self._digest_at = float("-inf")
        self._untold: dict[str, None] = {}
        self._notices = ServerNotices()
        self._sequence = 0

    def set_gateways(self, others: list[str], readers: list[str]) -> None:
        """Take the list of the other gateways, and of the zones' readers among them."""
        self._others = others
        self._readers = readers
        round_seconds = len(others) / GOSSIP_RECEIVERS * TICK_SECONDS
        self._gateways.stale_seconds = max(STALE_SECONDS, STALE_ROUNDS * round_seconds)

    # -- what the others have on the servers ----------------------------------------------------

    def others_load(self, key: int, now: float) -> InstanceLoad:
        """What all other gateways have at a server, and how it went lately."""
        nothing = InstanceLoad(key, 0, 0)
        if self._knows_fleet(now):
            total = self._fleet.loads.get(key)
            mine = self._told_by_key.get(key)
            if total is None or mine is None:
                return total or nothing
            return total.minus(mine)
        of_gateways = self._gateways.load(key, now)
        of_zones = self._zones.load(key, now)
        if of_gateways is None or of_zones is None:
            return of_gateways or of_zones or nothing
        return of_gateways.plus(of_zones)

    def failing(self, now: float) -> Collection[int]:
        """Keys of the servers at which any gateway saw a failure lately."""
        if self._knows_fleet(now):
            return self._fleet.failing
        loads = (*self._gateways.loads(now), *self._zones.loads(now))
        return {load.key for load in loads if load.bad}

    def others_use(self, key: int, now: float) -> float:
        """What all other gateways spend for a tenant in a second."""
        if not self._knows_fleet(now):
            return self._gateways.use(key, now) + self._zones.use(key, now)
        total = self._fleet.uses.get(key, TenantUse(key, 0))
        mine = self._told_uses_by_key.get(key, TenantUse(key, 0))
        return total.minus(mine).per_second

    def heard_gateways(self, now: float) -> int:
        """How many gateways' load and use is known here, this one included."""
        if self._knows_fleet(now):
            return self._fleet.gateways
        return 1 + self._gateways.gateways(now) + self._zones.gateways(now)

    def _knows_fleet(self, now: float) -> bool:
        return bool(self._reader) and now - self._fleet.heard_at < STALE_SECONDS

    # -- hearing --------------------------------------------------------------------------------

    def on_message(self, message: PeerMessage, now: float) -> bool:
        """Take a message, and pass its notices on; False when a later one was taken.

        What it tells of requests that end servers is taken in any order.
        """
        self.evidence.merge(message.crashes, now, message.scope is not LoadScope.FLEET)
        if self.evidence.has_updates:
            self._digest_at = float("-inf")
        if not self._take_loads(message, now):
            return False
        if self._notices.pass_on(message, now):
            self._digest_at = float("-inf")
        return True

    def on_news(self) -> None:
        """Servers ended under a request, or one said something new of itself: tell it soon."""
        self._digest_at = float("-inf")

    def _take_loads(self, message: PeerMessage, now: float) -> bool:
        sender = message.sender
        if message.scope is LoadScope.FLEET:
            return self._on_fleet(message, now)
        if message.scope is LoadScope.ZONE:
            self._gateways.forget(sender)
            return self._add_to(self._zones, message, now)
        self._zones.forget(sender)
        if message.follows:
            if sender not in self._followers:
                self.evidence.repeat_reports()
                self.signals.tell_again()
            self._followers[sender] = now
        return self._add_to(self._gateways, message, now)

    @staticmethod
    def _add_to(sums: LoadSums, message: PeerMessage, now: float) -> bool:
        return sums.on_told(
            message.sender, message.sequence, message.loads, now, message.uses, message.gateways
        )

    def _on_fleet(self, message: PeerMessage, now: float) -> bool:
        if message.sender != self._reader:
            return False
        if message.sequence <= self._fleet.sequence and self._knows_fleet(now):
            return False
        self._fleet = fleet_load(message, now)
        return True

    # -- telling --------------------------------------------------------------------------------

    def notify(self, notice: ServerNotice) -> None:
        """Tell all gateways a server's state with the next messages; repeated against loss."""
        self._notices.add(notice)
        self._digest_at = float("-inf")

    def tick(
        self,
        now: float,
        own: list[InstanceLoad],
        reader: str,
        own_uses: Sequence[TenantUse] = (),
    ) -> list[Outgoing]:
        """Messages to send now.

        Args:
            now: Monotonic time.
            own: This gateway's load on each server that has some.
            reader: The reader of the store that it follows; empty while it reads the store itself.
            own_uses: What this gateway spends for tenants with a limit.
        """
        uses = list(own_uses)
        if reader != self._reader:
            self._reader = reader
            self._reader_since = now
            self._told_at = float("-inf")
        if not reader:
            return self._digests(now, own, uses)
        outgoing = []
        is_news = (own, uses) != (self._told, self._told_uses) or self._has_news()
        due = is_news or now - self._told_at >= REPEAT_SECONDS
        if due:
            self._told, self._told_uses, self._told_at = own, uses, now
            self._told_by_key = {load.key: load for load in own}
            self._told_uses_by_key = {use.key: use for use in uses}
            told = self._message(
                now,
                LoadScope.GATEWAY,
                own,
                uses,
                follows=True,
                crashes=self.evidence.due_reports(now, FOLLOWER_RETELLS_SECONDS),
                signals=self.signals.to_tell(now, FOLLOWER_RETELLS_SECONDS),
            )
            outgoing.append(Outgoing(told, [reader]))
            self._notices.on_told()
        if not self._knows_fleet(now) and now - self._reader_since >= STALE_SECONDS:
            outgoing.extend(self._gossip(now, own, uses, due))
        return outgoing

    def _has_news(self) -> bool:
        """Whether something is to be told besides loads and use."""
        return bool(self._notices) or self.evidence.has_updates or self.signals.has_news

    def _digests(
        self, now: float, own: list[InstanceLoad], own_uses: list[TenantUse]
    ) -> list[Outgoing]:
        """As a reader: the zone's sum to the other readers, the fleet's to the followers."""
        if now - self._digest_at < self._digest_seconds():
            return []
        self._digest_at = now
        self._followers = {
            name: heard for name, heard in self._followers.items() if now - heard < STALE_SECONDS
        }
        zone = added(own, self._gateways.loads(now))
        fleet = added(zone, self._zones.loads(now))
        zone_uses = added(own_uses, self._gateways.uses(now))
        fleet_uses = added(zone_uses, self._zones.uses(now))
        readers = list(dict.fromkeys([*self._readers, *self._zones.senders(now)]))
        outgoing = []
        is_news = (fleet, fleet_uses) != (self._told, self._told_uses) or self._has_news()
        if is_news or now - self._told_at >= REPEAT_SECONDS:
            self._told, self._told_uses, self._told_at = fleet, fleet_uses, now
            zone_gateways = 1 + self._gateways.gateways(now)
            crashes = self.evidence.due_reports(now, READER_RETELLS_SECONDS)
            signals = self.signals.to_tell(now, READER_RETELLS_SECONDS)
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
                gateways=self.heard_gateways(now),
                crashes=crashes,
                signals=signals,
            )
            outgoing.append(Outgoing(to_readers, readers))
            outgoing.append(Outgoing(to_followers, list(self._followers)))
        self._notices.on_told()
        return [item for item in outgoing if item.receivers]

    def _digest_seconds(self) -> float:
        """Time between two sums."""
        by_size = len(self._told) * ENTRY_SECONDS
        return min(max(DIGEST_SECONDS, by_size), MAX_DIGEST_SECONDS)

    def _gossip(
        self,
        now: float,
        own: list[InstanceLoad],
        own_uses: list[TenantUse],
        begin_round: bool,
    ) -> list[Outgoing]:
        """Tell the next few that haven't heard of the latest change."""
        if begin_round:
            self._untold = dict.fromkeys(self._others)
        receivers = list(self._untold)[:GOSSIP_RECEIVERS]
        for name in receivers:
            del self._untold[name]
        if not receivers:
            return []
        told = self._message(
            now,
            LoadScope.GATEWAY,
            own,
            own_uses,
            crashes=self.evidence.most_severe(now),
            signals=self.signals.newest(now),
        )
        return [Outgoing(told, receivers)]

    def _message(
        self,
        now: float,
        scope: LoadScope,
        loads: list[InstanceLoad],
        uses: list[TenantUse],
        follows: bool = False,
        gateways: int = 1,
        crashes: Sequence[CrashReport] = (),
        signals: Sequence[SignalReport] = (),
    ) -> PeerMessage:
        # Above that of an earlier process on this machine, whose clock was the same.
        self._sequence = max(self._sequence + 1, int(now * 1000))
        notices = self._notices.to_tell(scope)
        return PeerMessage(
            self._own_name,
            self._sequence,
            loads,
            notices,
            scope,
            follows,
            uses,
            gateways,
            list(crashes),
            list(signals),
        )
