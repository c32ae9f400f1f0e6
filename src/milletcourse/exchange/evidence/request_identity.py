"""Identities of requests and of the parts of their prompts; no input/output.

Each attempt of a client has its own request ID, so a repeat is recognized only by its content:
host, path, caller and body. Requests that differ may still share parts of their prompts.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from blake3 import blake3

from milletcourse.exchange.messages.peer_messages import FeatureKind

IDENTITY_BYTES = 8
"""Bytes kept of the hash. A cryptographic hash keeps a caller from forging a request with the
identity of another one, which a faster hash would allow; 55,000 bytes take 11 microseconds."""
MAX_PARTS = 64
"""Prompt parts of one request that are counted in evidence; further ones would displace the
evidence about others."""


class RequestFeatures(msgspec.Struct, frozen=True):
    """What one request may have in common with others that crash servers.

    Attributes:
        content: Identity of its whole content.
        parts: Identities of the prompt parts that other requests may share, without repeats.
    """

    content: int
    parts: tuple[int, ...] = ()

    def by_kind(self) -> Iterator[tuple[int, FeatureKind]]:
        """All identities, each with its kind."""
        yield self.content, FeatureKind.CONTENT
        for part in self.parts:
            yield part, FeatureKind.PROMPT_PART

    def includes(self, identity: int) -> bool:
        """Whether the request has a feature."""
        return identity == self.content or identity in self.parts


def request_identity(host: str, target: bytes, caller: str, body: bytes) -> int:
    """Identity of a request's content; never 0.

    Args:
        host: Value of the Host header.
        target: Raw path and query. The query counts only without a body: it is the content then.
        caller: Name of the tenant; empty on public routes.
        body: Whole body.
    """
    path = target if not body else target.split(b"?", 1)[0]
    return _hash((host.lower().encode(), path, caller.encode()), body)


def part_identity(service: str, group: str, name: str) -> int:
    """Identity of a prompt part; never 0.

    Args:
        service: Service that runs the prompt.
        group: Whose requests may share the part: the model, and the tenant if it is isolated.
        name: Identity of the part's content, as the client declares it.
    """
    return _hash((service.encode(), group.encode()), name.encode())


def _hash(fields: tuple[bytes, ...], rest: bytes) -> int:
    digest = blake3()
    for field in fields:
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(rest)
    return int.from_bytes(digest.digest(length=IDENTITY_BYTES), "big") or 1


def identity_text(identity: int) -> str:
    """Format an identity for logs and operators: 16 hexadecimal digits."""
    return f"{identity:016x}"
