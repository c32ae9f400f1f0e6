"""Runs the failure detector over UDP datagrams."""

from __future__ import annotations

from collections.abc import Callable

from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.messages import MemberRecord, Outgoing, PlatformStamp
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.datagrams import DatagramEndpoint
from milletcourse.runtime.tasks import TaskSet
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.membership import decode_membership, encode_membership

TICK_SECONDS = 0.1


class MembershipService:
    """Connects the failure detector to its datagram socket.

    Attributes:
        detector: The protocol logic, which performs no I/O.
        on_peer_update: Called after each datagram with the sender's record, revision and platform
            stamp.
    """

    def __init__(
        self,
        detector: FailureDetector,
        codec: EnvelopeCodec,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        self.detector = detector
        self.on_peer_update: Callable[[MemberRecord, int, PlatformStamp], None] | None = None
        self.rejected = 0
        self._codec = codec
        self._clock = clock
        self._tasks = tasks
        self._endpoint: DatagramEndpoint | None = None

    def start(self, endpoint: DatagramEndpoint) -> None:
        """Start probing and gossiping."""
        self._endpoint = endpoint
        self._tasks.spawn(self._run(), "membership")

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle an authenticated datagram; malformed ones are counted and dropped."""
        try:
            message = decode_membership(envelope.body)
        except FailureError:
            self.rejected += 1
            return
        now = self._clock.monotonic()
        self._send(self.detector.on_message(envelope.sender, envelope.incarnation, message, now))
        record = self.detector.record(envelope.sender)
        if record is not None and self.on_peer_update is not None:
            self.on_peer_update(record, message.revision, message.stamp)

    def leave(self) -> None:
        """Announce a planned stop to other members."""
        self._send(self.detector.leave(self._clock.monotonic()))

    async def _run(self) -> None:
        while True:
            self._send(self.detector.on_tick(self._clock.monotonic()))
            await self._clock.sleep(TICK_SECONDS)

    def _send(self, outgoing: list[Outgoing]) -> None:
        if self._endpoint is None:
            return
        own = self.detector.own
        for item in outgoing:
            envelope = Envelope(
                MessageType.MEMBERSHIP,
                own.name,
                own.incarnation,
                encode_membership(item.message),
            )
            self._endpoint.send(self._codec.encode(envelope), item.destination)
