"""Child processes of the fleet helper: start, wait, freeze, stop; ports for them."""

import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import IO

from gooseberrymux.errors import MuxError
from gooseberrystand.server import HOST, READY_LINE

STOP_TIMEOUT_S = 20


class FleetError(MuxError):
    """A process did not start, answer or stop in time."""


class Port:
    """A port that the system gave out, reserved for one child process.

    The socket stays bound without listening, so that the system gives the port to no
    outgoing connection; the child binds it too, by address reuse.
    """

    __slots__ = ("number", "_reservation")

    def __init__(self):
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((HOST, 0))
        self.number: int = self._reservation.getsockname()[1]

    def release(self) -> None:
        """Gives the port back."""
        self._reservation.close()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One JSON line of a process's log."""

    message_type: str
    fields: dict


class Child:
    """One Python module run as a child process that ends with this process.

    Attributes:
        name: Name of the process and of its log file.
        process: The process of the latest start.
        log_path: Its output and its JSON log lines, over all starts.
    """

    __slots__ = ("name", "process", "log_path", "_module", "_arguments", "_frozen")

    def __init__(self, *, name: str, folder: Path, module: str, arguments: list[str]):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._module = module
        self._arguments = arguments
        self._frozen = False
        self.process: subprocess.Popen | None = None

    def start(self, *, says_ready: bool = False) -> None:
        """Starts the process.

        Args:
            says_ready: The module writes a line once it listens; see `wait_until_up`.
        """
        # Children import the same packages as this process.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "gooseberrystand.guard",
                    self._module,
                    *self._arguments,
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE if says_ready else log,
                stderr=log,
                env=environment,
            )
        self._frozen = False

    def wait_until_up(self) -> None:
        """Blocks until the module says that it listens.

        Raises:
            FleetError: The process ended instead.
        """
        stream: IO[bytes] = self.process.stdout
        if stream.readline().decode().strip() != READY_LINE:
            raise FleetError(
                step="fleet.start",
                peer=self.name,
                message=self.log_path.read_text()[-500:],
            )

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the latest start."""
        return self.process.pid

    def freeze(self) -> None:
        """Stops the process from running without ending it."""
        self._frozen = True
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a frozen process run on."""
        self._frozen = False
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None:
            self.process.kill()
            self._collect(None)

    def request_stop(self) -> None:
        """Asks the process to stop, without waiting."""
        if self.running:
            if self._frozen:
                self.thaw()
            self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Blocks until the process ends by itself; returns its exit code."""
        return self._collect(None)

    def wait_until_stopped(self) -> int:
        """Returns the exit code; kills a process that does not stop in time."""
        try:
            return self._collect(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self._collect(None)

    def read_log(self, message_type: str | None = None) -> list[LogLine]:
        """Returns the JSON lines of the log, all or those of one type."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if not isinstance(fields, dict):
                continue
            named = str(fields.get("message_type", ""))
            if message_type in (None, named):
                found.append(LogLine(message_type=named, fields=fields))
        return found

    def _collect(self, timeout_s: float | None) -> int:
        code = self.process.wait(timeout_s)
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None:
                stream.close()
        return code
