"""Confirms a new epoch of the router set once every previous member has it in force.

Runs under the lease `router-set`. If some of the previous members do not answer before the planned
start of the epoch, the start is postponed. This is safe, since new members do not vote before they
receive the confirmation.
"""

from __future__ import annotations

import random

import msgspec

from milletcourse.backends.platform_messages import PutObject
from milletcourse.configuration.platform_client import PlatformClient
from milletcourse.configuration.service import LeaseKeeper
from milletcourse.configuration.store import ConfigurationStore
from milletcourse.control.machines import MachineListView
from milletcourse.errors import FailureError
from milletcourse.logs import get_logger
from milletcourse.peers import PeerClient
from milletcourse.policy.objects import RouterMember, RouterSetSpec
from milletcourse.runtime.clock import Clock
from milletcourse.runtime.tasks import TaskSet

CHECK_SECONDS = 1.0
EPOCH_DELAY_SECONDS = 4.0
"""Delay from the write of a new epoch to its start, in which all members receive it."""
ROUTER_SET_KIND = "RouterSet"
ROUTER_SET_NAME = "default"


class RouterSetService:
    """Confirms or postpones an unconfirmed epoch."""

    def __init__(
        self,
        store: ConfigurationStore,
        platform: PlatformClient,
        peers: PeerClient,
        machines: MachineListView,
        lease: LeaseKeeper,
        clock: Clock,
        random_source: random.Random,
        tasks: TaskSet,
    ) -> None:
        self._store = store
        self._platform = platform
        self._peers = peers
        self._machines = machines
        self._lease = lease
        self._clock = clock
        self._random = random_source
        self._tasks = tasks
        self._log = get_logger("router-set")

    def start(self) -> None:
        """Start competing for the lease and watching for new epochs."""
        self._tasks.spawn(self._lease.run(), "router-set-lease")
        self._tasks.spawn(self._run(), "router-set")

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_SECONDS)
            spec = self._store.policy.router_set
            if spec is None or spec.confirmed or not self._lease.is_held():
                continue
            try:
                await self._advance(spec)
            except FailureError as error:
                self._log.info("router set not advanced", failure=error.failure.code)

    async def _advance(self, spec: RouterSetSpec) -> None:
        version = self._store.version(ROUTER_SET_KIND, ROUTER_SET_NAME)
        if await self._all_in_force(spec.previous_members, version):
            await self._write(msgspec.structs.replace(spec, confirmed=True), version)
        elif self._clock.wall() >= spec.from_mint_seconds:
            later = self._clock.wall() + EPOCH_DELAY_SECONDS
            await self._write(msgspec.structs.replace(spec, from_mint_seconds=later), version)

    async def _all_in_force(self, members: tuple[RouterMember, ...], version: int) -> bool:
        for member in members:
            if self._machines.is_excluded(member.name):
                continue
            try:
                status = await self._peers.status(member.address)
            except FailureError:
                return False
            if status.revision < version:
                return False
        return True

    async def _write(self, spec: RouterSetSpec, version: int) -> None:
        if not self._lease.is_held():
            return
        change_id = f"{self._random.getrandbits(64):016x}"
        write = PutObject(msgspec.to_builtins(spec), version, change_id)
        await self._platform.put(ROUTER_SET_KIND, ROUTER_SET_NAME, write)
