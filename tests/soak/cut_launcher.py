"""Runs a gateway whose links to servers the soak can cut: `cut_launcher.py [ARGUMENT ...]`.

The file next to the gateway's settings with the suffix `.cut` names the mode of the cut and the
addresses of the servers; without it no link is cut. The cut is made inside the process, since a
proxy's network stack would acknowledge what the server never gets.
"""

from __future__ import annotations

import asyncio
import json
import os
import runpy
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from link_cuts import CutMode, LinkCuts
from milletcourse.gateway.servers.connection_pool import ConnectionPool

SETTINGS_VARIABLE = "MILLETCOURSE_SETTINGS"
PACKAGE = "milletcourse.platform"
POLL_SECONDS = 0.02
NAME = "this-gateway"


class CutControl:
    """Applies the cut that the file names."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._servers: set[str] = set()
        self._text = ""
        self._cuts = LinkCuts(self._servers.__contains__)

    def install(self, pool: ConnectionPool) -> None:
        """Control the connections of a pool."""
        self._cuts.install(NAME, pool)
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            text = self._path.read_text() if self._path.exists() else ""
            if text != self._text:
                self._apply(text)
            await asyncio.sleep(POLL_SECONDS)

    def _apply(self, text: str) -> None:
        if self._text:
            self._cuts.heal(NAME)
        self._text = text
        if text:
            document = json.loads(text)
            self._servers.clear()
            self._servers.update(document["servers"])
            self._cuts.cut(NAME, CutMode(document["mode"]))


def main(arguments: list[str]) -> None:
    """Run a gateway in this process."""
    control = CutControl(Path(os.environ[SETTINGS_VARIABLE]).with_suffix(".cut"))
    create = ConnectionPool.__init__

    def create_controlled(pool: ConnectionPool, *values: Any, **named: Any) -> None:
        create(pool, *values, **named)
        control.install(pool)

    ConnectionPool.__init__ = create_controlled  # type: ignore[method-assign]
    sys.argv = [PACKAGE, *arguments]
    runpy.run_module(PACKAGE, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
