"""Failure detector and member view; no input/output.

Each period a member probes one other in a shuffled round. A missing ack is followed by indirect
probes through others, then by suspicion, which the suspect refutes with a higher incarnation, and
only after the suspicion timeout by death. News travels piggybacked on every datagram, and in extra
gossip datagrams while there is news. Messages and `now` in, datagrams out.
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
"""One probe a second a member keeps detection within seconds for tens of bytes a second."""
PROBE_TIMEOUT_SECONDS = 0.4
"""Twice the round trip between the farthest regions."""
SUSPICION_SECONDS = 2.0
"""Time to refute: several gossip rounds of 0.25 s there and back."""
GOSSIP_INTERVAL_SECONDS = 0.25
GOSSIP_FANOUT = 3
INDIRECT_PROBES = 3
MAX_RECORDS_PER_MESSAGE = 12
"""Keeps a datagram below one Ethernet frame."""
RETRANSMIT_FACTOR = 2
"""Each piece of news is sent about this many times the logarithm of the member count."""
DEAD_RETRY_SECONDS = 5.0
"""A dead member is probed this often, so that a healed cut is noticed."""
DEAD_RETRY_LIMIT_SECONDS = 3600.0
"""After an hour a dead member is left to the configuration's list."""
STALL_THRESHOLD_SECONDS = 2.0
"""A gap this long between ticks means that this process did not run."""


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
    """State of one member's view."""

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
        """The record of a member, None when it is unknown."""
        if name == self.own.name:
            return self.own
        member = self._members.get(name)
        return member.record if member else None

    def records(self) -> list[MemberRecord]:
        """All known members, this one included, by name."""
        others = [member.record for member in self._members.values()]
        return sorted([*others, self.own], key=lambda record: record.name)

    def live(self) -> list[MemberRecord]:
        """Members that are alive or merely suspected, this one included."""
        return [item for item in self.records() if item.state <= MemberState.SUSPECT]

    def dead(self) -> list[MemberRecord]:
        """Members declared dead, in no particular order."""
        return [
            member.record
            for member in self._members.values()
            if member.record.state is MemberState.DEAD
        ]

    def live_count(self) -> int:
        """Number of members in `live`."""
        states = [member.record.state for member in self._members.values()]
        return 1 + sum(1 for state in states if state <= MemberState.SUSPECT)

    def majority_contact_at(self, names: Collection[str]) -> float:
        """Latest monotonic time by which this member has since heard a majority of `names`.

        Only datagrams received from a member itself count, since the view of who is alive stays
        unchanged for a while after this member has been cut off.
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
        """Members named by settings or configuration, unless already known."""
        for record in records:
            if record.name != self.own.name and record.name not in self._members:
                self._members[record.name] = _Member(record, now)
                self._update_suspects(record)

    def merge(self, records: Iterable[MemberRecord], now: float) -> None:
        """News of members from outside of datagrams."""
        for record in records:
            self._merge(record, now)

    def announce(self) -> None:
        """Something worth telling at once has changed, such as the revision."""
        self._announce_rounds = self._retransmit_limit()

    def leave(self, now: float) -> list[Outgoing]:
        """Planned stop: tell some members, who tell the others."""
        self.own = replace(self.own, state=MemberState.LEFT)
        self._pending_updates[self.own.name] = 0
        peers = self._pick_live(GOSSIP_FANOUT * 2)
        return [self._outgoing(peer, MessageKind.GOSSIP, 0, "") for peer in peers]

    def on_tick(self, now: float) -> list[Outgoing]:
        """Advance timers; call it every few hundredths of a second."""
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
        """Handle a datagram of an authenticated sender."""
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
        """This process did not run: its own silence proves nothing about the others."""
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
        """The least often sent news first; each is sent a bounded number of times."""
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
        """Anti-entropy: what was missed as news arrives sooner or later all the same."""
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
