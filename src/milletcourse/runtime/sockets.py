"""Options of sockets that both HTTP clients need."""

from __future__ import annotations

import socket
import struct

_LINGER_OFF = struct.pack("ii", 1, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Make a close reset the connection and drop what was not delivered.

    Without it, the kernel goes on delivering a request that was given up: one that a partition
    held up would arrive, and run, when the partition has healed, long after the permission to run
    it was withdrawn. An answer that has been read is not harmed by a reset.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
