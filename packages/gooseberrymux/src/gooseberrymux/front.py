"""HTTP server for forwarded requests: strict HTTP/1.1, one thread a connection.

Requests whose framing could be read in two ways are refused, because the next hop
might read them in the other one.
"""

import dataclasses
import io
import re
import socket
from collections.abc import Callable

import cheroot.server
from cheroot import errors

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.http_records import (
    Headers,
    HttpReply,
    HttpRequest,
    select_end_to_end,
)
from gooseberrymux.kernel import Kernel
from gooseberrymux.routes import CallerLimits
from gooseberrymux.settings import Address

REQUEST_QUEUE_SIZE = 512
# The listener looks for a stop this often.
ACCEPT_PERIOD_S = 0.2
HEADER_LIMIT = 128
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}\Z")
# A value with one of these could end the header early at the next hop.
FORBIDDEN_IN_VALUE = re.compile(rb"[\x00\r\n]")
CHUNK_LINE_BYTES = 256
TRAILER_LIMIT = 32
# A second one of these would make the request ambiguous.
SINGLE_HEADERS = frozenset({"host", "content-length", "transfer-encoding"})

REASONS = {
    200: "OK",
    400: "Bad Request",
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
    """A request that is refused before it is handled.

    Args:
        status: Status of the refusal.
        message: One line for people.
    """

    def __init__(self, *, status: int, message: str):
        super().__init__(message)
        self.status = status
        self.message = message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A whole request and the socket of its caller."""

    request: HttpRequest
    sock: socket.socket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A reply to the caller.

    Attributes:
        reply: The reply.
        close: Whether the connection ends with it.
    """

    reply: HttpReply
    close: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller has left; nothing is written."""


Handle = Callable[[Received], Answer | CallerGone]


class FrontRequest(cheroot.server.HTTPRequest):
    """One request; cheroot reads its first line, this class the rest."""

    def read_request_headers(self) -> bool:
        """Reads and checks the headers; answers and returns False if they are wrong."""
        try:
            self.headers = read_headers(self.rfile)
            self.length = find_length(self.headers, is_http_11=self.is_http_11)
            if self.length is not None and self.length > self.server.limits.body_bytes:
                raise RequestError(status=413, message="the body is too long")
        except RequestError as error:
            self.refuse(error)
            return False
        connection = get_tokens(self.headers, "connection")
        self.close_connection = "close" in connection or not self.is_http_11
        if "100-continue" in get_tokens(self.headers, "expect"):
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
        """Reads the body, has the request handled and writes the reply."""
        try:
            body = read_body(
                self.conn.rfile, length=self.length, limits=self.server.limits
            )
        except RequestError as error:
            self.refuse(error)
            return
        # From here on a failure must not be answered as not run.
        self.sent_headers = True
        request = HttpRequest(
            method=self.method.decode("latin-1"),
            target=self.uri.decode("latin-1"),
            headers=select_end_to_end(self.headers),
            body=body,
        )
        match self.server.handle_safely(
            Received(request=request, sock=self.conn.socket)
        ):
            case CallerGone():
                self.close_connection = True
            case Answer(reply=reply, close=close):
                self.close_connection = self.close_connection or close
                self.conn.wfile.write(
                    encode_reply(
                        reply, close=self.close_connection, method=request.method
                    )
                )

    def refuse(self, error: RequestError) -> None:
        """Answers a request that can't be handled; the connection ends with it."""
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
        """Answers what cheroot refused by itself."""
        self.refuse(RequestError(status=int(str(status)[:3]), message=msg))


class FrontConnection(cheroot.server.HTTPConnection):
    """One caller's connection, served by one thread from open to close."""

    RequestHandlerClass = FrontRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock)
        # The C reader takes a tenth of the time of cheroot's own.
        self.rfile = sock.makefile("rb")
        self.wfile = RawWriter(sock=sock)

    def serve(self) -> None:
        """Serves requests until one side ends the connection."""
        while self.wait_for_request() and self.communicate():
            pass

    def wait_for_request(self) -> bool:
        """Returns whether a request begins before the idle timeout."""
        limits = self.server.limits
        self.socket.settimeout(limits.idle_timeout_ms / MS_PER_S)
        try:
            begun = bool(self.rfile.peek(1))
        except OSError:
            return False
        self.socket.settimeout(limits.header_timeout_ms / MS_PER_S)
        return begun


class RawWriter(io.RawIOBase):
    """Writes each reply to a socket at once."""

    __slots__ = ("_socket",)

    def __init__(self, *, sock: socket.socket):
        self._socket = sock

    def write(self, data) -> int:
        """Writes all of the data."""
        self._socket.sendall(data)
        return len(data)


class FrontServer(cheroot.server.HTTPServer):
    """Listener of the callers' side.

    Args:
        address: Where it listens.
        kernel: Spawns the threads.
        handle: Answers a request; may block.
        get_limits: Returns the limits in force.
    """

    ConnectionClass = FrontConnection
    keep_alive_conn_limit = None

    def __init__(
        self,
        *,
        address: Address,
        kernel: Kernel,
        handle: Handle,
        get_limits: Callable[[], CallerLimits],
    ):
        super().__init__((address.host, address.port), gateway=None, minthreads=1)
        self.request_queue_size = REQUEST_QUEUE_SIZE
        self.expiration_interval = ACCEPT_PERIOD_S
        self._kernel = kernel
        self._handle = handle
        self._get_limits = get_limits
        self._open: set[FrontConnection] = set()

    @property
    def limits(self) -> CallerLimits:
        """The limits in force."""
        return self._get_limits()

    def process_conn(self, conn: FrontConnection) -> None:
        """Starts the thread of a new connection."""
        self._kernel.spawn(
            name=f"front.{conn.remote_addr}:{conn.remote_port}",
            target=lambda: self._serve_connection(conn),
        )

    def _serve_connection(self, conn: FrontConnection) -> None:
        self._open.add(conn)
        try:
            conn.serve()
        finally:
            self._open.discard(conn)
            conn.close()

    def handle_safely(self, received: Received) -> Answer | CallerGone:
        """Handles a request; an unexpected exception becomes a logged 500."""
        try:
            return self._handle(received)
        except Exception as error:
            journal.record_fault(step="front.handle", peer="", error=error)
            metrics.faults_total.inc({"step": "front.handle"})
            return Answer(
                reply=create_text_reply(status=500, text="internal error"), close=True
            )

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Sends what cheroot reports to the journal."""
        journal.record_event("front.cheroot", message=msg)

    def close_connections(self) -> None:
        """Ends all connections; their threads end with them."""
        for conn in list(self._open):
            try:
                conn.socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It was closed in the meantime.
                continue


def read_headers(rfile) -> Headers:
    """Returns the headers of a request, names in lower case.

    Raises:
        RequestError: They are malformed or could be read in two ways.
    """
    headers: list[tuple[str, str]] = []
    seen: set[str] = set()
    while (line := rfile.readline()) != b"\r\n":
        if not line.endswith(b"\r\n"):
            raise RequestError(status=400, message="a header line was cut off")
        raw_name, separator, value = line[:-2].partition(b":")
        value = value.strip(b" \t")
        if not separator or not TOKEN.match(raw_name):
            raise RequestError(status=400, message="malformed header line")
        if FORBIDDEN_IN_VALUE.search(value):
            raise RequestError(status=400, message="malformed header value")
        name = raw_name.decode("latin-1").lower()
        if name in SINGLE_HEADERS and name in seen:
            raise RequestError(status=400, message=f"header {name} is repeated")
        if len(headers) >= HEADER_LIMIT:
            raise RequestError(status=431, message="too many headers")
        seen.add(name)
        headers.append((name, value.decode("latin-1")))
    return tuple(headers)


def find_length(headers: Headers, *, is_http_11: bool) -> int | None:
    """Returns the length of the body; None if it comes in chunks.

    Raises:
        RequestError: The framing is malformed or ambiguous.
    """
    fields = dict(headers)
    length = fields.get("content-length")
    coding = fields.get("transfer-encoding")
    if is_http_11 and "host" not in fields:
        raise RequestError(status=400, message="no Host header")
    if coding is not None:
        if length is not None or not is_http_11:
            raise RequestError(status=400, message="the body has two lengths")
        if coding.strip().lower() != "chunked":
            raise RequestError(status=501, message="unknown transfer coding")
        return None
    if length is None:
        return 0
    if not (length.isascii() and length.isdecimal()):
        raise RequestError(status=400, message="malformed Content-Length")
    return int(length)


def read_body(rfile, *, length: int | None, limits: CallerLimits) -> bytes:
    """Returns the whole body.

    Args:
        rfile: The connection.
        length: Its length; None if it comes in chunks.
        limits: Bounds a chunked body.

    Raises:
        RequestError: It is malformed, too long or was cut off.
    """
    if length is None:
        return read_chunks(rfile, limit_bytes=limits.body_bytes)
    body = rfile.read(length) if length else b""
    if len(body) < length:
        raise RequestError(status=400, message="the body was cut off")
    return body


def read_chunks(rfile, *, limit_bytes: int) -> bytes:
    """Returns a body that comes in chunks; trailers are read and dropped.

    Raises:
        RequestError: A chunk is malformed, the body too long or cut off.
    """
    parts = []
    total = 0
    while size := read_chunk_size(rfile):
        total += size
        if total > limit_bytes:
            raise RequestError(status=413, message="the body is too long")
        part = rfile.read(size + 2)
        if len(part) < size + 2 or not part.endswith(b"\r\n"):
            raise RequestError(status=400, message="a chunk was cut off")
        parts.append(part[:-2])
    for _ in range(TRAILER_LIMIT):
        line = rfile.readline(CHUNK_LINE_BYTES)
        if line == b"\r\n":
            return b"".join(parts)
        if not line.endswith(b"\r\n"):
            break
    raise RequestError(status=400, message="malformed trailers")


def read_chunk_size(rfile) -> int:
    """Returns the size that the next chunk line gives.

    Raises:
        RequestError: It is no size.
    """
    line = rfile.readline(CHUNK_LINE_BYTES)
    size = line.partition(b";")[0].strip(b" \t\r\n")
    if not line.endswith(b"\r\n") or not CHUNK_SIZE.match(size):
        raise RequestError(status=400, message="malformed chunk size")
    return int(size, 16)


def get_tokens(headers: Headers, name: str) -> frozenset[str]:
    """Returns the comma-separated tokens of a header, in lower case."""
    return frozenset(
        token.strip().lower()
        for known, value in headers
        if known == name
        for token in value.split(",")
    )


def create_text_reply(*, status: int, text: str, headers: Headers = ()) -> HttpReply:
    """Returns a reply of this program's own with one line of text."""
    return HttpReply(
        status=status,
        headers=(("content-type", "text/plain"), *headers),
        body=f"{text}\n".encode(),
    )


def encode_reply(reply: HttpReply, *, close: bool, method: str) -> bytes:
    """Returns the bytes of a reply with its length."""
    lines = [f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Unknown')}"]
    lines += [
        f"{name}: {value}" for name, value in reply.headers if name != "content-length"
    ]
    if reply.status not in (204, 304):
        lines.append(f"content-length: {len(reply.body)}")
    if close:
        lines.append("connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (b"" if method == "HEAD" else reply.body)
