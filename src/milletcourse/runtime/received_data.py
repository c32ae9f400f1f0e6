"""Data that has been read from a connection and isn't parsed yet."""

from __future__ import annotations


class ReceivedData:
    """The latest read of a connection, which is parsed piece by piece.

    Attributes:
        memory_bytes: Memory that it takes; a read is freed as a whole, with its last piece.
    """

    def __init__(self) -> None:
        self.memory_bytes = 0
        self._data = memoryview(b"")

    def __len__(self) -> int:
        """Size of the part that isn't parsed yet."""
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Add a read."""
        if self._data:
            # A transport may deliver what it had read before it was paused.
            data = bytes(self._data) + data
        self._data = memoryview(data)
        self.memory_bytes = len(data)

    def take(self, size: int) -> memoryview:
        """Take the next piece, of a size at most."""
        piece = self._data[:size]
        self._data = self._data[size:]
        if not self._data:
            self.memory_bytes = 0
        return piece

    def clear(self) -> None:
        """Drop what isn't parsed yet."""
        self._data = memoryview(b"")
        self.memory_bytes = 0
