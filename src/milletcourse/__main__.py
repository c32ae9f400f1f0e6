"""Run the command line with ``python -m milletcourse``."""

from milletcourse.cli.main import run

if __name__ == "__main__":
    run()
