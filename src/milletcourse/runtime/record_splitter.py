"""Splits received bytes into records that end with a separator."""

from __future__ import annotations


class RecordSplitter:
    """Buffers a partial record until its separator has arrived."""

    def __init__(self, separator: bytes, max_bytes: int) -> None:
        """Start without data.

        Args:
            separator: Ends each record.
            max_bytes: Size of the largest record.
        """
        self._separator = separator
        self._max_bytes = max_bytes
        self._partial = bytearray()

    @property
    def is_oversized(self) -> bool:
        """Whether the record that is being received is larger than any may be."""
        return len(self._partial) > self._max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the records that are now complete, without their separators."""
        # Only a separator that ends in the new bytes can complete a record.
        search_from = max(len(self._partial) - len(self._separator) + 1, 0)
        self._partial += data
        if self._partial.find(self._separator, search_from) < 0:
            return []
        *records, unfinished = bytes(self._partial).split(self._separator)
        self._partial = bytearray(unfinished)
        return records
