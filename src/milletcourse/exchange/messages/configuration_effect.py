"""What a configuration changes for requests, as gateways tell each other."""

from __future__ import annotations

import msgspec


class ConfigurationEffect(msgspec.Struct, array_like=True, frozen=True):
    """Sums of four bytes each of what is concerned, one behind the other.

    Attributes:
        routes: Routes that are new, gone or other than before, by host and path prefix.
        revoked: Keys that are taken away.
        keys: Keys that are new, or whose tenant is treated otherwise.
    """

    routes: bytes
    revoked: bytes
    keys: bytes
