"""HTTP support shared by the APIs: cheroot server, JSON bodies, typed errors."""

import contextlib
import dataclasses
import json
import socket
import threading
from collections.abc import Callable, Iterable

import cheroot.makefile
import cheroot.server
import cheroot.wsgi
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.accept_loop import (
    AcceptLoop,
    ConnectionSet,
    LimitedConnection,
    end_connection,
)
from gooseberrymux.caller_budget import IDLE, READING
from gooseberrymux.caller_memory import CallerConnections
from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.kernel import Kernel
from gooseberrymux.settings import Address

SHUTDOWN_TIMEOUT_S = 5
# Longest wait for more bytes of a request, and for the next request.
REQUEST_TIMEOUT_S = 10
HEADER_LIMIT_BYTES = 16 * 1024
LISTEN_BACKLOG = 256
STOP_WAKE_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One HTTP request with its body still unread.

    Attributes:
        method: The method, in capitals.
        path: The decoded path, without the query string.
        query: The query string; may be empty.
        headers: Values by name in lower case.
        environ: The WSGI environment, from which the body is read.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    environ: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """One HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


def create_server(
    *,
    address: Address,
    threads: int,
    handle: Callable[[Request], Response],
    clock: Clock,
) -> cheroot.wsgi.Server:
    """Returns an HTTP server, not yet listening, that calls `handle` for each request.

    A connection is served by one worker thread, of which there are `threads`.
    """
    server = cheroot.wsgi.Server(
        (address.host, address.port),
        create_application(handle),
        numthreads=threads,
        request_queue_size=LISTEN_BACKLOG,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.max_request_header_size = HEADER_LIMIT_BYTES
    server.ConnectionClass = HeaderLimitedConnection
    server.clock = clock
    return server


def create_limited_server(
    *,
    address: Address,
    handle: Callable[[Request], Response],
    kernel: Kernel,
    connections: CallerConnections,
) -> "LimitedServer":
    """Returns an HTTP server, not yet listening, with a thread for each connection.

    Unlike with a fixed number of threads, slow callers do not block others; at the
    limit of connections, the slowest one is closed.

    Args:
        address: Address to listen on.
        handle: Handles a request.
        kernel: Spawns the threads.
        connections: Accounts of the connections.
    """
    server = LimitedServer(
        (address.host, address.port),
        create_application(handle),
        numthreads=1,
        request_queue_size=LISTEN_BACKLOG,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.max_request_header_size = HEADER_LIMIT_BYTES
    server.timeout = REQUEST_TIMEOUT_S
    server.kernel = kernel
    server.clock = kernel.clock
    server.connections = connections
    server.connection_set = ConnectionSet(clock=kernel.clock)
    return server


def create_application(handle: Callable[[Request], Response]) -> Callable:
    """Returns the WSGI application that calls `handle` for each request."""

    def application(environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = run_handler(parse_environ(environ), handle)
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(response.body)),
            **response.headers,
        }
        start_response(STATUS_LINES[response.status], list(headers.items()))
        return [response.body]

    return application


class HeaderLimitedRequest(cheroot.server.HTTPRequest):
    """A request that is refused with 431, not 413, if its headers are too large."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Sends a refusal that cheroot itself decided on.

        `ready` is not set until the headers are read; a 413 before that is about them.
        """
        if not self.ready and str(status).startswith("413"):
            status = "431 Request Header Fields Too Large"
        super().simple_response(status, msg)

    def send_headers(self) -> None:
        """Closes the connection if the handler has left the body unread.

        cheroot would otherwise read the rest of it into memory at once.
        """
        if self.chunked_read or getattr(self.rfile, "remaining", 0) > 0:
            self.close_connection = True
        super().send_headers()


class HeaderLimitedConnection(cheroot.server.HTTPConnection):
    """A connection whose requests are `HeaderLimitedRequest`s."""

    RequestHandlerClass = HeaderLimitedRequest

    def communicate(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        keeps_open = super().communicate()
        if not keeps_open:
            end_connection(self.socket, clock=self.server.clock)
        return keeps_open


class LimitedWebConnection(LimitedConnection):
    """A connection that is served by its own thread, within limits."""

    RequestHandlerClass = HeaderLimitedRequest

    def __init__(self, server, sock, makefile=cheroot.makefile.MakeFile):
        super().__init__(server, sock, makefile)
        sock.settimeout(server.timeout)

    def serve(self) -> None:
        """Serves requests until the caller or this server ends the connection."""
        # A client may leave before its answer.
        with contextlib.suppress(ConnectionError):
            super().serve()

    def wait_for_request(self) -> bool:
        """Returns whether a request begins before the timeout of the socket."""
        self.holder.enter(IDLE)
        try:
            has_data = bool(self.rfile.peek(1))
        except OSError:
            return False
        self.holder.enter(READING)
        return has_data


class LimitedServer(AcceptLoop, cheroot.wsgi.Server):
    """Server of a listener that few clients need, such as health checks."""

    ConnectionClass = LimitedWebConnection
    thread_prefix = "web"

    def stop(self) -> None:
        """Finishes the requests in flight and closes the listener."""
        super().stop()
        self.connection_set.close(SHUTDOWN_TIMEOUT_S * MS_PER_S)


def stop_server(server: cheroot.wsgi.Server) -> None:
    """Finishes the requests in flight and closes the listener.

    cheroot notices a stop only when its select call returns, which takes up to half a
    second without traffic. Connections to the server's own port make it return at once.
    """
    address = server.bind_addr
    stop_thread = threading.Thread(target=server.stop, name="web.stop", daemon=True)
    stop_thread.start()
    while stop_thread.is_alive() and server.socket is not None:
        with contextlib.suppress(OSError):
            socket.create_connection(address, timeout=STOP_WAKE_INTERVAL_S).close()
        stop_thread.join(STOP_WAKE_INTERVAL_S)
    stop_thread.join(SHUTDOWN_TIMEOUT_S)


def run_handler(request: Request, handle: Callable[[Request], Response]) -> Response:
    """Calls the handler; logs an unexpected exception and returns a 500 for it."""
    try:
        return handle(request)
    except Exception as error:
        journal.record_fault(step="web.handle", peer="", error=error, path=request.path)
        metrics.faults_total.inc({"step": "web.handle"})
        return create_error(
            status=500, code="internal", message="internal error", run_state="unknown"
        )


def parse_environ(environ: dict) -> Request:
    """Returns the request of a WSGI environment."""
    headers = {
        key.removeprefix("HTTP_").replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        environ=environ,
    )


def read_json(request: Request, *, limit_bytes: int) -> Result[dict, Response]:
    """Reads and decodes the body; returns a 400 or 413 if that is not possible."""
    try:
        length = int(request.environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = -1
    if length < 0:
        return Err(
            create_body_refusal(
                400,
                "malformed_request",
                "Content-Length must be a non-negative integer",
            )
        )
    if length > limit_bytes:
        return Err(
            create_body_refusal(
                413, "too_large", f"the body exceeds the limit of {limit_bytes} bytes"
            )
        )
    data = request.environ["wsgi.input"].read(length)
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(
            create_body_refusal(
                400, "malformed_request", f"the body is not valid JSON: {error}"
            )
        )
    if not isinstance(decoded, dict):
        return Err(
            create_body_refusal(
                400, "malformed_request", "the body must be a JSON object"
            )
        )
    return Ok(decoded)


def create_body_refusal(status: int, code: str, message: str) -> Response:
    """Returns the error response to an invalid body, for which nothing was run."""
    return create_error(status=status, code=code, message=message, run_state="not_run")


def create_json(*, status: int, body: dict) -> Response:
    """Returns a JSON response."""
    return Response(status=status, body=json.dumps(body).encode())


def create_error(*, status: int, code: str, message: str, run_state: str) -> Response:
    """Returns a JSON error response.

    Args:
        status: HTTP status.
        code: Machine-readable reason.
        message: One line for people.
        run_state: not_run, or unknown if the request may have been run.
    """
    return create_json(
        status=status,
        body={"error": {"code": code, "message": message, "run_state": run_state}},
    )
