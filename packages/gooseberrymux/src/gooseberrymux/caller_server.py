"""HTTP server for forwarded requests: strict HTTP/1.1, one thread for each connection.

Requests with ambiguous framing are refused, because the next hop might interpret them
differently and find another request in the body.
"""

import dataclasses
import io
import re
import socket
import threading
from collections.abc import Callable

import cheroot.server
from cheroot import errors

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.http_types import (
    Headers,
    HttpReply,
    HttpRequest,
    select_end_to_end_headers,
)
from gooseberrymux.kernel import Kernel
from gooseberrymux.routes import CallerLimits
from gooseberrymux.settings import Address

LISTEN_BACKLOG = 512
# Longest time until the accept loop notices that the server is stopping.
STOP_CHECK_INTERVAL_S = 0.2
# How long a planned stop waits for requests that are being read or answered after all
# others have ended.
ANSWER_TIMEOUT_MS = 300.0
MAX_HEADERS = 128
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")
# The next hop could treat one of these bytes as the end of the header.
FORBIDDEN_VALUE_BYTES = re.compile(rb"[\x00\r\n]")
# Limit of a chunk-size line or trailer line, with its line break.
MAX_CHUNK_LINE_BYTES = 256
# The empty line after the trailers counts.
MAX_TRAILER_LINES = 32
# A repeated header of these names would make the request ambiguous.
UNREPEATABLE_HEADERS = frozenset({"host", "content-length", "transfer-encoding"})

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class RequestError(Exception):
    """Raised for a request that is refused before it reaches the request handler.

    Args:
        status: HTTP status of the reply.
        message: One-line explanation; becomes the body of the reply and is logged.
    """

    def __init__(self, *, status: int, message: str):
        super().__init__(message)
        self.status = status
        self.message = message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """A complete request and the socket that it arrived on."""

    request: HttpRequest
    sock: socket.socket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerReply:
    """Outcome of a request that is answered.

    Attributes:
        reply: Status, headers and body to write.
        close: Whether the connection is closed after the reply.
    """

    reply: HttpReply
    close: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected:
    """Outcome of a request whose caller has disconnected; no reply is written."""


RequestHandler = Callable[[ReceivedRequest], CallerReply | CallerDisconnected]


class CallerRequest(cheroot.server.HTTPRequest):
    """One request; cheroot parses the request line, this class headers and body."""

    def read_request_headers(self) -> bool:
        """Reads and checks the headers; replies and returns False if one is invalid."""
        try:
            self.headers = read_headers(self.rfile)
            self.length = parse_body_length(self.headers, is_http_11=self.is_http_11)
            if self.length is not None and self.length > self.server.limits.body_bytes:
                raise RequestError(status=413, message="the body is too long")
        except RequestError as error:
            self.refuse(error)
            return False
        connection = list_header_tokens(self.headers, "connection")
        self.close_connection = "close" in connection or not self.is_http_11
        if "100-continue" in list_header_tokens(self.headers, "expect"):
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def parse_request(self) -> None:
        """Reads the request line and the headers within the size limit."""
        self.headers: Headers = ()
        self.length: int | None = None
        self.rfile = cheroot.server.SizeCheckWrapper(
            self.conn.rfile, self.server.limits.header_bytes
        )
        try:
            self.ready = self.read_request_line() and self.read_request_headers()
        except errors.MaxSizeExceeded:
            self.refuse(RequestError(status=431, message="the headers are too long"))

    @property
    def is_http_11(self) -> bool:
        """Whether the caller speaks HTTP/1.1."""
        return self.response_protocol == "HTTP/1.1"

    def respond(self) -> None:
        """Reads the body, calls the request handler and writes the reply."""
        try:
            body = read_body(
                self.conn.rfile, length=self.length, limits=self.server.limits
            )
        except RequestError as error:
            self.refuse(error)
            return
        # Keeps cheroot from replying to a later failure with an error of its own, which
        # would say that the request was not run although the handler may have run it.
        self.sent_headers = True
        request = HttpRequest(
            method=self.method.decode("latin-1"),
            target=self.uri.decode("latin-1"),
            headers=select_end_to_end_headers(self.headers),
            body=body,
        )
        match self.server.run_handler(
            ReceivedRequest(request=request, sock=self.conn.socket)
        ):
            case CallerDisconnected():
                self.close_connection = True
            case CallerReply(reply=reply, close=close):
                self.close_connection = self.close_connection or close
                self.conn.wfile.write(
                    encode_reply(
                        reply, close=self.close_connection, method=request.method
                    )
                )

    def refuse(self, error: RequestError) -> None:
        """Replies to an invalid request with its error and closes the connection."""
        self.close_connection = True
        metrics.dropped_total.inc({"reason": f"request_refused_{error.status}"})
        journal.record_event(
            "front.refused",
            status=error.status,
            reason=error.message,
            peer=self.conn.remote_addr,
        )
        reply = create_text_reply(status=error.status, text=error.message)
        self.conn.wfile.write(encode_reply(reply, close=True, method="GET"))

    def simple_response(self, status: str, msg: str = "") -> None:
        """Replies to a request that cheroot refuses, in place of its own reply."""
        self.refuse(RequestError(status=int(str(status)[:3]), message=msg))


