"""Prompt blocks and their hash chain.

Router, engine and KV store must use the same block boundaries and hashes, which this module defines
(see `docs/DESIGN.md`, "Blocks"):

- a prompt is rendered to UTF-8 text by `render_chat`, or used unchanged for completions;
- a token is `BYTES_PER_TOKEN` bytes of that text;
- a block is `BLOCK_TOKENS` tokens; a last, partial block is never cached;
- hash 0 is blake3(root, block 0) and hash i is blake3(hash i-1, block i), 16 bytes each;
- the root covers model, adapter, weight version and reuse scope, and is the engine's cache salt.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from blake3 import blake3

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 1024
"""The cached prompt parts of the deployments have about a thousand tokens."""
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
HASH_BYTES = 16
"""128 bits: no collision is expected among 95 million blocks."""

BlockHash = bytes


@dataclass(frozen=True, slots=True)
class PromptBlocks:
    """One prompt as a chain of blocks.

    Attributes:
        hashes: Chain hashes of the full blocks, first block first.
        total_tokens: Length of the prompt, partial block included.
    """

    hashes: tuple[BlockHash, ...]
    total_tokens: int

    def missing_tokens(self, held_blocks: int) -> int:
        """Tokens to compute when the first `held_blocks` blocks are held."""
        return self.total_tokens - held_blocks * BLOCK_TOKENS


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat prompt."""

    role: str
    content: str


def render_chat(messages: Sequence[ChatMessage]) -> str:
    """Render a chat prompt to the text that is split into blocks."""
    parts = [f"<|{message.role}|>\n{message.content}\n" for message in messages]
    return "".join(parts) + "<|assistant|>\n"


def chain_root(model: str, adapter: str, weight_version: str, reuse_scope: bytes) -> BlockHash:
    """Root of the hash chain, which is the cache salt sent to engines."""
    hasher = blake3()
    for part in (model.encode(), adapter.encode(), weight_version.encode(), reuse_scope):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest(HASH_BYTES)


def count_tokens(text: bytes) -> int:
    """Number of tokens of a rendered prompt."""
    return -(-len(text) // BYTES_PER_TOKEN)


def block_chain(root: BlockHash, text: bytes) -> PromptBlocks:
    """Split a rendered prompt into blocks and hash them.

    Args:
        root: Result of `chain_root`.
        text: The rendered prompt.
    """
    hashes = []
    parent = root
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        parent = blake3(parent + text[start : start + BLOCK_BYTES]).digest(HASH_BYTES)
        hashes.append(parent)
    return PromptBlocks(tuple(hashes), count_tokens(text))
