"""Start of an instance: signals that arrive before its handlers are installed."""

import signal
import subprocess
import sys


def test_a_reload_signal_during_the_start_does_not_end_the_process():
    # Guards against a reload signal, sent after a change of the settings, that ends a
    # starting instance. The signal is sent when `gooseberrymux.main` is about to be
    # imported.
    code = (
        "import os, signal, sys, importlib.abc\n"
        "class Sender(importlib.abc.MetaPathFinder):\n"
        "    def find_spec(self, name, path, target=None):\n"
        "        if name == 'gooseberrymux.main':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Sender())\n"
        "sys.argv = ['gooseberrymux', 'run', '--settings', 'no such file']\n"
        "from gooseberrymux.__main__ import main\n"
        "main()\n"
    )
    run = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert run.returncode == 2, (run.returncode, signal.SIGHUP, run.stderr[-500:])
