"""HTTP listener of the stand-ins: a thread for each connection, and faulty replies.

The listener extends the standard library's server, which starts in a tenth of a second
and allows connections to be refused and replies to be cut off.
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
LISTEN_BACKLOG = 256
# Accept loops run until the process ends and never need to notice a shutdown.
SHUTDOWN_POLL_INTERVAL_S = 3_600.0
CONTROL_PATH_PREFIX = "/_"
READY_LINE = "ready"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Call:
    """One HTTP call with its decoded body.

    Names of headers are in lower case; of a repeated query parameter the first value
    counts.
    """

    method: str
    path: str
    query_parameters: dict[str, str]
    headers: dict[str, str]
    body: dict


@_frozen
class JsonReply:
    """A complete JSON reply."""

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
class RawReply:
    """A reply whose body is sent as it is."""

    data: bytes
    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class NoReply:
    """The connection is closed without a reply."""


Reply = JsonReply | TruncatedReply | GarbledReply | RawReply | NoReply


class Application(Protocol):
    """Interface of what a listener serves.

    `accept_connection` runs in the accept thread, all else in the threads of the
    connections.
    """

    def accept_connection(self) -> bool:
        """Returns whether a new connection is accepted; the listener closes others."""

    def prepare_connection(self) -> None:
        """Prepares an accepted connection before its first call is read; may block."""

    def release_connection(self) -> None:
        """Releases the resources of an accepted connection when it has ended."""

    def handle(self, call: Call) -> Reply:
        """Answers a call."""

    def handle_control(self, call: Call) -> Reply:
        """Answers a control call, with which tests set faults and read counts."""


class Listener(socketserver.ThreadingTCPServer):
    """Serves an application on one port."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, *, port: int, application: Application):
        self.application = application
        super().__init__((HOST, port), ConnectionHandler)

    def start(self) -> None:
        """Starts a daemon thread that accepts connections."""
        threading.Thread(
            target=self.serve_forever,
            args=(SHUTDOWN_POLL_INTERVAL_S,),
            name="accept",
            daemon=True,
        ).start()

    def verify_request(self, request: object, client_address: object) -> bool:
        """Closes a connection at once if the application refuses it."""
        return self.application.accept_connection()

    def process_request_thread(self, request: object, client_address: object) -> None:
        """Serves an accepted connection in its own thread until it ends."""
        try:
            self.application.prepare_connection()
            super().process_request_thread(request, client_address)
        finally:
            self.application.release_connection()

    def handle_error(self, request: object, client_address: object) -> None:
        """Prints no traceback, as clients may close their connection at any time."""


class ControlApplication:
    """Serves an application on its control port without its connection handling.

    Connections are neither limited, refused nor delayed there, so that control calls
    work during an outage.
    """

    __slots__ = ("_application",)

    def __init__(self, *, application: Application):
        self._application = application

    def accept_connection(self) -> bool:
        """Accepts every connection."""
        return True

    def prepare_connection(self) -> None:
        """Needs no preparation."""

    def release_connection(self) -> None:
        """Counts no connections."""

    def handle(self, call: Call) -> Reply:
        """Passes a call on to the application."""
        return self._application.handle(call)

    def handle_control(self, call: Call) -> Reply:
        """Passes a control call on to the application."""
        return self._application.handle_control(call)


class ConnectionHandler(http.server.BaseHTTPRequestHandler):
    """Reads calls from one connection and writes replies."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65_536

    def do_GET(self) -> None:
        """Serves a GET."""
        self._handle_call()

    def do_POST(self) -> None:
        """Serves a POST."""
        self._handle_call()

    def do_PUT(self) -> None:
        """Serves a PUT."""
        self._handle_call()

    def do_DELETE(self) -> None:
        """Serves a DELETE."""
        self._handle_call()

    def log_message(self, format: str, *arguments: object) -> None:
        """Suppresses the access log of the base class."""

    def _handle_call(self) -> None:
        application = self.server.application
        call = self._read_call()
        if isinstance(call, JsonReply):
            self.close_connection = True
            self._write_reply(call)
        elif call.path.startswith(CONTROL_PATH_PREFIX):
            self._write_reply(application.handle_control(call))
        else:
            self._write_reply(application.handle(call))

    def _read_call(self) -> Call | JsonReply:
        length = int(self.headers.get("Content-Length") or 0)
        if length > BODY_LIMIT_BYTES:
            return create_error(
                413, "too_large", f"the body exceeds {BODY_LIMIT_BYTES} bytes"
            )
        data = self.rfile.read(length)
        url = urlsplit(self.path)
        try:
            body = json.loads(data) if data else {}
        except ValueError:
            body = None
        if not isinstance(body, dict):
            return create_error(
                400, "malformed_request", "the body is not a JSON object"
            )
        return Call(
            method=self.command,
            path=url.path,
            query_parameters={
                key: values[0] for key, values in parse_qs(url.query).items()
            },
            headers={key.lower(): value for key, value in self.headers.items()},
            body=body,
        )

    def _write_reply(self, reply: Reply) -> None:
        match reply:
            case JsonReply(body=body, status=status, headers=headers):
                self._write_bytes(status, json.dumps(body).encode(), headers)
            case TruncatedReply(reply=complete):
                data = json.dumps(complete.body).encode()
                self.close_connection = True
                self._write_bytes(
                    complete.status,
                    data[: len(data) // 2],
                    {**complete.headers, "Content-Length": str(len(data))},
                )
            case GarbledReply(status=status):
                self._write_bytes(status, b"\x00\xff{not json", {})
            case RawReply(data=data, status=status, headers=headers):
                self._write_bytes(status, data, headers)
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
    """Returns a JSON error reply to a call that was not run."""
    return JsonReply(
        status=status,
        body={"error": {"code": code, "message": message, "run_state": "not_run"}},
    )


def serve(*, port: int, control_port: int, application: Application) -> None:
    """Serves an application and its control port until the process ends.

    Writes `READY_LINE` to standard output once both ports accept connections. With 0 as
    `control_port` there is no control port.
    """
    if control_port:
        control = ControlApplication(application=application)
        Listener(port=control_port, application=control).start()
    listener = Listener(port=port, application=application)
    print(READY_LINE, flush=True)
    listener.serve_forever(SHUTDOWN_POLL_INTERVAL_S)
