"""Divides the file descriptors of a gateway's process among their uses."""

from __future__ import annotations

import errno
import resource

import msgspec

RESERVED_DESCRIPTORS = 24
"""Descriptors for the object store, the other gateways, operators, listeners and the log. Without
them a gateway gets no configuration and no load reports, and cannot serve requests."""
CLIENT_SHARE = 0.4
"""Share of the remaining descriptors for clients, below one half because each client may need a
connection to a server in addition to its own."""
IDLE_SHARE = 0.2
RELAYED_SHARE = 0.1
"""Share for connections that are relayed for other gateways; each takes two descriptors."""
MIN_CLIENTS = 4
UNBOUNDED_DESCRIPTORS = 1 << 20
LOCAL_RESOURCE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Connection errors that are caused by a lack of resources of this process, not by the callee."""


class LocalResourceError(OSError):
    """This process cannot open a connection for lack of local resources; the callee may be fine."""


class DescriptorPlan(msgspec.Struct, frozen=True):
    """Maximum number of descriptors for each use.

    Attributes:
        total: All descriptors that the process may have open.
        clients: Connections of clients.
        idle_servers: Idle connections to servers.
        relayed: Connections that are relayed for other gateways.
    """

    total: int
    clients: int
    idle_servers: int
    relayed: int


def descriptor_plan(settings_bound: int) -> DescriptorPlan:
    """Compute the plan for this process.

    Args:
        settings_bound: Maximum number of descriptors from the settings; 0 when they set none.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = [
        UNBOUNDED_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft,
        settings_bound or UNBOUNDED_DESCRIPTORS,
    ]
    total = min(bounds)
    remaining = max(total - RESERVED_DESCRIPTORS, 0)
    clients = max(int(remaining * CLIENT_SHARE), MIN_CLIENTS)
    relayed = int(remaining * RELAYED_SHARE) // 2
    return DescriptorPlan(total, clients, int(remaining * IDLE_SHARE), relayed)
