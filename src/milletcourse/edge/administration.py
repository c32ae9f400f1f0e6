"""Administration API `/admin/v1`: objects, dry runs, explanations, rollouts, members and drains.

Every change is reported as accepted, refused or unknown, and the report is accurate. Operators
authenticate with a bearer key of a tenant that has `operator` set.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import falcon.asgi
import msgspec
from returns.pipeline import is_successful

from milletcourse.backends.platform_messages import PutObject
from milletcourse.configuration.platform_client import PlatformClient
from milletcourse.configuration.service import ConfigurationService
from milletcourse.edge.asgi import decode_json, respond_json
from milletcourse.edge.context import EdgeContext, bearer_tenant
from milletcourse.errors import FailureError, NoMatchingWorkload, NotFound, PlatformBehind
from milletcourse.membership.failure_detector import FailureDetector
from milletcourse.membership.messages import MemberRecord
from milletcourse.peers import PeerClient, RouterStatus
from milletcourse.policy.compiled import CompiledPolicy, RequestFacts
from milletcourse.policy.effect import PolicyEffect, effect_of
from milletcourse.policy.explain import explain
from milletcourse.policy.objects import StoredObject, parse_spec


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change.

    Attributes:
        spec: The new spec.
        version: Version that the change is based on; 0 for a new object.
        change_id: Idempotency id that resolves a lost answer; the router generates one when empty.
        dry_run: Whether to only validate the change and report its effect.
    """

    spec: dict[str, Any]
    version: int = 0
    change_id: str = ""
    dry_run: bool = False


class ChangeAnswer(msgspec.Struct, frozen=True):
    """A change that was accepted, or that a dry run would accept.

    Attributes:
        accepted: False for a dry run.
        kind: Kind of the object.
        name: Name of the object.
        revision: Revision at which the change is in force; 0 for a dry run.
        change_id: Id under which the platform records the change.
        effect: Workloads that gain or lose back ends.
    """

    accepted: bool
    kind: str
    name: str
    revision: int
    change_id: str
    effect: tuple[PolicyEffect, ...]


class MemberView(msgspec.Struct, frozen=True):
    """A cluster member as seen by this router."""

    name: str
    place: str
    state: str
    address: str
    incarnation: int


class RolloutAnswer(msgspec.Struct, frozen=True):
    """Where a revision is in force.

    Attributes:
        revision: The requested revision.
        in_force: Names of routers that have it.
        lagging: Names of live routers that have an older one.
        unreachable: Names of members that did not answer.
        complete: Whether no live router lags or is unreachable.
    """

    revision: int
    in_force: tuple[str, ...]
    lagging: tuple[str, ...]
    unreachable: tuple[str, ...]
    complete: bool


class Administration:
    """Dependencies and checks shared by the administration resources."""

    def __init__(
        self,
        context: EdgeContext,
        configuration: ConfigurationService,
        platform: PlatformClient,
        peers: PeerClient,
        detector: FailureDetector,
        random_source: random.Random,
    ) -> None:
        self.context = context
        self.configuration = configuration
        self.platform = platform
        self.peers = peers
        self.detector = detector
        self._random = random_source

    @property
    def policy(self) -> CompiledPolicy:
        """Policy in force."""
        return self.context.policy

    def check_operator(self, request: falcon.asgi.Request) -> str:
        """Tenant name of the operator; raises FailureError for other callers."""
        self.context.check_serving()
        tenant = bearer_tenant(request, self.policy)
        if not self.policy.tenants[tenant].operator:
            raise FailureError(NoMatchingWorkload("the key has no operator role"))
        return tenant

    def new_change_id(self) -> str:
        """Generate a random change id."""
        return f"{self._random.getrandbits(128):032x}"

    async def commit(self, kind: str, name: str, write: PutObject) -> StoredObject:
        """Commit a change at the platform.

        Raises:
            FailureError: The change was refused, or its outcome is unknown.
        """
        if await self.platform.revision() < self.configuration.store.revision:
            raise FailureError(
                PlatformBehind("the platform shows an older state than the one in force", 2.0)
            )
        return await self.platform.put(kind, name, write)


