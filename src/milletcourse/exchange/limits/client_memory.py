"""Account of the memory that a process holds for its clients; no input/output.

Requests that are complete keep their memory until they have been answered. While the memory doesn't
suffice for all, a large body is refused before it is read, and requests that are still being
received lose theirs: first those that hardly move, the largest and oldest before the others, then
large ones that have just begun. A crowd of large or slow bodies therefore never displaces a small
request, and large ones that were begun are finished.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

LARGE_BODY_BYTES = 64 * 1024
"""Bodies above this size are large."""
LARGE_SHARE = 0.75
"""Share of the capacity that requests with large bodies may take while they are served."""
REQUEST_BYTES = 2 * 1024
"""Memory of one request besides its fields and its body."""
FIELD_BYTES = 192
"""Memory of one header field besides its name and value."""
PROGRESS_BYTES = 16 * 1024
SLOW_SECONDS = 1.0
"""A request that grows by less than `PROGRESS_BYTES` in this time is slow. Slow requests are served
unless the memory is short."""
REPORT_INTERVAL_SECONDS = 1.0
"""What was refused and evicted is reported to operators at most once in this time."""


class MemoryReport(msgspec.Struct, frozen=True):
    """State of the account, for operators.

    Attributes:
        capacity_bytes: Bound on all shares together.
        received_bytes: Memory of requests that are being received.
        served_bytes: Memory of requests that have not been answered.
        evictions: Requests that lost their memory since the start.
        refusals: Requests that were refused for lack of memory since the start.
        answer_bytes: Memory of answers that are being received from servers.
        answer_evictions: Answers that lost their memory since the start.
    """

    capacity_bytes: int
    received_bytes: int
    served_bytes: int
    evictions: int
    refusals: int
    answer_bytes: int
    answer_evictions: int


def request_bytes(head_bytes: int, fields: int, body_bytes: int) -> int:
    """Memory of a request.

    Args:
        head_bytes: Size of its target and fields.
        fields: Number of its fields.
        body_bytes: Size of its body, or of the part that has been received.
    """
    return REQUEST_BYTES + head_bytes + fields * FIELD_BYTES + body_bytes


class MemoryShare:
    """What one connection holds.

    Attributes:
        evict: Drops the request that is being received, and with it `received_bytes`.
        received_bytes: Memory of data that doesn't form a complete request yet.
        served_bytes: Memory of complete requests that have not been answered.
        since: Monotonic time at which the request that is being received began.
    """

    def __init__(self, memory: ClientMemory, evict: Callable[[], None]) -> None:
        self.evict = evict
        self.received_bytes = 0
        self.served_bytes = 0
        self.since = 0.0
        self._memory = memory
        self._progress_bytes = 0
        self._progress_at = 0.0

    def set_received(self, size: int, now: float) -> None:
        """Set the memory of what is being received; 0 when a request is complete or dropped."""
        if not size and not self.received_bytes:
            return
        if not self.received_bytes:
            self.since = now
        if not self.received_bytes or abs(size - self._progress_bytes) >= PROGRESS_BYTES:
            self._progress_bytes = size
            self._progress_at = now
        self._memory.on_received_change(self, size - self.received_bytes, size > 0)
        self.received_bytes = size

    def update_received(self, size: int, now: float) -> None:
        """Like `set_received`; requests are evicted if the capacity is exceeded by more memory."""
        has_grown = size > self.received_bytes
        self.set_received(size, now)
        if has_grown:
            self._memory.enforce(now)

    def try_receive(self, size: int, now: float) -> bool:
        """Whether a large body of this size is to be received; if so, there is memory for it."""
        if self._memory.may_serve(size) and self._memory.may_receive(self, size, now):
            return True
        self._memory.refusals += 1
        return False

    def try_serve(self, size: int) -> bool:
        """Add a complete request if it may be served."""
        if not self._memory.may_serve(size):
            self._memory.refusals += 1
            return False
        self.add_served(size)
        return True

    def add_served(self, size: int) -> None:
        """Add a complete request."""
        self.served_bytes += size
        self._memory.served_bytes += size

    def remove_served(self, size: int) -> None:
        """Remove a request that was answered or dropped."""
        self.add_served(-size)

    def is_slow(self, now: float) -> bool:
        """Whether the request that is being received hardly moves."""
        return now - self._progress_at > SLOW_SECONDS

    def byte_seconds(self, now: float) -> float:
        """Memory of what is being received, times how long that has taken so far."""
        return self.received_bytes * (now - self.since)


class ClientMemory:
    """Sums the shares of all connections, and decides which requests lose their memory.

    Its public attributes are those of `MemoryReport`; `AnswerMemory` keeps those of answers.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.received_bytes = 0
        self.served_bytes = 0
        self.evictions = 0
        self.refusals = 0
        self.answer_bytes = 0
        self.answer_evictions = 0
        self._receiving: dict[MemoryShare, None] = {}
        self._reported = 0
        self._reported_at = float("-inf")

    @property
    def max_body_bytes(self) -> int:
        """Largest body that can ever be taken."""
        return int(self.capacity_bytes * LARGE_SHARE)

    def may_serve(self, size: int) -> bool:
        """Whether a complete request of this size may be served beside the present ones."""
        share = LARGE_SHARE if size > LARGE_BODY_BYTES else 1.0
        return self.served_bytes + self.answer_bytes + size <= self.capacity_bytes * share

    def may_receive(self, receiver: MemoryShare, size: int, now: float) -> bool:
        """Whether a large body can be taken; slow requests lose their memory for it.

        Args:
            receiver: Share of the connection that receives the body.
            size: Size of the body.
            now: Monotonic time.
        """
        while self._held_bytes() - receiver.received_bytes + size > self.capacity_bytes:
            others = (share for share in self._receiving if share is not receiver)
            slow = [share for share in others if share.is_slow(now)]
            if not slow:
                return False
            self._evict(_costliest(slow, now), now)
        return True

    def enforce(self, now: float) -> None:
        """Evict requests until the capacity suffices."""
        while self._receiving and self._held_bytes() > self.capacity_bytes:
            self._evict(self._next_to_evict(now), now)

    def due_report(self, now: float) -> MemoryReport | None:
        """The state, if anything was refused or evicted since the latest report."""
        count = self.evictions + self.refusals + self.answer_evictions
        if count == self._reported or now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return None
        self._reported = count
        self._reported_at = now
        return self.report()

    def report(self) -> MemoryReport:
        """The state now."""
        return MemoryReport(
            self.capacity_bytes,
            self.received_bytes,
            self.served_bytes,
            self.evictions,
            self.refusals,
            self.answer_bytes,
            self.answer_evictions,
        )

    def _next_to_evict(self, now: float) -> MemoryShare:
        slow = [share for share in self._receiving if share.is_slow(now)]
        large = [share for share in self._receiving if share.received_bytes > LARGE_BODY_BYTES]
        if large and not slow:
            return max(large, key=lambda share: share.since)
        return _costliest(slow or self._receiving, now)

    def _evict(self, share: MemoryShare, now: float) -> None:
        self.evictions += 1
        share.evict()
        share.set_received(0, now)

    def _held_bytes(self) -> int:
        return self.received_bytes + self.served_bytes + self.answer_bytes

    def on_received_change(self, share: MemoryShare, change: int, is_receiving: bool) -> None:
        """A share is about to hold more or less for what is being received."""
        self.received_bytes += change
        if is_receiving:
            self._receiving[share] = None
        else:
            self._receiving.pop(share, None)


def _costliest(shares: Iterable[MemoryShare], now: float) -> MemoryShare:
    """The share that has taken most memory for the longest time."""
    return max(shares, key=lambda share: share.byte_seconds(now))
