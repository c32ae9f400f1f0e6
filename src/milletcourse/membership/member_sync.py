"""Fetches member lists from other routers: frequently until joined, then as anti-entropy."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence

from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.messages import MemberRecord
from milletcourse.runtime.clock import Clock

JOIN_RETRY_SECONDS = 0.5
MEMBER_SYNC_SECONDS = 30.0
"""Interval of full member list exchanges, which repair lost updates; with 420 members they cost 650
bytes per second."""
MAX_JOIN_MEMBERS = 1000
"""Largest number of members in a join reply: all of a large deployment, about 20 KB per start."""

JoinSender = Callable[[str, MemberRecord], Awaitable[Sequence[MemberRecord]]]
"""Sends this router's record to an address and returns the members known there."""


class MemberSync:
    """Requests member lists from other routers and answers their requests.

    Args:
        detector: Holds the membership view.
        send_join: Sends a join request to another router.
        seed_addresses: Routers from the settings, used while no other router is live.
        clock: Time.
        random_source: Chooses the router to contact and the jitter of the interval.
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
        """Exchange member lists until cancelled."""
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
        """Merge the record of a joining router and return live members for the reply."""
        self._detector.merge(records, self._clock.monotonic())
        live = self._detector.live()
        return tuple(self._random.sample(live, min(len(live), MAX_JOIN_MEMBERS)))

    def _addresses(self) -> list[str]:
        """Return the seed addresses while no other router is live, else one random live member."""
        own = self._detector.own.name
        live = [item.http_address for item in self._detector.live() if item.name != own]
        return [self._random.choice(live)] if live else list(self._seed_addresses)
