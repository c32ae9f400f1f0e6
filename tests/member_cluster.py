"""Simulated cluster members with the real membership and configuration logic, without sockets.

Each member runs `FailureDetector`, `ConfigurationStore` and `FreshnessTracker` and encodes every
datagram with the codecs of a router.
"""

from __future__ import annotations

import random

import msgspec

from member_network import MemberNetwork
from milletcourse.backends.platform_messages import ObjectChange
from milletcourse.configuration.freshness import FreshnessTracker
from milletcourse.configuration.store import ChangesPage, ChangesRequest, ConfigurationStore
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.member_sync import MEMBER_SYNC_SECONDS
from milletcourse.membership.messages import (
    MemberRecord,
    MembershipMessage,
    MemberState,
    MessageKind,
    Outgoing,
    PlatformStamp,
)
from milletcourse.membership.service import TICK_SECONDS
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.membership import decode_membership, encode_membership

CLUSTER_KEY = "member-cluster-key-000000"
CONFIRM_SECONDS = 1.0
PULL_REQUEST_BYTES = 80
PULL_RETRY_SECONDS = 0.2
FRESHNESS_BOUND_SECONDS = 16.0
SKEW_SECONDS = 0.5


class DatagramMember:
    """One router reduced to membership and configuration."""

    def __init__(
        self,
        number: int,
        place: str,
        is_reader: bool,
        incarnation: int,
        cluster: MemberCluster,
    ) -> None:
        self.number = number
        self.is_reader = is_reader
        self.cluster = cluster
        self.alive = True
        self.address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7000"
        record = MemberRecord(
            f"router-{number}", place, self.address, self.address, MemberState.ALIVE, incarnation
        )
        source = random.Random(f"{cluster.seed}/{number}/{incarnation}")
        self.detector = FailureDetector(record, source)
        self.store = ConfigurationStore()
        self.freshness = FreshnessTracker(FRESHNESS_BOUND_SECONDS, SKEW_SECONDS)
        self.highest_revision = 0
        self._source = source
        self._pulling = False
        self._pending_pulls: dict[str, int] = {}

    def start(self) -> None:
        """Start the timers, each at a random phase."""
        network = self.cluster.network
        network.attach(self.address, self.detector.own.place, self._on_datagram)
        network.schedule(network.now + self._source.random() * TICK_SECONDS, self._tick)
        network.schedule(network.now + self._source.random() * MEMBER_SYNC_SECONDS, self._sync)
        if self.is_reader:
            network.schedule(network.now + self._source.random() * CONFIRM_SECONDS, self._confirm)

    def stop(self) -> None:
        """Kill the process."""
        self.alive = False
        self.cluster.network.detach(self.address)

    def _tick(self) -> None:
        if not self.alive:
            return
        network = self.cluster.network
        self._send(self.detector.on_tick(network.now))
        network.schedule(network.now + TICK_SECONDS, self._tick)

    def _sync(self) -> None:
        """Fetch the whole member list of a random live member, as `MemberSync` does."""
        if not self.alive:
            return
        network = self.cluster.network
        network.schedule(network.now + MEMBER_SYNC_SECONDS, self._sync)
        live = [item for item in self.detector.live() if item.name != self.detector.own.name]
        address = self._source.choice(live).http_address
        peer = self.cluster.by_address.get(address)
        if peer is None or not peer.alive:
            return
        message = MembershipMessage(
            MessageKind.GOSSIP, 0, "", 0, PlatformStamp(), tuple(peer.detector.live())
        )
        body = encode_membership(message)
        network.exchange(self.address, address, len(body), lambda: self._synced(body))

    def _synced(self, body: bytes) -> None:
        if self.alive:
            self.detector.merge(decode_membership(body).records, self.cluster.network.now)

    def _confirm(self) -> None:
        """Read from the platform as a reader does, unless a partition separates them."""
        if not self.alive:
            return
        network = self.cluster.network
        network.schedule(network.now + CONFIRM_SECONDS, self._confirm)
        if not self.cluster.platform_reachable(self):
            return
        for change in self.cluster.changes_after(self.store.revision):
            self.apply(ChangesPage(change.revision - 1, change.revision, (change,)))
        stamp = PlatformStamp(self.store.revision, network.now)
        self.freshness.on_stamp(stamp, self.store.revision)
        self.detector.stamp = self.freshness.latest_stamp

    def apply(self, page: ChangesPage) -> None:
        """Apply a page as a router does."""
        if not self.store.apply(page):
            return
        if self.store.revision < self.highest_revision:
            self.cluster.lower_revisions_applied += 1
        self.highest_revision = self.store.revision
        self.detector.revision = self.store.revision
        self.detector.announce()
        self.freshness.on_revision(self.store.revision)
        self.cluster.on_applied(self)

    def _on_datagram(self, payload: bytes, source: str) -> None:
        envelope = self.cluster.codec.decode(payload)
        message = decode_membership(envelope.body)
        now = self.cluster.network.now
        sender, incarnation = envelope.sender, envelope.incarnation
        self._send(self.detector.on_message(sender, incarnation, message, now))
        self.freshness.on_stamp(message.stamp, self.store.revision)
        self.detector.stamp = self.freshness.latest_stamp
        if message.revision > self.store.revision:
            self._pending_pulls[source] = message.revision
            self._pull()

    def _pull(self) -> None:
        if self._pulling or not self._pending_pulls or not self.alive:
            return
        address = max(self._pending_pulls, key=lambda item: (self._pending_pulls[item], item))
        revision = self._pending_pulls.pop(address)
        if revision <= self.store.revision:
            return
        peer = self.cluster.by_address.get(address)
        if peer is None:
            return
        page = peer.store.page_for(ChangesRequest(self.store.revision, self.store.revision))
        size = PULL_REQUEST_BYTES + len(msgspec.msgpack.encode(page))
        self._pulling = self.cluster.network.exchange(
            self.address, address, size, lambda: self._pulled(page)
        )

    def _pulled(self, page: ChangesPage) -> None:
        self._pulling = False
        if self.alive:
            self.apply(page)
            self._pull()

    def _send(self, outgoing: list[Outgoing]) -> None:
        own = self.detector.own
        for item in outgoing:
            body = encode_membership(item.message)
            envelope = Envelope(MessageType.MEMBERSHIP, own.name, own.incarnation, body)
            payload = self.cluster.codec.encode(envelope)
            self.cluster.network.send(self.address, payload, item.destination)


