"""Tests of child processes: their end with the parent, and stopping a frozen one."""

import os
import socket
import subprocess
import sys

import pytest

from gooseberrystand.processes import Child, ReservedPort
from gooseberrystand.server import HOST

PARENT_SCRIPT = """
import sys
from pathlib import Path
from gooseberrystand.processes import Child
child = Child(name="child", folder=Path(sys.argv[1]),
              module="gooseberrystand.upstream", arguments=[sys.argv[2]])
child.start(reports_ready=True)
child.wait_until_listening()
print(flush=True)
sys.stdin.read()
"""


@pytest.mark.processes
def test_child_ends_when_its_parent_is_killed(tmp_path):
    """Guards against child processes that stay behind after a killed test run."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    port = ReservedPort()
    parent = subprocess.Popen(
        [sys.executable, "-c", PARENT_SCRIPT, str(tmp_path), str(port.number)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=environment,
    )
    parent.stdout.readline()
    with socket.create_connection((HOST, port.number), timeout=20) as connection:
        parent.kill()
        parent.communicate()
        # The child never closes this connection, so its end means that the child ended.
        # If the child had not accepted it yet, the system ends it with a reset.
        try:
            received = connection.recv(1)
        except ConnectionResetError:
            received = b""
        assert received == b""
    port.release()


@pytest.mark.processes
def test_frozen_child_can_be_stopped(tmp_path):
    """Guards against SIGTERM staying pending in a process suspended by SIGSTOP."""
    port = ReservedPort()
    child = Child(
        name="child",
        folder=tmp_path,
        module="gooseberrystand.upstream",
        arguments=[str(port.number)],
    )
    child.start(reports_ready=True)
    child.wait_until_listening()
    child.freeze()
    child.request_stop()
    assert child.wait_until_stopped() != 0
    assert child.running is False
    port.release()
