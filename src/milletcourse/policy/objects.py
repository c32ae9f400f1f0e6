"""Policy objects, which operators write and the platform stores.

An object is (kind, name, version, spec). The spec types below are the whole configuration
language; `docs/CONFIGURATION.md` lists each field.
"""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from milletcourse.errors import InvalidObject
from milletcourse.policy.selectors import EVERYTHING, Selector


class _Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all specs: unknown fields are errors."""


class TenantSpec(_Spec, frozen=True):
    """A tenant, whose requests and cached prompt state are isolated from others.

    Attributes:
        labels: Labels that selectors match.
        key_hashes: Hex blake3 digests of the tenant's bearer keys.
        weight: Share under pressure, relative to other tenants.
        prompt_tokens_per_second: Refill rate of the tenant's token bucket; 0 for no limit.
        burst_tokens: Size of the bucket.
        operator: Whether its keys may use the administration API.
    """

    labels: dict[str, str] = {}
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    prompt_tokens_per_second: float = 0.0
    burst_tokens: float = 0.0
    operator: bool = False


class PlaceSpec(_Spec, frozen=True):
    """A zone.

    Attributes:
        labels: Labels that selectors match.
        region: Region that the zone belongs to.
    """

    labels: dict[str, str] = {}
    region: str = ""


class EngineSpec(_Spec, frozen=True):
    """A model server.

    Attributes:
        address: `host:port`.
        place: Name of its Place.
        labels: Labels that selectors match.
        models: Names of the models it serves.
        leaving: True when it is draining and must get no new work.
    """

    address: str
    place: str
    models: tuple[str, ...] = ()
    labels: dict[str, str] = {}
    leaving: bool = False


class ModelSpec(_Spec, frozen=True):
    """A model and the weight version that must serve it.

    Attributes:
        weight_version: Version that the engines must have loaded.
        adapter: Name of the adapter, empty for none.
    """

    weight_version: str = "1"
    adapter: str = ""


class KvStoreSpec(_Spec, frozen=True):
    """A store of exported KV cache blocks."""

    address: str
    place: str
    labels: dict[str, str] = {}


class AppServerSpec(_Spec, frozen=True):
    """A server of an application.

    Attributes:
        application: Name that callers use in `/apps/{application}/...`.
        settles_operations: Whether the outcome of an operation can be read from it by key.
    """

    application: str
    address: str
    place: str
    labels: dict[str, str] = {}
    leaving: bool = False
    settles_operations: bool = True


class RequestMatch(_Spec, frozen=True):
    """Which requests belong to a workload; an empty list of classes matches any class."""

    tenants: Selector = EVERYTHING
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()


class RunRule(_Spec, frozen=True):
    """Where a workload may run: engines and places must both match."""

    engines: Selector = EVERYTHING
    places: Selector = EVERYTHING


class ReuseRule(_Spec, frozen=True):
    """Whose cached prefixes a workload may reuse, and in which places.

    Attributes:
        tenants: Tenants that share prefixes; None for the tenant's own only.
        places: Places whose engines and stores may provide them.
    """

    tenants: Selector | None = None
    places: Selector = EVERYTHING


class WorkloadSpec(_Spec, frozen=True):
    """A kind of request with its placement rules.

    Attributes:
        match: Requests that belong to it. Among several matching workloads, the highest
            `precedence` wins, then the lowest name.
        run: Engines and places on which it may run.
        reuse: Cached prefixes that it may reuse.
        precedence: Order among matching workloads.
        priority: Requests with a lower number run first at the engine.
        deadline_seconds: Bound on the time to first token; 0 for none.
        repeatable: Whether a request may be sent again after a failure.
        regulated: Whether requests are refused while the router can't prove that its
            configuration is fresh.
    """

    match: RequestMatch
    run: RunRule = RunRule()
    reuse: ReuseRule = ReuseRule()
    precedence: int = 0
    priority: int = 1
    deadline_seconds: float = 0.0
    repeatable: bool = True
    regulated: bool = True


class RouterMember(_Spec, frozen=True):
    """One member of a router set."""

    name: str
    address: str
    place: str


class RouterSetSpec(_Spec, frozen=True):
    """The routers that store the claims of operations.

    A change of members is written with `confirmed` false and a `from_mint_seconds` in the near
    future. Previous members that have applied it vote on no key minted from then on; the holder of
    the router set's lease confirms it once all of them have applied it, and only then do the new
    members vote on such keys.

    Attributes:
        epoch: Incremented by one with each change of the members.
        members: Members that serve keys minted at or after `from_mint_seconds`.
        from_mint_seconds: Wall-clock time in seconds at which the members change.
        previous_members: Members that serve older keys.
        confirmed: Whether all previous members have applied this epoch.
    """

    epoch: int
    members: tuple[RouterMember, ...]
    from_mint_seconds: float = 0.0
    previous_members: tuple[RouterMember, ...] = ()
    confirmed: bool = True


Spec = (
    TenantSpec
    | PlaceSpec
    | EngineSpec
    | ModelSpec
    | KvStoreSpec
    | AppServerSpec
    | WorkloadSpec
    | RouterSetSpec
)

SPEC_TYPES: dict[str, type[Spec]] = {
    "Tenant": TenantSpec,
    "Place": PlaceSpec,
    "Engine": EngineSpec,
    "Model": ModelSpec,
    "KvStore": KvStoreSpec,
    "AppServer": AppServerSpec,
    "Workload": WorkloadSpec,
    "RouterSet": RouterSetSpec,
}


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Kind and name of an object."""

    kind: str
    name: str


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform stores it.

    Attributes:
        kind: One of `SPEC_TYPES`, or a kind that policy ignores such as Lease.
        name: Unique within the kind.
        version: Revision of its last change; 0 before it was stored.
        spec: Untyped body; `parse_spec` converts it to its type.
        change_ids: IDs of its latest changes, newest last.
    """

    kind: str
    name: str
    version: int
    spec: dict[str, Any]
    change_ids: tuple[str, ...] = ()

    @property
    def key(self) -> ObjectKey:
        """Kind and name."""
        return ObjectKey(self.kind, self.name)


def parse_spec(kind: str, name: str, document: object) -> Result[Spec, InvalidObject]:
    """Validate a spec by its kind.

    Returns:
        The typed spec, or an `InvalidObject` that names the invalid key and the allowed values.
    """
    spec_type = SPEC_TYPES.get(kind)
    if spec_type is None:
        allowed = ", ".join(sorted(SPEC_TYPES))
        return Err(InvalidObject(f"unknown kind {kind}", None, "kind", kind, allowed))
    try:
        spec = msgspec.convert(document, spec_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        key = f"{kind}.{name}{path.rstrip('`')}"
        return Err(InvalidObject(f"{key}: {message}", None, key, _shortened(document), message))
    return Success(spec)


def _shortened(document: object) -> str:
    return msgspec.json.encode(document).decode()[:80]
