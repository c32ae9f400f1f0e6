"""SWIM-style failure detector and membership view; performs no I/O.

In each protocol period a member probes one other member, in a shuffled round-robin order. If the
ack is missing, it sends indirect probes through other members, then marks the target as suspect.
A suspect refutes the suspicion with a higher incarnation; otherwise it is declared dead after the
suspicion timeout. State updates are piggybacked on every datagram and sent in additional gossip
datagrams while any are pending. The caller passes in messages and `now` and sends the datagrams
that are returned.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from milletcourse.membership.messages import (
    MemberRecord,
    MembershipMessage,
    MemberState,
    MessageKind,
    Outgoing,
    PlatformStamp,
)

PROBE_INTERVAL_SECONDS = 1.0
"""One probe per second and member detects failures within seconds at tens of bytes per second."""
PROBE_TIMEOUT_SECONDS = 0.4
"""Twice the round-trip time between the two most distant regions."""
SUSPICION_SECONDS = 2.0
"""Leaves time for a refutation: several gossip rounds of 0.25 s in each direction."""
GOSSIP_INTERVAL_SECONDS = 0.25
GOSSIP_FANOUT = 3
INDIRECT_PROBES = 3
MAX_RECORDS_PER_MESSAGE = 12
"""Keeps a datagram within one Ethernet frame."""
RETRANSMIT_FACTOR = 2
"""Each update is sent about this many times the binary logarithm of the member count."""
DEAD_RETRY_SECONDS = 5.0
"""Interval of probes to dead members, which detect that a network partition has healed."""
DEAD_RETRY_LIMIT_SECONDS = 3600.0
"""A member that has been dead for an hour is not probed again; the router list of the configuration
remains the only source for it."""
STALL_THRESHOLD_SECONDS = 2.0
"""A longer gap between two ticks means that this process was not running."""


@dataclass(slots=True)
class _Member:
    record: MemberRecord
    since: float
    last_contact_at: float = float("-inf")


@dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    sent_at: float
    indirect_sent: bool = False


class FailureDetector:
    """One member's view of the cluster and its protocol state."""

    def __init__(self, own: MemberRecord, random_source: random.Random) -> None:
        self.own = own
        self.revision = 0
        self.stamp = PlatformStamp()
        self._random = random_source
        self._members: dict[str, _Member] = {}
        self._suspects: dict[str, None] = {}
        self._pending_updates: dict[str, int] = {own.name: 0}
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._next_probe_at = 0.0
        self._next_gossip_at = 0.0
        self._next_dead_retry_at = 0.0
        self._last_tick: float | None = None
        self._announce_rounds = 0

    # -- view ---------------------------------------------------------------------------------

    def record(self, name: str) -> MemberRecord | None:
        """Return the record of a member, None when it is unknown."""
        if name == self.own.name:
            return self.own
        member = self._members.get(name)
        return member.record if member else None

    def records(self) -> list[MemberRecord]:
        """Return all known members, including this one, sorted by name."""
        others = [member.record for member in self._members.values()]
        return sorted([*others, self.own], key=lambda record: record.name)

    def live(self) -> list[MemberRecord]:
        """Return the members that are alive or suspect, including this one."""
        return [item for item in self.records() if item.state <= MemberState.SUSPECT]

    def dead(self) -> list[MemberRecord]:
        """Return the members declared dead, in no particular order."""
        return [
            member.record
            for member in self._members.values()
            if member.record.state is MemberState.DEAD
        ]

    def live_count(self) -> int:
        """Return the number of members in `live`."""
        states = [member.record.state for member in self._members.values()]
        return 1 + sum(1 for state in states if state <= MemberState.SUSPECT)

    def majority_contact_at(self, names: Collection[str]) -> float:
        """Return the latest time since which a majority of `names` has sent a datagram.

        Only datagrams received directly from a member count, since the view of live members stays
        unchanged for a while after this member has been partitioned from the others.

        Returns:
            Monotonic seconds; minus infinity when fewer than a majority are known.
        """
        contact_times = [
            self._members[name].last_contact_at for name in sorted(names) if name in self._members
        ]
        if self.own.name in names:
            contact_times.append(float("inf"))
        needed = len(names) // 2 + 1
        if len(contact_times) < needed:
            return float("-inf")
        return sorted(contact_times, reverse=True)[needed - 1]

    # -- input --------------------------------------------------------------------------------

    def add_seeds(self, records: Iterable[MemberRecord], now: float) -> None:
        """Add members from the settings or the configuration that are not known yet."""
        for record in records:
            if record.name != self.own.name and record.name not in self._members:
                self._members[record.name] = _Member(record, now)
                self._update_suspects(record)

    def merge(self, records: Iterable[MemberRecord], now: float) -> None:
        """Merge member records that were received other than by datagram."""
        for record in records:
            self._merge(record, now)

    def announce(self) -> None:
        """Start gossip rounds for a change outside the member records, such as a new revision."""
        self._announce_rounds = self._retransmit_limit()

    def leave(self, now: float) -> list[Outgoing]:
        """Announce a planned stop to some members, which gossip it to the others."""
        self.own = replace(self.own, state=MemberState.LEFT)
        self._pending_updates[self.own.name] = 0
        peers = self._pick_live(GOSSIP_FANOUT * 2)
        return [self._outgoing(peer, MessageKind.GOSSIP, 0, "") for peer in peers]

    def on_tick(self, now: float) -> list[Outgoing]:
        """Advance the timers; the caller runs it about every tenth of a second."""
        if self._last_tick is not None and now - self._last_tick > STALL_THRESHOLD_SECONDS:
            self._on_resume(now)
        self._last_tick = now
        out: list[Outgoing] = []
        self._check_probe(now, out)
        self._expire_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_SECONDS
            self._start_probe(now, out)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_SECONDS
            self._gossip(out)
        if now >= self._next_dead_retry_at:
            self._next_dead_retry_at = now + DEAD_RETRY_SECONDS
            self._retry_dead(now, out)
        return out

    def on_message(
        self, sender: str, incarnation: int, message: MembershipMessage, now: float
    ) -> list[Outgoing]:
        """Handle a datagram from an authenticated sender."""
        for record in message.records:
            self._merge(record, now)
        member = self._members.get(sender)
        if member is not None:
            member.last_contact_at = now
            if incarnation > member.record.incarnation:
                alive = replace(member.record, state=MemberState.ALIVE, incarnation=incarnation)
                self._set(member, alive, now)
        out: list[Outgoing] = []
        if message.kind is MessageKind.PROBE:
            self._on_probe(sender, message, out)
        elif message.kind is MessageKind.ACK:
            self._on_ack(message, out)
        elif message.kind is MessageKind.INDIRECT_PROBE:
            self._on_indirect_probe(sender, message, out)
        return out

    # -- probing ------------------------------------------------------------------------------

    def _on_probe(self, sender: str, message: MembershipMessage, out: list[Outgoing]) -> None:
        member = self._members.get(sender)
        if member is not None:
            out.append(self._outgoing(member, MessageKind.ACK, message.sequence, message.target))

    def _on_ack(self, message: MembershipMessage, out: list[Outgoing]) -> None:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            requester = self._members.get(relayed[0])
            if requester is not None:
                out.append(self._outgoing(requester, MessageKind.ACK, relayed[1], message.target))
            return
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            self._probe = None

    def _on_indirect_probe(
        self, sender: str, message: MembershipMessage, out: list[Outgoing]
    ) -> None:
        target = self._members.get(message.target)
        if target is None:
            return
        sequence = self._next_sequence()
        self._relayed[sequence] = (sender, message.sequence)
        while len(self._relayed) > 64:
            del self._relayed[next(iter(self._relayed))]
        out.append(self._outgoing(target, MessageKind.PROBE, sequence, message.target))

    def _start_probe(self, now: float, out: list[Outgoing]) -> None:
        if self._probe is not None:
            self._suspect(self._probe.target, now)
            self._probe = None
        target = self._next_target()
        if target is None:
            return
        sequence = self._next_sequence()
        self._probe = _Probe(target.record.name, sequence, now)
        out.append(self._outgoing(target, MessageKind.PROBE, sequence, target.record.name))

    def _check_probe(self, now: float, out: list[Outgoing]) -> None:
        probe = self._probe
        if probe is None or probe.indirect_sent:
            return
        if now - probe.sent_at < PROBE_TIMEOUT_SECONDS:
            return
        probe.indirect_sent = True
        for helper in self._pick_live(INDIRECT_PROBES, excluded=probe.target):
            out.append(
                self._outgoing(helper, MessageKind.INDIRECT_PROBE, probe.sequence, probe.target)
            )

    def _next_target(self) -> _Member | None:
        for _ in range(2):
            while self._round:
                member = self._members.get(self._round.pop())
                if member is not None and member.record.state <= MemberState.SUSPECT:
                    return member
            self._round = sorted(self._members)
            self._random.shuffle(self._round)
        return None

    def _retry_dead(self, now: float, out: list[Outgoing]) -> None:
        dead = [
            member
            for member in self._members.values()
            if member.record.state is MemberState.DEAD
            and now - member.since < DEAD_RETRY_LIMIT_SECONDS
        ]
        if dead:
            member = self._random.choice(dead)
            sequence = self._next_sequence()
            record = member.record
            message = self._message(MessageKind.PROBE, sequence, record.name, (record,))
            out.append(Outgoing(record.datagram_address, message))

    # -- state changes ------------------------------------------------------------------------

    def _on_resume(self, now: float) -> None:
        """Restart the suspicion timers after a stall, in which no ack could be received."""
        self._probe = None
        for name in self._suspects:
            self._members[name].since = now

    def _suspect(self, name: str, now: float) -> None:
        member = self._members.get(name)
        if member is not None and member.record.state is MemberState.ALIVE:
            self._set(member, replace(member.record, state=MemberState.SUSPECT), now)

    def _expire_suspects(self, now: float) -> None:
        for name in list(self._suspects):
            member = self._members[name]
            if now - member.since >= SUSPICION_SECONDS:
                self._set(member, replace(member.record, state=MemberState.DEAD), now)

    def _merge(self, record: MemberRecord, now: float) -> None:
        if record.name == self.own.name:
            self._refute(record)
            return
        member = self._members.get(record.name)
        if member is None:
            if record.state <= MemberState.SUSPECT:
                self._members[record.name] = _Member(record, now)
                self._pending_updates[record.name] = 0
                self._update_suspects(record)
        elif record.supersedes(member.record):
            self._set(member, record, now)

    def _refute(self, record: MemberRecord) -> None:
        if self.own.state is MemberState.LEFT:
            return
        if record.state is MemberState.ALIVE and record.incarnation <= self.own.incarnation:
            return
        if record.incarnation >= self.own.incarnation:
            self.own = replace(self.own, incarnation=record.incarnation + 1)
            self._pending_updates[self.own.name] = 0

    def _set(self, member: _Member, record: MemberRecord, now: float) -> None:
        member.record = record
        member.since = now
        self._pending_updates[record.name] = 0
        self._update_suspects(record)

    def _update_suspects(self, record: MemberRecord) -> None:
        if record.state is MemberState.SUSPECT:
            self._suspects[record.name] = None
        else:
            self._suspects.pop(record.name, None)

    # -- sending ------------------------------------------------------------------------------

    def _gossip(self, out: list[Outgoing]) -> None:
        if not self._pending_updates and not self._announce_rounds:
            return
        self._announce_rounds = max(self._announce_rounds - 1, 0)
        for peer in self._pick_live(GOSSIP_FANOUT):
            out.append(self._outgoing(peer, MessageKind.GOSSIP, 0, ""))

    def _pick_live(self, count: int, excluded: str = "") -> list[_Member]:
        names = [
            name
            for name, member in self._members.items()
            if member.record.state <= MemberState.SUSPECT and name != excluded
        ]
        picked = self._random.sample(names, min(count, len(names)))
        return [self._members[name] for name in picked]

    def _outgoing(self, member: _Member, kind: MessageKind, sequence: int, target: str) -> Outgoing:
        record = member.record
        extra = (record,) if record.state is not MemberState.ALIVE else ()
        return Outgoing(record.datagram_address, self._message(kind, sequence, target, extra))

    def _message(
        self, kind: MessageKind, sequence: int, target: str, extra: tuple[MemberRecord, ...]
    ) -> MembershipMessage:
        records = extra + self._take_updates(MAX_RECORDS_PER_MESSAGE - len(extra))
        if kind in (MessageKind.PROBE, MessageKind.ACK) and not records:
            records = self._random_record()
        return MembershipMessage(kind, sequence, target, self.revision, self.stamp, records)

    def _take_updates(self, count: int) -> tuple[MemberRecord, ...]:
        """Take the least often sent updates; each is sent a bounded number of times."""
        if not self._pending_updates:
            return ()
        limit = self._retransmit_limit()
        chosen = sorted(
            self._pending_updates, key=lambda name: (self._pending_updates[name], name)
        )[:count]
        records = []
        for name in chosen:
            record = self.record(name)
            self._pending_updates[name] += 1
            if record is None or self._pending_updates[name] >= limit:
                del self._pending_updates[name]
            if record is not None:
                records.append(record)
        return tuple(records)

    def _random_record(self) -> tuple[MemberRecord, ...]:
        """Pick a random record as anti-entropy, so that a lost update arrives eventually."""
        if not self._members:
            return ()
        if not self._round:
            return (self.own,)
        member = self._members.get(self._random.choice(self._round))
        return (member.record,) if member is not None else ()

    def _retransmit_limit(self) -> int:
        return RETRANSMIT_FACTOR * max((len(self._members) + 1).bit_length(), 1)

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence
