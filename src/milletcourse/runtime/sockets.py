"""Options of sockets that both HTTP clients need."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

_LINGER_OFF = struct.pack("ii", 1, 0)
_TCP_INFO_BYTES = 104
_TCP_INFO_UNACKED_OFFSET = 24
"""`tcpi_unacked` of Linux's `struct tcp_info`: on a listening socket, what waits to be accepted."""


def reset_on_close(sock: socket.socket) -> None:
    """Make a close reset the connection and drop what was not delivered.

    Without it, the kernel goes on delivering a request that was given up: one that a partition
    held up would arrive, and run, when the partition has healed, long after the permission to run
    it was withdrawn. An answer that has been read is not harmed by a reset.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)


def waiting_connections(listener: socket.socket) -> int:
    """Connections that have come up and aren't accepted yet; 0 where the kernel doesn't tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        return int(struct.unpack_from("I", info, _TCP_INFO_UNACKED_OFFSET)[0])
    except (OSError, struct.error):
        return 0


def unread_bytes(sock: socket.socket) -> int:
    """Bytes that have arrived and aren't read yet; 0 where the kernel doesn't tell."""
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return int.from_bytes(count, "little")
