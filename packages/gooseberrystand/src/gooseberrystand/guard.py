"""Runs a module and ends its process when the parent that started it is gone.

The parent holds the write end of this process's standard input. The system closes it
when the parent ends in any way, so no process survives a killed test run.
"""

import os
import runpy
import sys
import threading

EXIT_PARENT_GONE = 3
READ_BYTES = 4_096


def watch_parent() -> None:
    """Blocks until standard input ends, then ends the process."""
    while os.read(sys.stdin.fileno(), READ_BYTES):
        pass
    os._exit(EXIT_PARENT_GONE)


def main() -> None:
    """Runs the module named by the first argument with the other arguments."""
    threading.Thread(target=watch_parent, name="guard", daemon=True).start()
    module = sys.argv[1]
    sys.argv = sys.argv[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
