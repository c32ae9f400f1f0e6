"""Keeps the configuration current from peers, from the platform, or from a watch under a lease.

In each place, the holder of the reader lease watches the platform. The other routers see in
datagrams that a peer has a higher revision and pull the changes from that peer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from milletcourse.backends.platform_messages import ObjectChange, PutObject
from milletcourse.configuration.freshness import FreshnessTracker
from milletcourse.configuration.platform_client import WATCH_IDLE_SECONDS, PlatformClient
from milletcourse.configuration.store import ChangesPage, ChangesRequest, ConfigurationStore
from milletcourse.control.lease import ABSENT_REVISION, LeaseSpec, LeaseTracker
from milletcourse.errors import FailureError, HistoryExpired, VersionConflict
from milletcourse.exchange.messages.store_position import UNKNOWN_ERA, StorePosition
from milletcourse.logs import get_logger
from milletcourse.membership.messages import PlatformStamp
from milletcourse.peers import PeerClient
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet

LEASE_POLL_SECONDS = 2.0
START_RETRY_SECONDS = 0.3
PULL_RETRY_SECONDS = 0.2
CONFIRM_SECONDS = 1.0
"""A fifth of the freshness bound, so that a single lost response does no harm."""
READERS_TIMEOUT_SECONDS = 2.0
"""Covers two missed confirmations and the time for a stamp to spread by gossip."""
SUBSTITUTE_READERS = 3
"""Expected number of routers per second that query the platform while no reader does."""
LEASE_KIND = "Lease"


class LeaseKeeper:
    """Acquires and renews one lease at the platform."""

    def __init__(
        self,
        name: str,
        owner: str,
        platform: PlatformClient,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._name = name
        self._platform = platform
        self._clock = clock
        self._random = random_source
        self.tracker = LeaseTracker(owner)

    def is_held(self) -> bool:
        """Whether this process may act as the holder now."""
        return self.tracker.is_held(self._clock.monotonic())

    @property
    def fencing_token(self) -> int:
        """Fencing token of the current term."""
        return self.tracker.fencing_token

    async def run(self) -> None:
        """Renew or try to acquire the lease until cancelled."""
        while True:
            try:
                await self.step()
            except FailureError:
                pass
            await self._clock.sleep(LEASE_POLL_SECONDS * (0.75 + self._random.random() / 2))

    async def step(self) -> None:
        """Read the lease and, when due, write a claim; raises FailureError."""
        stored = await self._platform.get(LEASE_KIND, self._name)
        spec = msgspec.convert(stored.spec, LeaseSpec) if stored else None
        position = _position(stored.version if stored else ABSENT_REVISION)
        self.tracker.on_observed(spec, position, self._clock.monotonic())
        now = self._clock.monotonic()
        claim = self.tracker.next_claim(now)
        if claim is None:
            return
        change_id = f"{self._random.getrandbits(64):016x}"
        write = PutObject(msgspec.to_builtins(claim.spec), claim.expected.revision, change_id)
        try:
            written = await self._platform.put(LEASE_KIND, self._name, write)
        except FailureError as error:
            if isinstance(error.failure, VersionConflict):
                return
            raise
        self.tracker.on_written(claim, _position(written.version), now)


def _position(version: int) -> StorePosition:
    """Return a position without an era, since this platform does not report one."""
    return StorePosition(UNKNOWN_ERA, version)


class ConfigurationService:
    """Performs the I/O for `ConfigurationStore` and `FreshnessTracker`."""

    def __init__(
        self,
        store: ConfigurationStore,
        freshness: FreshnessTracker,
        platform: PlatformClient,
        peers: PeerClient,
        reader_lease: LeaseKeeper,
        peer_addresses: Callable[[], list[str]],
        live_count: Callable[[], int],
        clock: Clock,
        random_source: random.Random,
        tasks: TaskSet,
    ) -> None:
        self.store = store
        self.freshness = freshness
        self._platform = platform
        self._peers = peers
        self._reader_lease = reader_lease
        self._peer_addresses = peer_addresses
        self._live_count = live_count
        self._clock = clock
        self._random = random_source
        self._tasks = tasks
        self._log = get_logger("configuration")
        self._highest_peer_revision = 0
        self._pending_pulls: dict[str, int] = {}
        self._pulls_changed = asyncio.Event()
        self.loaded = asyncio.Event()

    def start(self) -> None:
        """Start loading and following the configuration."""
        self._tasks.spawn(self._load_initial(), "load-configuration")
        self._tasks.spawn(self._reader_lease.run(), "reader-lease")
        self._tasks.spawn(self._read_platform(), "read-platform")
        self._tasks.spawn(self._confirm_freshness(), "confirm-freshness")
        self._tasks.spawn(self._pull_pending(), "pull-configuration")

    def page_for(self, request: ChangesRequest) -> ChangesPage:
        """Return the page of changes that a peer requests."""
        page = self.store.page_for(request)
        return msgspec.structs.replace(page, stamp=self.freshness.latest_stamp)

    def highest_peer_revision(self) -> int:
        """Return the highest revision reported by any peer."""
        return self._highest_peer_revision

    def on_peer_revision(self, address: str, revision: int) -> None:
        """Handle a peer's report of the revision that it has in force."""
        self._highest_peer_revision = max(self._highest_peer_revision, revision)
        if revision > self.store.revision:
            self._pending_pulls[address] = revision
            self._pulls_changed.set()

    async def pull(self, address: str) -> bool:
        """Fetch and apply all newer changes of a peer; raises FailureError."""
        after = self.store.revision
        cursor = after
        changes: list[ObjectChange] = []
        while True:
            page = await self._peers.changes(address, ChangesRequest(after, cursor))
            changes.extend(page.changes)
            if page.complete:
                break
            cursor = page.changes[-1].revision
        merged = ChangesPage(after, page.through, tuple(changes), whole=page.whole)
        applied = self._after_apply(self.store.apply(merged))
        self.freshness.on_stamp(page.stamp, self.store.revision)
        return applied

    async def refresh_from_platform(self) -> None:
        """Load the whole state from the platform; raises FailureError."""
        requested_at = self._clock.wall()
        listing = await self._platform.list_objects()
        self._after_apply(self.store.apply_list(listing))
        self._confirm(listing.revision, requested_at)

    def _after_apply(self, applied: bool) -> bool:
        if applied:
            self.freshness.on_revision(self.store.revision)
        if self.store.revision:
            self.loaded.set()
        return applied

    def _confirm(self, revision: int, wall_seconds: float) -> None:
        """Record a revision read from the platform; one older than ours confirms nothing."""
        if revision >= self.store.revision:
            stamp = PlatformStamp(revision, wall_seconds)
            self.freshness.on_stamp(stamp, self.store.revision)

    async def _load_initial(self) -> None:
        while not self.loaded.is_set():
            addresses = self._peer_addresses()
            self._random.shuffle(addresses)
            for address in addresses[:3]:
                try:
                    await self.pull(address)
                except FailureError:
                    continue
                if self.loaded.is_set():
                    return
            try:
                await self.refresh_from_platform()
            except FailureError:
                await self._clock.sleep(START_RETRY_SECONDS * (0.5 + self._random.random()))

    async def _pull_pending(self) -> None:
        while True:
            await self._pulls_changed.wait()
            self._pulls_changed.clear()
            while self._pending_pulls:
                address = max(
                    self._pending_pulls, key=lambda item: (self._pending_pulls[item], item)
                )
                revision = self._pending_pulls.pop(address)
                if revision <= self.store.revision:
                    continue
                try:
                    await self.pull(address)
                except FailureError:
                    await self._clock.sleep(PULL_RETRY_SECONDS)

    async def _read_platform(self) -> None:
        while True:
            if not self._reader_lease.is_held():
                await self._clock.sleep(LEASE_POLL_SECONDS / 4)
                continue
            try:
                await self._watch()
            except FailureError as error:
                if isinstance(error.failure, HistoryExpired):
                    await self._reload()
                await self._clock.sleep(START_RETRY_SECONDS)

    async def _reload(self) -> None:
        try:
            await self.refresh_from_platform()
        except FailureError as error:
            self._log.info("reload failed", failure=error.failure.code)

    async def _watch(self) -> None:
        """Apply the changes of a watch until the lease or the watch ends."""
        lines = self._platform.watch(self.store.revision)
        try:
            while self._reader_lease.is_held():
                async with asyncio.timeout(WATCH_IDLE_SECONDS):
                    line = await anext(lines)
                if line.change is None:
                    continue
                page = ChangesPage(line.change.revision - 1, line.change.revision, (line.change,))
                self._after_apply(self.store.apply(page))
        except (TimeoutError, StopAsyncIteration):
            return
        finally:
            await lines.aclose()  # type: ignore[attr-defined]

    async def _confirm_freshness(self) -> None:
        """Query the platform's revision; the response confirms it as of the time of the request.

        A line of the watch confirms nothing, since it may have been buffered while this process was
        not running.
        """
        while True:
            await self._clock.sleep(CONFIRM_SECONDS * (0.8 + 0.4 * self._random.random()))
            if not self._reader_lease.is_held() and not self._substitutes_for_readers():
                continue
            requested_at = self._clock.wall()
            try:
                revision = await self._platform.revision()
            except FailureError:
                continue
            if revision > self.store.revision:
                await self._reload()
            self._confirm(revision, requested_at)

    def _substitutes_for_readers(self) -> bool:
        """Whether to query the platform without holding the reader lease.

        While no reader has confirmed a revision recently, e.g. because all of them died at the same
        time, a few routers chosen at random query the platform in their place.
        """
        age = self._clock.wall() - self.freshness.latest_stamp.wall_seconds
        if age < READERS_TIMEOUT_SECONDS:
            return False
        return self._random.random() * self._live_count() < SUBSTITUTE_READERS
