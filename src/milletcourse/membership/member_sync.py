"""Learns all members from others: often until some are known, then as anti-entropy."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence

from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.messages import MemberRecord
from milletcourse.runtime.clock import Clock

JOIN_RETRY_SECONDS = 0.5
MEMBER_SYNC_SECONDS = 30.0
"""A whole exchange of the member list this often corrects whatever news was missed; at 420 members
it costs 650 bytes a second."""
MAX_JOIN_MEMBERS = 1000
"""Members told to a joining router: all of a large deployment, some 20 KB once a start."""

JoinSender = Callable[[str, MemberRecord], Awaitable[Sequence[MemberRecord]]]
"""Introduces this router at an address; tells the members that are known there."""


class MemberSync:
    """Asks others for the members that they know, and answers those who ask.

    Args:
        detector: What is known of the members.
        ask: Asks another router.
        first_addresses: Routers named in the settings, asked while no other is known.
        clock: Time.
        random_source: Chooses whom to ask, and when.
    """

    def __init__(
        self,
        detector: FailureDetector,
        send_join: JoinSender,
        seed_addresses: Sequence[str],
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._detector = detector
        self._send_join = send_join
        self._seed_addresses = seed_addresses
        self._clock = clock
        self._random = random_source

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            for address in self._addresses():
                try:
                    records = await self._send_join(address, self._detector.own)
                except FailureError:
                    continue
                self._detector.merge(records, self._clock.monotonic())
            joined = self._detector.live_count() > 1
            delay_seconds = MEMBER_SYNC_SECONDS if joined else JOIN_RETRY_SECONDS
            await self._clock.sleep(delay_seconds * (0.75 + self._random.random() / 2))

    def on_join(self, records: tuple[MemberRecord, ...]) -> tuple[MemberRecord, ...]:
        """A router introduced itself: answer with some live members."""
        self._detector.merge(records, self._clock.monotonic())
        live = self._detector.live()
        return tuple(self._random.sample(live, min(len(live), MAX_JOIN_MEMBERS)))

    def _addresses(self) -> list[str]:
        """The peers named in the settings while alone, else one random live member."""
        own = self._detector.own.name
        live = [item.http_address for item in self._detector.live() if item.name != own]
        return [self._random.choice(live)] if live else list(self._seed_addresses)
