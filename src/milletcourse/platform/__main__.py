"""Runs a gateway on the users' platform: `python3 -m milletcourse.platform`."""

from __future__ import annotations

import signal
import sys


def main(arguments: list[str]) -> None:
    """Start a gateway; see `milletcourse.platform.start` for the arguments."""
    # Imports take most of the start-up time. A SIGHUP that arrives meanwhile must not end the
    # process; it may be ignored, since the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from milletcourse.platform.start import start

    start(arguments)


if __name__ == "__main__":
    main(sys.argv[1:])
