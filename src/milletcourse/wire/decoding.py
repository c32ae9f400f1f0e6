"""Exceptions that decoding untrusted bytes with construct may raise."""

from __future__ import annotations

import struct

from construct import ConstructError

DECODE_ERRORS = (ConstructError, struct.error, ValueError, IndexError)
"""Besides ConstructError, compiled layouts raise built-in exceptions of their generated code."""
