"""Content identity of requests: equal for repeats of the same work; no input/output.

Each attempt of a client has its own request ID, so a repeat is recognized only by its content:
host, path, caller and body.
"""

from __future__ import annotations

from blake3 import blake3

IDENTITY_BYTES = 8
"""Bytes kept of the hash. A cryptographic hash keeps a caller from forging a request with the
identity of another one, which a faster hash would allow; 55,000 bytes take 11 microseconds."""


def request_identity(host: str, target: bytes, caller: str, body: bytes) -> int:
    """Identity of a request's content; never 0.

    Args:
        host: Value of the Host header.
        target: Raw path and query. The query counts only without a body: it is the content then.
        caller: Name of the tenant; empty on public routes.
        body: Whole body.
    """
    path = target if not body else target.split(b"?", 1)[0]
    digest = blake3()
    for part in (host.lower().encode(), path, caller.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(length=IDENTITY_BYTES), "big") or 1


def identity_text(identity: int) -> str:
    """Format an identity for logs and operators: 16 hexadecimal digits."""
    return f"{identity:016x}"
