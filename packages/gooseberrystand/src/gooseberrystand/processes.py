"""Child processes of a fleet and the ports reserved for them."""

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
    """A process of a fleet did not become ready, or a control call to it failed."""


class ReservedPort:
    """An ephemeral port, reserved for one child process until `release`.

    The socket stays bound without listening, so that the system does not assign the
    port to an outgoing connection. The child can bind it too because both sockets set
    SO_REUSEADDR.
    """

    __slots__ = ("number", "_reservation")

    def __init__(self):
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((HOST, 0))
        self.number: int = self._reservation.getsockname()[1]

    def release(self) -> None:
        """Closes the socket that reserves the port."""
        self._reservation.close()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One JSON line of the log of a child process."""

    message_type: str
    fields: dict


class Child:
    """Runs a Python module as a child process that ends when this process ends.

    A child can be started again after its process has ended.

    Attributes:
        name: Name of the child and, with the suffix `.log`, of its log file.
        process: The process of the latest start; None before the first.
        log_path: File with the output and JSON log lines of all starts.
    """

    __slots__ = ("name", "process", "log_path", "_module", "_arguments", "_frozen")

    def __init__(self, *, name: str, folder: Path, module: str, arguments: list[str]):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._module = module
        self._arguments = arguments
        self._frozen = False
        self.process: subprocess.Popen | None = None

    def start(self, *, reports_ready: bool = False) -> None:
        """Starts the process.

        Args:
            reports_ready: The module writes `READY_LINE` to standard output once it
                listens. Standard output is then a pipe, which `wait_until_listening`
                reads, instead of the log file.
        """
        # The child imports packages from the same paths as this process.
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
                stdout=subprocess.PIPE if reports_ready else log,
                stderr=log,
                env=environment,
            )
        self._frozen = False

    def wait_until_listening(self) -> None:
        """Blocks until a child started with `reports_ready` listens on its ports.

        Raises:
            FleetError: The process ended, or wrote another line first.
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
        """Whether the child has been started and its latest process has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the latest start."""
        return self.process.pid

    def freeze(self) -> None:
        """Suspends the process (SIGSTOP) until `thaw`."""
        self._frozen = True
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a frozen process (SIGCONT)."""
        self._frozen = False
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process (SIGKILL) and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self._reap(None)

    def request_stop(self) -> None:
        """Sends SIGTERM without waiting for the end; resumes a frozen process first."""
        if self.running:
            if self._frozen:
                self.thaw()
            self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Blocks until the process ends, without a timeout; returns its exit code."""
        return self._reap(None)

    def wait_until_stopped(self) -> int:
        """Waits for the end of the process and returns its exit code.

        Kills a process that is still running after `STOP_TIMEOUT_S`.
        """
        try:
            return self._reap(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self._reap(None)

    def read_log(self, message_type: str | None = None) -> list[LogLine]:
        """Returns the JSON lines of the log, all or those of one message type.

        Lines that are not JSON objects, such as tracebacks, are skipped.
        """
        log_lines = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if not isinstance(fields, dict):
                continue
            line_type = str(fields.get("message_type", ""))
            if message_type in (None, line_type):
                log_lines.append(LogLine(message_type=line_type, fields=fields))
        return log_lines

    def _reap(self, timeout_s: float | None) -> int:
        exit_code = self.process.wait(timeout_s)
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None:
                stream.close()
        return exit_code
