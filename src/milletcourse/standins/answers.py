"""The text that a stand-in engine generates: a function of model, weight version and prompt.

Anyone who knows the prompt can check an answer for wholeness and order.
"""

from __future__ import annotations

from blake3 import blake3

TOKEN_MULTIPLIER = 0x9E3779B97F4A7C15
TOKEN_MASK = (1 << 32) - 1


def answer_seed(model: str, weight_version: str, prompt: str) -> int:
    """Number that determines the whole answer."""
    digest = blake3(f"{model}\0{weight_version}\0{prompt}".encode()).digest(8)
    return int.from_bytes(digest, "big")


def answer_token(seed: int, offset: int) -> str:
    """Text of the token at an offset."""
    value = (seed + (offset + 1) * TOKEN_MULTIPLIER) >> 16
    return f"w{value & TOKEN_MASK:08x} "


def answer_text(model: str, weight_version: str, prompt: str, tokens: int) -> str:
    """The whole answer of a given length."""
    seed = answer_seed(model, weight_version, prompt)
    return "".join(answer_token(seed, offset) for offset in range(tokens))
