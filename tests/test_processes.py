"""Child processes of the fleet helper."""

import os
import socket
import subprocess
import sys

import pytest

from gooseberrystand.processes import Child, Port
from gooseberrystand.server import HOST

STARTER = """
import sys
from pathlib import Path
from gooseberrystand.processes import Child
child = Child(name="child", folder=Path(sys.argv[1]),
              module="gooseberrystand.upstream", arguments=[sys.argv[2]])
child.start(says_ready=True)
child.wait_until_up()
print(flush=True)
sys.stdin.read()
"""


@pytest.mark.processes
def test_child_ends_when_its_parent_is_killed(tmp_path):
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    port = Port()
    starter = subprocess.Popen(
        [sys.executable, "-c", STARTER, str(tmp_path), str(port.number)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=environment,
    )
    starter.stdout.readline()
    with socket.create_connection((HOST, port.number), timeout=20) as connection:
        starter.kill()
        starter.communicate()
        # The connection ends when the child does.
        assert connection.recv(1) == b""
    port.release()


@pytest.mark.processes
def test_frozen_child_can_be_stopped(tmp_path):
    port = Port()
    child = Child(
        name="child",
        folder=tmp_path,
        module="gooseberrystand.upstream",
        arguments=[str(port.number)],
    )
    child.start(says_ready=True)
    child.wait_until_up()
    child.freeze()
    child.request_stop()
    assert child.wait_until_stopped() != 0
    assert child.running is False
    port.release()
