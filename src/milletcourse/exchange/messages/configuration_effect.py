"""Summary of what a configuration version changes for requests, as sent between gateways."""

from __future__ import annotations

import msgspec


class ConfigurationEffect(msgspec.Struct, array_like=True, frozen=True):
    """Affected routes and keys, each field as concatenated four-byte hashes.

    Attributes:
        routes: Added, removed or changed routes, by host and path prefix.
        revoked: Revoked keys.
        keys: New keys, and keys whose tenant has changed settings.
    """

    routes: bytes
    revoked: bytes
    keys: bytes