class MemberCluster:
    """Members spread over regions and zones, and a platform that commits changes; no sockets."""

    def __init__(self, members: int, places: list[str], seed: int) -> None:
        self.seed = seed
        self.network = MemberNetwork(seed)
        self.codec = EnvelopeCodec(CLUSTER_KEY)
        self.places = places
        self.platform_place = places[0]
        self.lower_revisions_applied = 0
        self.by_address: dict[str, DatagramMember] = {}
        self.members: list[DatagramMember] = []
        self.applied_at: dict[int, dict[int, float]] = {}
        self._changes: list[ObjectChange] = []
        self._incarnations = 1
        for number in range(members):
            self.members.append(self._new_member(number))
        for member in self.members:
            self.add_known_members(member)
            member.start()

    def _new_member(self, number: int) -> DatagramMember:
        place = self.places[number % len(self.places)]
        is_reader = number < 2 * len(self.places)
        member = DatagramMember(number, place, is_reader, self._incarnations, self)
        self.by_address[member.address] = member
        return member

    def add_known_members(self, member: DatagramMember) -> None:
        """Add all live members to a member's view, as the join reply of a peer does."""
        records = [item.detector.own for item in self.members if item.alive]
        member.detector.add_seeds(records, self.network.now)

    def alive(self) -> list[DatagramMember]:
        """Return the members whose process is running."""
        return [member for member in self.members if member.alive]

    def restart(self, number: int) -> DatagramMember:
        """Start a new process under the same name, with the configuration from a peer."""
        self._incarnations += 1
        previous = self.members[number]
        previous.stop()
        member = self._new_member(number)
        self.members[number] = member
        self.add_known_members(member)
        source = next(item for item in self.alive() if item is not member)
        page = source.store.page_for(ChangesRequest(0, 0))
        member.store.apply(page)
        member.highest_revision = member.detector.revision = member.store.revision
        member.start()
        return member

    def commit(self) -> int:
        """Commit one change of a tenant at the platform and return its revision."""
        revision = len(self._changes) + 1
        spec = {"labels": {"group": "care", "edition": str(revision)}, "weight": 1.0}
        self._changes.append(ObjectChange(revision, "Tenant", f"tenant-{revision % 50}", spec))
        self.applied_at[revision] = {}
        return revision

    def changes_after(self, revision: int) -> list[ObjectChange]:
        """Return the changes that a reader's watch yields after a revision."""
        return self._changes[revision:]

    def platform_reachable(self, member: DatagramMember) -> bool:
        """Whether the network connects a member to the platform."""
        anchor = next(
            (item for item in self.members if item.detector.own.place == self.platform_place), None
        )
        return anchor is None or self.network.reaches(member.address, anchor.address)

    def on_applied(self, member: DatagramMember) -> None:
        """Record when each revision came into force at a member."""
        for revision in range(member.store.revision, 0, -1):
            times = self.applied_at.get(revision)
            if times is None or member.number in times:
                break
            times[member.number] = self.network.now
