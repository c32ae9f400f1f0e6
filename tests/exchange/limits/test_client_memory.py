"""The memory of clients' requests is bounded, and small or finished requests keep theirs."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from milletcourse.exchange.limits.client_memory import (
    LARGE_BODY_BYTES,
    LARGE_SHARE,
    SLOW_SECONDS,
    ClientMemory,
    MemoryShare,
    request_bytes,
)

CAPACITY_BYTES = 1_000_000
SMALL_BYTES = 1_000
LARGE_BYTES = 200_000


class Upload:
    """A connection that receives one request."""

    def __init__(self, memory: ClientMemory) -> None:
        self.memory = memory
        self.is_evicted = False
        self.share = MemoryShare(memory, self.evict)

    def evict(self) -> None:
        """Drop the request."""
        self.is_evicted = True

    def receive(self, size: int, now: float) -> None:
        """Receive more of the request."""
        self.share.set_received(self.share.received_bytes + size, now)
        self.memory.enforce(now)


def test_stalled_bodies_give_way_to_a_new_one() -> None:
    """The one that has held the most for the longest time goes first."""
    memory = ClientMemory(CAPACITY_BYTES)
    stalled = [Upload(memory) for _ in range(5)]
    for number, upload in enumerate(stalled):
        upload.receive(LARGE_BYTES, now=float(number))
    fresh = Upload(memory)
    now = 4.0 + 2 * SLOW_SECONDS
    assert memory.may_receive(fresh.share, LARGE_BYTES, now)
    assert [upload.is_evicted for upload in stalled] == [True, False, False, False, False]


def test_a_new_body_does_not_displace_those_that_move() -> None:
    """It is refused before it is read."""
    memory = ClientMemory(CAPACITY_BYTES)
    moving = [Upload(memory) for _ in range(5)]
    for upload in moving:
        upload.receive(LARGE_BYTES - SMALL_BYTES, now=0.0)
    assert not memory.may_receive(Upload(memory).share, LARGE_BYTES, 0.5 * SLOW_SECONDS)
    assert not any(upload.is_evicted for upload in moving)


def test_bodies_that_began_last_give_way_to_those_that_began_first() -> None:
    """When all have grown beyond the memory together, the first ones are finished."""
    memory = ClientMemory(CAPACITY_BYTES)
    uploads = [Upload(memory) for _ in range(10)]
    for step in range(20):
        for number, upload in enumerate(uploads):
            if not upload.is_evicted:
                upload.receive(LARGE_BYTES // 20, now=0.01 * number + 0.2 * step)
    assert [upload.is_evicted for upload in uploads] == [False] * 5 + [True] * 5


def test_small_requests_are_served_beside_a_crowd_of_large_ones() -> None:
    """The large ones take no more than their share while they are served."""
    memory = ClientMemory(CAPACITY_BYTES)
    crowd = MemoryShare(memory, lambda: None)
    while memory.may_serve(LARGE_BYTES):
        crowd.add_served(LARGE_BYTES)
    assert memory.served_bytes <= CAPACITY_BYTES * LARGE_SHARE
    stalled = Upload(memory)
    stalled.receive(CAPACITY_BYTES - memory.served_bytes, now=0.0)
    small = Upload(memory)
    small.receive(SMALL_BYTES, now=10.0)
    assert stalled.is_evicted and not small.is_evicted
    assert memory.may_serve(SMALL_BYTES)


def test_heads_of_many_fields_count_with_their_objects() -> None:
    assert request_bytes(8_000, 1_000, 0) > 20 * 8_000


def test_refusals_are_reported_once_in_a_while() -> None:
    memory = ClientMemory(CAPACITY_BYTES)
    assert memory.due_report(0.0) is None
    memory.refusals += 1
    first = memory.due_report(0.0)
    assert first is not None and first.refusals == 1
    memory.refusals += 1
    assert memory.due_report(0.5) is None
    assert memory.due_report(1.0) is not None


class AccountMachine(RuleBasedStateMachine):
    """Connections that receive, complete, answer and drop requests in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = ClientMemory(CAPACITY_BYTES)
        self.uploads: list[Upload] = []
        self.served: list[tuple[Upload, int]] = []
        self.now = 0.0

    @rule(size=st.sampled_from([SMALL_BYTES, LARGE_BODY_BYTES, LARGE_BYTES, CAPACITY_BYTES]))
    def begin(self, size: int) -> None:
        """A connection begins to receive a request; a large one asks first."""
        upload = Upload(self.memory)
        if size > LARGE_BODY_BYTES and not self.memory.may_receive(upload.share, size, self.now):
            return
        self.uploads.append(upload)
        upload.receive(SMALL_BYTES, self.now)

    @precondition(lambda self: self.uploads)
    @rule(data=st.data(), size=st.integers(1, LARGE_BYTES))
    def grow(self, data: st.DataObject, size: int) -> None:
        """More of a request arrives."""
        upload = data.draw(st.sampled_from(self.uploads))
        if not upload.is_evicted:
            upload.receive(size, self.now)

    @precondition(lambda self: self.uploads)
    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        """A request is complete: it is served, or refused."""
        upload = data.draw(st.sampled_from(self.uploads))
        self.uploads.remove(upload)
        size = upload.share.received_bytes
        upload.share.set_received(0, self.now)
        if not upload.is_evicted and self.memory.may_serve(size):
            upload.share.add_served(size)
            self.served.append((upload, size))

    @precondition(lambda self: self.served)
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """A request is answered."""
        upload, size = data.draw(st.sampled_from(self.served))
        self.served.remove((upload, size))
        upload.share.remove_served(size)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds

    @invariant()
    def sums_match(self) -> None:
        """The account is the sum of the shares."""
        received = sum(upload.share.received_bytes for upload in self.uploads)
        assert self.memory.received_bytes == received
        assert self.memory.served_bytes == sum(size for _, size in self.served)

    @invariant()
    def capacity_is_kept(self) -> None:
        """All shares together never exceed the capacity."""
        assert self.memory.received_bytes + self.memory.served_bytes <= CAPACITY_BYTES


TestAccount = AccountMachine.TestCase
