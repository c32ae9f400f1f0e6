"""The text that a stand-in engine generates: a function of model, weight version and prompt.

A client that knows the prompt can verify that an answer is complete and in order.
"""

from __future__ import annotations

from blake3 import blake3

TOKEN_MULTIPLIER = 0x9E3779B97F4A7C15
TOKEN_MASK = (1 << 32) - 1


def answer_seed(model: str, weight_version: str, prompt: str) -> int:
    """Return the seed that determines all tokens of an answer."""
    digest = blake3(f"{model}\0{weight_version}\0{prompt}".encode()).digest(8)
    return int.from_bytes(digest, "big")


def answer_token(seed: int, offset: int) -> str:
    """Return the text of the token at an offset."""
    value = (seed + (offset + 1) * TOKEN_MULTIPLIER) >> 16
    return f"w{value & TOKEN_MASK:08x} "


def answer_text(model: str, weight_version: str, prompt: str, tokens: int) -> str:
    """Return the complete answer of a given length in tokens."""
    seed = answer_seed(model, weight_version, prompt)
    return "".join(answer_token(seed, offset) for offset in range(tokens))
