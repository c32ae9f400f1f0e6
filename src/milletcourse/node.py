"""Assembly of one router from its components.

The same class runs in a real process and in the simulator; the clock, HTTP client, random source
and datagram endpoint are injected.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace

import falcon.asgi

from milletcourse.backends.app_client import AppClient
from milletcourse.backends.engine_client import EngineClient
from milletcourse.configuration.freshness import FreshnessTracker
from milletcourse.configuration.freshness_watch import FreshnessWatch
from milletcourse.configuration.platform_client import PlatformClient
from milletcourse.configuration.service import ConfigurationService, LeaseKeeper
from milletcourse.configuration.store import ConfigurationStore
from milletcourse.control.machines import MachineListView
from milletcourse.control.machines_service import MachinesService
from milletcourse.control.router_set_service import RouterSetService
from milletcourse.control.weight_service import WeightService
from milletcourse.edge.administration import Administration
from milletcourse.edge.applications import ApplicationsSink
from milletcourse.edge.asgi import RequestGuard
from milletcourse.edge.context import EdgeContext
from milletcourse.edge.routes import build_routes
from milletcourse.errors import FailureError
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.member_sync import MemberSync
from milletcourse.membership.messages import MemberRecord, MemberState, PlatformStamp
from milletcourse.membership.service import MembershipService
from milletcourse.metrics import RouterMetrics
from milletcourse.operations.coordinator import OperationCoordinator
from milletcourse.operations.messages import ClaimReply, ClaimRequest, ClaimVerdict
from milletcourse.operations.placement import replicas_for
from milletcourse.operations.replica import ClaimReplica
from milletcourse.peers import PeerClient, PeerServer, RouterStatus
from milletcourse.policy.objects import RouterMember, RouterSetSpec
from milletcourse.routing.engine_follower import EngineFollower
from milletcourse.routing.load_digest_service import LoadDigestService
from milletcourse.routing.parameters import RoutingParameters
from milletcourse.routing.selector import EngineSelector
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.datagrams import DatagramEndpoint, DatagramHandler
from milletcourse.runtime.http import HttpClient
from milletcourse.runtime.server import AsgiApplication
from milletcourse.runtime.tasks import TaskSet
from milletcourse.settings import RouterSettings
from milletcourse.streams.answer_service import AnswerService
from milletcourse.streams.resume_token import ResumeTokenCodec
from milletcourse.wire.envelope import EnvelopeCodec, MessageType

WATCHDOG_SECONDS = 0.25

OpenDatagrams = Callable[[DatagramHandler], Awaitable[DatagramEndpoint]]


class RouterNode:
    """One router."""

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        client: HttpClient,
        random_source: random.Random,
        parameters: RoutingParameters | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.draining = False
        self.incarnation = int(clock.wall() * 1000)
        self.tasks = TaskSet(f"router/{settings.name}")
        self.metrics = RouterMetrics()
        self.store = ConfigurationStore()
        self.policy = self.store.policy
        self.freshness = FreshnessTracker(
            settings.freshness_bound_seconds, settings.clock_skew_seconds
        )
        self.machines = MachineListView()
        self._random = random_source
        self._codec = EnvelopeCodec(settings.cluster_key)
        self._platform = PlatformClient(settings.platform, client)
        self._peers = PeerClient(settings.name, self.incarnation, self._codec, client)
        self._endpoint: DatagramEndpoint | None = None
        self._build_membership()
        self._build_configuration()
        self._build_inference(client, parameters or RoutingParameters())
        self._build_operations(client)
        self._build_control()
        self.application: AsgiApplication = RequestGuard(
            self._routes(), settings.max_body_bytes, max_held_bytes=settings.max_held_bytes
        )

    # -- assembly -------------------------------------------------------------------------------

    def _build_membership(self) -> None:
        own = MemberRecord(
            self.settings.name,
            self.settings.place,
            "0.0.0.0:0",
            "0.0.0.0:0",
            MemberState.ALIVE,
            self.incarnation,
        )
        self.detector = FailureDetector(own, self._random)
        self.membership = MembershipService(self.detector, self._codec, self.clock, self.tasks)
        self.membership.on_peer_update = self._on_peer_update
        self.member_sync = MemberSync(
            self.detector, self._peers.members, self.settings.peers, self.clock, self._random
        )

    def _build_configuration(self) -> None:
        lease = LeaseKeeper(
            f"config-reader-{self.settings.place or 'default'}",
            f"{self.settings.name}/{self.incarnation}",
            self._platform,
            self.clock,
            self._random,
        )
        self.reader_lease = lease
        self.configuration = ConfigurationService(
            self.store,
            self.freshness,
            self._platform,
            self._peers,
            lease,
            self._peer_addresses,
            self.detector.live_count,
            self.clock,
            self._random,
            self.tasks,
        )
        self.freshness_watch = FreshnessWatch(
            self.freshness,
            self.detector,
            self.store,
            self.configuration.highest_peer_revision,
            self.clock,
        )
        self.store.on_change = self._on_revision

    def _build_inference(self, client: HttpClient, parameters: RoutingParameters) -> None:
        engines = EngineClient(client)
        self.selector = EngineSelector(
            self.policy, self._random, parameters, self.settings.place, self.machines.is_excluded
        )
        self.load_digests = LoadDigestService(
            self.policy,
            self.selector.loads,
            self.detector,
            self._codec,
            self.clock,
            self.tasks,
        )
        self.answers = AnswerService(
            self.policy,
            self.selector,
            engines,
            self.clock,
            self.tasks,
            self.metrics,
            self.is_fresh,
        )
        self.follower = EngineFollower(
            self.policy,
            self.selector,
            engines,
            self.clock,
            self.tasks,
            self.load_digests.followed,
        )
        self._engines = engines

    def _build_operations(self, client: HttpClient) -> None:
        self.replica = ClaimReplica(self.clock.wall())
        self._apps = AppClient(client)
        self.coordinator = OperationCoordinator(
            self.settings.name,
            self.incarnation,
            self._router_set,
            self._send_claim,
            self._apps,
            self.clock,
            self._random,
            self.tasks,
        )
        self.peer_server = PeerServer(
            self.settings.name,
            self.incarnation,
            self._codec,
            self._on_claim,
            self.configuration.page_for,
            self.status,
            self.member_sync.on_join,
        )

    def _build_control(self) -> None:
        self.machines_service = MachinesService(
            self.machines,
            self._platform,
            self.reader_lease,
            self.detector,
            self._codec,
            self.clock,
            self._random,
            self.tasks,
        )
        self.router_set_service = RouterSetService(
            self.store,
            self._platform,
            self._peers,
            self.machines,
            LeaseKeeper(
                "router-set",
                f"{self.settings.name}/{self.incarnation}",
                self._platform,
                self.clock,
                self._random,
            ),
            self.clock,
            self._random,
            self.tasks,
        )
        self.weight_service = WeightService(
            self.policy,
            self.selector.loads,
            self._engines,
            LeaseKeeper(
                f"weights-{self.settings.place or 'default'}",
                f"{self.settings.name}/{self.incarnation}",
                self._platform,
                self.clock,
                self._random,
            ),
            self.settings.place,
            self.clock,
            self.tasks,
        )

    def _routes(self) -> falcon.asgi.App:
        context = EdgeContext(
            policy=self.policy,
            answers=self.answers,
            coordinator=self.coordinator,
            resume_tokens=ResumeTokenCodec(self.settings.cluster_key),
            metrics=self.metrics,
            clock=self.clock,
            tasks=self.tasks,
            is_loaded=lambda: self.store.revision > 0,
            is_fresh=self.is_fresh,
            is_draining=lambda: self.draining,
        )
        admin = Administration(
            context, self.configuration, self._platform, self._peers, self.detector, self._random
        )
        sink = ApplicationsSink(context, self._apps, self.settings.place, self.machines.is_excluded)
        return build_routes(context, admin, sink, self.peer_server, self._random)

    # -- life cycle -----------------------------------------------------------------------------

    async def start(self, http_address: str, open_datagrams: OpenDatagrams) -> None:
        """Start all background work; the HTTP server is already listening at `http_address`."""
        self._endpoint = await open_datagrams(self._on_datagram)
        self.detector.own = replace(
            self.detector.own,
            http_address=http_address,
            datagram_address=self._endpoint.address,
        )
        self.membership.start(self._endpoint)
        self.machines_service.start(self._endpoint)
        self.load_digests.start(self._endpoint)
        self.configuration.start()
        self.follower.start()
        self.weight_service.start()
        self.router_set_service.start()
        self.freshness_watch.start()
        self.tasks.spawn(self._watchdog(), "watchdog")
        self.tasks.spawn(self.member_sync.run(), "join")

    async def drain(self) -> None:
        """Report not ready, announce the departure, and keep serving for the drain time."""
        self.draining = True
        self.membership.leave()
        await self.clock.sleep(self.settings.drain_seconds)

    async def close(self) -> None:
        """Stop all background work; call it once no requests are running."""
        await self.tasks.close()
        if self._endpoint is not None:
            self._endpoint.close()

    # -- state ----------------------------------------------------------------------------------

    def is_fresh(self) -> bool:
        """Whether this router can prove that its configuration is in force."""
        self.freshness_watch.check_for_stall()
        return self.freshness.is_fresh(self.clock.wall())

    def status(self) -> RouterStatus:
        """Status reported to peers and operators."""
        return RouterStatus(
            self.settings.name,
            self.incarnation,
            self.store.revision,
            self.is_fresh(),
            self.draining,
        )

    def _router_set(self) -> RouterSetSpec | None:
        return self.policy.router_set

    def _peer_addresses(self) -> list[str]:
        own = self.detector.own.http_address
        known = {item.http_address for item in self.detector.live()}
        known.update(self.settings.peers)
        if self.policy.router_set is not None:
            known.update(item.address for item in self.policy.router_set.members)
        known.discard(own)
        return sorted(known)

    # -- events ---------------------------------------------------------------------------------

    def _on_datagram(self, payload: bytes, source: str) -> None:
        try:
            envelope = self._codec.decode(payload)
        except FailureError:
            self.membership.rejected += 1
            return
        if envelope.message_type is MessageType.MEMBERSHIP:
            self.membership.on_envelope(envelope)
        elif envelope.message_type is MessageType.MACHINES:
            self.machines_service.on_envelope(envelope)
        elif envelope.message_type is MessageType.LOAD_DIGEST:
            self.load_digests.on_envelope(envelope)

    def _on_peer_update(self, record: MemberRecord, revision: int, stamp: PlatformStamp) -> None:
        self.freshness.on_stamp(stamp, self.store.revision)
        self.freshness_watch.publish_stamp()
        self.configuration.on_peer_revision(record.http_address, revision)

    def _on_revision(self, revision: int) -> None:
        self.detector.revision = revision
        self.detector.announce()
        self.freshness.on_revision(revision)
        self.metrics.revision.set(revision)

    async def _on_claim(self, request: ClaimRequest) -> ClaimReply:
        self.freshness_watch.check_for_stall()
        if not self._is_replica_for(request):
            return ClaimReply(ClaimVerdict.NOT_REPLICA)
        return self.replica.handle(request, self.clock.wall())

    def _is_replica_for(self, request: ClaimRequest) -> bool:
        """Whether this router is a replica of the key under the router set in force."""
        router_set = self.policy.router_set
        if router_set is None:
            return False
        replicas = replicas_for(router_set, request.record, request.mint_seconds)
        return any(member.name == self.settings.name for member in replicas)

    async def _send_claim(self, member: RouterMember, request: ClaimRequest) -> ClaimReply:
        if member.name == self.settings.name:
            return await self._on_claim(request)
        return await self._peers.claim(member.address, request)

    async def _watchdog(self) -> None:
        """Periodically update the proof of freshness and the gauges."""
        while True:
            self.freshness_watch.check()
            self.metrics.live_members.set(self.detector.live_count())
            await self.clock.sleep(WATCHDOG_SECONDS)
