"""Runs a gateway on the users' platform: `python3 -m milletcourse.platform`."""

from __future__ import annotations

import signal
import sys


def main(arguments: list[str]) -> None:
    """Start a gateway; see `milletcourse.platform.start` for the arguments."""
    # Most of a start is importing. A reload that is asked for meanwhile must not end the process:
    # the settings are read after it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from milletcourse.platform.start import start

    start(arguments)


if __name__ == "__main__":
    main(sys.argv[1:])
