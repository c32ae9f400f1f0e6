"""How a gateway divides the descriptors that its process may have open."""

from __future__ import annotations

import errno
import resource

import msgspec

RESERVED_DESCRIPTORS = 24
"""For the object store, the other gateways, operators, listeners and the log: without them a
gateway is blind, and can serve nobody."""
CLIENT_SHARE = 0.4
"""Of the rest: each client may need a connection to a server beside its own."""
IDLE_SHARE = 0.2
MIN_CLIENTS = 4
UNBOUNDED_DESCRIPTORS = 1 << 20
LOCAL_RESOURCE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of a connection that say nothing of the callee: this process has no means for it."""


class LocalResourceError(OSError):
    """This process can open no connection; nothing is wrong with the callee."""


class DescriptorPlan(msgspec.Struct, frozen=True):
    """Who may have how many descriptors.

    Attributes:
        total: Most that the process may have open.
        clients: Connections of clients.
        idle_servers: Connections to servers that are kept open while they carry nothing.
    """

    total: int
    clients: int
    idle_servers: int


def descriptor_plan(settings_bound: int) -> DescriptorPlan:
    """The plan for this process.

    Args:
        settings_bound: Most descriptors by the settings; 0 when they don't say.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = [
        UNBOUNDED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft,
        settings_bound or UNBOUNDED_DESCRIPTORS,
    ]
    total = min(bounds)
    rest = max(total - RESERVED_DESCRIPTORS, 0)
    clients = max(int(rest * CLIENT_SHARE), MIN_CLIENTS)
    return DescriptorPlan(total, clients, int(rest * IDLE_SHARE))
