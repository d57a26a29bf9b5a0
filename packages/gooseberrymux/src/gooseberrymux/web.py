"""HTTP plumbing that both APIs share: cheroot server, JSON bodies, typed errors."""

import contextlib
import dataclasses
import json
import socket
import threading
from collections.abc import Callable, Iterable

import cheroot.server
import cheroot.wsgi
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.settings import Address

SHUTDOWN_TIMEOUT_S = 5
HEADER_LIMIT_BYTES = 16 * 1024
REQUEST_QUEUE_SIZE = 256
STOP_TOUCH_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One HTTP request with its body still unread."""

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
    *, address: Address, threads: int, handle: Callable[[Request], Response]
) -> cheroot.wsgi.Server:
    """Returns a server that calls `handle` in one worker thread a connection."""

    def run(environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = handle_safely(read_request(environ), handle)
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(response.body)),
            **response.headers,
        }
        start_response(STATUS_LINES[response.status], list(headers.items()))
        return [response.body]

    server = cheroot.wsgi.Server(
        (address.host, address.port),
        run,
        numthreads=threads,
        request_queue_size=REQUEST_QUEUE_SIZE,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.max_request_header_size = HEADER_LIMIT_BYTES
    server.ConnectionClass = LimitedConnection
    return server


class LimitedRequest(cheroot.server.HTTPRequest):
    """A request whose oversized headers are refused with the status meant for them."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answers what cheroot refuses by itself."""
        if not self.ready and str(status).startswith("413"):
            status = "431 Request Header Fields Too Large"
        super().simple_response(status, msg)


class LimitedConnection(cheroot.server.HTTPConnection):
    """A connection of requests with limited headers."""

    RequestHandlerClass = LimitedRequest


def stop_server(server: cheroot.wsgi.Server) -> None:
    """Finishes the requests in flight and closes the listener.

    cheroot notices a stop only when its select call returns, which takes up to half a
    second without traffic; connections to the own port make it return at once.
    """
    address = server.bind_addr
    stopping = threading.Thread(target=server.stop, name="web.stop", daemon=True)
    stopping.start()
    while stopping.is_alive() and server.socket is not None:
        with contextlib.suppress(OSError):
            socket.create_connection(address, timeout=STOP_TOUCH_S).close()
        stopping.join(STOP_TOUCH_S)
    stopping.join(SHUTDOWN_TIMEOUT_S)


def handle_safely(request: Request, handle: Callable[[Request], Response]) -> Response:
    """Turns an unexpected exception into a logged 500."""
    try:
        return handle(request)
    except Exception as error:
        journal.record_fault(step="web.handle", peer="", error=error, path=request.path)
        metrics.faults_total.inc({"step": "web.handle"})
        return create_error(
            status=500, code="internal", message="internal error", run_state="unknown"
        )


def read_request(environ: dict) -> Request:
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
    """Returns the body, or the 400 or 413 that refuses it."""
    try:
        length = int(request.environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = -1
    if length < 0:
        return Err(refuse_body(400, "malformed_request", "Content-Length is wrong"))
    if length > limit_bytes:
        return Err(refuse_body(413, "too_large", f"the limit is {limit_bytes} bytes"))
    data = request.environ["wsgi.input"].read(length)
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(refuse_body(400, "malformed_request", f"not JSON: {error}"))
    if not isinstance(decoded, dict):
        return Err(refuse_body(400, "malformed_request", "expected a JSON object"))
    return Ok(decoded)


def refuse_body(status: int, code: str, message: str) -> Response:
    """Returns the refusal of a body that was never looked at further."""
    return create_error(status=status, code=code, message=message, run_state="not_run")


def create_json(*, status: int, body: dict) -> Response:
    """Returns a JSON response."""
    return Response(status=status, body=json.dumps(body).encode())


def create_error(*, status: int, code: str, message: str, run_state: str) -> Response:
    """Returns a typed JSON error.

    Args:
        status: HTTP status.
        code: Machine-readable reason.
        message: One line for people.
        run_state: not_run or unknown.
    """
    return create_json(
        status=status,
        body={"error": {"code": code, "message": message, "run_state": run_state}},
    )
