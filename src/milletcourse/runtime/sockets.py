"""Socket options and queries that HTTP clients and listeners need."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

_LINGER_ZERO = struct.pack("ii", 1, 0)
_TCP_INFO_BYTES = 104
_TCP_INFO_UNACKED_OFFSET = 24
"""`tcpi_unacked` of Linux's `struct tcp_info`: on a listening socket, the connections in the
accept queue."""


def reset_on_close(sock: socket.socket) -> None:
    """Make closing the socket reset the connection and discard undelivered data.

    Without it, the kernel continues to deliver an aborted request: one that a partition delayed
    would arrive and run after the partition has healed, long after the permission to run it was
    withdrawn. A reset does not affect an answer that has already been read.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def limit_receive_buffer(sock: socket.socket, size: int) -> None:
    """Bound the data that the kernel holds unread, which is memory of the machine too."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def waiting_connections(listener: socket.socket) -> int:
    """Number of connections in the accept queue; 0 where the kernel does not report it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        return int(struct.unpack_from("I", info, _TCP_INFO_UNACKED_OFFSET)[0])
    except (OSError, struct.error):
        return 0


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Number of sent bytes that the other end hasn't acknowledged; 0 where it isn't reported."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock: socket.socket) -> int:
    """Number of received bytes not read yet; 0 where the kernel does not report it."""
    return _queued_bytes(sock, termios.FIONREAD)


def _queued_bytes(sock: socket.socket, query: int) -> int:
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), query, count)
    except OSError:
        return 0
    return int.from_bytes(count, "little")