class CallerConnection(cheroot.server.HTTPConnection):
    """One caller's connection; a single thread serves it until it is closed."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock)
        # CPython's reader, written in C, takes a tenth of the time of cheroot's.
        self.rfile = sock.makefile("rb")
        self.wfile = UnbufferedSocketWriter(sock=sock)

    def serve(self) -> None:
        """Serves requests until the caller or this server ends the connection."""
        while self.wait_for_request() and self.server.begin_request(self):
            try:
                keeps_open = self.communicate()
            finally:
                self.server.end_request(self)
            if not keeps_open:
                return

    def wait_for_request(self) -> bool:
        """Returns whether a request begins before the idle timeout.

        Sets the header timeout on the socket for the reads that follow.
        """
        limits = self.server.limits
        self.socket.settimeout(limits.idle_timeout_ms / MS_PER_S)
        try:
            has_data = bool(self.rfile.peek(1))
        except OSError:
            return False
        self.socket.settimeout(limits.header_timeout_ms / MS_PER_S)
        return has_data


class UnbufferedSocketWriter(io.RawIOBase):
    """Writer without a buffer, so that a reply needs no flush."""

    __slots__ = ("_socket",)

    def __init__(self, *, sock: socket.socket):
        self._socket = sock

    def write(self, data) -> int:
        """Blocks until all data is sent; returns its length in bytes."""
        self._socket.sendall(data)
        return len(data)


class CallerServer(cheroot.server.HTTPServer):
    """HTTP server that callers connect to.

    Args:
        address: Address to listen on.
        kernel: Spawns the threads of the connections.
        handle: Handles a request in the thread of its connection; may block.
        get_limits: Returns the limits in force; called for each use.
    """

    ConnectionClass = CallerConnection
    keep_alive_conn_limit = None

    def __init__(
        self,
        *,
        address: Address,
        kernel: Kernel,
        handle: RequestHandler,
        get_limits: Callable[[], CallerLimits],
    ):
        super().__init__((address.host, address.port), gateway=None, minthreads=1)
        self.request_queue_size = LISTEN_BACKLOG
        self.expiration_interval = STOP_CHECK_INTERVAL_S
        self._kernel = kernel
        self._handle = handle
        self._get_limits = get_limits
        self._open_connections: set[CallerConnection] = set()
        # Connections on which a request is being read, handled or answered.
        self._busy_connections: set[CallerConnection] = set()
        self._requests_changed = threading.Condition()
        self._is_closing = False

    @property
    def limits(self) -> CallerLimits:
        """Limits in force, which change with the route table."""
        return self._get_limits()

    def process_conn(self, conn: CallerConnection) -> None:
        """Starts the thread of a new connection, in place of cheroot's thread pool."""
        self._kernel.spawn(
            name=f"front.{conn.remote_addr}:{conn.remote_port}",
            target=lambda: self._serve_connection(conn),
            is_essential=False,
        )

    def _serve_connection(self, conn: CallerConnection) -> None:
        self._open_connections.add(conn)
        try:
            conn.serve()
        finally:
            self._open_connections.discard(conn)
            conn.close()

    def run_handler(
        self, received: ReceivedRequest
    ) -> CallerReply | CallerDisconnected:
        """Calls the request handler; logs an exception and replies with status 500."""
        try:
            return self._handle(received)
        except Exception as error:
            journal.record_fault(step="front.handle", peer="", error=error)
            metrics.faults_total.inc({"step": "front.handle"})
            return CallerReply(
                reply=create_text_reply(status=500, text="internal error"), close=True
            )

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Logs a message of cheroot; its level and traceback are dropped."""
        journal.record_event("front.cheroot", message=msg)

    def begin_request(self, conn: CallerConnection) -> bool:
        """Records that a request is read from now on; False if it must not be."""
        with self._requests_changed:
            if self._is_closing:
                return False
            self._busy_connections.add(conn)
            return True

    def end_request(self, conn: CallerConnection) -> None:
        """Records that a request was answered, or that its connection failed."""
        with self._requests_changed:
            self._busy_connections.discard(conn)
            self._requests_changed.notify_all()

    def close_connections(self) -> None:
        """Shuts down all connections, which ends their threads.

        A request that is being read or answered has `ANSWER_TIMEOUT_MS` left to end.
        One that was not begun is left unread, so that its caller can send it elsewhere.
        """
        with self._requests_changed:
            self._is_closing = True
            idle = self._open_connections - self._busy_connections
        shut_down(idle)
        self._wait_for_answers()
        shut_down(self._open_connections - idle)

    def _wait_for_answers(self) -> None:
        clock = self._kernel.clock
        deadline_ms = clock.now_ms() + ANSWER_TIMEOUT_MS
        with self._requests_changed:
            while self._busy_connections:
                remaining_ms = deadline_ms - clock.now_ms()
                if remaining_ms <= 0:
                    return
                clock.wait(self._requests_changed, remaining_ms)


def shut_down(connections: set[CallerConnection]) -> None:
    """Shuts down the sockets of connections."""
    for conn in connections:
        try:
            conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The thread of the connection has closed the socket in the meantime.
            continue


def read_headers(rfile) -> Headers:
    """Returns the headers of a request, names in lower case.

    Raises:
        RequestError: The headers are malformed, ambiguous or too many.
    """
    headers: list[tuple[str, str]] = []
    seen: set[str] = set()
    while (line := rfile.readline()) != b"\r\n":
        if not line.endswith(b"\r\n"):
            raise RequestError(status=400, message="a header line was cut off")
        raw_name, separator, value = line[:-2].partition(b":")
        value = value.strip(b" \t")
        if not separator or not HEADER_NAME_PATTERN.match(raw_name):
            raise RequestError(status=400, message="malformed header line")
        if FORBIDDEN_VALUE_BYTES.search(value):
            raise RequestError(status=400, message="malformed header value")
        name = raw_name.decode("latin-1").lower()
        if name in UNREPEATABLE_HEADERS and name in seen:
            raise RequestError(status=400, message=f"header {name} is repeated")
        if len(headers) >= MAX_HEADERS:
            raise RequestError(status=431, message="too many headers")
        seen.add(name)
        headers.append((name, value.decode("latin-1")))
    return tuple(headers)


def parse_body_length(headers: Headers, *, is_http_11: bool) -> int | None:
    """Returns the length of the body in bytes; None if the body is chunked.

    Raises:
        RequestError: The Host header is missing, or the framing is malformed,
            ambiguous or not supported.
    """
    fields = dict(headers)
    length = fields.get("content-length")
    transfer_coding = fields.get("transfer-encoding")
    if is_http_11 and "host" not in fields:
        raise RequestError(status=400, message="no Host header")
    if transfer_coding is not None:
        if length is not None or not is_http_11:
            raise RequestError(status=400, message="the body has two lengths")
        if transfer_coding.strip().lower() != "chunked":
            raise RequestError(status=501, message="unknown transfer coding")
        return None
    if length is None:
        return 0
    if not (length.isascii() and length.isdecimal()):
        raise RequestError(status=400, message="malformed Content-Length")
    return int(length)


def read_body(rfile, *, length: int | None, limits: CallerLimits) -> bytes:
    """Reads the whole body.

    Args:
        rfile: Reader of the connection.
        length: Length of the body in bytes; None if the body is chunked.
        limits: Limits of a chunked body; `length` has been checked already.

    Raises:
        RequestError: The body is malformed, too long or was cut off.
    """
    if length is None:
        return read_chunked_body(rfile, limit_bytes=limits.body_bytes)
    body = rfile.read(length) if length else b""
    if len(body) < length:
        raise RequestError(status=400, message="the body was cut off")
    return body


def read_chunked_body(rfile, *, limit_bytes: int) -> bytes:
    """Reads a chunked body and its trailers; returns the body without them.

    Raises:
        RequestError: A chunk or the trailers are malformed, or the body is too long
            or was cut off.
    """
    chunks = []
    total = 0
    while size := read_chunk_size(rfile):
        total += size
        if total > limit_bytes:
            raise RequestError(status=413, message="the body is too long")
        chunk = rfile.read(size + 2)
        if len(chunk) < size + 2 or not chunk.endswith(b"\r\n"):
            raise RequestError(status=400, message="a chunk was cut off")
        chunks.append(chunk[:-2])
    for _ in range(MAX_TRAILER_LINES):
        line = rfile.readline(MAX_CHUNK_LINE_BYTES)
        if line == b"\r\n":
            return b"".join(chunks)
        if not line.endswith(b"\r\n"):
            break
    raise RequestError(status=400, message="malformed trailers")


def read_chunk_size(rfile) -> int:
    """Reads the line before a chunk; returns the size of the chunk in bytes.

    Raises:
        RequestError: The line is cut off, too long or holds no valid size.
    """
    line = rfile.readline(MAX_CHUNK_LINE_BYTES)
    size = line.partition(b";")[0].strip(b" \t\r\n")
    if not line.endswith(b"\r\n") or not CHUNK_SIZE_PATTERN.match(size):
        raise RequestError(status=400, message="malformed chunk size")
    return int(size, 16)


def list_header_tokens(headers: Headers, name: str) -> frozenset[str]:
    """Returns the comma-separated tokens of a header, in lower case."""
    return frozenset(
        token.strip().lower()
        for header_name, value in headers
        if header_name == name
        for token in value.split(",")
    )


def create_text_reply(*, status: int, text: str, headers: Headers = ()) -> HttpReply:
    """Returns a reply that comes from this instance itself, with one line of text."""
    return HttpReply(
        status=status,
        headers=(("content-type", "text/plain"), *headers),
        body=f"{text}\n".encode(),
    )


def encode_reply(reply: HttpReply, *, close: bool, method: str) -> bytes:
    """Returns the bytes of a reply, with a content-length that fits its body.

    Args:
        reply: The reply; statuses 204 and 304 get no content-length.
        close: Whether to announce that the connection is closed afterwards.
        method: Method of the request; a reply to HEAD has no body.
    """
    lines = [f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Unknown')}"]
    lines += [
        f"{name}: {value}" for name, value in reply.headers if name != "content-length"
    ]
    if reply.status not in (204, 304):
        lines.append(f"content-length: {len(reply.body)}")
    if close:
        lines.append("connection: close")
    header_block = "\r\n".join(lines) + "\r\n\r\n"
    return header_block.encode("latin-1") + (b"" if method == "HEAD" else reply.body)
