"""Addresses as text, `host:port`, where the host is an IP address."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Host names are not accepted: resolving them would depend on a DNS server, and block.

    Raises:
        ValueError: The address is malformed.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or len(port) > len(str(MAX_PORT)):
        raise ValueError(f"no host:port: {address[:80]!r}")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"no port: {address[:80]!r}")
    ipaddress.ip_address(host)
    return host, int(port)
