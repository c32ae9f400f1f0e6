"""Stand-ins as servers on loopback TCP, one object each."""

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
    """A stand-in that listens."""

    def __init__(self, application: AsgiApplication, host: str, port: int) -> None:
        self.server = HttpServer(application, host, port)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self.server.address

    async def start(self) -> None:
        """Begin to serve."""
        await self.server.start()

    async def stop(self) -> None:
        """Planned stop."""
        await self.server.stop()


class PlatformServer(StandinServer):
    """The platform."""

    def __init__(self, host: str, port: int) -> None:
        self.app = PlatformApp(PlatformCore(), LoopClock())
        super().__init__(self.app.application, host, port)


class KvStoreServer(StandinServer):
    """A KV store."""

    def __init__(self, host: str, port: int) -> None:
        self.app = KvStoreApp(KvStoreCore(), LoopClock())
        super().__init__(self.app.application, host, port)


class WeightStoreServer(StandinServer):
    """The weight store."""

    def __init__(self, host: str, port: int, load_seconds: float) -> None:
        self.app = WeightStoreApp(LoopClock(), load_seconds)
        super().__init__(self.app.application, host, port)


class ApplicationServer(StandinServer):
    """A server of an application."""

    def __init__(self, host: str, port: int, ledger: AppLedger) -> None:
        self.app = ApplicationApp(ledger, LoopClock())
        super().__init__(self.app.application, host, port)


class EngineServer(StandinServer):
    """An engine with the client that it imports and exports through."""

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
        """Begin to serve and compute."""
        await super().start()
        await self.app.start()

    async def stop(self) -> None:
        """Planned stop: finish what runs."""
        await self.app.stop()
        await super().stop()
        await self._client.close()
