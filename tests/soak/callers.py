"""Callers of a soak: each keeps a connection to an instance and sends requests."""

import dataclasses
import http.client
import random
import socket
import threading
import time
from collections.abc import Callable

from gooseberrystand.server import HOST
from soak.record import (
    CallerDisconnected,
    ConnectionClosed,
    Record,
    Request,
    ResponseReceived,
    ResponseTimedOut,
)
from soak.upstreams import now_ms

HOST_NAME = "soak.example"
DEADLINE_MS = 1_500
# An answer that is missing so long after the deadline counts as none.
SILENCE_MS = 3_000
LEAVE_SHARE = 0.04
LEAVE_MS = 15.0
CHUNKED_SHARE = 0.3
NEW_CONNECTION_SHARE = 0.05
REDIAL_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Door:
    """Where a balancer sends a new connection.

    Attributes:
        instance: Name of the instance.
        lifetime: Number of its run.
        port: Where it serves callers.
    """

    instance: str
    lifetime: int
    port: int


class Caller:
    """One caller; `run` is the body of its thread.

    Args:
        number: Tells callers apart.
        seed: Decides what it sends.
        pause_ms: Mean time between two requests.
        record: Gets the requests.
        pick_door: Returns where a new connection goes, or None.
        list_paths: Returns the path prefixes that may be asked for, with their method.
    """

    __slots__ = (
        "_name",
        "_random",
        "_pause_ms",
        "_record",
        "_pick_door",
        "_list_paths",
        "_door",
        "_connection",
        "_count",
    )

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        pause_ms: float,
        record: Record,
        pick_door: Callable[[], Door | None],
        list_paths: Callable[[], list[tuple[str, str]]],
    ):
        self._name = f"c{number}"
        self._random = random.Random(seed * 1_000 + number)
        self._pause_ms = pause_ms
        self._record = record
        self._pick_door = pick_door
        self._list_paths = list_paths
        self._door: Door | None = None
        self._connection: http.client.HTTPConnection | None = None
        self._count = 0

    def run(self, stop: threading.Event) -> None:
        """Sends requests until the stop."""
        while not stop.wait(self._random.expovariate(1.0) * self._pause_ms / 1_000):
            if self._random.random() < NEW_CONNECTION_SHARE:
                self._hang_up()
            if self._connect():
                self._send()
        self._hang_up()

    def _connect(self) -> bool:
        if self._connection is not None:
            return True
        self._door = self._pick_door()
        if self._door is None:
            time.sleep(REDIAL_PAUSE_S)
            return False
        connection = http.client.HTTPConnection(HOST, self._door.port, timeout=1)
        try:
            connection.connect()
        except OSError:
            return False
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sock.settimeout((DEADLINE_MS + SILENCE_MS) / 1_000)
        self._connection = connection
        return True

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send(self) -> None:
        self._count += 1
        method, prefix = self._random.choice(self._list_paths())
        body = b""
        if method == "POST":
            body = f"{self._name}/{self._count}".encode() * self._random.randint(1, 40)
        request = Request(
            id=f"{self._name}-{self._count}",
            path=f"{prefix}{self._count:x}",
            method=method,
            body=body,
            instance=self._door.instance,
            lifetime=self._door.lifetime,
            deadline_ms=DEADLINE_MS,
            sent_ms=now_ms(),
        )
        self._record.append_event(request)
        request.outcome = self._exchange(request)
        request.ended_ms = now_ms()

    def _exchange(
        self, request: Request
    ) -> ResponseReceived | ConnectionClosed | ResponseTimedOut | CallerDisconnected:
        connection = self._connection
        chunked = request.body and self._random.random() < CHUNKED_SHARE
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request.id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            connection.request(
                request.method,
                request.path,
                iter([request.body[:7], request.body[7:]]) if chunked else request.body,
                headers,
            )
        except OSError:
            self._hang_up()
            return ConnectionClosed(is_request_sent=False)
        if self._random.random() < LEAVE_SHARE:
            time.sleep(self._random.random() * LEAVE_MS / 1_000)
            self._hang_up()
            return CallerDisconnected()
        return self._read()

    def _read(self) -> ResponseReceived | ConnectionClosed | ResponseTimedOut:
        try:
            response = self._connection.getresponse()
            body = response.read()
        except TimeoutError:
            self._hang_up()
            return ResponseTimedOut()
        except (OSError, http.client.HTTPException):
            self._hang_up()
            return ConnectionClosed(is_request_sent=True)
        if response.will_close:
            self._hang_up()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return ResponseReceived(status=response.status, headers=headers, body=body)
