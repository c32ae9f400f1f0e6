"""Stand-ins as TCP servers, one class for each kind of back end."""

from __future__ import annotations

import random
import secrets

from milletcourse.runtime.aiohttp_client import AiohttpClient
from milletcourse.runtime.clock import LoopClock
from milletcourse.runtime.server import AsgiApplication, HttpServer
from milletcourse.standins.application import AppLedger, ApplicationApp
from milletcourse.standins.engine_app import EngineApp
from milletcourse.standins.engine_core import EngineCore, EngineProfile
from milletcourse.standins.engine_resources import engine_application
from milletcourse.standins.kv_store import KvStoreApp, KvStoreCore
from milletcourse.standins.platform_app import PlatformApp
from milletcourse.standins.platform_core import PlatformCore
from milletcourse.standins.weight_store import WeightStoreApp


class StandinServer:
    """A stand-in application behind an HTTP server."""

    def __init__(self, application: AsgiApplication, host: str, port: int) -> None:
        self.server = HttpServer(application, host, port)

    @property
    def address(self) -> str:
        """Address as `host:port`."""
        return self.server.address

    async def start(self) -> None:
        """Start the HTTP server."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop the HTTP server gracefully."""
        await self.server.stop()


class PlatformServer(StandinServer):
    """HTTP server of the platform stand-in."""

    def __init__(self, host: str, port: int) -> None:
        self.app = PlatformApp(PlatformCore(), LoopClock())
        super().__init__(self.app.application, host, port)


class KvStoreServer(StandinServer):
    """HTTP server of the KV store stand-in."""

    def __init__(self, host: str, port: int) -> None:
        self.app = KvStoreApp(KvStoreCore(), LoopClock())
        super().__init__(self.app.application, host, port)


class WeightStoreServer(StandinServer):
    """HTTP server of the weight store stand-in."""

    def __init__(self, host: str, port: int, load_seconds: float) -> None:
        self.app = WeightStoreApp(LoopClock(), load_seconds)
        super().__init__(self.app.application, host, port)


class ApplicationServer(StandinServer):
    """HTTP server of the application stand-in."""

    def __init__(self, host: str, port: int, ledger: AppLedger) -> None:
        self.app = ApplicationApp(ledger, LoopClock())
        super().__init__(self.app.application, host, port)


class EngineServer(StandinServer):
    """HTTP server of the engine stand-in, with the client for its imports and exports."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        profile: EngineProfile,
        models: dict[str, str],
        weight_store: str = "",
    ) -> None:
        self._client = AiohttpClient()
        core = EngineCore(profile, secrets.token_hex(8))
        core.loaded.update(models)
        self.app = EngineApp(name, core, LoopClock(), self._client, random.Random(0), weight_store)
        super().__init__(engine_application(self.app), host, port)

    async def start(self) -> None:
        """Start the HTTP server and the computation."""
        await super().start()
        await self.app.start()

    async def stop(self) -> None:
        """Finish running requests, then stop the HTTP server."""
        await self.app.stop()
        await super().stop()
        await self._client.close()
