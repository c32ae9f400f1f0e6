"""Signed resume tokens, used as the id of each server-sent event.

A token lets any router continue an answer: it names the attempt and the offset, and carries a
digest of the text sent so far. A regenerated answer continues the stream only if it matches.
"""

from __future__ import annotations

import base64
import binascii
import hmac

import msgspec
from blake3 import blake3

from milletcourse.errors import FailureError, ResumeTokenInvalid

TAG_BYTES = 12
DIGEST_BYTES = 12
KEY_CONTEXT = "milletcourse resume token v1"


class ResumePoint(msgspec.Struct, frozen=True, array_like=True):
    """Progress of an answer as received by the client.

    Attributes:
        request_id: The request.
        request_digest: Digest of tenant and request body; binds the token to its request.
        engine: Engine that produced the last token.
        incarnation: Incarnation of that engine.
        weight_version: Weights that produced the answer.
        attempt: Attempt of the last token.
        offset: Offset of the next token.
        text_digest: Chained digest of the tokens sent so far.
    """

    request_id: str
    request_digest: bytes
    engine: str
    incarnation: str
    weight_version: str
    attempt: int
    offset: int
    text_digest: bytes


def extend_digest(digest: bytes, text: str) -> bytes:
    """Chained digest extended by one token."""
    return blake3(digest + text.encode()).digest(DIGEST_BYTES)


def digest_request(tenant: str, body: bytes) -> bytes:
    """Digest that binds a token to its tenant and request body."""
    return blake3(tenant.encode() + b"\0" + body).digest(DIGEST_BYTES)


class ResumeTokenCodec:
    """Signs and verifies tokens with a key derived from the cluster key."""

    def __init__(self, cluster_key: str) -> None:
        self._key = blake3(cluster_key.encode(), derive_key_context=KEY_CONTEXT).digest()

    def encode(self, point: ResumePoint) -> str:
        """Encode and sign a resume token."""
        payload = msgspec.msgpack.encode(point)
        signed = payload + self._tag(payload)
        return base64.urlsafe_b64encode(signed).decode().rstrip("=")

    def decode(self, token: str, request_digest: bytes) -> ResumePoint:
        """Verify a client's token against its request.

        Raises:
            FailureError: `ResumeTokenInvalid`.
        """
        try:
            signed = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        except (binascii.Error, ValueError) as error:
            raise FailureError(ResumeTokenInvalid("not a resume token")) from error
        payload, tag = signed[:-TAG_BYTES], signed[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(payload)):
            raise FailureError(ResumeTokenInvalid("the token's signature does not match"))
        point = msgspec.msgpack.decode(payload, type=ResumePoint)
        if point.request_digest != request_digest:
            raise FailureError(ResumeTokenInvalid("the token belongs to another request"))
        return point

    def _tag(self, payload: bytes) -> bytes:
        return blake3(payload, key=self._key).digest(TAG_BYTES)