class ObjectsResource:
    """`GET /admin/v1/objects`."""

    def __init__(self, admin: Administration) -> None:
        self._admin = admin

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """List the objects in force at this router."""
        self._admin.check_operator(request)
        kind = request.get_param("kind")
        store = self._admin.configuration.store
        objects = [
            {"kind": item.kind, "name": item.name, "version": item.revision, "spec": item.spec}
            for item in store.changes()
            if kind in (None, item.kind)
        ]
        respond_json(response, {"revision": store.revision, "objects": objects})


class ObjectResource:
    """`/admin/v1/objects/{kind}/{name}`."""

    def __init__(self, admin: Administration) -> None:
        self._admin = admin

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, kind: str, name: str
    ) -> None:
        """One object in force at this router."""
        self._admin.check_operator(request)
        store = self._admin.configuration.store
        spec = store.spec(kind, name)
        if spec is None:
            raise FailureError(NotFound(f"{kind} {name}"))
        document = {"kind": kind, "name": name, "version": store.version(kind, name), "spec": spec}
        respond_json(response, document)

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, kind: str, name: str
    ) -> None:
        """Compare-and-set one object, or report the effect of doing so."""
        self._admin.check_operator(request)
        change = decode_json(await request.stream.read(), ChangeBody)
        parsed = parse_spec(kind, name, change.spec)
        if not is_successful(parsed):
            raise FailureError(parsed.failure())
        effect = effect_of(self._admin.policy, kind, name, parsed.unwrap())
        if change.dry_run:
            respond_json(response, ChangeAnswer(False, kind, name, 0, "", effect))
            return
        change_id = change.change_id or self._admin.new_change_id()
        write = PutObject(change.spec, change.version, change_id)
        stored = await self._admin.commit(kind, name, write)
        answer = ChangeAnswer(True, kind, name, stored.version, change_id, effect)
        respond_json(response, answer)

    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, kind: str, name: str
    ) -> None:
        """Delete an object if its version matches the given one."""
        self._admin.check_operator(request)
        version = request.get_param_as_int("version", required=True)
        effect = effect_of(self._admin.policy, kind, name, None)
        change_id = request.get_param("change_id") or self._admin.new_change_id()
        write = PutObject(None, version, change_id)
        stored = await self._admin.commit(kind, name, write)
        answer = ChangeAnswer(True, kind, name, stored.version, change_id, effect)
        respond_json(response, answer)


class ExplainResource:
    """`GET /admin/v1/explain?tenant=&model=|application=&class=`."""

    def __init__(self, admin: Administration) -> None:
        self._admin = admin

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """For each engine, whether it is permitted and the reason if not; also the reuse scope."""
        self._admin.check_operator(request)
        facts = RequestFacts(
            request.get_param("tenant", required=True),
            request.get_param("model", default=""),
            request.get_param("application", default=""),
            request.get_param("class", default="default"),
        )
        result = explain(self._admin.policy, facts)
        if not is_successful(result):
            raise FailureError(result.failure())
        respond_json(response, result.unwrap())


class MembersResource:
    """`GET /admin/v1/members`."""

    def __init__(self, admin: Administration) -> None:
        self._admin = admin

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """List the routers as seen by this one."""
        self._admin.check_operator(request)
        members = [
            MemberView(
                item.name, item.place, item.state.name.lower(), item.http_address, item.incarnation
            )
            for item in self._admin.detector.records()
        ]
        respond_json(response, {"members": members})


class RolloutResource:
    """`GET /admin/v1/rollout/{revision}`."""

    def __init__(self, admin: Administration) -> None:
        self._admin = admin

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, revision: str
    ) -> None:
        """Report where a revision is in force and which routers lag."""
        self._admin.check_operator(request)
        wanted = int(revision) if revision.isdigit() else 0
        members = self._admin.detector.live()
        statuses = await asyncio.gather(*(self._status(member) for member in members))
        in_force, lagging, unreachable = [], [], []
        for member, status in zip(members, statuses, strict=True):
            if status is None:
                unreachable.append(member.name)
            elif status.revision >= wanted:
                in_force.append(member.name)
            else:
                lagging.append(member.name)
        complete = not lagging and not unreachable
        respond_json(
            response,
            RolloutAnswer(wanted, tuple(in_force), tuple(lagging), tuple(unreachable), complete),
        )

    async def _status(self, member: MemberRecord) -> RouterStatus | None:
        try:
            return await self._admin.peers.status(member.http_address)
        except FailureError:
            return None
