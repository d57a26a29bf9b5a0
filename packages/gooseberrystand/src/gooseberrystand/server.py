"""HTTP listener of the stand-ins: one thread a connection, replies that can go wrong.

It uses the standard library's server, which starts in a tenth of a second and allows
connections to be refused and replies to be cut off.
"""

import dataclasses
import http.server
import json
import socketserver
import threading
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
BODY_LIMIT_BYTES = 1_000_000
BACKLOG = 256
# The accept loop never needs to look for a shutdown: the process just ends.
ACCEPT_POLL_S = 3_600.0
CONTROL_PREFIX = "/_"
READY_LINE = "ready"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Call:
    """One HTTP call with its decoded body."""

    method: str
    path: str
    fields: dict[str, str]
    headers: dict[str, str]
    body: dict


@_frozen
class JsonReply:
    """A whole JSON reply."""

    body: dict
    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class TruncatedReply:
    """A reply that ends after half of the announced bytes."""

    reply: JsonReply


@_frozen
class GarbledReply:
    """A reply whose body is not JSON."""

    status: int = 200


@_frozen
class NoReply:
    """The connection is closed without a reply."""


Reply = JsonReply | TruncatedReply | GarbledReply | NoReply


class Application(Protocol):
    """What a listener serves."""

    def open_connection(self) -> bool:
        """Returns whether a new connection is accepted."""

    def prepare_connection(self) -> None:
        """Runs in the connection's thread before its first call."""

    def close_connection(self) -> None:
        """Takes note that an accepted connection has ended."""

    def handle(self, call: Call) -> Reply:
        """Answers a call."""

    def handle_control(self, call: Call) -> Reply:
        """Answers a call of the test that controls the stand-in."""


class Listener(socketserver.ThreadingTCPServer):
    """Serves an application on one port."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(self, *, port: int, application: Application):
        self.application = application
        super().__init__((HOST, port), Connection)

    def start(self) -> None:
        """Accepts connections in a thread of its own."""
        threading.Thread(
            target=self.serve_forever, args=(ACCEPT_POLL_S,), name="accept", daemon=True
        ).start()

    def verify_request(self, request: object, client_address: object) -> bool:
        """Closes a connection at once if the application refuses it."""
        return self.application.open_connection()

    def process_request_thread(self, request: object, client_address: object) -> None:
        """Serves a connection until it ends."""
        try:
            self.application.prepare_connection()
            super().process_request_thread(request, client_address)
        finally:
            self.application.close_connection()

    def handle_error(self, request: object, client_address: object) -> None:
        """Keeps quiet about callers that close their connection."""


class ControlApplication:
    """The control side of an application; no fault of the application reaches it."""

    __slots__ = ("_application",)

    def __init__(self, *, application: Application):
        self._application = application

    def open_connection(self) -> bool:
        """Accepts every connection."""
        return True

    def prepare_connection(self) -> None:
        """Needs no preparation."""

    def close_connection(self) -> None:
        """Counts no connections."""

    def handle(self, call: Call) -> Reply:
        """Passes a call on."""
        return self._application.handle(call)

    def handle_control(self, call: Call) -> Reply:
        """Passes a control call on."""
        return self._application.handle_control(call)


class Connection(http.server.BaseHTTPRequestHandler):
    """Reads calls from one connection and writes replies."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65_536

    def do_GET(self) -> None:
        """Serves a GET."""
        self._serve()

    def do_POST(self) -> None:
        """Serves a POST."""
        self._serve()

    def do_PUT(self) -> None:
        """Serves a PUT."""
        self._serve()

    def do_DELETE(self) -> None:
        """Serves a DELETE."""
        self._serve()

    def log_message(self, format: str, *arguments: object) -> None:
        """Logs no calls."""

    def _serve(self) -> None:
        application = self.server.application
        call = self._read_call()
        if isinstance(call, JsonReply):
            self.close_connection = True
            self._write(call)
        elif call.path.startswith(CONTROL_PREFIX):
            self._write(application.handle_control(call))
        else:
            self._write(application.handle(call))

    def _read_call(self) -> Call | JsonReply:
        length = int(self.headers.get("Content-Length") or 0)
        if length > BODY_LIMIT_BYTES:
            return create_error(413, "too_large", f"limit {BODY_LIMIT_BYTES} bytes")
        data = self.rfile.read(length)
        parts = urlsplit(self.path)
        try:
            body = json.loads(data) if data else {}
        except ValueError:
            body = None
        if not isinstance(body, dict):
            return create_error(400, "malformed_request", "not a JSON object")
        return Call(
            method=self.command,
            path=parts.path,
            fields={key: values[0] for key, values in parse_qs(parts.query).items()},
            headers={key.lower(): value for key, value in self.headers.items()},
            body=body,
        )

    def _write(self, reply: Reply) -> None:
        match reply:
            case JsonReply(body=body, status=status, headers=headers):
                self._write_bytes(status, json.dumps(body).encode(), headers)
            case TruncatedReply(reply=whole):
                data = json.dumps(whole.body).encode()
                self.close_connection = True
                self._write_bytes(
                    whole.status,
                    data[: len(data) // 2],
                    {**whole.headers, "Content-Length": str(len(data))},
                )
            case GarbledReply(status=status):
                self._write_bytes(status, b"\x00\xff{not json", {})
            case NoReply():
                self.close_connection = True

    def _write_bytes(self, status: int, data: bytes, headers: dict[str, str]) -> None:
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        for name, value in {"Content-Length": str(len(data)), **headers}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


def create_error(status: int, code: str, message: str) -> JsonReply:
    """Returns a typed JSON error."""
    return JsonReply(
        status=status,
        body={"error": {"code": code, "message": message, "run_state": "not_run"}},
    )


def serve(*, port: int, control_port: int, application: Application) -> None:
    """Serves an application and its control side until the process ends.

    Writes a line to standard output once both ports accept connections.
    """
    if control_port:
        control = ControlApplication(application=application)
        Listener(port=control_port, application=control).start()
    listener = Listener(port=port, application=application)
    print(READY_LINE, flush=True)
    listener.serve_forever(ACCEPT_POLL_S)
