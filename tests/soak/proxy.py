"""A TCP proxy on loopback that can hold bytes up, delay them, refuse and reset."""

from __future__ import annotations

import asyncio
import time

HOST = "127.0.0.1"
CHUNK_BYTES = 65536


class FaultProxy:
    """Stands before one address; faults are switched from outside."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_seconds = 0.0
        self.address = ""
        self._cuts: list[tuple[float, float]] = []
        self._cut_at: float | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Bytes are held up until `heal`."""
        self._open.clear()
        self._cut_at = time.monotonic() if self._cut_at is None else self._cut_at

    def heal(self) -> None:
        """Bytes flow, and no delay is left."""
        self.delay_seconds = 0.0
        self._open.set()
        if self._cut_at is not None:
            self._cuts.append((self._cut_at, time.monotonic()))
            self._cut_at = None

    def was_cut(self, begin: float, end: float) -> bool:
        """Whether bytes were held up at some time of a stretch; in monotonic seconds."""
        if self._cut_at is not None and self._cut_at <= end:
            return True
        return any(first <= end and last >= begin for first, last in self._cuts)

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
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                # A sender that resets while its bytes are held up takes them back.
                if not self._open.is_set():
                    await self._open.wait()
                    if source.exception() is not None:
                        raise ConnectionResetError
                sink.write(data)
                await sink.drain()
            sink.close()
        except (OSError, asyncio.CancelledError):
            sink.transport.abort()
        finally:
            self._writers.discard(sink)
