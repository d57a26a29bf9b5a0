"""Runs a module in this process and exits when the parent process has ended.

The parent holds the write end of the pipe on standard input and writes nothing to it.
The system closes that end however the parent ends, so a killed test run leaves no child
processes behind.
"""

import os
import runpy
import sys
import threading

EXIT_PARENT_GONE = 3
READ_BYTES = 4_096


def watch_parent() -> None:
    """Blocks until end of file on standard input, then exits at once."""
    while os.read(sys.stdin.fileno(), READ_BYTES):
        pass
    os._exit(EXIT_PARENT_GONE)


def main() -> None:
    """Runs the module named by the first argument, passing on the other arguments."""
    threading.Thread(target=watch_parent, name="guard", daemon=True).start()
    module = sys.argv[1]
    sys.argv = sys.argv[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
