"""Runs one instance whose wall clock is off by the first argument, in milliseconds."""

import signal
import sys


def main() -> None:
    """Shifts the wall time of every clock of this process and runs the command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gooseberrymux.__main__ import main as run
    from gooseberrymux.clock import Clock

    skew_ms = int(sys.argv.pop(1))
    read = Clock.wall_ms
    Clock.wall_ms = lambda self: read(self) + skew_ms
    run()


if __name__ == "__main__":
    main()
