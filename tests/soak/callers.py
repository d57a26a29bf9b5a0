"""Callers of a soak test; each sends requests over a connection to an instance."""

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

HOST_HEADER = "soak.example"
DEADLINE_MS = 1_500
# A request without a response this long after its deadline counts as unanswered.
RESPONSE_GRACE_MS = 3_000
ABANDON_SHARE = 0.04
MAX_ABANDON_DELAY_MS = 15.0
CHUNKED_SHARE = 0.3
NEW_CONNECTION_SHARE = 0.05
RECONNECT_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listener:
    """The listener of an instance, to which the balancer sends a new connection.

    Attributes:
        instance: Name of the instance.
        lifetime: Number of the process run; rises with each restart of the instance.
        port: TCP port on which the instance serves callers.
    """

    instance: str
    lifetime: int
    port: int


class Caller:
    """One caller; `run` is the body of its thread.

    Args:
        number: Unique number of the caller.
        seed: Seed of the run; with `number`, it determines what the caller sends.
        pause_ms: Mean time between two requests.
        record: Receives the requests and their outcomes.
        pick_listener: Returns the listener for a new connection, or None.
        list_paths: Returns the methods and path prefixes to choose from.
    """

    __slots__ = (
        "_name",
        "_random",
        "_pause_ms",
        "_record",
        "_pick_listener",
        "_list_paths",
        "_listener",
        "_connection",
        "_request_count",
    )

    def __init__(
        self,
        *,
        number: int,
        seed: int,
        pause_ms: float,
        record: Record,
        pick_listener: Callable[[], Listener | None],
        list_paths: Callable[[], list[tuple[str, str]]],
    ):
        self._name = f"c{number}"
        self._random = random.Random(seed * 1_000 + number)
        self._pause_ms = pause_ms
        self._record = record
        self._pick_listener = pick_listener
        self._list_paths = list_paths
        self._listener: Listener | None = None
        self._connection: http.client.HTTPConnection | None = None
        self._request_count = 0

    def run(self, stop: threading.Event) -> None:
        """Sends requests until `stop` is set, then closes the connection."""
        while not stop.wait(self._random.expovariate(1.0) * self._pause_ms / 1_000):
            if self._random.random() < NEW_CONNECTION_SHARE:
                self._disconnect()
            if self._connect():
                self._send()
        self._disconnect()

    def _connect(self) -> bool:
        if self._connection is not None:
            return True
        self._listener = self._pick_listener()
        if self._listener is None:
            time.sleep(RECONNECT_PAUSE_S)
            return False
        connection = http.client.HTTPConnection(HOST, self._listener.port, timeout=1)
        try:
            connection.connect()
        except OSError:
            return False
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.sock.settimeout((DEADLINE_MS + RESPONSE_GRACE_MS) / 1_000)
        self._connection = connection
        return True

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _send(self) -> None:
        self._request_count += 1
        method, prefix = self._random.choice(self._list_paths())
        body = b""
        if method == "POST":
            body = (
                f"{self._name}/{self._request_count}".encode()
                * self._random.randint(1, 40)
            )
        request = Request(
            id=f"{self._name}-{self._request_count}",
            path=f"{prefix}{self._request_count:x}",
            method=method,
            body=body,
            instance=self._listener.instance,
            lifetime=self._listener.lifetime,
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
            "Host": HOST_HEADER,
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
            self._disconnect()
            return ConnectionClosed(is_request_sent=False)
        if self._random.random() < ABANDON_SHARE:
            time.sleep(self._random.random() * MAX_ABANDON_DELAY_MS / 1_000)
            self._disconnect()
            return CallerDisconnected()
        return self._read_response()

    def _read_response(self) -> ResponseReceived | ConnectionClosed | ResponseTimedOut:
        try:
            response = self._connection.getresponse()
            body = response.read()
        except TimeoutError:
            self._disconnect()
            return ResponseTimedOut()
        except (OSError, http.client.HTTPException):
            self._disconnect()
            return ConnectionClosed(is_request_sent=True)
        if response.will_close:
            self._disconnect()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return ResponseReceived(status=response.status, headers=headers, body=body)
