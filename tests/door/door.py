"""An instance as a process of its own, and hostile callers that crowd its listeners."""

import contextlib
import json
import os
import resource
import socket
import threading
from pathlib import Path

from gooseberrymux.clock import Clock
from gooseberrystand.members import create_instance, create_platform
from gooseberrystand.processes import ReservedPort
from gooseberrystand.server import HOST
from http_scripted import HttpCaller, HttpUpstream, create_route

# The lowered limits. Process memory may rise by the budget plus what the interpreter,
# its allocator and the answering of one ordinary request take in any case.
MEMORY_BUDGET_BYTES = 8 * 1024 * 1024
FIXED_OVERHEAD_BYTES = 8 * 1024 * 1024
# More than one crowd; the test of many connections opens more.
CONNECTION_LIMIT = 150
# Descriptors that an instance opens for its own work while the test runs: links, the
# store, the upstream, health checks and the administration.
OWN_DESCRIPTORS = 40
LIMITS = {
    "caller_limits": {
        "memory_bytes": MEMORY_BUDGET_BYTES,
        "connections": CONNECTION_LIMIT,
    }
}

CROWD = 100
ATTEMPTS = 40
ATTEMPT_PAUSE_MS = 250
# Ends a test whose instance hangs; nothing is measured with it.
HANG_TIMEOUT_S = 8
START_ATTEMPTS = 400
START_PAUSE_MS = 50
ROUTE_PATH = "/a/x"
LARGE_PATH = "/a/large"
LARGE_ANSWER_BYTES = 262_144
UNKNOWN_PATH = "/nowhere"
READY_PATH = "/-/ready"
ADMINISTRATION_PATH = "/v1/configuration"
KIB = 1024


class Door:
    """A running instance with one route, its store and one upstream.

    Attributes:
        ports: Ports of the listeners by name: callers, health, administration, peers.
    """

    def __init__(self, folder: Path, settings: dict):
        self._clock = Clock()
        reserved = [ReservedPort() for _ in range(6)]
        self._reserved = reserved
        callers, health, administration, peers, store, control = (
            port.number for port in reserved
        )
        self.ports = {
            "callers": callers,
            "health": health,
            "administration": administration,
            "peers": peers,
        }
        self._upstream = HttpUpstream(answer)
        self._store = create_platform(folder=folder, port=store, control_port=control)
        own = {
            "gateway": {
                "callers": {"host": HOST, "port": callers},
                "health": {"host": HOST, "port": health},
            },
            "services": ["gateway", "admin"],
        }
        self._instance = create_instance(
            name="entry",
            number=0,
            folder=folder,
            # The listener of the API for callers, which is not loaded.
            ports=(0, administration, peers),
            platform_url=f"http://{HOST}:{store}",
            overrides=[own, settings],
        )
        self._write_objects(folder)
        self.memory_before = 0
        self.descriptors_before = 0

    def _write_objects(self, folder: Path) -> None:
        record = {
            "name": "u",
            "host": HOST,
            "port": self._upstream.port,
            "service": "s",
            "failure_domain": "domain-a",
            "slots": 16,
            "connections": 16,
            "labels": {},
        }
        objects = {
            "routes/current": {"generation": 1, "routes": [create_route()]},
            "instances": {
                "generation": 1,
                "upstreams": [record],
                "instances": [self._instance.record],
            },
        }
        (folder / "objects.json").write_text(json.dumps(objects))

    def start(self) -> None:
        """Starts the processes; returns once each listener has answered a request."""
        self._store.start(reports_ready=True)
        self._store.wait_until_listening()
        self._instance.child.start()
        for _ in range(START_ATTEMPTS):
            if self.ask("health", READY_PATH) == 200:
                break
            self._clock.sleep_ms(START_PAUSE_MS)
        assert self.ask_until_answered("callers", ROUTE_PATH) == 200, self.read_log()
        assert self.ask("administration", ADMINISTRATION_PATH) == 401
        self.memory_before = self.read_memory("VmRSS")
        self.descriptors_before = self.count_descriptors()

    def stop(self) -> None:
        """Kills the processes that `start` started."""
        self._instance.child.kill()
        self._store.kill()
        self._upstream.close()
        for port in self._reserved:
            port.release()

    def limit_descriptors(self, more: int) -> None:
        """Lets the instance open only `more` descriptors beside those it has now."""
        limit = self.descriptors_before + more
        resource.prlimit(
            self._instance.child.pid, resource.RLIMIT_NOFILE, (limit, limit)
        )

    # What a test checks.

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self._instance.child.running

    def read_memory(self, field: str) -> int:
        """Returns resident memory in bytes; `VmHWM` is the most there ever was."""
        status = Path(f"/proc/{self._instance.child.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(field))
        return int(line.split()[1]) * KIB

    def count_descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self._instance.child.pid}/fd"))

    def read_log(self) -> str:
        """Returns the end of the instance's log."""
        return self._instance.child.log_path.read_text()[-500:]

    # Callers.

    def connect(self, listener: str) -> socket.socket:
        """Opens a connection to a listener."""
        return socket.create_connection(
            (HOST, self.ports[listener]), timeout=HANG_TIMEOUT_S
        )

    def ask(self, listener: str, path: str) -> int | None:
        """Sends an ordinary request; returns its status, or None without an answer."""
        with contextlib.suppress(OSError):
            caller = HttpCaller((HOST, self.ports[listener]))
            try:
                return caller.get(path, connection="close")[0]
            finally:
                caller.close()
        return None

    def ask_until_answered(self, listener: str, path: str) -> int | None:
        """Asks like a caller that returns after a refusal; returns the last status."""
        status = None
        for _ in range(ATTEMPTS):
            status = self.ask(listener, path)
            if status not in (None, 503):
                break
            self._clock.sleep_ms(ATTEMPT_PAUSE_MS)
        return status


def answer(request) -> None:
    """Replies as the upstream: a large body to `LARGE_PATH`, a small one otherwise."""
    is_large = request.target == LARGE_PATH
    request.reply(200, b"a" * LARGE_ANSWER_BYTES if is_large else b"served")


class Crowd:
    """Hostile callers, each a thread that sends all of its pieces and then stays.

    Args:
        door: The instance.
        listener: Name of the listener that they connect to.
        pieces: What each of them sends, one write for each piece.
        size: Number of callers.
    """

    def __init__(self, door: Door, listener: str, pieces: list[bytes], size=CROWD):
        self._door = door
        self._listener = listener
        self._pieces = pieces
        self._sockets: list[socket.socket] = []
        self._threads = [
            threading.Thread(target=self._send, daemon=True) for _ in range(size)
        ]

    def __enter__(self) -> "Crowd":
        """Starts the callers; returns when each has sent all or can send no more."""
        for thread in self._threads:
            thread.start()
        for thread in self._threads:
            thread.join()
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._sockets:
            sock.close()

    def _send(self) -> None:
        # The instance may refuse the connection, close it, or stop to read from it.
        with contextlib.suppress(OSError):
            sock = self._door.connect(self._listener)
            self._sockets.append(sock)
            for piece in self._pieces:
                sock.sendall(piece)
