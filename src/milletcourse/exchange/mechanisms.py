"""Mechanisms that can be switched off one by one, to measure the benefit of each.

A gateway without one of them keeps every guarantee; it only serves less well or costs more.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class Mechanism(Enum):
    """A mechanism with its name on the command line and its description."""

    INCARNATION_CHECK = (
        "ended-incarnations",
        "an answer of another incarnation at its address takes one out of use, at all gateways",
    )
    ROLL_OUT_WEIGHING = (
        "roll-out-weighing",
        "weights are taken early when that is worth more than waiting for a next version",
    )
    KV_CACHE_STORE = (
        "kept-state-store",
        "servers take kept prompt state from a store, and send theirs to it",
    )
    STORE_CAPACITY = (
        "store-room",
        "servers send to the store only what it lacks and what pays",
    )
    HOME_SERVERS = (
        "home-servers",
        "prompts with shared parts have home servers that all gateways agree on",
    )
    LONG_PROMPT_SERVERS = (
        "long-prompt-servers",
        "a few servers of each zone take the longest prompts, so that streams run elsewhere",
    )
    WAIT_BOUND = (
        "wait-bound",
        "requests that would wait long at the best model server are refused at once",
    )
    SHARED_SUSPICION = (
        "shared-suspicion",
        "a server that several gateways saw fail gets no new work from any",
    )
    SINGLE_KIND_POLLING = (
        "leading-watch",
        "only one kind is asked for while the object store is away",
    )

    def __init__(self, label: str, description: str) -> None:
        self.label = label
        self.description = description


class UnknownMechanismError(ValueError):
    """Raised for a name that isn't the name of a mechanism."""

    def __init__(self, name: str) -> None:
        known = ", ".join(mechanism.label for mechanism in Mechanism)
        super().__init__(f"no mechanism is called {name!r}; there are {known}")


def mechanisms_without(names: Iterable[str]) -> frozenset[Mechanism]:
    """All mechanisms except the named ones.

    Args:
        names: Names of mechanisms to switch off.

    Raises:
        UnknownMechanismError: For a name that isn't the name of a mechanism.
    """
    known = {mechanism.label: mechanism for mechanism in Mechanism}
    disabled = set()
    for name in names:
        if name not in known:
            raise UnknownMechanismError(name)
        disabled.add(known[name])
    return frozenset(Mechanism) - disabled


ALL_MECHANISMS = frozenset(Mechanism)
