"""Runs one instance whose wall clock is off by the first argument, in milliseconds."""

import sys

from gooseberrymux.clock import Clock
from gooseberrymux.main import app


def shift_wall_clock(skew_ms: int) -> None:
    """Has every clock of this process read a wall time that is off."""
    read = Clock.wall_ms
    Clock.wall_ms = lambda self: read(self) + skew_ms


if __name__ == "__main__":
    shift_wall_clock(int(sys.argv.pop(1)))
    app()
