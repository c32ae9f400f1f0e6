"""A TCP proxy on loopback that can hold bytes up, delay them, refuse and reset."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from soak.links import Link

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
LINK_CHUNK_BYTES = 4096
"""On a link connections take turns by so much."""


class FaultProxy:
    """Stands before one address; faults are switched from outside."""

    def __init__(self, target: str, links: Sequence[Link] = (), far_megabits: float = 0.0) -> None:
        """Not listening yet.

        Args:
            target: `host:port` behind it.
            links: What all its connections pass.
            far_megabits: Link of the machine at the other end of each connection; 0 for no bound.
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
        """Bytes are held up until `unblock`."""
        self._open.clear()
        self._blocked_since = (
            time.monotonic() if self._blocked_since is None else self._blocked_since
        )

    def unblock(self) -> None:
        """Bytes flow, and no delay is left."""
        self.delay_seconds = 0.0
        self._open.set()
        if self._blocked_since is not None:
            self._blocks.append((self._blocked_since, time.monotonic()))
            self._blocked_since = None

    def was_blocked(self, begin: float, end: float) -> bool:
        """Whether bytes were held up at some time of a stretch; in monotonic seconds."""
        if self._blocked_since is not None and self._blocked_since <= end:
            return True
        return any(first <= end and last >= begin for first, last in self._blocks)

    def reset_all(self) -> None:
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """End."""
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
                # A sender that resets while its bytes are held up takes them back.
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
            sink.transport.abort()
        finally:
            self._writers.discard(sink)
