"""What makes two requests the same work, whoever carries them and however often; no input/output.

Each attempt of a client has an identity of its own. Whether the same work comes again shows only in
its content: path, caller and body.
"""

from __future__ import annotations

from blake3 import blake3

IDENTITY_BYTES = 8
"""Bytes kept of the hash: nobody can make a request with the identity of a given other one, as a
faster hash without such a promise would let them. A body of 55,000 bytes takes 11 microseconds."""


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
    """An identity as logs and operators see it: 16 hexadecimal digits."""
    return f"{identity:016x}"
