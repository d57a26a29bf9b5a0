"""Command line entry point that survives a reload signal during the start.

The signal handlers are installed only after all modules are loaded, which takes a
second on a machine of half a core. Until then the default action of SIGHUP would end
the process.
"""

import signal


def main() -> None:
    """Ignores SIGHUP until an instance installs its handlers, and runs the command."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gooseberrymux.main import app

    app()


if __name__ == "__main__":
    main()
