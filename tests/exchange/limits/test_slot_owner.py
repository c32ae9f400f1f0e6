"""Leases of server slots: never more than there are, none lost for good."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from milletcourse.exchange.limits.lease_book import ABORTED_SECONDS, LeaseBook
from milletcourse.exchange.limits.quota_owner import OwnerRole, PermitReply
from milletcourse.exchange.limits.slot_owner import (
    COLLECT_SECONDS,
    REJECTION_WINDOW_SECONDS,
    REPORT_SECONDS,
    SILENT_HOLDER_SECONDS,
    SlotOwner,
)
from milletcourse.exchange.limits.urgent_reserve import URGENT_SECONDS
from milletcourse.exchange.messages.slot_messages import (
    EndedLease,
    HeldLeases,
    LeaseEnd,
    SlotDemand,
    SlotMessage,
    decode_slot_message,
    encode_slot_message,
    is_slot_message,
)

KEY = 7
SLOTS = 4
DEMAND = SlotDemand(SLOTS, 5.0)
GATEWAYS = ("g1", "g2", "g3")


class Account:
    """A slot owner with a clock."""

    def __init__(self, exchanged: int | None = 0) -> None:
        self.now = 100.0
        self.owner = SlotOwner(random.Random(1), lambda key: exchanged)
        self.number = 0

    def request(
        self, name: str = "g1", demand: SlotDemand = DEMAND, rank: int = 0
    ) -> PermitReply | None:
        """Request a slot."""
        self.number += 1
        return self.owner.request_slot(
            KEY, demand, OwnerRole.HOME, len(GATEWAYS), name, self.number, rank, self.now
        )

    def end(self, number: int, end: LeaseEnd = LeaseEnd.ENDED, name: str = "g1") -> None:
        """End a lease."""
        self.owner.on_end(KEY, name, number, end, self.now)

    def grow(self) -> None:
        """Use all slots once, so that all are known to be there."""
        for _ in range(2 * SLOTS):
            granted = []
            while (reply := self.request()) is not None and reply.granted:
                granted.append(self.number)
            for number in granted:
                self.end(number)


def test_a_server_that_is_back_starts_with_one_request_and_gets_no_more_than_its_slots() -> None:
    account = Account()
    first, second = account.request(), account.request()
    assert first is not None
    assert second is not None
    assert first.granted
    assert not second.granted
    account.end(1)
    account.grow()
    replies = [account.request() for _ in range(SLOTS + 1)]
    assert [reply is not None and reply.granted for reply in replies] == [True] * SLOTS + [False]


def test_an_owner_that_knows_no_load_grants_nothing_before_the_holders_have_reported() -> None:
    account = Account(exchanged=None)
    assert account.request() is None
    account.owner.on_report("g2", 900, [HeldLeases(KEY, [895, 900], unleased=1)], account.now)
    assert account.request() is None
    account.now += COLLECT_SECONDS
    account.owner.on_report("g2", 900, [HeldLeases(KEY, [895, 900], unleased=1)], account.now)
    denied = account.request()
    assert denied is not None
    assert not denied.granted
    account.owner.on_report("g2", 902, [HeldLeases(KEY, [900])], account.now)
    granted = account.request()
    assert granted is not None
    assert granted.granted


def test_a_lease_that_is_only_waited_for_is_not_granted_by_its_report() -> None:
    """Guards against sends to a full server whose first owner was silent."""
    account = Account()
    account.grow()
    for _ in range(SLOTS):
        account.request("g1")
    waited_for = account.number + 1
    account.owner.on_report("g2", waited_for, [HeldLeases(KEY, [waited_for])], account.now)
    denied = account.request("g2")
    assert account.number == waited_for
    assert denied is not None
    assert not denied.granted
    state = account.owner.state(KEY, account.now)
    assert state is not None
    assert state.leased == SLOTS


def test_one_rejection_stops_all_grants_that_could_cause_one_too_many() -> None:
    account = Account()
    account.grow()
    demand = SlotDemand(SLOTS, 1.0)
    for _ in range(SLOTS):
        reply = account.request(demand=demand)
        assert reply is not None
        assert reply.granted
    account.end(account.number, LeaseEnd.REJECTED)
    account.end(account.number - 1)
    account.now += REJECTION_WINDOW_SECONDS - 0.1
    denied = account.request(demand=demand)
    assert denied is not None
    assert not denied.granted
    assert denied.retry_seconds > 0.0
    account.now += 0.2
    granted = account.request(demand=demand)
    assert granted is not None
    assert granted.granted


def test_more_urgent_requests_that_were_denied_get_the_next_slot() -> None:
    account = Account()
    account.grow()
    account.now += URGENT_SECONDS
    for _ in range(SLOTS):
        account.request(rank=1)
    urgent = account.request(rank=0)
    assert urgent is not None
    assert not urgent.granted
    account.end(account.number - 1)
    less_urgent, urgent = account.request(rank=1), account.request(rank=0)
    assert less_urgent is not None
    assert urgent is not None
    assert (less_urgent.granted, urgent.granted) == (False, True)


def test_gateways_that_reach_no_owner_take_turns_with_few_slots() -> None:
    account = Account()
    account.grow()
    members = 40

    def request_alone() -> bool:
        account.number += 1
        reply = account.owner.request_slot(
            KEY, DEMAND, OwnerRole.LOCAL_SHARE, members, "g1", account.number, 0, account.now
        )
        return reply is not None and reply.granted

    assert request_alone()
    account.end(account.number)
    assert not request_alone()
    account.now += members
    assert request_alone()


def test_messages_about_slots_are_decoded_and_malformed_ones_refused() -> None:
    message = SlotMessage(
        "g1", 9, [EndedLease(KEY, 8, LeaseEnd.REJECTED)], [HeldLeases(KEY, [9], 2)]
    )
    data = encode_slot_message(message)
    assert is_slot_message(data)
    assert decode_slot_message(data) == message
    assert decode_slot_message(data[:-1]) is None
    assert decode_slot_message(data[:1] + b"\x91\x00") is None


class LeaseMachine(RuleBasedStateMachine):
    """Gateways that borrow from one owner, whose messages may be lost, and which may die."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.owner = self.new_owner()
        self.books = {name: LeaseBook(int(self.now * 1000)) for name in GATEWAYS}
        self.open: dict[str, list[int]] = {name: [] for name in GATEWAYS}
        self.reported_at = self.now

    def new_owner(self) -> SlotOwner:
        """An owner without any account."""
        return SlotOwner(random.Random(1), lambda key: 0)

    def report(self) -> None:
        """All gateways report the leases that they hold."""
        for name, book in self.books.items():
            for ended in book.take_due(self.now):
                self.owner.on_end(KEY, name, ended.number, ended.end, self.now)
            held = book.due_reports({KEY: len(self.open[name])})
            self.owner.on_report(name, book.latest_number, held, self.now)

    def advance(self, seconds: float) -> None:
        """Advance the clock; reports are sent at their interval."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += REPORT_SECONDS
            self.report()

    @rule(seconds=st.floats(0.01, 2.0))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.advance(seconds)

    @rule(name=st.sampled_from(GATEWAYS), reply_is_lost=st.booleans())
    def send(self, name: str, reply_is_lost: bool) -> None:
        """A gateway requests a slot, and sends a request if it gets one."""
        book = self.books[name]
        number = book.next_number()
        book.open(KEY, number)
        reply = self.owner.request_slot(
            KEY, DEMAND, OwnerRole.HOME, len(GATEWAYS), name, number, 0, self.now
        )
        if reply is None or not reply.granted or reply_is_lost:
            book.end(KEY, number)
            return
        self.open[name].append(number)

    @precondition(lambda self: any(self.open.values()))
    @rule(data=st.data(), message_is_lost=st.booleans(), is_aborted=st.booleans())
    def finish(self, data: st.DataObject, message_is_lost: bool, is_aborted: bool) -> None:
        """A request ends."""
        name = data.draw(st.sampled_from([item for item in GATEWAYS if self.open[item]]))
        number = self.open[name].pop(0)
        if is_aborted:
            self.books[name].on_aborted(KEY, number, self.now)
        elif self.books[name].end(KEY, number) and not message_is_lost:
            self.owner.on_end(KEY, name, number, LeaseEnd.ENDED, self.now)

    @rule(name=st.sampled_from(GATEWAYS))
    def kill_holder(self, name: str) -> None:
        """A gateway dies with its requests and starts again without any."""
        self.now += 0.01
        self.books[name] = LeaseBook(int(self.now * 1000))
        self.open[name].clear()

    @rule()
    def replace_owner(self) -> None:
        """Another gateway takes over, which knows what has been reported to it since."""
        self.owner = self.new_owner()
        self.advance(COLLECT_SECONDS + REPORT_SECONDS)

    @invariant()
    def no_more_requests_than_slots(self) -> None:
        """The requests of all gateways together never exceed the slots."""
        assert sum(map(len, self.open.values())) <= SLOTS

    def teardown(self) -> None:
        """Once all requests have ended, all slots are granted again."""
        for name in GATEWAYS:
            for number in self.open[name]:
                self.books[name].end(KEY, number)
            self.open[name].clear()
        self.advance(SILENT_HOLDER_SECONDS + ABORTED_SECONDS + REPORT_SECONDS)
        state = self.owner.state(KEY, self.now)
        assert state is None or state.leased == 0


TestLeases = LeaseMachine.TestCase
