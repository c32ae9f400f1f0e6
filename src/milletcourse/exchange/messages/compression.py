"""Compressed bytes between gateways."""

from __future__ import annotations

import zlib

COMPRESSION_LEVEL = 1


def deflate(data: bytes) -> bytes:
    """Bytes, compressed."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Compressed bytes as they were; raises `ValueError` for what is none, or is larger."""
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError("not compressed") from error
    if not decompressor.eof:
        raise ValueError("too large, or broken off")
    return inflated
