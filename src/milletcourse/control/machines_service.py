"""Reads the platform's machine list under the reader lease and gossips it in datagrams."""

from __future__ import annotations

import random

from milletcourse.configuration.platform_client import PlatformClient
from milletcourse.configuration.service import LeaseKeeper
from milletcourse.control.machines import MachineListView
from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.datagrams import DatagramEndpoint
from milletcourse.runtime.tasks import TaskSet
from milletcourse.wire.envelope import Envelope, EnvelopeCodec, MessageType
from milletcourse.wire.machines import decode_machines, encode_machines

READ_SECONDS = 1.0
SHARE_FANOUT = 3
SHARE_REPEATS = 4
"""Number of rounds in which each router sends a snapshot that is new to it."""
SHARE_SECONDS = 0.3


class MachinesService:
    """Performs the I/O for `MachineListView`."""

    def __init__(
        self,
        view: MachineListView,
        platform: PlatformClient,
        reader_lease: LeaseKeeper,
        detector: FailureDetector,
        codec: EnvelopeCodec,
        clock: Clock,
        random_source: random.Random,
        tasks: TaskSet,
    ) -> None:
        self._view = view
        self._platform = platform
        self._reader_lease = reader_lease
        self._detector = detector
        self._codec = codec
        self._clock = clock
        self._random = random_source
        self._tasks = tasks
        self._endpoint: DatagramEndpoint | None = None
        self._rounds_left = 0

    def start(self, endpoint: DatagramEndpoint) -> None:
        """Start reading and sharing the list."""
        self._endpoint = endpoint
        self._tasks.spawn(self._read(), "read-machines")
        self._tasks.spawn(self._share(), "share-machines")

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a snapshot from another router."""
        try:
            snapshot = decode_machines(envelope.body)
        except FailureError:
            return
        if self._view.on_snapshot(snapshot):
            self._rounds_left = SHARE_REPEATS

    async def _read(self) -> None:
        while True:
            if self._reader_lease.is_held():
                await self._read_once()
            await self._clock.sleep(READ_SECONDS)

    async def _read_once(self) -> None:
        requested_at = self._clock.wall()
        try:
            machines = await self._platform.machines()
        except FailureError:
            return
        if self._view.on_list(machines, requested_at):
            self._rounds_left = SHARE_REPEATS

    async def _share(self) -> None:
        while True:
            if self._rounds_left:
                self._rounds_left -= 1
                self._send()
            await self._clock.sleep(SHARE_SECONDS)

    def _send(self) -> None:
        own = self._detector.own
        others = [item for item in self._detector.live() if item.name != own.name]
        peers = self._random.sample(others, min(SHARE_FANOUT, len(others)))
        body = encode_machines(self._view.snapshot)
        payload = self._codec.encode(
            Envelope(MessageType.MACHINES, own.name, own.incarnation, body)
        )
        for peer in peers:
            if self._endpoint is not None:
                self._endpoint.send(payload, peer.datagram_address)
