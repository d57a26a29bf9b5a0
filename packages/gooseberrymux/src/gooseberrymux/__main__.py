"""Starts the command line so that a reload signal during the start ends nothing.

The handlers are in place only after all modules are loaded, which takes a second on a
machine of half a core; until then the system's default would end the process.
"""

import signal


def main() -> None:
    """Ignores reload signals until an instance handles them, and runs the command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gooseberrymux.main import app

    app()


if __name__ == "__main__":
    main()
