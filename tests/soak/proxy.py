"""A TCP proxy on loopback that can block, delay and reset connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from milletcourse.runtime.sockets import reset_on_close
from soak.links import Link

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
LINK_CHUNK_BYTES = 4096
"""Connections that share a link alternate after chunks of this size."""


class FaultProxy:
    """Proxy for one target address, with faults that a test switches on and off."""

    def __init__(self, target: str, links: Sequence[Link] = (), far_megabits: float = 0.0) -> None:
        """Create a proxy that does not listen yet.

        Args:
            target: `host:port` to which connections are forwarded.
            links: Bandwidth-limited links that all connections share.
            far_megabits: Bandwidth of the link at the other end of each connection; 0 for no limit.
        """
        self.target = target
        self._links = links
        self._far_megabits = far_megabits
        self.delay_seconds = 0.0
        self.address = ""
        self._blocks: list[tuple[float, float]] = []
        self._blocked_since: float | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def block(self) -> None:
        """Hold back all bytes until `unblock`."""
        self._open.clear()
        self._blocked_since = (
            time.monotonic() if self._blocked_since is None else self._blocked_since
        )

    def unblock(self) -> None:
        """Forward held bytes, and remove any delay."""
        self.delay_seconds = 0.0
        self._open.set()
        if self._blocked_since is not None:
            self._blocks.append((self._blocked_since, time.monotonic()))
            self._blocked_since = None

    def was_blocked(self, begin: float, end: float) -> bool:
        """Whether the proxy was blocked at any time in an interval of monotonic seconds."""
        if self._blocked_since is not None and self._blocked_since <= end:
            return True
        return any(first <= end and last >= begin for first, last in self._blocks)

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._open.wait()
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        far = (Link(self._far_megabits),) if self._far_megabits else ()
        links = (*self._links, *far)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink, links))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, links: Sequence[Link]
    ) -> None:
        chunk_bytes = LINK_CHUNK_BYTES if links else CHUNK_BYTES
        try:
            while data := await source.read(chunk_bytes):
                for link in links:
                    await link.carry(len(data))
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                # A reset by the sender also discards bytes that are held back.
                if not self._open.is_set():
                    await self._open.wait()
                    if source.exception() is not None:
                        raise ConnectionResetError
                if sink.is_closing():
                    raise ConnectionResetError
                sink.write(data)
                await sink.drain()
            sink.close()
        except (OSError, asyncio.CancelledError):
            _reset(sink)
        finally:
            self._writers.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option the kernel may close it in order."""
    if not writer.is_closing():
        reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()
