"""Compression of bytes sent between gateways."""

from __future__ import annotations

import zlib

COMPRESSION_LEVEL = 1


def deflate(data: bytes) -> bytes:
    """Compresses bytes with zlib."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Decompresses zlib data.

    Raises:
        ValueError: The data is not zlib data, is truncated, or exceeds `max_bytes`.
    """
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError("data is not zlib-compressed") from error
    if not decompressor.eof:
        raise ValueError("decompressed data is too large, or the input is truncated")
    return inflated
