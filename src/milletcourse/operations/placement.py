"""Selects the routers that are the claim replicas of a key."""

from __future__ import annotations

import xxhash

from milletcourse.policy.objects import RouterMember, RouterSetSpec

REPLICAS = 3
"""Three replicas tolerate one failure; five would need two more messages per step of each write."""


def members_for(router_set: RouterSetSpec, mint_seconds: float) -> tuple[RouterMember, ...]:
    """Return the members that serve a key of this mint time, none in an unconfirmed epoch."""
    if mint_seconds < router_set.from_mint_seconds:
        return router_set.previous_members or router_set.members
    return router_set.members if router_set.confirmed else ()


def replicas_for(
    router_set: RouterSetSpec, record: bytes, mint_seconds: float
) -> tuple[RouterMember, ...]:
    """Return the replicas of a key by rendezvous hashing, in distinct places where possible."""
    members = members_for(router_set, mint_seconds)
    ranked = sorted(members, key=lambda member: (-_score(member.name, record), member.name))
    chosen: list[RouterMember] = []
    places: set[str] = set()
    for member in ranked:
        if member.place not in places and len(chosen) < REPLICAS:
            chosen.append(member)
            places.add(member.place)
    for member in ranked:
        if member not in chosen and len(chosen) < REPLICAS:
            chosen.append(member)
    return tuple(chosen)


def _score(name: str, record: bytes) -> int:
    return xxhash.xxh64_intdigest(name.encode() + b"\0" + record)


def majority(count: int) -> int:
    """Return the smallest quorum size at which any two quorums intersect."""
    return count // 2 + 1
