"""Splits a `text/event-stream` body into whole events; a stream can be resumed after one."""

from __future__ import annotations

from milletcourse.exchange.messages.message_bounds import MAX_EVENT_BYTES

_ID_FIELD = b"id:"
MAX_BOUNDARY_BYTES = 4
"""Size of a blank line with the line end before it."""


class EventSplitter:
    """Buffers a partial event until the blank line that ends it has arrived.

    Attributes:
        last_event_id: Id of the latest whole event; empty before the first.
        has_events: Whether there was a whole event.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_event_id = ""
        self.has_events = False

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the body and returns the events that are now complete."""
        if not self._partial:
            end = _last_boundary(data, 0)
            self._partial += data[end:]
            return self._complete(data[:end])
        # Only a boundary that ends in the new bytes can complete an event.
        search_from = max(len(self._partial) - MAX_BOUNDARY_BYTES + 1, 0)
        self._partial += data
        end = _last_boundary(self._partial, search_from)
        if not end:
            return b""
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        return self._complete(whole)

    def _complete(self, whole: bytes) -> bytes:
        if whole:
            self.has_events = True
            self._record_ids(whole)
        return whole

    @property
    def partial_bytes(self) -> int:
        """Bytes received of an event that is not complete."""
        return len(self._partial)

    @property
    def is_oversized(self) -> bool:
        """Whether the event that is being received is larger than any may be."""
        return len(self._partial) > MAX_EVENT_BYTES

    def _record_ids(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")


def _last_boundary(data: bytes | bytearray, search_from: int) -> int:
    """End of the last blank line, 0 if there is none."""
    lf_end = data.rfind(b"\n\n", search_from)
    crlf_end = data.rfind(b"\r\n\r\n", search_from)
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
