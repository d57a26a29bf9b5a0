"""Runs one instance with its wall clock shifted by the first argument, in ms."""

import faulthandler
import signal
import sys


def main() -> None:
    """Shifts the wall time of all clocks in this process, then runs the command line.

    SIGHUP is ignored before the imports, as a reload may be signalled that early. A
    crash of the interpreter writes the stacks of all threads to the log.
    """
    faulthandler.enable()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gooseberrymux.__main__ import main as run
    from gooseberrymux.clock import Clock

    skew_ms = int(sys.argv.pop(1))
    read = Clock.wall_ms
    Clock.wall_ms = lambda self: read(self) + skew_ms
    run()


if __name__ == "__main__":
    main()
