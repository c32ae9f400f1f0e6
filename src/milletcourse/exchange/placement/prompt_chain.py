"""The declared parts of a prompt as a chain of keys: equal keys mean equal prefixes."""

from __future__ import annotations

import msgspec
import xxhash

from milletcourse.exchange.messages.messages import ExchangeRequest


class PromptChain(msgspec.Struct):
    """Cumulative keys of a prompt's declared parts with the number of tokens up to each.

    Attributes:
        keys: One key per part; it covers the salt, all parts before and the part itself.
        tokens: Cumulative number of tokens up to and including each part.
        shared: Number of parts that other requests may share.
    """

    keys: list[bytes]
    tokens: list[int]
    shared: int

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return self.tokens[self.shared - 1] if self.shared else 0

    @property
    def total_tokens(self) -> int:
        """Tokens of all parts."""
        return self.tokens[-1] if self.tokens else 0


def prompt_chain(request: ExchangeRequest, scope: str) -> PromptChain:
    """The chain of a request's parts under a reuse scope."""
    keys: list[bytes] = []
    tokens: list[int] = []
    path = scope
    total = 0
    for part in request.prompt_parts:
        path = f"{path}|{part.name}"
        total += part.tokens
        keys.append(xxhash.xxh64_digest(path.encode()))
        tokens.append(total)
    return PromptChain(keys, tokens, request.shared_parts)
