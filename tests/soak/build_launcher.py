"""Runs a gateway with two builds alternately: `build_launcher.py OLD_SRC NEW_SRC [ARGUMENT ...]`.

The first start of a gateway runs the old build; each later start runs the build that the previous
start did not run. A file next to the gateway's settings counts the starts, so processes share no
other state.
"""

from __future__ import annotations

import json
import os
import runpy
import sys
from pathlib import Path

SETTINGS_VARIABLE = "MILLETCOURSE_SETTINGS"
PACKAGE = "milletcourse.platform"


def main(sources: list[str], arguments: list[str]) -> None:
    """Run the next build in this process.

    Args:
        sources: `src` folders of the old and the new build.
        arguments: Command-line arguments of the gateway.
    """
    counter = Path(os.environ[SETTINGS_VARIABLE]).with_suffix(".starts")
    starts = len(counter.read_bytes()) if counter.exists() else 0
    with counter.open("ab") as file:
        file.write(b".")
    source = sources[starts % len(sources)]
    sys.path.insert(0, source)
    print(json.dumps({"event": "build", "source": source}), flush=True)
    sys.argv = [PACKAGE, *arguments]
    runpy.run_module(PACKAGE, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:3], sys.argv[3:])
