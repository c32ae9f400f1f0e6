"""Assigns engines to the routers that poll them, and defines the load digests sent to the others.

No router can poll every engine of a large deployment. Each engine is followed by one router of its
place, selected by rendezvous hashing over the live routers there, or by a router of another place
when its own has none. The follower sends the loads of its engines to the other routers of its
place.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

from milletcourse.backends.engine_messages import EngineLoad
from milletcourse.membership.messages import MemberRecord

FOLLOW_ALL_MAX_ENGINES = 32
"""Up to this many engines, each router polls all of them, which gives the freshest loads."""
ENGINE_KEY_BYTES = 8


@dataclass(frozen=True, slots=True)
class DigestEntry:
    """Load of one engine in a digest.

    Attributes:
        engine_key: Short hash of the engine's name.
        incarnation_key: Short hash of its incarnation.
        queued_prefill_tokens: Prompt tokens that wait for computation.
        prefill_tokens_per_second: Prompt tokens computed per second.
        leaving: Whether it is shutting down.
        serving: Whether it serves the wanted weights of all its models.
    """

    engine_key: int
    incarnation_key: int
    queued_prefill_tokens: int
    prefill_tokens_per_second: int
    leaving: bool
    serving: bool


def engine_key(name: str) -> int:
    """Short hash that identifies an engine in digests."""
    return xxhash.xxh64_intdigest(name.encode())


def incarnation_key(incarnation: str) -> int:
    """Short hash that identifies an incarnation in digests."""
    return xxhash.xxh32_intdigest(incarnation.encode())


def digest_entry(name: str, load: EngineLoad, serving: bool) -> DigestEntry:
    """Digest entry of one engine; counts are capped at 32 bits."""
    return DigestEntry(
        engine_key(name),
        incarnation_key(load.incarnation),
        min(load.queued_prefill_tokens, 2**32 - 1),
        min(int(load.prefill_tokens_per_second), 2**32 - 1),
        load.leaving,
        serving,
    )


def followed_engines(
    own: MemberRecord, live: Iterable[MemberRecord], engine_places: Mapping[str, str]
) -> list[str]:
    """Engines that a router polls itself.

    Args:
        own: This router.
        live: Live routers, this one included.
        engine_places: Place by engine.
    """
    if len(engine_places) <= FOLLOW_ALL_MAX_ENGINES:
        return sorted(engine_places)
    members = list(live)
    by_place: dict[str, list[str]] = {}
    for member in members:
        by_place.setdefault(member.place, []).append(member.name)
    all_routers = [member.name for member in members]
    return [
        engine
        for engine, place in sorted(engine_places.items())
        if _follower(engine, by_place.get(place, all_routers)) == own.name
    ]


def _follower(engine: str, routers: list[str]) -> str:
    return max(
        routers, key=lambda router: (xxhash.xxh64_intdigest(f"{router}\0{engine}".encode()), router)
    )
